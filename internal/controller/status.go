package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/peers"
)

// peers.status is the last status of another controller.
type peerStatus struct {
	peers.Status
	at time.Duration
}

func (c *Controller) taskCounts(job *jobs.Job) (done, running int) {
	if c.term.fleet != nil && job.Tasks != nil {
		return c.term.fleet.TaskCounts(job)
	}
	return job.FinishedTasks, job.ReportedRunning
}

// handlePeerStatus takes what another controller says of itself.
func (c *Controller) handlePeerStatus(s peers.Status) {
	c.peers.status[s.Node] = peerStatus{s, c.loop.Now()}
	c.rollout.HandleHealth(c.loop.Now(), s.Node, s.StateOK && !s.Leaving)
	c.applyLeaderCounts(s)
}

// applyLeaderCounts takes over the leader's counts.
func (c *Controller) applyLeaderCounts(s peers.Status) {
	if c.term.fleet != nil || !s.Leading || s.Term < c.membership.Leader().Term {
		return
	}
	for _, n := range s.Counts {
		if job := c.jobs.Get(n.Job); job != nil && !job.State.Terminal() {
			job.FinishedTasks, job.ReportedRunning = int(n.Done), int(n.Running)
		}
	}
}

// healthy tells the load balancer whether users are well served here. When the state service
// answers nobody, this controller is as good as any other.
func (c *Controller) healthy() bool {
	now := c.loop.Now()
	if !c.watchCache.Synced() || len(c.machineTypes.list) == 0 || c.lifecycle.state != Serving || !c.rollout.Compatible() {
		return false
	}
	if now-c.store.LastSuccess() < 3*time.Second {
		return true
	}
	peers := false
	for _, h := range c.peers.status {
		if now-h.at < peerStatusTTL {
			if h.StateOK {
				return false
			}
			peers = true
		}
	}
	// Who hears neither the state service nor any other controller is cut off, and must not keep its users: an
	// outage is told by answers of 503, and by others that are told the same.
	return peers || len(c.settings.Peers) == 0 || now-c.store.LastHeard() < 3*time.Second
}

// sendStatus sends the others a status.
func (c *Controller) sendStatus(now time.Duration) {
	if now-c.peers.statusSentAt < time.Second {
		return
	}
	c.peers.statusSentAt = now
	s := peers.Status{
		Node: c.settings.Node, Leading: c.term.fleet != nil, StateOK: now-c.store.LastSuccess() < 2500*time.Millisecond,
		Workers: c.foreignHeartbeats.add(now, config.Seconds(c.settings.Params.Workers.ReportS), 0), Leaving: c.lifecycle.state != Serving,
	}
	if c.term.fleet != nil {
		s.Term = c.membership.Term()
		c.jobs.ForEachLive(func(job *jobs.Job) {
			if job.Tasks != nil && len(s.Counts) < peers.MostCounts {
				d, r := c.term.fleet.TaskCounts(job)
				s.Counts = append(s.Counts, peers.Count{Job: job.ID, Done: uint32(d), Running: uint32(r)})
			}
		})
	}
	raw := peers.Encode(s)
	for _, l := range c.peers.links {
		l.Send(raw)
	}
}
