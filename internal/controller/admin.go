package controller

import (
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/store"
)

// drainCluster returns the cluster as far as a drain command depends on it.
func (c *Controller) drainCluster(now time.Duration) drain.Cluster {
	cluster := drain.Cluster{
		Nodes: []string{c.settings.Node},
		Alive: []string{c.settings.Node},
		Machine: func(name string) bool {
			machine := c.term.fleet.FindMachine(name)
			return machine != nil && machine.Condition != fleet.Terminated
		},
	}
	for _, peer := range c.settings.Peers {
		cluster.Nodes = append(cluster.Nodes, peer.Node)
		if status, ok := c.peers.status[peer.Node]; ok && status.isFresh(now) && status.StateServiceReachable {
			cluster.Alive = append(cluster.Alive, peer.Node)
		}
	}
	slices.Sort(cluster.Nodes)
	return cluster
}

// adminCall answers an operator: the cluster's status, or a command.
func (c *Controller) adminCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	if request.Verb == api.VerbShow {
		reply(api.Reply{Status: http.StatusOK, Body: c.adminStatus(now, request.Query.Since)})
		return
	}
	var command drain.Command
	if refusal, refused := decodeCommand(request.Body, &command); refused {
		reply(refusal)
		return
	}
	if command.Revision != nil && *command.Revision != c.drains.documentVersion {
		reply(refuseStaleCommand(c.drains.document.Last))
		return
	}
	command.AtMS = c.jobs.WallMS(now)
	change, err := c.desiredDrains().Apply(command, c.drainCluster(now))
	if err != nil {
		reply(refuseDrain(err))
		return
	}
	c.writeDrainChange(change, reply, func(result store.Result) { reply(c.drainCommandReply(command, result)) })
}

// drainCommandReply returns the answer to a command by its write's outcome.
func (c *Controller) drainCommandReply(command drain.Command, result store.Result) api.Reply {
	switch result.Outcome {
	case store.Committed:
		slog.Info("operator command committed",
			"op", command.Op,
			"kind", command.Kind,
			"name", command.Name,
			"by", command.By,
		)
		return api.Reply{Status: http.StatusOK, Body: c.adminStatus(c.loop.Now(), "")}
	case store.Conflict:
		return refuseStaleCommand("another command")
	default:
		return refuseIndeterminateCommand()
	}
}

// refuseDrain returns the answer to a drain command that can't be carried out.
func refuseDrain(err error) api.Reply {
	kind := api.Conflict
	switch {
	case errors.Is(err, drain.ErrMalformed):
		kind = api.InvalidRequest
	case errors.Is(err, drain.ErrUnknown):
		kind = api.NotFound
	}
	return api.Refuse(kind, err.Error())
}

// adminStatus returns the cluster's status with the page of drained machines after a name.
func (c *Controller) adminStatus(now time.Duration, after string) Status {
	status := Status{
		Revision:      c.drains.documentVersion,
		Last:          c.drains.document.Last,
		Term:          c.membership.Term(),
		Machines:      map[string]int{},
		MaxMachines:   c.settings.Operator.MaxMachines,
		MachinesBound: string(c.settings.Operator.MachinesBound),
		Full:          c.term.capacity.AtMaxMachines(),
		Jobs:          c.jobs.LiveJobs(),
		Archive:       c.archiveStatus(),
	}
	cluster := c.drainCluster(now)
	for _, node := range cluster.Nodes {
		request, isDrained := c.drains.document.Nodes[node]
		status.Nodes = append(status.Nodes, NodeStatus{
			Node:    node,
			Leads:   node == c.settings.Node,
			Alive:   slices.Contains(cluster.Alive, node),
			Drained: isDrained,
			By:      request.By,
		})
	}
	for _, machine := range c.term.fleet.Machines() {
		status.Machines[machine.Condition.String()]++
	}
	status.Draining, status.DrainingTotal = c.drainStatus(after)
	return status
}

// drainPageSize bounds the machines of one answer: it stays within the largest body that users get.
const drainPageSize = 200

// drainStatus returns a page of the machines that are being drained, by name after the one given, and how many there
// are in all.
func (c *Controller) drainStatus(after string) (page []MachineStatus, total int) {
	requests := c.desiredDrains().Machines()
	page = []MachineStatus{}
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		if name <= after {
			continue
		}
		if len(page) == drainPageSize {
			break
		}
		status := MachineStatus{Machine: name, State: "unknown", By: requests[name].By}
		if machine := c.term.fleet.FindMachine(name); machine != nil {
			status.State = machine.Condition.String()
			status.Tasks = len(machine.Tasks)
		}
		page = append(page, status)
	}
	return page, len(requests)
}
