package controller

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// lead starts a term.
func (c *Controller) lead(now time.Duration, term uint64) {
	c.store.SetShare(c.share(true))
	c.jobs.RecallArchived()
	c.term.fleet = fleet.New(fleet.Env{
		Settings: c.settings, Jobs: c.jobs, Rng: c.rng, TxnOps: c.settings.Params.State.TxnOps - 1, Limits: c.store.Limits, MaxDirectRequests: c.settings.Params.Limits.MaxOutgoing(workerSlots), Now: c.loop.Now, OnJobRecord: c.learned,
		Types:          func(ix int32) *fleet.MachineType { return c.machineTypes.byIndex[ix] },
		PlansInPages:   func() bool { return c.rollout.Level() >= rollout.Paged },
		OnUnreadable:   c.rollout.MarkUnreadable,
		CanWrite:       func(n int) bool { return c.store.CanWrite(n, store.BulkPriority) },
		HasSpareWrites: c.store.HasSpareWrites,
		Commit:         func(txn store.Txn, done func(store.Result)) { c.commit(txn, store.BulkPriority, done) },
		Read:           c.read,
		SendCommands:   c.order,
		Events:         events.New(keptEvents(c.settings.Params.Limits.MemoryLimitMB())),
	}, term, now)
	c.term.fleet.Events.Add(events.Event{At: now, Kind: events.Term, Task: events.None, Machine: events.None, Note: c.settings.Node})
	c.term.mover = c.newMover()
	c.drains.upkeep = drainUpkeep{sweptAt: now}
	c.term.capacity = capacity.New(c.settings, c.cloud, c.term.fleet, c.jobs.Names, func() []capacity.MachineType { return c.machineTypes.list }, term)
	c.storedZones.writing = false
	c.recallZones()
	c.term.loading, c.term.loadAt, c.term.hadAuthority = false, now, false
}

// commit sends a transaction of the leader's term; its answer counts only within it.
func (c *Controller) commit(txn store.Txn, class store.Priority, done func(store.Result)) {
	txn.If = append([]store.Condition{c.membership.LeaderCondition()}, txn.If...)
	f := c.term.fleet
	c.store.Txn(txn, class, func(result store.Result) {
		if c.term.fleet == f {
			done(result)
		}
	})
}

// read re-reads a key for the leader's term.
func (c *Controller) read(key string, done func(store.Item, error)) {
	f := c.term.fleet
	c.store.Get(key, store.SafetyPriority, func(item store.Item, err error) {
		if c.term.fleet == f {
			done(item, err)
		}
	})
}

// lose ends a term: nothing of its state may be used any more.
func (c *Controller) lose(time.Duration) {
	c.store.SetShare(c.share(false))
	if c.term.capacity != nil {
		c.term.capacity.Stop()
	}
	c.term.fleet, c.term.capacity, c.term.sessions, c.term.mover, c.term.loading = nil, nil, nil, nil, false
	c.rollout.HandleLeadLost()
	c.jobs.RecallArchived()
}

// order sends commands straight to a machine.
func (c *Controller) order(machine *fleet.Machine, o fleet.DirectCommands, done func(*fleet.Heartbeat, bool)) {
	body, _ := json.Marshal(o)
	f := c.term.fleet
	// One connection each: a large fleet's idle ones would use up the sockets.
	c.workerSender.Send(machine.Addr, httpio.Request{Method: "POST", Path: "/orders", Body: body, Timeout: config.DirectCommandTimeout, Once: true}, func(response httpio.Response) {
		if c.term.fleet != f {
			return
		}
		if response.Err != nil || (response.Status != 200 && response.Status != 409) {
			done(nil, response.Refused || (response.Err == nil && response.Status == 400))
			return
		}
		rep, err := fleet.ParseHeartbeat(response.Body)
		if err != nil {
			rep = nil
		}
		done(rep, true)
	})
}

// load reads the durable plans at the start of a term.
func (c *Controller) load(now time.Duration) {
	if c.term.loading || now < c.term.loadAt {
		return
	}
	c.term.loading = true
	f := c.term.fleet
	// list reads keys; what goes wrong begins anew a little later.
	list := func(prefix string, then func(at time.Duration, items []store.Item)) {
		c.store.List(prefix, func(items []store.Item, _ uint64, err error) {
			if c.term.fleet != f {
				return
			}
			at := c.loop.Now()
			if err != nil {
				c.term.loading, c.term.loadAt = false, at+200*time.Millisecond
				return
			}
			then(at, items)
		})
	}
	plans := func() {
		list(jobs.PlanPrefix, func(at time.Duration, items []store.Item) {
			c.term.loading = false
			f.LoadPlans(at, items)
		})
	}
	if c.term.sessions = c.newSessions(f.Term); c.term.sessions == nil {
		plans()
		return
	}
	// Which sessions are reclaimed must be known before anything is planned.
	list(sessions.Prefix, func(at time.Duration, items []store.Item) {
		c.term.sessions.Load(at, items)
		plans()
	})
}
