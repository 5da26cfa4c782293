package membership

import (
	"fmt"
	"testing"
)

// Rendezvous hashing divides machines evenly and moves only those of a lost owner.
func TestShardMapMovesOnlyMachinesOfALostOwner(t *testing.T) {
	before := ShardMap{Owners: []string{"a", "b", "c"}}
	after := ShardMap{Owners: []string{"a", "c"}}
	machines := map[string]int{}
	for i := range 3000 {
		machine := fmt.Sprintf("i-%06d", i)
		owner := before.Owner(machine)
		machines[owner]++
		if owner != "b" && after.Owner(machine) != owner {
			t.Fatalf("%s moved from %s to %s although its owner stayed", machine, owner, after.Owner(machine))
		}
	}
	for owner, count := range machines {
		if count < 800 || count > 1200 {
			t.Fatalf("%s owns %d of 3000", owner, count)
		}
	}
	if (ShardMap{}).Owner("x") != "" {
		t.Fatal("an empty map has no owner")
	}
}
