package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/peers"
)

const (
	// statusInterval spaces the statuses that are sent to other controllers.
	statusInterval = time.Second
	// peerStatusTTL is how long a controller counts as alive after its last status.
	peerStatusTTL = 3 * time.Second
	// statusStoreAge is how recently the state service must have answered for a status to report that it is reached.
	statusStoreAge = 2500 * time.Millisecond
)

// link carries statuses to one other controller, without waiting.
type link interface{ Send(raw []byte) }

// peerSet is the connections to the other controllers and the last status of each.
type peerSet struct {
	links        []link
	status       map[string]peerStatus // by node
	statusSentAt time.Duration
}

// peerStatus is the last status of another controller.
type peerStatus struct {
	peers.Status
	receivedAt time.Duration
}

// isFresh reports whether a status is recent enough for its sender to count as alive.
func (s *peerStatus) isFresh(now time.Duration) bool { return now-s.receivedAt < peerStatusTTL }

// leader returns the node that reports the highest term of its own, "" if none reports that it leads.
func (s *peerSet) leader(now time.Duration) string {
	node := ""
	term := uint64(0)
	for _, status := range s.status {
		if status.Leading && status.Term > term && status.isFresh(now) {
			node = status.Node
			term = status.Term
		}
	}
	return node
}

// foreignHeartbeats returns how many heartbeats of another leader's workers the controllers that are alive have
// received lately.
func (s *peerSet) foreignHeartbeats(now time.Duration) int {
	heartbeats := 0
	for _, status := range s.status {
		if status.isFresh(now) {
			heartbeats += int(status.ForeignHeartbeats)
		}
	}
	return heartbeats
}

// liveness reports whether any other controller is alive, and whether any of those reaches the state service.
func (s *peerSet) liveness(now time.Duration) (anyAlive, anyReachesStore bool) {
	for _, status := range s.status {
		if status.isFresh(now) {
			anyAlive = true
			anyReachesStore = anyReachesStore || status.StateServiceReachable
		}
	}
	return anyAlive, anyReachesStore
}

// handlePeerStatus applies a status of another controller.
func (c *Controller) handlePeerStatus(status peers.Status) {
	now := c.loop.Now()
	c.peers.status[status.Node] = peerStatus{status, now}
	c.rollout.HandleHealth(now, status.Node, status.StateServiceReachable && !status.Leaving)
	c.applyLeaderCounts(status)
}

// applyLeaderCounts applies the leader's counts of tasks, for answers to users by a controller that doesn't lead.
func (c *Controller) applyLeaderCounts(status peers.Status) {
	if c.term.active() || !status.Leading || status.Term < c.membership.Leader().Term {
		return
	}
	for _, count := range status.Counts {
		if job := c.jobs.Get(count.Job); job != nil && !job.State.Terminal() {
			job.FinishedTasks = int(count.Done)
			job.ReportedRunning = int(count.Running)
		}
	}
}

// taskCounts returns how many tasks of a job are done and how many run.
func (c *Controller) taskCounts(job *jobs.Job) (done, running int) {
	if c.term.active() && job.Tasks != nil {
		return c.term.fleet.TaskCounts(job)
	}
	return job.FinishedTasks, job.ReportedRunning
}

// sendStatus sends this controller's status to the others, if it is due.
func (c *Controller) sendStatus(now time.Duration) {
	if now-c.peers.statusSentAt < statusInterval {
		return
	}
	c.peers.statusSentAt = now
	raw := peers.Encode(c.status(now))
	for _, peer := range c.peers.links {
		peer.Send(raw)
	}
}

// status returns this controller's status: for a leader with the counts of as many jobs as a status may hold.
func (c *Controller) status(now time.Duration) peers.Status {
	heartbeatInterval := jobs.Seconds(c.settings.Params.Workers.HeartbeatIntervalS)
	status := peers.Status{
		Node:                  c.settings.Node,
		Leading:               c.term.active(),
		StateServiceReachable: now-c.store.LastSuccess() < statusStoreAge,
		ForeignHeartbeats:     c.foreignHeartbeats.add(now, heartbeatInterval, 0),
		Leaving:               !c.lifecycle.isServing(),
	}
	if !c.term.active() {
		return status
	}
	status.Term = c.membership.Term()
	c.jobs.ForEachLive(func(job *jobs.Job) {
		if job.Tasks == nil || len(status.Counts) >= peers.MaxJobCounts {
			return
		}
		done, running := c.term.fleet.TaskCounts(job)
		count := peers.JobCount{Job: job.ID, Done: uint32(done), Running: uint32(running)}
		status.Counts = append(status.Counts, count)
	})
	return status
}
