package capacity

import (
	"testing"
	"time"
)

// Responses of the cloud that arrive after the term change nothing.
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
		t.Fatal("no requests were sent")
	}
	f.Stop()
	before := machine.Condition
	f.cloud.deliverAll()
	if machine.Condition != before {
		t.Fatalf("condition became %v after the term", machine.Condition)
	}
}
