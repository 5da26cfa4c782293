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
	c.fleet = fleet.New(fleet.Env{
		Settings: c.s, Jobs: c.jobs, Rng: c.rng, TxnOps: c.s.Params.State.TxnOps - 1, Limits: c.store.Limits, MaxOrders: c.s.Params.Limits.Outgoing(workerSlots), Now: c.loop.Now, Learned: c.learned,
		Types:      func(ix int32) *fleet.Type { return c.byType[ix] },
		Paged:      func() bool { return c.roll.Level() >= rollout.Paged },
		Unreadable: c.roll.MarkUnreadable,
		Room:       func(n int) bool { return c.store.CanWrite(n, store.BulkPriority) },
		Spare:      c.store.HasSpareWrites,
		Commit:     func(t store.Txn, done func(store.Result)) { c.commit(t, store.BulkPriority, done) },
		Read:       c.read,
		Order:      c.order,
		Events:     events.New(keptEvents(c.s.Params.Limits.Memory())),
	}, term, now)
	c.fleet.Events.Add(events.Event{At: now, Kind: events.Term, Task: events.None, Machine: events.None, Note: c.s.Node})
	c.mover = c.newMover()
	c.upkeep = drainUpkeep{sweptAt: now}
	c.cap = capacity.New(c.s, c.cloud, c.fleet, c.jobs.Names, func() []capacity.MachineType { return c.types }, term)
	c.zoned.writing = false
	c.recallZones()
	c.loading, c.loadAt, c.had = false, now, false
}

// commit sends a transaction of the leader's term; its answer counts only within it.
func (c *Controller) commit(t store.Txn, class store.Priority, done func(store.Result)) {
	t.If = append([]store.Condition{c.mem.LeaderCondition()}, t.If...)
	f := c.fleet
	c.store.Txn(t, class, func(r store.Result) {
		if c.fleet == f {
			done(r)
		}
	})
}

// read re-reads a key for the leader's term.
func (c *Controller) read(key string, done func(store.Item, error)) {
	f := c.fleet
	c.store.Get(key, store.SafetyPriority, func(it store.Item, err error) {
		if c.fleet == f {
			done(it, err)
		}
	})
}

// lose ends a term: nothing of its state may be used any more.
func (c *Controller) lose(time.Duration) {
	c.store.SetShare(c.share(false))
	if c.cap != nil {
		c.cap.Close()
	}
	c.fleet, c.cap, c.sess, c.mover, c.loading = nil, nil, nil, nil, false
	c.roll.HandleLeadLost()
	c.jobs.RecallArchived()
}

// order sends commands straight to a machine.
func (c *Controller) order(m *fleet.Machine, o fleet.Orders, done func(*fleet.Report, bool)) {
	body, _ := json.Marshal(o)
	f := c.fleet
	// One connection each: a large fleet's idle ones would use up the sockets.
	c.wire.Send(m.Addr, httpio.Request{Method: "POST", Path: "/orders", Body: body, Timeout: config.OrderWait, Once: true}, func(r httpio.Response) {
		if c.fleet != f {
			return
		}
		if r.Err != nil || (r.Status != 200 && r.Status != 409) {
			done(nil, r.Refused || (r.Err == nil && r.Status == 400))
			return
		}
		rep, err := fleet.ParseReport(r.Body)
		if err != nil {
			rep = nil
		}
		done(rep, true)
	})
}

// load reads the durable plans at the start of a term.
func (c *Controller) load(now time.Duration) {
	if c.loading || now < c.loadAt {
		return
	}
	c.loading = true
	f := c.fleet
	// list reads keys; what goes wrong begins anew a little later.
	list := func(prefix string, then func(at time.Duration, items []store.Item)) {
		c.store.List(prefix, func(items []store.Item, _ uint64, err error) {
			if c.fleet != f {
				return
			}
			at := c.loop.Now()
			if err != nil {
				c.loading, c.loadAt = false, at+200*time.Millisecond
				return
			}
			then(at, items)
		})
	}
	plans := func() {
		list(jobs.PlanPrefix, func(at time.Duration, items []store.Item) {
			c.loading = false
			f.Load(at, items)
		})
	}
	if c.sess = c.newSessions(f.Term); c.sess == nil {
		plans()
		return
	}
	// Which sessions are reclaimed must be known before anything is planned.
	list(sessions.Prefix, func(at time.Duration, items []store.Item) {
		c.sess.Load(at, items)
		plans()
	})
}
