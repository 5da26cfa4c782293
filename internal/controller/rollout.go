package controller

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// rolloutInterval is the minimum time between two steps of a rollout.
const rolloutInterval = 250 * time.Millisecond

// newRollout returns this controller's state machine of rollouts.
func (c *Controller) newRollout() *rollout.Rollout {
	settings := c.settings.Rollout()
	cfg := rollout.Config{
		Node:          c.settings.Node,
		Nodes:         []rollout.NodeConfig{{Node: c.settings.Node, Zone: c.settings.Zone}},
		Release:       rollout.Release,
		MaxLevel:      rollout.Newest,
		Auto:          settings.Auto,
		Soak:          settings.Soak,
		StartedAtMS:   c.jobs.WallMS(c.loop.Now()),
		OnStateChange: c.recordRolloutState,
	}
	if settings.SimulatedLevel > 0 {
		cfg.MaxLevel = settings.SimulatedLevel
		cfg.Release = settings.SimulatedRelease
		c.jobs.LimitRecordFormat(newestJobFormat(settings.SimulatedLevel))
	}
	for _, peer := range c.settings.Peers {
		cfg.Nodes = append(cfg.Nodes, rollout.NodeConfig{Node: peer.Node, Zone: peer.Zone})
	}
	return rollout.New(cfg)
}

// newestJobFormat returns the newest format of job records that a release with the given highest level reads.
func newestJobFormat(level rollout.Level) int {
	kind, _ := rollout.RecordKindOf(jobs.RecordPrefix)
	return kind.FormatAtLevel(level)
}

// recordRolloutState adds a change of the rollout's state to the leader's events.
func (c *Controller) recordRolloutState(now time.Duration, to rollout.State, cause string) {
	if !c.term.active() {
		return
	}
	c.term.fleet.Events.Add(events.Event{
		At:      now,
		Kind:    events.RolloutStateChanged,
		Task:    events.None,
		Machine: events.None,
		Note:    to.String() + ": " + cause,
	})
}

// membershipRollout implements membership.Rollout.
type membershipRollout struct {
	*rollout.Rollout
	c *Controller
}

// PreferredLeaders implements membership.Rollout.
func (m membershipRollout) PreferredLeaders() int {
	wallMS := m.c.jobs.WallMS(m.c.loop.Now())
	return m.Rollout.PreferredLeaders(wallMS, func(node string) bool {
		status, isKnown := m.c.peers.statuses[node]
		return m.c.drains.isDrained(node) || (isKnown && status.Draining)
	})
}

// advanceRollout performs the next step of a rollout, if one is due. Every controller evaluates the rollout's state;
// only the leader writes.
func (c *Controller) advanceRollout(now time.Duration) {
	// A leader whose release is behind the cluster's level, or that has received an unreadable record, resigns at
	// once.
	if !c.rollout.Compatible() && c.term.active() {
		c.membership.Resign(now, "this release is behind the cluster's stored state")
	}
	if now-c.rolloutCheckedAt < rolloutInterval {
		return
	}
	c.rolloutCheckedAt = now
	term := uint64(0)
	progress := rollout.MigrationProgress{}
	if c.term.loaded() && c.membership.HasAuthority(now) {
		term = c.membership.Term()
		c.rollout.HandleHealth(now, c.settings.Node, c.lifecycle.isServing())
		if c.rollout.State() == rollout.Migrating {
			progress = c.migrationProgress()
		}
	}
	txn, isDue := c.rollout.Tick(now, term, progress)
	if !isDue {
		return
	}
	c.commitInTerm(txn, store.NormalPriority, func(result store.Result) {
		c.rollout.HandleOutcome(c.loop.Now(), txn, result)
	})
}

// migrationProgress returns the number of records in former formats and whether the migration is done. It isn't done
// before the watched keys have passed the version upgrade: until then, earlier writes may not have been received
// yet.
func (c *Controller) migrationProgress() rollout.MigrationProgress {
	drainRequests := c.unmigratedDrainRequests()
	hasPassedUpgrade := c.watchCache.Revision() >= c.rollout.LevelCondition().Version
	return rollout.MigrationProgress{
		RecordsLeft: c.term.fleet.UnmigratedSegments() + drainRequests,
		Done:        c.term.fleet.PlansMigrated() && drainRequests == 0 && hasPassedUpgrade,
	}
}

// rolloutView returns the rollout's progress as this controller sees it.
func (c *Controller) rolloutView(now time.Duration) rollout.View {
	cluster := rollout.Cluster{Leader: c.membership.Leader().Node, Drained: map[string]bool{}}
	for node := range c.drains.document.Nodes {
		cluster.Drained[node] = true
	}
	if c.term.loaded() {
		cluster.Left = c.migrationProgress().RecordsLeft
	}
	return c.rollout.View(now, cluster)
}

// replyWithRollout replies with the rollout's progress. A controller whose release is behind, or that sees no leader,
// replies with its own view.
func (c *Controller) replyWithRollout(now time.Duration, reply func(api.Reply)) {
	reply(api.Reply{Status: http.StatusOK, Body: c.rolloutView(now)})
}

// handleRolloutRequest handles an operator's request: it shows the rollout's progress or executes a command.
func (c *Controller) handleRolloutRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	if request.Verb == api.VerbShow {
		c.replyWithRollout(now, reply)
		return
	}
	var command rollout.Command
	if refusal, refused := decodeCommand(request.Body, &command); refused {
		reply(refusal)
		return
	}
	txn, err := c.rollout.Execute(now, command, c.jobs.WallMS(now))
	switch {
	case errors.Is(err, rollout.ErrMalformed):
		reply(api.Refuse(api.InvalidRequest, err.Error()))
		return
	case err != nil:
		reply(api.Refuse(api.Conflict, err.Error()))
		return
	}
	c.commitCommand(txn, refuseIndeterminateCommand(), reply, func(result store.Result) {
		reply(c.rolloutCommandReply(command, txn, result))
	})
}

// rolloutCommandReply applies the write of a command if it was committed, and returns the response to the command.
func (c *Controller) rolloutCommandReply(command rollout.Command, txn store.Txn, result store.Result) api.Reply {
	switch result.Outcome {
	case store.Committed:
		slog.Info("rollout command committed", "op", command.Op, "by", command.By)
		for _, op := range txn.Then {
			c.rollout.HandleItem(store.Item{Key: op.Put, Value: op.Value, Version: result.Revision})
		}
		return api.Reply{Status: http.StatusOK, Body: c.rolloutView(c.loop.Now())}
	case store.Conflict:
		return api.Refuse(api.Conflict, changedMeanwhile+repeatAdvice)
	default:
		return refuseIndeterminateCommand()
	}
}
