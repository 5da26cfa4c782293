package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
)

// A machine without heartbeats for longer than one lost heartbeat explains is quarantined, long before its lease
// expires. Its next heartbeat ends the quarantine.
func TestSilentMachineIsQuarantined(t *testing.T) {
	const silentMachine = 3
	f := newFixture()
	f.Settings.Operator.MachineIdleTimeoutS = 1e6
	seq := uint64(0)
	for second := range 11 {
		for i := range 20 {
			seq++
			if i != silentMachine || second == 0 {
				f.Fleet.HandleHeartbeat(f.cloud.now, heartbeat(i, seq))
			}
		}
		f.cloud.now += time.Second
		f.evaluateMachines(f.cloud.now, true)
		for i := range 20 {
			machine := f.Fleet.FindMachine(fmt.Sprintf("i-%d", i))
			wantQuarantined := i == silentMachine && second >= 9
			if machine.Quarantined != wantQuarantined || machine.Condition != fleet.Ready {
				t.Fatalf("after %d s: %s is %v, quarantined: %v; want ready, quarantined: %v",
					second+1, machine.Name, machine.Condition, machine.Quarantined, wantQuarantined)
			}
		}
	}
	f.Fleet.HandleHeartbeat(f.cloud.now, heartbeat(silentMachine, seq+1))
	if f.Fleet.FindMachine(fmt.Sprintf("i-%d", silentMachine)).Quarantined {
		t.Error("machine quarantined after a new heartbeat, want not quarantined")
	}
}
