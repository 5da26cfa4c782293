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

// This file holds a leader's background maintenance of stored drain requests: it moves the requests of machines out
// of the drain document once the cluster's level allows, and deletes the requests of machines that no longer exist.

const (
	// drainSweepInterval is the time between two searches for stale drain requests, drainMigrationInterval the time
	// between two steps that move requests out of the document.
	drainSweepInterval     = 30 * time.Second
	drainMigrationInterval = 500 * time.Millisecond
	// maxBackgroundDrainOps is the maximum number of changes in one background transaction.
	maxBackgroundDrainOps = 8
	// unknownMachineTTL is how long a machine must be missing from a leader's fleet before its drain request is
	// deleted. Such a machine was terminated while no controller led, or during an earlier term.
	unknownMachineTTL = time.Hour
)

// drainMaintenance is the state of a leader term's background maintenance of drain requests.
type drainMaintenance struct {
	writeInFlight   bool // a background transaction is in flight
	lastSweepAt     time.Duration
	lastMigrationAt time.Duration
	unknownSince    map[string]time.Duration // time since which a machine is missing from the fleet, by name
}

// maintainDrainRequests performs the next step of the maintenance, if one is due and no background transaction is in
// flight.
func (c *Controller) maintainDrainRequests(now time.Duration, desired drain.DesiredState) {
	if c.drains.maintenance.writeInFlight || c.migrateDrainRequests(now, desired) {
		return
	}
	if now-c.drains.maintenance.lastSweepAt >= drainSweepInterval {
		c.drains.maintenance.lastSweepAt = now
		c.deleteStaleDrainRequests(now, desired)
	}
}

// unmigratedDrainRequests returns the number of drain requests of machines that are still in the document although
// the cluster's level requires keys of their own.
func (c *Controller) unmigratedDrainRequests() int {
	if c.rollout.Level() < rollout.DrainKeys {
		return 0
	}
	return len(c.drains.document.Machines)
}

// migrateDrainRequests performs the next step that moves requests out of the document, and reports whether it has
// sent a transaction.
func (c *Controller) migrateDrainRequests(now time.Duration, desired drain.DesiredState) bool {
	if now-c.drains.maintenance.lastMigrationAt < drainMigrationInterval || c.unmigratedDrainRequests() == 0 {
		return false
	}
	c.drains.maintenance.lastMigrationAt = now
	maxOps := c.backgroundDrainOps()
	step, isDue := desired.NextMigrationStep(maxOps, c.store.Limits().MaxValueBytes, c.isMachineGone)
	if !isDue || maxOps == 0 {
		return false
	}
	txn := store.Txn{If: c.documentConditions()}
	for _, key := range slices.Sorted(maps.Keys(step.Keys)) {
		txn.If = append(txn.If, store.Condition{Key: key})
		txn.Then = append(txn.Then, store.Op{Put: key, Value: step.Keys[key]})
	}
	if len(txn.Then) == 0 {
		txn.Then = []store.Op{documentOp(step.Document)}
	}
	c.writeDrainsInBackground(txn)
	return true
}

// backgroundDrainOps returns the number of changes that a background transaction may make now.
func (c *Controller) backgroundDrainOps() int {
	ops := min(maxBackgroundDrainOps, c.store.Limits().MaxOps)
	for ops > 0 && !c.store.HasSpareWritesFor(ops) {
		ops /= 2
	}
	return ops
}

// deleteStaleDrainRequests deletes the requests of machines that no longer exist.
func (c *Controller) deleteStaleDrainRequests(now time.Duration, desired drain.DesiredState) {
	c.trackUnknownMachines(now, desired)
	if !desired.UsesMachineKeys {
		if document, isChanged := c.drains.document.WithoutMachines(c.isMachineGone); isChanged {
			c.writeDrainsInBackground(store.Txn{
				If:   c.documentConditions(),
				Then: []store.Op{documentOp(document)},
			})
		}
		return
	}
	txn := store.Txn{If: []store.Condition{c.rollout.LevelCondition()}}
	for _, machine := range desired.StaleRequests(c.backgroundDrainOps(), c.isMachineGone) {
		request, _ := c.drains.machines.Get(machine)
		key := drain.MachineKey(machine)
		txn.If = append(txn.If, store.Condition{Key: key, Version: request.Version})
		txn.Then = append(txn.Then, store.Op{Delete: key})
	}
	if len(txn.Then) > 0 {
		c.writeDrainsInBackground(txn)
	}
}

// trackUnknownMachines records which machines with drain requests are missing from the fleet, and since when.
func (c *Controller) trackUnknownMachines(now time.Duration, desired drain.DesiredState) {
	previous := c.drains.maintenance.unknownSince
	unknownSince := map[string]time.Duration{}
	for machine := range desired.Machines() {
		if c.term.fleet.FindMachine(machine) != nil {
			continue
		}
		since, ok := previous[machine]
		if !ok {
			since = now
		}
		unknownSince[machine] = since
	}
	c.drains.maintenance.unknownSince = unknownSince
}

// isMachineGone reports whether a machine is terminated, or has been missing from the fleet for unknownMachineTTL.
func (c *Controller) isMachineGone(name string) bool {
	if machine := c.term.fleet.FindMachine(name); machine != nil {
		return machine.Condition == fleet.Terminated
	}
	since, ok := c.drains.maintenance.unknownSince[name]
	return ok && c.loop.Now()-since >= unknownMachineTTL
}

// writeDrainsInBackground commits a background transaction on drain requests.
func (c *Controller) writeDrainsInBackground(txn store.Txn) {
	c.drains.maintenance.writeInFlight = true
	c.commitInTerm(txn, store.BulkPriority, func(result store.Result) {
		c.drains.maintenance.writeInFlight = false
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
