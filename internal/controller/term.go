package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/dependencies"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// leaderTerm is the state that exists only while this controller leads. startTerm creates it and endTerm discards it.
// Each term has its own fleet, by which a response to a request of an earlier term is recognized and dropped.
type leaderTerm struct {
	fleet          *fleet.Fleet
	capacity       *capacity.Manager
	sessions       *sessions.Manager // nil if sessions are disabled
	archiver       *archive.Archiver
	canceller      *dependencies.Canceller
	loading        bool
	loadNotBefore  time.Duration
	authoritySince time.Duration // time at which the leader last gained the authority to act
	hadAuthority   bool
}

// loadRetryBackoff is the delay before the stored state is read again after a failure.
const loadRetryBackoff = 200 * time.Millisecond

// active reports whether this controller is in a leader term.
func (t *leaderTerm) active() bool { return t.fleet != nil }

// loaded reports whether this controller is in a leader term and has read the stored plans.
func (t *leaderTerm) loaded() bool { return t.fleet != nil && t.fleet.PlansLoaded() }

// recordAuthority records whether the leader has the authority to act, and when it gained the authority.
func (t *leaderTerm) recordAuthority(now time.Duration, hasAuthority bool) {
	if hasAuthority && !t.hadAuthority {
		t.authoritySince = now
	}
	t.hadAuthority = hasAuthority
}

// startTerm creates the state of a new leader term.
func (c *Controller) startTerm(now time.Duration, term uint64) {
	c.store.SetShare(c.rateShare(true))
	c.jobs.ResetPlanning()
	c.term.fleet = fleet.New(c.fleetEnv(), term, now)
	c.term.fleet.Events.Add(events.Event{
		At:      now,
		Kind:    events.TermStarted,
		Task:    events.None,
		Machine: events.None,
		Note:    c.settings.Node,
	})
	c.term.archiver = c.newArchiver()
	c.term.canceller = c.newCanceller()
	c.drains.maintenance = drainMaintenance{lastSweepAt: now}
	machineTypes := func() []capacity.MachineType { return c.machineTypes.list }
	c.term.capacity = capacity.New(c.settings, c.cloud, c.term.fleet, c.jobs.Names, machineTypes, term)
	c.storedZones.writeInFlight = false
	c.restoreZones()
	c.term.loading = false
	c.term.loadNotBefore = now
	c.term.hadAuthority = false
}

// fleetEnv returns the environment of a term's fleet.
func (c *Controller) fleetEnv() fleet.Env {
	return fleet.Env{
		Settings:          c.settings,
		Jobs:              c.jobs,
		Random:            c.rng,
		MaxTxnOps:         c.settings.Params.State.TxnOps - 1, // one operation is reserved for the leader's condition
		Limits:            c.store.Limits,
		MaxDirectRequests: c.settings.Params.Limits.MaxOutgoing(maxWorkerRequests),
		Now:               c.loop.Now,
		OnJobRecord:       c.handleJobRead,
		Types:             func(index int32) *fleet.MachineType { return c.machineTypes.byIndex[index] },
		PlansInPages:      func() bool { return c.rollout.Level() >= rollout.Paged },
		OnUnreadable:      c.rollout.MarkUnreadable,
		CanWrite:          func(n int) bool { return c.store.CanWrite(n, store.BulkPriority) },
		HasSpareWrites:    c.store.HasSpareWrites,
		LatestEnds:        c.dependencies.graph.LatestEnds,
		Commit: func(txn store.Txn, done func(store.Result)) {
			c.commitInTerm(txn, store.BulkPriority, done)
		},
		ReadKey:      c.readInTerm,
		SendCommands: c.sendCommands,
		Events:       events.New(eventCapacity(c.settings.Params.Limits.MemoryLimitMB())),
	}
}

// endTerm discards the state of the leader term, which must not be used any more.
func (c *Controller) endTerm(time.Duration) {
	c.store.SetShare(c.rateShare(false))
	if c.term.capacity != nil {
		c.term.capacity.Stop()
	}
	c.term.fleet = nil
	c.term.capacity = nil
	c.term.sessions = nil
	c.term.archiver = nil
	c.term.canceller = nil
	c.term.loading = false
	c.rollout.HandleLeadershipLost()
	c.jobs.ResetPlanning()
}

// termCheck returns a function that reports whether the leader term in which termCheck was called still lasts.
func (c *Controller) termCheck() func() bool {
	termFleet := c.term.fleet
	return func() bool { return c.term.fleet == termFleet }
}

// commitInTerm sends a transaction that succeeds only while this controller leads. done is called only if the term
// still lasts when the result arrives.
func (c *Controller) commitInTerm(txn store.Txn, priority store.Priority, done func(store.Result)) {
	c.commitOrEnd(txn, priority, done, func() {})
}

// commitCommand sends a command's transaction like commitInTerm. If the term has ended when the result arrives, it
// replies with indeterminate, since no other code replies to the command.
func (c *Controller) commitCommand(
	txn store.Txn,
	indeterminate api.Reply,
	reply func(api.Reply),
	done func(store.Result),
) {
	c.commitOrEnd(txn, store.NormalPriority, done, func() { reply(indeterminate) })
}

// commitOrEnd sends a transaction that succeeds only while this controller leads. When the result arrives, it calls
// done if the term still lasts, and ended otherwise.
func (c *Controller) commitOrEnd(txn store.Txn, priority store.Priority, done func(store.Result), ended func()) {
	txn.If = append([]store.Condition{c.membership.LeaderCondition()}, txn.If...)
	isSameTerm := c.termCheck()
	c.store.Txn(txn, priority, func(result store.Result) {
		if isSameTerm() {
			done(result)
		} else {
			ended()
		}
	})
}

// readInTerm reads a key again. done is called only if the term still lasts when the result arrives.
func (c *Controller) readInTerm(key string, done func(store.Item, error)) {
	isSameTerm := c.termCheck()
	c.store.Get(key, store.CriticalPriority, func(item store.Item, err error) {
		if isSameTerm() {
			done(item, err)
		}
	})
}

// sendCommands sends commands directly to a machine. done receives the heartbeat in the response, nil if there is
// none. It is called only if the term still lasts when the response arrives.
func (c *Controller) sendCommands(
	machine *fleet.Machine,
	commands fleet.DirectCommands,
	done func(heartbeat *fleet.Heartbeat),
) {
	body, _ := json.Marshal(commands.Wire())
	request := httpio.Request{
		Method:          http.MethodPost,
		Path:            "/orders",
		Body:            body,
		Timeout:         config.DirectCommandTimeout,
		CloseConnection: true, // no reuse: a large fleet's idle connections would use up the sockets
	}
	isSameTerm := c.termCheck()
	c.workerSender.Send(machine.Addr, request, func(response httpio.Response) {
		if !isSameTerm() {
			return
		}
		done(parseCommandAnswer(response))
	})
}

// parseCommandAnswer returns the heartbeat in a worker's response to commands, or nil if there is none.
func parseCommandAnswer(response httpio.Response) *fleet.Heartbeat {
	isAnswered := response.Status == http.StatusOK || response.Status == http.StatusConflict
	if response.Err != nil || !isAnswered {
		return nil
	}
	heartbeat, err := fleet.ParseHeartbeat(response.Body)
	if err != nil {
		return nil
	}
	return heartbeat
}

// loadStoredState reads the stored sessions and then the stored plans at the start of a term. Planning must not begin
// before the sessions that are reclaimed have been read.
func (c *Controller) loadStoredState(now time.Duration) {
	if c.term.loading || now < c.term.loadNotBefore {
		return
	}
	c.term.loading = true
	c.term.sessions = c.newSessions(c.term.fleet.Term)
	if c.term.sessions == nil {
		c.loadPlans()
		return
	}
	c.listInTerm(sessions.Prefix, func(at time.Duration, items []store.Item) {
		c.term.sessions.Load(at, items)
		c.loadPlans()
	})
}

// loadPlans reads the stored plans into the term's fleet.
func (c *Controller) loadPlans() {
	c.listInTerm(jobs.PlanPrefix, func(at time.Duration, items []store.Item) {
		c.term.loading = false
		c.term.fleet.LoadPlans(at, items)
	})
}

// listInTerm lists the keys under a prefix for loadStoredState. After a failure, loadStoredState starts again from
// the beginning, loadRetryBackoff later. done is called only if the term still lasts when the result arrives.
func (c *Controller) listInTerm(prefix string, done func(at time.Duration, items []store.Item)) {
	isSameTerm := c.termCheck()
	c.store.List(prefix, func(items []store.Item, _ uint64, err error) {
		if !isSameTerm() {
			return
		}
		at := c.loop.Now()
		if err != nil {
			c.term.loading = false
			c.term.loadNotBefore = at + loadRetryBackoff
			return
		}
		done(at, items)
	})
}
