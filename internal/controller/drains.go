package controller

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// This file follows and applies the operators' drain requests. Those of controllers stand in one document. Those of
// machines stand there as well until the cluster's level is rollout.DrainKeys: from then on every controller reads them
// under keys of their own, and a leader moves them there.

// drainState is the drain requests of operators, as far as they were followed, and a leader's upkeep of them.
type drainState struct {
	document        drain.Document
	documentVersion uint64
	machines        *drain.MachineRequests
	upkeep          drainUpkeep
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
	if c.membership.HasAuthority(now) {
		c.maintainDrainRequests(now, want)
	}
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

// writeDrainChange writes what a command changes, in one transaction of at most two changes. It replies itself if the
// term ends meanwhile.
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
