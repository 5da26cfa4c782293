package capacity

import (
	"testing"
	"time"
)

// The machines of a lost zone are not returned, although half of the fleet is silent. A single silent machine is
// returned.
func TestMachinesOfALostZoneAreKept(t *testing.T) {
	for _, c := range []struct {
		name         string
		isZoneLost   bool
		wantReturned int
	}{
		{name: "one machine is silent", isZoneLost: false, wantReturned: 1},
		{name: "a zone is lost", isZoneLost: true, wantReturned: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.Settings.Operator.MachineIdleTimeoutS = 1e6
			seq := uint64(0)
			for second := range 15 {
				f.cloud.now += time.Second
				for i := range 40 {
					goesSilent := i == 1 || (c.isZoneLost && i%2 == 1)
					// The silent machines stop sending heartbeats one after the other.
					if !goesSilent || second < i%4 {
						seq++
						f.Fleet.HandleHeartbeat(f.cloud.now, heartbeat(i, seq))
					}
				}
				f.evaluateMachines(f.cloud.now, true)
			}
			if len(f.toReturn) != c.wantReturned {
				t.Fatalf("%d machines to return, want %d: %v", len(f.toReturn), c.wantReturned, f.toReturn)
			}
		})
	}
}

// A controller without authority receives no heartbeats. That time doesn't count as the machines' silence, so no zone
// is found lost right after the controller gains its authority.
func TestSilenceCountsFromAuthority(t *testing.T) {
	for _, c := range []struct {
		name         string
		hadAuthority bool
		wantLost     int
	}{
		{name: "authority gained after the last heartbeats", hadAuthority: false, wantLost: 0},
		{name: "authority held since before the heartbeats", hadAuthority: true, wantLost: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			for i := range 40 {
				f.Fleet.HandleHeartbeat(f.cloud.now, heartbeat(i, 1))
			}
			f.cloud.now += 9 * time.Second
			if !c.hadAuthority {
				f.authoritySince = f.cloud.now
			}
			f.runFor(time.Second)
			if lost := len(f.Zones.Lost()); lost != c.wantLost {
				t.Fatalf("%d zones lost, want %d", lost, c.wantLost)
			}
		})
	}
}
