package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/store"
)

// If all machines of a large fleet are drained, every request must be received, and every page of the status must
// stay within 64 KiB.
func TestDrainsOfLargeFleetAreLoadedAndPaged(t *testing.T) {
	const machines = 4000
	c, service, advance := newWatchingController(t)
	for i := range machines {
		name := fmt.Sprintf("i-%06d", i)
		raw, _ := json.Marshal(drain.MachineRecord{Machine: name, Request: drain.Request{By: "kana", AtMS: 5}})
		service.Apply([]store.Op{{Put: drain.MachineKey(name), Value: raw}})
	}
	advance(time.Second)
	c.startTerm(time.Second, 1)
	shown, after := 0, ""
	for {
		s := c.adminStatus(2*time.Second, after)
		if raw, _ := json.Marshal(s); len(raw) > 64<<10 || s.DrainingTotal != machines {
			t.Fatalf("page of %d bytes, total of %d machines; want at most 64 KiB and 4000 machines", len(raw), s.DrainingTotal)
		}
		if len(s.Draining) == 0 {
			break
		}
		shown += len(s.Draining)
		after = s.Draining[len(s.Draining)-1].Machine
	}
	if shown != machines {
		t.Fatalf("%d machines on all pages, want 4000", shown)
	}
}

// A controller whose watch position was lost lists all keys again. Drain requests deleted in the meantime must be
// removed.
func TestResyncRemovesDeletedDrainRequests(t *testing.T) {
	c, service, advance := newWatchingController(t)
	for _, name := range []string{"i-1", "i-2"} {
		raw, _ := json.Marshal(drain.MachineRecord{Machine: name})
		service.Apply([]store.Op{{Put: drain.MachineKey(name), Value: raw}})
	}
	advance(time.Second)
	if n := len(c.drains.machines.Names()); n != 2 {
		t.Fatalf("%d drain requests, want 2", n)
	}
	c.resetKeys([]store.Item{service.Keys[drain.MachineKey("i-2")]})
	if all := c.drains.machines.Names(); len(all) != 1 || all[0] != "i-2" {
		t.Fatalf("drain requests for %v, want i-2 only", all)
	}
}
