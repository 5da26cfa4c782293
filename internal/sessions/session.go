package sessions

import (
	"context"
	"log/slog"
	"slices"
	"time"
)

// State is the state of a session.
type State uint8

// The states of a session. On the wire, Idle is "quiet" and Checkpointing is "saving".
//
//	Opening       -> Active         a heartbeat of its agent arrived
//	Active        -> Idle           it is idle by the policy
//	Idle          -> Active         it is no longer idle, or its user returned
//	Idle          -> Warned         its idle limit is over, or other work waits for what it holds
//	Warned        -> Active         as from Idle
//	Warned        -> Idle           nothing waits any more, or its agent is unheard: doubt never reclaims
//	Warned        -> Checkpointing  the warning time is over: its agent is ordered to save and freeze
//	Checkpointing -> Active         its user returned, or its agent reports that it isn't idle
//	Checkpointing -> Idle           the checkpoint failed or timed out; it is tried again later
//	Checkpointing -> Reclaimed      all work is saved and frozen, and that is durable: its job is suspended
//	Reclaimed     -> Opening        its user returned: it resumes from the checkpoint
//	Lost          -> Active         as from Opening
//	Active, Idle, Warned, Checkpointing -> Lost
//	                                its task is proven to be gone; it starts again from its last checkpoint
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

// isRunning reports whether the session's task runs and its agent has been heard.
func (s State) isRunning() bool {
	return s == Active || s == Idle || s == Warned || s == Checkpointing
}

// stateTransitions lists the valid changes of state; any other is a defect.
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

// session is the leader's state of one session. Times are on its steady clock.
type session struct {
	id         string
	record     Record
	version    uint64 // of the stored record
	state      State
	stateSince time.Duration

	queueIndex int // in the queue, -1: not queued
	dueAt      time.Duration

	agent   agentStatus
	user    userPresence
	reclaim reclaimProgress

	writePending bool     // a write of the record is in flight
	afterWrite   []func() // deferred until it is settled
}

// agentStatus is what a session's agent last reported. Ages were converted to times of the leader's steady clock on
// arrival, so that no other clock counts.
type agentStatus struct {
	attempt          uint64 // of the task that the agent belongs to; 0: no heartbeat arrived
	heartbeatSeq     uint64
	lastHeardAt      time.Duration
	lastInputAt      time.Duration
	cellRunningSince time.Duration // 0: no cell is running
	cpu, gpu         float64
	unsavedMB        float64
}

// userPresence is what a session's user did in this term.
type userPresence struct {
	attachmentID    uint64        // of the newest attach
	returnedAt      time.Duration // when that was
	lastAttachedAt  time.Duration // last attach or keep-alive; 0: none in this term
	lastKeepAliveAt time.Duration // last accepted keep-alive; 0: none in this term
}

// reclaimProgress is the progress of reclaiming a session.
type reclaimProgress struct {
	cause             string        // "" unless the session is Warned or Checkpointing
	isContended       bool          // reclaimed because other work waits, not because its limit is over
	checkpointOrder   uint64        // the id of the ordered checkpoint, 0 unless the session is Checkpointing
	agentCheckpointAt time.Duration // the last write of a checkpoint that the agent made by itself
	failedCheckpoints int           // in a row
	noWarningBefore   time.Duration // after a failed checkpoint
}

// setState is the only place where a session's state changes.
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

// checkpointRef returns the reference of the checkpoint that a next start would resume from, "" if there is none.
func (s *session) checkpointRef() string {
	if s.record.Checkpoint == nil {
		return ""
	}
	return s.record.Checkpoint.Ref
}

// activity returns the input of the idle rule at a moment.
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
