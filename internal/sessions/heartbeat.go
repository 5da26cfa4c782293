package sessions

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// endingState is the state in responses to the agent of a task that is being stopped.
const endingState = "ending"

// HandleHeartbeat applies a heartbeat of a session's agent and returns the response. It fails with an *Error if there
// is no such session, the token isn't its agent's, or the heartbeat isn't the newest of the attempt that runs.
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
		return HeartbeatResponse{}, refuse(Conflict, "a newer report was heard")
	}
	task := m.TaskOf(job)
	if !task.OnMachine || (task.Attempt != 0 && task.Attempt != heartbeat.Attempt) {
		return HeartbeatResponse{}, refuse(Conflict, "this attempt is not the one that runs")
	}
	if task.Stopping {
		return m.respondToEnding(now, s, heartbeat), nil
	}
	if s.writePending && isNewAttempt {
		// Its machine was lost during a write, perhaps the one that reclaims the session. Until its outcome is
		// determined the new process stays frozen, as it started.
		return HeartbeatResponse{
			State:          s.state.String(),
			NextHeartbeatS: urgentHeartbeatInterval.Seconds(),
		}, nil
	}
	if isNewAttempt && agent.attempt != 0 && s.state.isRunning() {
		s.setState(now, Lost, "another attempt runs")
	}
	s.applyHeartbeat(now, heartbeat)
	if s.state == Opening || s.state == Lost {
		s.setState(now, Active, "agent heartbeat received")
	}
	return m.respond(now, s, job, heartbeat), nil
}

// respondToEnding handles the heartbeat of a task that is being stopped. Its agent must not be thawed for a user who
// returns meanwhile, but its last checkpoint counts.
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

// applyHeartbeat takes over the agent's status.
func (s *session) applyHeartbeat(now time.Duration, heartbeat Heartbeat) {
	s.agent = agentStatus{
		attempt:      heartbeat.Attempt,
		heartbeatSeq: heartbeat.Seq,
		lastHeardAt:  now,
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

// respond makes the changes of state that follow from a heartbeat, and returns the response.
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
	// While the outcome of a reclaim is indeterminate the agent stays frozen: the session is then either suspended, or
	// thawed by the next response.
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

// storeAgentCheckpoint records a checkpoint that the agent made by itself, to resume from when its machine is lost.
// The writes are rate-limited; the last one is written at once.
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
