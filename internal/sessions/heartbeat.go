package sessions

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// endingState is the value of HeartbeatResponse.State for the agent of a task that is being stopped.
const endingState = "ending"

// HandleHeartbeat applies a heartbeat of a session's agent and returns the response. It returns an *Error if there is
// no such session, if the token isn't its agent's, or if the heartbeat isn't the newest one of the running attempt.
func (m *Manager) HandleHeartbeat(
	now time.Duration,
	id, token string,
	heartbeat Heartbeat,
) (HeartbeatResponse, error) {
	s := m.byID[id]
	if s == nil || !tokenMatches(token, s.record.AgentTokenDigest) {
		return HeartbeatResponse{}, notAuthorized()
	}
	job := m.Jobs.Get(id)
	if job == nil || job.State.Terminal() {
		return HeartbeatResponse{State: Closed.String()}, nil
	}
	agent := &s.agent
	isNewAttempt := heartbeat.Attempt != agent.attempt
	if heartbeat.Attempt < agent.attempt || (!isNewAttempt && heartbeat.Seq <= agent.heartbeatSeq) {
		return HeartbeatResponse{}, refuse(Conflict, "a newer heartbeat has arrived")
	}
	task := m.TaskOf(job)
	if !task.OnMachine || (task.Attempt != 0 && task.Attempt != heartbeat.Attempt) {
		return HeartbeatResponse{}, refuse(Conflict, "this attempt is not the running one")
	}
	if task.Stopping {
		return m.respondToEnding(now, s, heartbeat), nil
	}
	if s.writePending && isNewAttempt {
		// The earlier attempt's machine was lost during a write, perhaps the write that reclaims the session. The new
		// process starts frozen, and stays so until the outcome of the write is determined.
		return HeartbeatResponse{
			State:          s.state.String(),
			NextHeartbeatS: urgentHeartbeatInterval.Seconds(),
		}, nil
	}
	if isNewAttempt && agent.attempt != 0 && s.state.isRunning() {
		s.setState(now, Lost, "another attempt is running")
	}
	s.applyHeartbeat(now, heartbeat)
	if s.state == Opening || s.state == Lost {
		s.setState(now, Active, "agent heartbeat received")
	}
	return m.respond(now, s, job, heartbeat), nil
}

// respondToEnding handles the heartbeat of a task that is being stopped. The agent must not be thawed, even if the user
// returns meanwhile, but its last checkpoint is stored.
func (m *Manager) respondToEnding(now time.Duration, s *session, heartbeat Heartbeat) HeartbeatResponse {
	s.agent.attempt = heartbeat.Attempt
	s.agent.heartbeatSeq = heartbeat.Seq
	m.storeAgentCheckpoint(now, s, heartbeat, true)
	return HeartbeatResponse{
		State:          endingState,
		CheckpointRef:  s.checkpointRef(),
		NextHeartbeatS: minHeartbeatInterval.Seconds(),
	}
}

// applyHeartbeat replaces the agent's status by the one in its heartbeat.
func (s *session) applyHeartbeat(now time.Duration, heartbeat Heartbeat) {
	s.agent = agentStatus{
		attempt:         heartbeat.Attempt,
		heartbeatSeq:    heartbeat.Seq,
		lastHeartbeatAt: now,
		// The user's return counts as input.
		lastInputAt: max(now-jobs.Seconds(heartbeat.SinceInputS), s.user.returnedAt),
		cpu:         heartbeat.CPU,
		gpu:         heartbeat.GPU,
		unsavedMB:   heartbeat.UnsavedMB,
	}
	if heartbeat.CellRunning {
		s.agent.cellRunningSince = max(1, now-jobs.Seconds(heartbeat.CellRunningS))
	}
}

// respond applies the state transitions that follow from a heartbeat, and returns the response.
func (m *Manager) respond(now time.Duration, s *session, job *jobs.Job, heartbeat Heartbeat) HeartbeatResponse {
	response := HeartbeatResponse{NextHeartbeatS: heartbeatInterval.Seconds()}
	if heartbeat.Fresh && heartbeat.ResumedFrom != s.checkpointRef() {
		response.ResumeFrom = s.checkpointRef()
	}
	m.storeAgentCheckpoint(now, s, heartbeat, false)
	response.CheckpointRef = s.checkpointRef()
	if !s.writePending {
		m.advanceByHeartbeat(now, s, job, heartbeat)
	}
	response.State = s.state.String()
	switch s.state {
	case Warned:
		remainingS := max(0, (s.stateSince + m.Policies.WarningTime - now).Seconds())
		response.ReclaimInS = &remainingS
		response.Cause = s.reclaim.cause
		response.NextHeartbeatS = min(
			urgentHeartbeatInterval.Seconds(),
			max(minHeartbeatInterval.Seconds(), remainingS))
	case Checkpointing:
		response.Cause = s.reclaim.cause
		response.NextHeartbeatS = urgentHeartbeatInterval.Seconds()
		if !s.writePending {
			response.CheckpointOrder = s.reclaim.checkpointOrder
		}
	}
	// The agent stays frozen while the outcome of a reclaim is indeterminate. Afterwards the session is either suspended,
	// or thawed by the next response.
	response.Thaw = heartbeat.Frozen &&
		response.ResumeFrom == "" &&
		!s.writePending &&
		s.state != Checkpointing &&
		s.state != Reclaimed
	return response
}

func (m *Manager) advanceByHeartbeat(now time.Duration, s *session, job *jobs.Job, heartbeat Heartbeat) {
	result := heartbeat.Checkpoint
	switch {
	case s.state == Checkpointing && result != nil && result.Order == s.reclaim.checkpointOrder:
		m.finishCheckpoint(now, s, job, heartbeat)
	case s.state == Checkpointing && heartbeat.CellRunning:
		s.setState(now, Active, "cell running")
	default:
		m.advance(now, s)
	}
}

// storeAgentCheckpoint stores a checkpoint that the agent made by itself: the session resumes from it if the machine is
// lost. The writes are rate-limited, except for the last one of a task that is being stopped (isLast).
func (m *Manager) storeAgentCheckpoint(now time.Duration, s *session, heartbeat Heartbeat, isLast bool) {
	result := heartbeat.Checkpoint
	if result == nil || result.Order != 0 || !result.OK || result.Ref == "" || result.Ref == s.checkpointRef() {
		return
	}
	if s.writePending || heartbeat.Fresh || s.state == Reclaimed {
		return
	}
	writtenAt := s.reclaim.agentCheckpointAt
	if !isLast && writtenAt > 0 && now-writtenAt < agentCheckpointInterval {
		return
	}
	s.reclaim.agentCheckpointAt = now
	record := s.record
	record.Checkpoint = &Checkpoint{Ref: result.Ref, MB: result.MB, AtMS: m.Wall(now).UnixMilli()}
	m.write(s, record, func(time.Duration, bool) {})
}
