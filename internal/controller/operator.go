package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/store"
)

// applyDrainDocument takes over the operators' document; an older version is ignored, raw nil: it was dropped.
func (c *Controller) applyDrainDocument(raw json.RawMessage, version uint64) {
	if version <= c.drains.documentVersion {
		return
	}
	w := drain.Document{}
	if raw != nil {
		var err error
		if w, err = drain.ParseDocument(raw); err != nil {
			c.rollout.MarkUnreadable(drain.DocumentKey, raw, err)
			return
		}
	}
	c.drains.document, c.drains.documentVersion = w, version
}

// applyDrains does what operators want: this controller drains or serves again; a leader drains
// machines and forgets the marks of those that are gone.
func (c *Controller) applyDrains(now time.Duration) {
	_, drained := c.drains.document.Nodes[c.settings.Node]
	switch {
	case drained && c.lifecycle.state == Serving:
		c.lifecycle.staysWhenDrained = true
		c.startDrain(now, "operators want it drained")
	case !drained && c.lifecycle.state == Drained:
		c.lifecycle.staysWhenDrained = false
		c.api.Resume()
		c.membership.Rejoin(now)
		c.turn(now, Serving, "operators want it back")
	}
	c.drainMachines(now)
}

// Status is what operators are shown of a cluster.
type Status struct {
	Revision uint64       `json:"revision"` // of the wishes
	Last     string       `json:"last,omitempty"`
	Term     uint64       `json:"term"`
	Nodes    []NodeStatus `json:"nodes"`
	// Draining are machines that are being drained, by name: a page of them, of DrainingTotal in all.
	Draining      []MachineStatus `json:"draining"`
	DrainingTotal int             `json:"draining_total"`
	Machines      map[string]int  `json:"machines"` // by condition
	// MaxMachines bounds how many machines are rented, MachinesBound says by what, and Full that it binds now.
	MaxMachines   int    `json:"max_machines"`
	MachinesBound string `json:"machines_bound"`
	Full          bool   `json:"full"`
	Jobs          int    `json:"jobs"`
	// Archive is how far ended jobs are out of the way.
	Archive ArchiveStatus `json:"archive"`
}

// NodeStatus is one controller as the leader sees it.
type NodeStatus struct {
	Node    string `json:"node"`
	Leads   bool   `json:"leads"`
	Alive   bool   `json:"alive"` // heard, and it reaches the state service
	Drained bool   `json:"drained"`
	By      string `json:"by,omitempty"`
}

// MachineStatus is one machine that is being drained.
type MachineStatus struct {
	Machine string `json:"machine"`
	State   string `json:"stance"`
	Tasks   int    `json:"tasks"` // that may still be on it
	By      string `json:"by,omitempty"`
}

// peerStatusTTL is how long a controller's last status counts as its being alive.
const peerStatusTTL = 3 * time.Second

func (c *Controller) drainCluster(now time.Duration) drain.Cluster {
	k := drain.Cluster{
		Nodes: []string{c.settings.Node}, Alive: []string{c.settings.Node},
		Machine: func(name string) bool {
			machine := c.term.fleet.FindMachine(name)
			return machine != nil && machine.Condition != fleet.Terminated
		},
	}
	for _, p := range c.settings.Peers {
		k.Nodes = append(k.Nodes, p.Node)
		if h, ok := c.peers.status[p.Node]; ok && now-h.at < peerStatusTTL && h.StateOK {
			k.Alive = append(k.Alive, p.Node)
		}
	}
	slices.Sort(k.Nodes)
	return k
}

// adminCall answers an operator: the cluster's status, or a command.
func (c *Controller) adminCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	if request.Verb == "show" {
		reply(api.Reply{Status: 200, Body: c.adminStatus(now, request.Query["since"])})
		return
	}
	var cmd drain.Command
	if err := json.Unmarshal(request.Body, &cmd); err != nil {
		reply(api.Refuse(api.InvalidRequest, "not a command: "+err.Error()))
		return
	}
	lost := func(by string) {
		reply(api.Refuse(api.Conflict, fmt.Sprintf("something was changed meanwhile (%s): look at the status, and give the command again if it is still right", by)))
	}
	if cmd.Revision != nil && *cmd.Revision != c.drains.documentVersion {
		lost(c.drains.document.Last)
		return
	}
	cmd.AtMS = c.jobs.WallMS(now)
	next, err := c.desiredDrains().Apply(cmd, c.drainCluster(now))
	switch {
	case errors.Is(err, drain.ErrMalformed):
		reply(api.Refuse(api.InvalidRequest, err.Error()))
		return
	case errors.Is(err, drain.ErrUnknown):
		reply(api.Refuse(api.NotFound, err.Error()))
		return
	case err != nil:
		reply(api.Refuse(api.Conflict, err.Error()))
		return
	}
	f := c.term.fleet
	c.writeDrainChange(next, func(result store.Result) {
		switch {
		case c.term.fleet != f:
			reply(api.Refuse(api.Unavailable, "the lead was lost: look at the status before giving the command again"))
		case result.Outcome == store.Committed:
			slog.Info("operators' command", "op", cmd.Op, "kind", cmd.Kind, "name", cmd.Name, "by", cmd.By)
			reply(api.Reply{Status: 200, Body: c.adminStatus(c.loop.Now(), "")})
		case result.Outcome == store.Conflict:
			lost("another command")
		default:
			reply(api.Refuse(api.Unavailable, "it is not known whether the command was taken: look at the status before giving it again"))
		}
	})
}

func (c *Controller) adminStatus(now time.Duration, after string) Status {
	s := Status{
		Revision: c.drains.documentVersion, Last: c.drains.document.Last, Term: c.membership.Term(), Machines: map[string]int{},
		MaxMachines: c.settings.Operator.MaxMachines, MachinesBound: string(c.settings.Operator.MachinesBound), Full: c.term.capacity.Full(),
	}
	k := c.drainCluster(now)
	for _, n := range k.Nodes {
		m, drained := c.drains.document.Nodes[n]
		s.Nodes = append(s.Nodes, NodeStatus{Node: n, Leads: n == c.settings.Node, Alive: slices.Contains(k.Alive, n), Drained: drained, By: m.By})
	}
	for _, machine := range c.term.fleet.Machines() {
		s.Machines[machine.Condition.String()]++
	}
	s.Draining, s.DrainingTotal = c.drainStatus(after)
	s.Jobs = c.liveJobs()
	s.Archive = c.archiveStatus()
	return s
}
