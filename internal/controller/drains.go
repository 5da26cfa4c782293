package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// This file keeps the drain requests of machines: each under a key of its own, from the cluster's level on at which
// every controller reads them.

const (
	// drainSweepInterval spaces the looks for drain requests of machines that are gone, drainMoveInterval the steps that take
	// requests out of the document.
	drainSweepInterval = 30 * time.Second
	drainMoveInterval  = 500 * time.Millisecond
	// maxBackgroundDrainOps bounds the keys of one transaction that nobody waits for.
	maxBackgroundDrainOps = 8
	// unknownMachineTTL is for how long a leader must not have known a machine at all before its drain request is
	// dropped: the machine went while nobody led, or before an earlier leader.
	unknownMachineTTL = time.Hour
)

// drains.upkeep is what a term does about drain requests in the background.
type drainUpkeep struct {
	writing      bool // a transaction is under way
	sweptAt      time.Duration
	movedAt      time.Duration
	unknownSince map[string]time.Duration // since when a machine that is to be drained isn't known, by name
}

// desiredDrains is all that operators want, as far as it was followed.
func (c *Controller) desiredDrains() drain.DesiredState {
	return drain.DesiredState{Document: c.drains.document, Drains: c.drains.machines, OwnKeys: c.rollout.Level() >= rollout.DrainKeys}
}

// handleDrainRequest takes over the drain request of a machine.
func (c *Controller) handleDrainRequest(item store.Item) {
	if err := c.drains.machines.HandleItem(item.Key, item.Value, item.Version); err != nil {
		c.rollout.MarkUnreadable(item.Key, item.Value, err)
		return
	}
	c.rollout.MarkReadable(item.Key)
}

// drainMachines has the fleet drain what operators want drained, and keeps the requests.
func (c *Controller) drainMachines(now time.Duration) {
	want := c.desiredDrains()
	if c.term.fleet == nil || !c.term.fleet.PlansLoaded() || (!want.AnyMachine() && !c.term.fleet.HasDrains()) {
		return
	}
	c.term.fleet.ApplyDrains(now, func(machine string) (on, stop bool, by string) {
		m, ok := want.Machine(machine)
		return ok, m.Stop, m.By
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

// unmovedDrainRequests is how many drain requests stand in the document that belong under keys of their own.
func (c *Controller) unmovedDrainRequests() int {
	if c.rollout.Level() < rollout.DrainKeys {
		return 0
	}
	return len(c.drains.document.Machines)
}

// moveDrainRequests takes the next step that moves requests out of the document, if one is due, and tells whether it did.
func (c *Controller) moveDrainRequests(now time.Duration, want drain.DesiredState) bool {
	if now-c.drains.upkeep.movedAt < drainMoveInterval || c.unmovedDrainRequests() == 0 {
		return false
	}
	c.drains.upkeep.movedAt = now
	most := c.backgroundDrainOps()
	move, due := want.NextMove(most, c.store.Limits().MaxValueBytes, c.machineGone)
	if !due || most == 0 {
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

// backgroundDrainOps is how many changes a transaction that nobody waits for may make now.
func (c *Controller) backgroundDrainOps() int {
	n := min(maxBackgroundDrainOps, c.store.Limits().MaxOps)
	for n > 0 && !c.store.HasSpareWritesFor(n) {
		n /= 2
	}
	return n
}

// deleteStaleDrainRequests deletes the requests of machines that are gone.
func (c *Controller) deleteStaleDrainRequests(now time.Duration, want drain.DesiredState) {
	c.trackUnknownMachines(now, want)
	if !want.OwnKeys {
		if w, any := c.drains.document.Without(c.machineGone); any {
			c.writeDrainsInBackground(store.Txn{If: c.documentConditions(), Then: []store.Op{documentOp(w)}})
		}
		return
	}
	txn := store.Txn{If: []store.Condition{c.rollout.LevelCondition()}}
	for _, name := range want.Gone(c.backgroundDrainOps(), c.machineGone) {
		s, _ := c.drains.machines.Of(name)
		txn.If = append(txn.If, store.Condition{Key: drain.MachineKey(name), Version: s.Version})
		txn.Then = append(txn.Then, store.Op{Delete: drain.MachineKey(name)})
	}
	if len(txn.Then) > 0 {
		c.writeDrainsInBackground(txn)
	}
}

// trackUnknownMachines notes which machines that are to be drained the leader doesn't know, and since when.
func (c *Controller) trackUnknownMachines(now time.Duration, want drain.DesiredState) {
	was := c.drains.upkeep.unknownSince
	c.drains.upkeep.unknownSince = map[string]time.Duration{}
	for name := range want.Machines() {
		if c.term.fleet.FindMachine(name) != nil {
			continue
		}
		since, ok := was[name]
		if !ok {
			since = now
		}
		c.drains.upkeep.unknownSince[name] = since
	}
}

// machineGone tells whether a machine's drain request means nothing any more.
func (c *Controller) machineGone(name string) bool {
	if machine := c.term.fleet.FindMachine(name); machine != nil {
		return machine.Condition == fleet.Terminated
	}
	since, ok := c.drains.upkeep.unknownSince[name]
	return ok && c.loop.Now()-since >= unknownMachineTTL
}

// writeDrainsInBackground sends a transaction that nobody waits for.
func (c *Controller) writeDrainsInBackground(txn store.Txn) {
	c.drains.upkeep.writing = true
	c.commitInTerm(txn, store.BulkPriority, func(result store.Result) {
		c.drains.upkeep.writing = false
		if result.Outcome == store.Committed {
			c.confirmDrainWrite(txn, result.Revision)
		} else {
			slog.Info("drain requests not kept", "outcome", result.Outcome.String(), "failed", result.FailedKeys)
		}
	})
}

// documentConditions are what a write that was decided by the document depends on: its version, and the level, which says
// where requests belong.
func (c *Controller) documentConditions() []store.Condition {
	return []store.Condition{c.rollout.LevelCondition(), {Key: drain.DocumentKey, Version: c.drains.documentVersion}}
}

func documentOp(w drain.Document) store.Op {
	raw, _ := json.Marshal(w)
	return store.Op{Put: drain.DocumentKey, Value: raw}
}

// writeDrainChange writes what a command changes, in one transaction of at most two changes.
func (c *Controller) writeDrainChange(ch drain.Change, done func(store.Result)) {
	txn := store.Txn{If: c.documentConditions(), Then: []store.Op{documentOp(ch.Document)}}
	if ch.Machine != "" {
		key := drain.MachineKey(ch.Machine)
		txn.If = append(txn.If, store.Condition{Key: key, Version: ch.Version})
		switch {
		case ch.Put != nil:
			txn.Then = append(txn.Then, store.Op{Put: key, Value: ch.Put})
		case ch.Delete:
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

// confirmDrainWrite takes over an own write, unless the followed keys have shown it already.
func (c *Controller) confirmDrainWrite(txn store.Txn, revision uint64) {
	if revision <= c.watchCache.Revision() {
		return
	}
	for _, o := range txn.Then {
		switch {
		case o.Put == drain.DocumentKey:
			c.applyDrainDocument(o.Value, revision)
		case o.Put != "":
			c.handleDrainRequest(store.Item{Key: o.Put, Value: o.Value, Version: revision})
		default:
			c.drains.machines.ConfirmDelete(o.Delete, revision)
		}
	}
}

// drainPageSize bounds the machines of one answer: it stays within what a line to users may be.
const drainPageSize = 200

// drainStatus is what operators are told of machines that are being drained: those after a name, and how many there
// are in all.
func (c *Controller) drainStatus(after string) (shown []MachineStatus, total int) {
	all := c.desiredDrains().Machines()
	shown = []MachineStatus{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if strings.Compare(name, after) <= 0 || len(shown) == drainPageSize {
			continue
		}
		v := MachineStatus{Machine: name, State: "unknown", By: all[name].By}
		if machine := c.term.fleet.FindMachine(name); machine != nil {
			v.State, v.Tasks = machine.Condition.String(), len(machine.Tasks)
		}
		shown = append(shown, v)
	}
	return shown, len(all)
}
