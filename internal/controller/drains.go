package controller

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// This file follows and applies the operators' drain requests. Requests for controllers are stored in one document.
// Requests for machines are stored there too while the cluster's level is below rollout.DrainKeys. From that level
// on, every controller reads them under one key per machine, and a leader moves them there.

// drainState holds the operators' drain requests as received from the state service, and the state of a leader's
// maintenance of the stored requests.
type drainState struct {
	document        drain.Document
	documentVersion uint64
	machines        *drain.MachineRequests
	maintenance     drainMaintenance
}

// isDrained reports whether a drain request for a controller exists.
func (d *drainState) isDrained(node string) bool {
	_, ok := d.document.Nodes[node]
	return ok
}

// desiredDrains returns all drain requests, as received from the state service.
func (c *Controller) desiredDrains() drain.DesiredState {
	return drain.DesiredState{
		Document:        c.drains.document,
		MachineRequests: c.drains.machines,
		UsesMachineKeys: c.rollout.Level() >= rollout.DrainKeys,
	}
}

// applyDrainDocument applies a version of the drain document. raw is nil if the document was deleted. A version that
// isn't newer than the last one is ignored.
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

// handleDrainRequest applies the stored drain request of a machine.
func (c *Controller) handleDrainRequest(item store.Item) {
	if err := c.drains.machines.HandleItem(item.Key, item.Value, item.Version); err != nil {
		c.rollout.MarkUnreadable(item.Key, item.Value, err)
		return
	}
	c.rollout.MarkReadable(item.Key)
}

// applyDrains applies the drain requests: it drains this controller or returns it to service and, on the leader,
// drains machines.
func (c *Controller) applyDrains(now time.Duration) {
	shouldDrain := c.drains.isDrained(c.settings.Node)
	switch {
	case shouldDrain && c.lifecycle.isServing():
		c.lifecycle.runsAfterDrain = true
		c.startDrain(now, "drained by operators")
	case !shouldDrain && c.lifecycle.state == drained:
		c.undoDrain(now, "undrained by operators")
	}
	c.drainMachines(now)
}

// drainMachines applies the drain requests of machines to the fleet and maintains the stored requests.
func (c *Controller) drainMachines(now time.Duration) {
	desired := c.desiredDrains()
	if !c.term.loaded() || (!desired.AnyMachine() && !c.term.fleet.HasDrains()) {
		return
	}
	c.term.fleet.ApplyDrains(func(machine string) (isRequested, stop bool, by string) {
		request, ok := desired.Machine(machine)
		return ok, request.Stop, request.By
	})
	if c.membership.HasAuthority(now) {
		c.maintainDrainRequests(now, desired)
	}
}

// documentConditions returns the conditions of a write that was derived from the drain document: the document's
// version, and the cluster's level, which determines where requests are stored.
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

// writeDrainChange commits the change of a command in one transaction of at most two operations and calls done with
// the result. If the term ends before the result arrives, it replies to the operator instead.
func (c *Controller) writeDrainChange(change drain.Change, reply func(api.Reply), done func(store.Result)) {
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
	c.commitCommand(txn, refuseIndeterminateCommand(), reply, func(result store.Result) {
		if result.Outcome == store.Committed {
			c.confirmDrainWrite(txn, result.Revision)
		}
		done(result)
	})
}

// confirmDrainWrite applies a committed write of this controller, unless the watched keys already include it.
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
			c.drains.machines.HandleOwnDelete(op.Delete, revision)
		}
	}
}
