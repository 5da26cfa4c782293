package controller

import (
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// newRollout makes this controller's side of rollouts.
func (c *Controller) newRollout() *rollout.Rollout {
	o := c.settings.Rollout()
	cfg := rollout.Config{
		Node: c.settings.Node, Nodes: []rollout.NodeConfig{{Node: c.settings.Node, Zone: c.settings.Zone}}, Release: rollout.Release, MaxLevel: rollout.Newest,
		Auto: o.Auto, Soak: o.Soak, StartedAtMS: c.jobs.WallMS(c.loop.Now()), OnStateChange: c.rolloutTurned,
	}
	if o.SimulatedLevel > 0 {
		cfg.MaxLevel, cfg.Release = o.SimulatedLevel, o.SimulatedRelease
	}
	for _, p := range c.settings.Peers {
		cfg.Nodes = append(cfg.Nodes, rollout.NodeConfig{Node: p.Node, Zone: p.Zone})
	}
	return rollout.New(cfg)
}

func (c *Controller) rolloutTurned(now time.Duration, to rollout.State, why string) {
	if c.term.fleet != nil {
		c.term.fleet.Events.Add(events.Event{At: now, Kind: events.Rollout, Task: events.None, Machine: events.None, Note: to.String() + ": " + why})
	}
}

// member is what package membership asks of rollouts.
type member struct {
	*rollout.Rollout
	c *Controller
}

// PreferredLeaders implements membership.Rollout.
func (m member) PreferredLeaders() int {
	return m.Rollout.PreferredLeaders(m.c.jobs.WallMS(m.c.loop.Now()), func(node string) bool {
		_, drained := m.c.drains.document.Nodes[node]
		h, heard := m.c.peers.status[node]
		return drained || (heard && h.Leaving)
	})
}

// rolled goes on with a rollout: every controller judges, the leader acts.
func (c *Controller) rolled(now time.Duration) {
	// One that is behind, or has met what it doesn't understand, gives up the lead at once.
	if !c.rollout.Compatible() && c.term.fleet != nil {
		c.membership.Resign(now, "this release is behind the cluster's stored state")
	}
	if now-c.rolloutCheckedAt < rollEvery {
		return
	}
	c.rolloutCheckedAt = now
	term, work := uint64(0), rollout.MigrationProgress{}
	if c.term.fleet != nil && c.term.fleet.PlansLoaded() && c.membership.HasAuthority(now) {
		term = c.membership.Term()
		c.rollout.HandleHealth(now, c.settings.Node, c.lifecycle.state == Serving)
		if c.rollout.State() == rollout.Migrating {
			work = c.migrationWork()
		}
	}
	txn, due := c.rollout.Tick(now, term, work)
	if !due {
		return
	}
	c.commit(txn, store.NormalPriority, func(result store.Result) { c.rollout.HandleOutcome(c.loop.Now(), txn, result) })
}

// migrationWork is what is left in former formats. Nothing is done before the followed keys have come past the level's
// rise: until then something that was written before it may not have been seen.
func (c *Controller) migrationWork() rollout.MigrationProgress {
	drains := c.drainsLeft()
	passed := c.watchCache.Revision() >= c.rollout.LevelCondition().Version
	return rollout.MigrationProgress{Left: c.term.fleet.UnmigratedPlans() + drains, Done: c.term.fleet.Migrated() && drains == 0 && passed}
}

// rollEvery spaces the looks at a rollout.
const rollEvery = 250 * time.Millisecond

// rolloutView is where the rollout stands, as this controller knows it.
func (c *Controller) rolloutView(now time.Duration) rollout.View {
	k := rollout.Cluster{Leader: c.membership.Leader().Node, Drained: map[string]bool{}}
	for n := range c.drains.document.Nodes {
		k.Drained[n] = true
	}
	if c.term.fleet != nil && c.term.fleet.PlansLoaded() {
		k.Left = c.migrationWork().Left
	}
	return c.rollout.View(now, k)
}

// rolloutShow answers where it stands; a controller that is behind, or knows no leader, tells what it knows itself.
func (c *Controller) rolloutShow(now time.Duration, reply func(api.Reply)) {
	reply(api.Reply{Status: 200, Body: c.rolloutView(now)})
}

// rolloutCall takes an operator's word.
func (c *Controller) rolloutCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	if request.Verb == "show" {
		c.rolloutShow(now, reply)
		return
	}
	var cmd rollout.Command
	if err := json.Unmarshal(request.Body, &cmd); err != nil {
		reply(api.Refuse(api.InvalidRequest, "not a command: "+err.Error()))
		return
	}
	txn, err := c.rollout.Execute(now, cmd, c.jobs.WallMS(now))
	switch {
	case errors.Is(err, rollout.ErrMalformed):
		reply(api.Refuse(api.InvalidRequest, err.Error()))
		return
	case err != nil:
		reply(api.Refuse(api.Conflict, err.Error()))
		return
	}
	c.commit(txn, store.NormalPriority, func(result store.Result) {
		switch result.Outcome {
		case store.Committed:
			slog.Info("operators' word on the rollout", "op", cmd.Op, "by", cmd.By)
			for _, o := range txn.Then {
				c.rollout.HandleItem(store.Item{Key: o.Put, Value: o.Value, Version: result.Revision})
			}
			reply(api.Reply{Status: 200, Body: c.rolloutView(c.loop.Now())})
		case store.Conflict:
			reply(api.Refuse(api.Conflict, "something was changed meanwhile: look at the status, and give the command again if it is still right"))
		default:
			reply(api.Refuse(api.Unavailable, "it is not known whether the command was taken: look at the status before giving it again"))
		}
	})
}
