package controller

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/peers"
)

const (
	// statusInterval is the time between two statuses that are sent to the other controllers.
	statusInterval = time.Second
	// peerStatusTTL is how long a controller counts as alive after its last status.
	peerStatusTTL = 3 * time.Second
	// reachableStoreAge is the maximum age of the state service's last answer at which a status reports the service
	// as reachable.
	reachableStoreAge = 2500 * time.Millisecond
)

// link sends statuses to one other controller without blocking.
type link interface{ Send(raw []byte) }

// peerSet holds the connections to the other controllers and each controller's last status.
type peerSet struct {
	links        []link
	statuses     map[string]peerStatus // last status of each controller, by node
	statusSentAt time.Duration
}

// peerStatus is the last status of another controller.
type peerStatus struct {
	peers.Status
	receivedAt time.Duration
}

// isFresh reports whether a status is recent enough for its sender to count as alive.
func (s *peerStatus) isFresh(now time.Duration) bool { return now-s.receivedAt < peerStatusTTL }

// leader returns the node with the highest term among the live controllers that report to lead, "" if there is none.
func (s *peerSet) leader(now time.Duration) string {
	node := ""
	term := uint64(0)
	for _, status := range s.statuses {
		if status.Leading && status.Term > term && status.isFresh(now) {
			node = status.Node
			term = status.Term
		}
	}
	return node
}

// foreignHeartbeats returns the number of heartbeats that live controllers have recently received while not leading.
func (s *peerSet) foreignHeartbeats(now time.Duration) int {
	heartbeats := 0
	for _, status := range s.statuses {
		if status.isFresh(now) {
			heartbeats += int(status.ForeignHeartbeats)
		}
	}
	return heartbeats
}

// liveness reports whether any other controller is alive, and whether any live one reaches the state service.
func (s *peerSet) liveness(now time.Duration) (anyAlive, anyReachesStore bool) {
	for _, status := range s.statuses {
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
	c.peers.statuses[status.Node] = peerStatus{status, now}
	c.rollout.HandleHealth(now, status.Node, status.StateServiceReachable && !status.Draining)
	c.applyLeaderCounts(status)
}

// applyLeaderCounts applies the leader's task counts. A controller that doesn't lead answers users with these counts.
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

// sendStatus sends this controller's status to the other controllers, if it is due.
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

// status returns this controller's status. A leader's status has the task counts of up to peers.MaxJobCounts jobs.
func (c *Controller) status(now time.Duration) peers.Status {
	heartbeatInterval := jobs.Seconds(c.settings.Params.Workers.HeartbeatIntervalS)
	status := peers.Status{
		Node:                  c.settings.Node,
		Leading:               c.term.active(),
		StateServiceReachable: now-c.store.LastSuccess() < reachableStoreAge,
		ForeignHeartbeats:     c.foreignHeartbeats.add(now, heartbeatInterval, 0),
		Draining:              !c.lifecycle.isServing(),
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
