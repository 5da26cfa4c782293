package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// This file follows and applies the operators' drain requests. Those of controllers stand in one document. Those of
// machines stand there as well until the cluster's level is rollout.DrainKeys: from then on every controller reads them
// under keys of their own, and a leader moves them there.

const (
	// drainSweepInterval spaces the searches for drain requests of machines that are gone, drainMoveInterval the steps
	// that move requests out of the document.
	drainSweepInterval = 30 * time.Second
	drainMoveInterval  = 500 * time.Millisecond
	// maxBackgroundDrainOps bounds the keys of one transaction that no operator waits for.
	maxBackgroundDrainOps = 8
	// unknownMachineTTL is for how long a leader must have found no machine of a name before the machine's drain
	// request is dropped: the machine left while no controller led, or before an earlier leader.
	unknownMachineTTL = time.Hour
)

// drainState is the drain requests of operators, as far as they were followed, and a leader's upkeep of them.
type drainState struct {
	document        drain.Document
	documentVersion uint64
	machines        *drain.MachineRequests
	upkeep          drainUpkeep
}

// drainUpkeep is what a term does about drain requests in the background.
type drainUpkeep struct {
	writing      bool // a transaction is in flight
	sweptAt      time.Duration
	movedAt      time.Duration
	unknownSince map[string]time.Duration // by the names of machines that are to be drained and aren't in the fleet
}

// isDrained reports whether operators want a controller drained.
func (d *drainState) isDrained(node string) bool {
	_, ok := d.document.Nodes[node]
	return ok
}

// desiredDrains returns all that operators want drained, as far as it was followed.
func (c *Controller) desiredDrains() drain.DesiredState {
	return drain.DesiredState{
		Document:        c.drains.document,
		MachineRequests: c.drains.machines,
		UsesMachineKeys: c.rollout.Level() >= rollout.DrainKeys,
	}
}

// applyDrainDocument applies the operators' document, raw nil: it was deleted. An older version than the last is
// ignored.
func (c *Controller) applyDrainDocument(raw json.RawMessage, version uint64) {
	if version <= c.drains.documentVersion {
		return
	}
	document := drain.Document{}
	if raw != nil {
		var err error
		if document, err = drain.ParseDocument(raw); err != nil {
			c.rollout.MarkUnreadable(drain.DocumentKey, raw, err)
			return
		}
	}
	c.drains.document = document
	c.drains.documentVersion = version
}

// handleDrainRequest applies the drain request of a machine.
func (c *Controller) handleDrainRequest(item store.Item) {
	if err := c.drains.machines.HandleItem(item.Key, item.Value, item.Version); err != nil {
		c.rollout.MarkUnreadable(item.Key, item.Value, err)
		return
	}
	c.rollout.MarkReadable(item.Key)
}

// applyDrains makes the state what operators want: this controller drains or serves again, and a leader drains
// machines.
func (c *Controller) applyDrains(now time.Duration) {
	wantDrained := c.drains.isDrained(c.settings.Node)
	switch {
	case wantDrained && c.lifecycle.isServing():
		c.lifecycle.staysWhenDrained = true
		c.startDrain(now, "drained by operators")
	case !wantDrained && c.lifecycle.state == drained:
		c.undoDrain(now, "undrained by operators")
	}
	c.drainMachines(now)
}

// drainMachines has the fleet drain the machines that operators want drained, and does the upkeep of their requests.
func (c *Controller) drainMachines(now time.Duration) {
	want := c.desiredDrains()
	if !c.term.loaded() || (!want.AnyMachine() && !c.term.fleet.HasDrains()) {
		return
	}
	c.term.fleet.ApplyDrains(func(machine string) (on, stop bool, by string) {
		request, ok := want.Machine(machine)
		return ok, request.Stop, request.By
	})
	if c.drains.upkeep.writing || !c.membership.HasAuthority(now) {
		return
	}
	if c.moveDrainRequests(now, want) {
		return
	}
	if now-c.drains.upkeep.sweptAt >= drainSweepInterval {
		c.drains.upkeep.sweptAt = now
		c.deleteStaleDrainRequests(now, want)
	}
}

// unmovedDrainRequests returns how many drain requests stand in the document that belong under keys of their own.
func (c *Controller) unmovedDrainRequests() int {
	if c.rollout.Level() < rollout.DrainKeys {
		return 0
	}
	return len(c.drains.document.Machines)
}

// moveDrainRequests takes the next step that moves requests out of the document and reports whether one was due.
func (c *Controller) moveDrainRequests(now time.Duration, want drain.DesiredState) bool {
	if now-c.drains.upkeep.movedAt < drainMoveInterval || c.unmovedDrainRequests() == 0 {
		return false
	}
	c.drains.upkeep.movedAt = now
	maxOps := c.backgroundDrainOps()
	move, isDue := want.NextMigrationStep(maxOps, c.store.Limits().MaxValueBytes, c.isMachineGone)
	if !isDue || maxOps == 0 {
		return false
	}
	txn := store.Txn{If: c.documentConditions()}
	for _, key := range slices.Sorted(maps.Keys(move.Keys)) {
		txn.If = append(txn.If, store.Condition{Key: key})
		txn.Then = append(txn.Then, store.Op{Put: key, Value: move.Keys[key]})
	}
	if len(txn.Then) == 0 {
		txn.Then = []store.Op{documentOp(move.Document)}
	}
	c.writeDrainsInBackground(txn)
	return true
}

// backgroundDrainOps returns how many changes a transaction that no operator waits for may make now.
func (c *Controller) backgroundDrainOps() int {
	ops := min(maxBackgroundDrainOps, c.store.Limits().MaxOps)
	for ops > 0 && !c.store.HasSpareWritesFor(ops) {
		ops /= 2
	}
	return ops
}

// deleteStaleDrainRequests deletes the requests of machines that are gone.
func (c *Controller) deleteStaleDrainRequests(now time.Duration, want drain.DesiredState) {
	c.trackUnknownMachines(now, want)
	if !want.UsesMachineKeys {
		if document, isChanged := c.drains.document.WithoutMachines(c.isMachineGone); isChanged {
			c.writeDrainsInBackground(store.Txn{
				If:   c.documentConditions(),
				Then: []store.Op{documentOp(document)},
			})
		}
		return
	}
	txn := store.Txn{If: []store.Condition{c.rollout.LevelCondition()}}
	for _, machine := range want.StaleRequests(c.backgroundDrainOps(), c.isMachineGone) {
		request, _ := c.drains.machines.Get(machine)
		key := drain.MachineKey(machine)
		txn.If = append(txn.If, store.Condition{Key: key, Version: request.Version})
		txn.Then = append(txn.Then, store.Op{Delete: key})
	}
	if len(txn.Then) > 0 {
		c.writeDrainsInBackground(txn)
	}
}

// trackUnknownMachines records which machines that are to be drained aren't in the fleet, and since when.
func (c *Controller) trackUnknownMachines(now time.Duration, want drain.DesiredState) {
	previous := c.drains.upkeep.unknownSince
	unknownSince := map[string]time.Duration{}
	for machine := range want.Machines() {
		if c.term.fleet.FindMachine(machine) != nil {
			continue
		}
		since, ok := previous[machine]
		if !ok {
			since = now
		}
		unknownSince[machine] = since
	}
	c.drains.upkeep.unknownSince = unknownSince
}

// isMachineGone reports whether a machine's drain request has lost its meaning.
func (c *Controller) isMachineGone(name string) bool {
	if machine := c.term.fleet.FindMachine(name); machine != nil {
		return machine.Condition == fleet.Terminated
	}
	since, ok := c.drains.upkeep.unknownSince[name]
	return ok && c.loop.Now()-since >= unknownMachineTTL
}

// writeDrainsInBackground sends a transaction that no operator waits for.
func (c *Controller) writeDrainsInBackground(txn store.Txn) {
	c.drains.upkeep.writing = true
	c.commitInTerm(txn, store.BulkPriority, func(result store.Result) {
		c.drains.upkeep.writing = false
		if result.Outcome != store.Committed {
			slog.Info("drain requests not written",
				"outcome", result.Outcome.String(),
				"failed_keys", result.FailedKeys,
			)
			return
		}
		c.confirmDrainWrite(txn, result.Revision)
	})
}

// documentConditions returns the conditions of a write that was decided by the document: its version, and the level,
// which decides where requests belong.
func (c *Controller) documentConditions() []store.Condition {
	return []store.Condition{
		c.rollout.LevelCondition(),
		{Key: drain.DocumentKey, Version: c.drains.documentVersion},
	}
}

func documentOp(document drain.Document) store.Op {
	raw, _ := json.Marshal(document)
	return store.Op{Put: drain.DocumentKey, Value: raw}
}

// writeDrainChange writes what a command changes, in one transaction of at most two changes.
func (c *Controller) writeDrainChange(change drain.Change, done func(store.Result)) {
	txn := store.Txn{If: c.documentConditions(), Then: []store.Op{documentOp(change.Document)}}
	if change.Machine != "" {
		key := drain.MachineKey(change.Machine)
		txn.If = append(txn.If, store.Condition{Key: key, Version: change.Version})
		switch {
		case change.Put != nil:
			txn.Then = append(txn.Then, store.Op{Put: key, Value: change.Put})
		case change.Delete:
			txn.Then = append(txn.Then, store.Op{Delete: key})
		}
	}
	c.commitInTerm(txn, store.NormalPriority, func(result store.Result) {
		if result.Outcome == store.Committed {
			c.confirmDrainWrite(txn, result.Revision)
		}
		done(result)
	})
}

// confirmDrainWrite applies a write of our own, unless the followed keys have shown it already.
func (c *Controller) confirmDrainWrite(txn store.Txn, revision uint64) {
	if revision <= c.watchCache.Revision() {
		return
	}
	for _, op := range txn.Then {
		switch {
		case op.Put == drain.DocumentKey:
			c.applyDrainDocument(op.Value, revision)
		case op.Put != "":
			c.handleDrainRequest(store.Item{Key: op.Put, Value: op.Value, Version: revision})
		default:
			c.drains.machines.ConfirmDelete(op.Delete, revision)
		}
	}
}

// drainPageSize bounds the machines of one answer: it stays within the largest body that users get.
const drainPageSize = 200

// drainStatus returns a page of the machines that are being drained, by name after the one given, and how many there
// are in all.
func (c *Controller) drainStatus(after string) (page []MachineStatus, total int) {
	requests := c.desiredDrains().Machines()
	page = []MachineStatus{}
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		if name <= after {
			continue
		}
		if len(page) == drainPageSize {
			break
		}
		status := MachineStatus{Machine: name, State: "unknown", By: requests[name].By}
		if machine := c.term.fleet.FindMachine(name); machine != nil {
			status.State = machine.Condition.String()
			status.Tasks = len(machine.Tasks)
		}
		page = append(page, status)
	}
	return page, len(requests)
}
