package membership

import (
	"fmt"
	"testing"
)

// Machines are divided evenly among the owners. When an owner is removed, only its machines move.
func TestShardMapMovesOnlyMachinesOfRemovedOwner(t *testing.T) {
	before := ShardMap{Owners: []string{"a", "b", "c"}}
	after := ShardMap{Owners: []string{"a", "c"}}
	machines := map[string]int{}
	for i := range 3000 {
		machine := fmt.Sprintf("i-%06d", i)
		owner := before.Owner(machine)
		machines[owner]++
		if owner != "b" && after.Owner(machine) != owner {
			t.Fatalf("%s moved from %s to %s, want no move while its owner remains", machine, owner, after.Owner(machine))
		}
	}
	for owner, count := range machines {
		if count < 800 || count > 1200 {
			t.Fatalf("%s owns %d of 3000 machines, want 800 to 1200", owner, count)
		}
	}
	if (ShardMap{}).Owner("x") != "" {
		t.Fatal("a map without owners returns an owner, want an empty string")
	}
}
