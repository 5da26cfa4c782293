package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// This file holds a leader's upkeep of stored drain requests: it moves those of machines out of the document once the
// cluster's level allows that, and deletes those of machines that are gone.

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

// drainUpkeep is what a term does about drain requests in the background.
type drainUpkeep struct {
	writing      bool // a transaction is in flight
	sweptAt      time.Duration
	movedAt      time.Duration
	unknownSince map[string]time.Duration // by the names of machines that are to be drained and aren't in the fleet
}

// maintainDrainRequests takes the next step of the upkeep, if one is due and no other is in flight.
func (c *Controller) maintainDrainRequests(now time.Duration, want drain.DesiredState) {
	if c.drains.upkeep.writing || c.moveDrainRequests(now, want) {
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
