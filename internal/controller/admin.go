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

// drainCluster returns the part of the cluster's state on which drain commands depend: its nodes, the nodes that are
// alive, and which machines exist.
func (c *Controller) drainCluster(now time.Duration) drain.Cluster {
	cluster := drain.Cluster{
		Nodes: []string{c.settings.Node},
		Alive: []string{c.settings.Node},
		HasMachine: func(name string) bool {
			machine := c.term.fleet.FindMachine(name)
			return machine != nil && machine.Condition != fleet.Terminated
		},
	}
	for _, peer := range c.settings.Peers {
		cluster.Nodes = append(cluster.Nodes, peer.Node)
		if status, ok := c.peers.statuses[peer.Node]; ok && status.isFresh(now) && status.StateServiceReachable {
			cluster.Alive = append(cluster.Alive, peer.Node)
		}
	}
	slices.Sort(cluster.Nodes)
	return cluster
}

// handleAdminRequest handles an operator's request: it returns the cluster's status or executes a drain command.
func (c *Controller) handleAdminRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
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

// drainCommandReply returns the response to a drain command whose write had the given result.
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

// refuseDrain returns the response to a drain command that failed with err.
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

// adminStatus returns the cluster's status with the page of draining machines whose names come after the given one.
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

// drainPageSize is the maximum number of machines in one status. It keeps the response within the maximum body size.
const drainPageSize = 200

// drainStatus returns one page of the machines with drain requests, sorted by name and starting after the given name,
// and the total number of these machines.
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
