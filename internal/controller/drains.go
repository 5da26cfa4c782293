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
	// sweepEvery spaces the looks for drain requests of machines that are gone, moveEvery the steps that take
	// requests out of the document.
	sweepEvery = 30 * time.Second
	moveEvery  = 500 * time.Millisecond
	// sweptAtOnce bounds the keys of one transaction that nobody waits for.
	sweptAtOnce = 8
	// forgetUnknown is for how long a leader must not have known a machine at all before its drain request is
	// dropped: the machine went while nobody led, or before an earlier leader.
	forgetUnknown = time.Hour
)

// drains.upkeep is what a term does about drain requests in the background.
type drainUpkeep struct {
	busy    bool // a transaction is under way
	sweptAt time.Duration
	movedAt time.Duration
	unknown map[string]time.Duration // since when a machine that is to be drained isn't known, by name
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
	if c.drains.upkeep.busy || !c.membership.HasAuthority(now) {
		return
	}
	if c.moveDrains(now, want) {
		return
	}
	if now-c.drains.upkeep.sweptAt >= sweepEvery {
		c.drains.upkeep.sweptAt = now
		c.sweepDrains(now, want)
	}
}

// drainsLeft is how many drain requests stand in the document that belong under keys of their own.
func (c *Controller) drainsLeft() int {
	if c.rollout.Level() < rollout.DrainKeys {
		return 0
	}
	return len(c.drains.document.Machines)
}

// moveDrains takes the next step that moves requests out of the document, if one is due, and tells whether it did.
func (c *Controller) moveDrains(now time.Duration, want drain.DesiredState) bool {
	if now-c.drains.upkeep.movedAt < moveEvery || c.drainsLeft() == 0 {
		return false
	}
	c.drains.upkeep.movedAt = now
	most := c.spareDrains()
	move, due := want.NextMove(most, c.store.Limits().MaxValueBytes, c.machineGone)
	if !due || most == 0 {
		return false
	}
	txn := store.Txn{If: c.documentConds()}
	for _, key := range slices.Sorted(maps.Keys(move.Keys)) {
		txn.If = append(txn.If, store.Condition{Key: key})
		txn.Then = append(txn.Then, store.Op{Put: key, Value: move.Keys[key]})
	}
	if len(txn.Then) == 0 {
		txn.Then = []store.Op{documentOp(move.Document)}
	}
	c.writeDrains(txn)
	return true
}

// spareDrains is how many changes a transaction that nobody waits for may make now.
func (c *Controller) spareDrains() int {
	n := min(sweptAtOnce, c.store.Limits().MaxOps)
	for n > 0 && !c.store.HasSpareWritesFor(n) {
		n /= 2
	}
	return n
}

// sweepDrains deletes the requests of machines that are gone.
func (c *Controller) sweepDrains(now time.Duration, want drain.DesiredState) {
	c.trackUnknownMachines(now, want)
	if !want.OwnKeys {
		if w, any := c.drains.document.Without(c.machineGone); any {
			c.writeDrains(store.Txn{If: c.documentConds(), Then: []store.Op{documentOp(w)}})
		}
		return
	}
	txn := store.Txn{If: []store.Condition{c.rollout.LevelCondition()}}
	for _, name := range want.Gone(c.spareDrains(), c.machineGone) {
		s, _ := c.drains.machines.Of(name)
		txn.If = append(txn.If, store.Condition{Key: drain.MachineKey(name), Version: s.Version})
		txn.Then = append(txn.Then, store.Op{Delete: drain.MachineKey(name)})
	}
	if len(txn.Then) > 0 {
		c.writeDrains(txn)
	}
}

// trackUnknownMachines notes which machines that are to be drained the leader doesn't know, and since when.
func (c *Controller) trackUnknownMachines(now time.Duration, want drain.DesiredState) {
	was := c.drains.upkeep.unknown
	c.drains.upkeep.unknown = map[string]time.Duration{}
	for name := range want.Machines() {
		if c.term.fleet.FindMachine(name) != nil {
			continue
		}
		since, ok := was[name]
		if !ok {
			since = now
		}
		c.drains.upkeep.unknown[name] = since
	}
}

// machineGone tells whether a machine's drain request means nothing any more.
func (c *Controller) machineGone(name string) bool {
	if machine := c.term.fleet.FindMachine(name); machine != nil {
		return machine.Condition == fleet.Terminated
	}
	since, ok := c.drains.upkeep.unknown[name]
	return ok && c.loop.Now()-since >= forgetUnknown
}

// writeDrains sends a transaction that nobody waits for.
func (c *Controller) writeDrains(txn store.Txn) {
	c.drains.upkeep.busy = true
	c.commit(txn, store.BulkPriority, func(result store.Result) {
		c.drains.upkeep.busy = false
		if result.Outcome == store.Committed {
			c.confirmDrainWrite(txn, result.Revision)
		} else {
			slog.Info("drain requests not kept", "outcome", result.Outcome.String(), "failed", result.FailedKeys)
		}
	})
}

// documentConds are what a write that was decided by the document depends on: its version, and the level, which says
// where requests belong.
func (c *Controller) documentConds() []store.Condition {
	return []store.Condition{c.rollout.LevelCondition(), {Key: drain.DocumentKey, Version: c.drains.documentVersion}}
}

func documentOp(w drain.Document) store.Op {
	raw, _ := json.Marshal(w)
	return store.Op{Put: drain.DocumentKey, Value: raw}
}

// writeDrainChange writes what a command changes, in one transaction of at most two changes.
func (c *Controller) writeDrainChange(ch drain.Change, done func(store.Result)) {
	txn := store.Txn{If: c.documentConds(), Then: []store.Op{documentOp(ch.Document)}}
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
	c.commit(txn, store.NormalPriority, func(result store.Result) {
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

// shownDrains bounds the machines of one answer: it stays within what a line to users may be.
const shownDrains = 200

// drainStatus is what operators are told of machines that are being drained: those after a name, and how many there
// are in all.
func (c *Controller) drainStatus(after string) (shown []MachineStatus, total int) {
	all := c.desiredDrains().Machines()
	shown = []MachineStatus{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if strings.Compare(name, after) <= 0 || len(shown) == shownDrains {
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
