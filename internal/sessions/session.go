package sessions

import (
	"context"
	"log/slog"
	"slices"
	"time"
)

// State is the state of a session.
type State uint8

// The states of a session and its transitions. On the wire, Idle is "quiet" and Checkpointing is "saving".
//
//	Opening       -> Active         a heartbeat of its agent arrived
//	Active        -> Idle           it is idle by the rule of its policy
//	Idle          -> Active         it is no longer idle, or its user returned
//	Idle          -> Warned         its idle limit is exceeded, or another job waits for resources that it holds
//	Warned        -> Active         as from Idle
//	Warned        -> Idle           no job waits any more, or the agent's heartbeats are overdue: a session in an
//	                                unknown state is never reclaimed
//	Warned        -> Checkpointing  the warning time is over: its agent is ordered to save and freeze
//	Checkpointing -> Active         its user returned, or its agent reports that it isn't idle
//	Checkpointing -> Idle           the checkpoint failed or timed out; a retry follows later
//	Checkpointing -> Reclaimed      it is frozen with all work saved, and its record is durable: its job is suspended
//	Reclaimed     -> Opening        its user returned: it resumes from the checkpoint
//	Lost          -> Active         as from Opening
//	Active, Idle, Warned, Checkpointing -> Lost
//	                                its task is proven to be gone; a new task resumes from the last checkpoint
//	any           -> Closed         its user closed it, or its job ended
const (
	Opening State = iota
	Active
	Idle
	Warned
	Checkpointing
	Reclaimed
	Closed
	Lost
)

// stateNames holds the states' names in HTTP responses and metrics.
var stateNames = [...]string{"opening", "active", "quiet", "warned", "saving", "reclaimed", "closed", "lost"}

// String returns the state's name as in HTTP responses and metrics.
func (s State) String() string { return stateNames[s] }

// isRunning reports whether the session's task is running and its agent has sent a heartbeat.
func (s State) isRunning() bool {
	return s == Active || s == Idle || s == Warned || s == Checkpointing
}

// stateTransitions lists the valid next states of each state. Any other transition is a defect.
var stateTransitions = [...][]State{
	Opening:       {Active, Closed},
	Active:        {Idle, Lost, Closed},
	Idle:          {Active, Warned, Lost, Closed},
	Warned:        {Active, Idle, Checkpointing, Lost, Closed},
	Checkpointing: {Active, Idle, Reclaimed, Lost, Closed},
	Reclaimed:     {Opening, Closed},
	Lost:          {Active, Closed},
	Closed:        {},
}

// session is the leader's state of one session. Times are on the leader's steady clock.
type session struct {
	id         string
	record     Record
	version    uint64 // version of the stored record
	state      State
	stateSince time.Duration

	queueIndex int           // position in Manager.queue, -1: not queued
	dueAt      time.Duration // when the session is to be advanced next

	agent   agentStatus
	user    userPresence
	reclaim reclaimProgress

	writePending bool     // a write of the record is in flight
	afterWrite   []func() // calls deferred until the outcome of that write is determined
}

// agentStatus is the status in the last heartbeat of a session's agent. The ages in a heartbeat are converted on
// arrival to times of the leader's steady clock, so that no other clock matters.
type agentStatus struct {
	attempt          uint64 // attempt of the agent's task; 0: no heartbeat has arrived
	heartbeatSeq     uint64 // sequence number of the last heartbeat
	lastHeartbeatAt  time.Duration
	lastInputAt      time.Duration
	cellRunningSince time.Duration // start time of the running cell; 0: no cell is running
	cpu, gpu         float64
	unsavedMB        float64
}

// userPresence records the attaches and keep-alives of a session's user in this term.
type userPresence struct {
	attachmentID    uint64        // ID of the newest attach; 0: none in this term
	returnedAt      time.Duration // time of the newest attach; 0: none in this term
	lastAttachedAt  time.Duration // time of the last attach or keep-alive; 0: none in this term
	lastKeepAliveAt time.Duration // time of the last accepted keep-alive; 0: none in this term
}

// reclaimProgress is the progress of reclaiming a session.
type reclaimProgress struct {
	cause             string        // "" unless the session is Warned or Checkpointing
	isContended       bool          // the reason is that another job waits, not that the idle limit is exceeded
	checkpointOrder   uint64        // the id of the ordered checkpoint; 0 unless the session is Checkpointing
	agentCheckpointAt time.Duration // time of the last write of a checkpoint that the agent made by itself; 0: none
	failedCheckpoints int           // number of consecutive failures
	noWarningBefore   time.Duration // end of the delay after a failed checkpoint
}

// setState changes a session's state; every transition goes through it. It also clears the reclaim progress that
// doesn't apply in the new state.
func (s *session) setState(now time.Duration, to State, cause string) {
	if s.state == to {
		return
	}
	attributes := []any{"session", s.id, "from", s.state.String(), "to", to.String(), "cause", cause}
	if !slices.Contains(stateTransitions[s.state], to) {
		slog.Error("invalid session state transition", attributes...)
	}
	level := slog.LevelDebug
	if to == Warned || to == Checkpointing || to == Reclaimed || to == Lost {
		level = slog.LevelInfo
	}
	slog.Log(context.Background(), level, "session state changed", attributes...)
	s.state = to
	s.stateSince = now
	if to != Checkpointing {
		s.reclaim.checkpointOrder = 0
	}
	if to != Warned && to != Checkpointing {
		s.reclaim.cause = ""
		s.reclaim.isContended = false
	}
}

// checkpointRef returns the reference of the stored checkpoint, from which the next start would resume; "": none.
func (s *session) checkpointRef() string {
	if s.record.Checkpoint == nil {
		return ""
	}
	return s.record.Checkpoint.Ref
}

// activity returns the input of the idle rule at one time.
func (s *session) activity(now time.Duration, wall time.Time) Activity {
	activity := Activity{
		SinceInputS: (now - s.agent.lastInputAt).Seconds(),
		CPU:         s.agent.cpu,
		GPU:         s.agent.gpu,
		UnsavedMB:   s.agent.unsavedMB,
		SinceOpenS:  max(0, wall.Sub(time.UnixMilli(s.record.OpenedMS)).Seconds()),
		Team:        s.record.Team,
		User:        s.record.User,
	}
	activity.SinceAttachS = activity.SinceInputS
	if s.user.lastAttachedAt > 0 {
		activity.SinceAttachS = min(activity.SinceInputS, (now - s.user.lastAttachedAt).Seconds())
	}
	if s.agent.cellRunningSince > 0 {
		activity.CellRunning = true
		activity.CellRunningS = (now - s.agent.cellRunningSince).Seconds()
	}
	return activity
}
