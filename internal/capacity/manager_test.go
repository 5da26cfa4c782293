package capacity

import (
	"testing"
	"time"
)

// Responses of the cloud that arrive after Stop don't change the fleet.
func TestResponsesAfterTheTermAreIgnored(t *testing.T) {
	f := newFixture()
	machine := f.Fleet.RegisterMachine(0, "i-000001")
	f.cloud.machines[machine.Name] = listedMachine{
		Name:  machine.Name,
		Addr:  "x",
		Type:  "m",
		Zone:  "a",
		State: listedFailed,
	}
	f.cloud.delayResponses = true
	f.toReturn[machine.Name] = causeFailed
	f.runFor(time.Second)
	if len(f.cloud.responses) < 2 {
		t.Fatalf("%d requests sent, want at least 2: for the list and for the return", len(f.cloud.responses))
	}
	f.Stop()
	conditionAtStop := machine.Condition
	f.cloud.deliverAll()
	if machine.Condition != conditionAtStop {
		t.Fatalf("condition after responses that arrived after Stop: %v, want %v", machine.Condition, conditionAtStop)
	}
}
