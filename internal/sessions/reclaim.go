package sessions

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// advance applies the state transitions of a session that follow from the passing of time.
func (m *Manager) advance(now time.Duration, s *session) {
	job := m.Jobs.Get(s.id)
	if job == nil || s.writePending {
		return
	}
	if job.State.Terminal() {
		m.deleteRecord(s)
		return
	}
	if s.state.isRunning() && m.taskIsGone(s, job) {
		s.agent.attempt = 0
		s.setState(now, Lost, "task is gone")
		return
	}
	isHeartbeatOverdue := now-s.agent.lastHeartbeatAt > m.Policies.HeartbeatTimeout
	switch s.state {
	case Active:
		if !isHeartbeatOverdue && m.isIdle(now, s) {
			s.setState(now, Idle, "idle by policy")
			m.advance(now, s)
		}
	case Idle:
		m.advanceIdle(now, s, isHeartbeatOverdue)
	case Warned:
		m.advanceWarned(now, s, job, isHeartbeatOverdue)
	case Checkpointing:
		if timeoutAt := s.stateSince + m.Policies.CheckpointTimeout; now >= timeoutAt {
			m.checkpointFailed(now, s, "checkpoint timed out")
		} else {
			m.queue.schedule(s, timeoutAt)
		}
	case Reclaimed:
		if m.isExpired(now, s) {
			m.cancelJob(s, nil)
		}
	}
}

// taskIsGone reports whether the fleet has proof that the agent's attempt is gone. Missing heartbeats are no proof.
func (m *Manager) taskIsGone(s *session, job *jobs.Job) bool {
	if s.agent.attempt == 0 {
		return false
	}
	task := m.TaskOf(job)
	return !task.OnMachine || (task.Attempt != 0 && task.Attempt != s.agent.attempt)
}

// isExpired reports whether the retention time of a reclaimed session is over.
func (m *Manager) isExpired(now time.Duration, s *session) bool {
	retention := m.Policies.Retention
	return retention > 0 && m.Wall(now).UnixMilli()-s.record.ReclaimedAtMS > retention.Milliseconds()
}

// isIdle reports whether a session is idle by the rule of its policy.
func (m *Manager) isIdle(now time.Duration, s *session) bool {
	wall := m.Wall(now)
	return m.Policies.ForTeam(s.record.Team).At(wall).Rule.Idle(s.activity(now, wall))
}

// advanceIdle warns an idle session whose idle limit is exceeded. A session whose contended limit is exceeded becomes a
// candidate for warnContended.
func (m *Manager) advanceIdle(now time.Duration, s *session, isHeartbeatOverdue bool) {
	wall := m.Wall(now)
	policy := m.Policies.ForTeam(s.record.Team)
	limits := policy.At(wall)
	if !limits.Rule.Idle(s.activity(now, wall)) {
		s.setState(now, Active, "no longer idle")
		return
	}
	if isHeartbeatOverdue {
		return
	}
	next := now + checkInterval
	if change, ok := policy.NextChange(wall); ok {
		next = min(next, now+max(time.Second, change.Sub(wall)))
	}
	if now < s.reclaim.noWarningBefore {
		m.queue.schedule(s, min(next, s.reclaim.noWarningBefore))
		return
	}
	idleFor := now - s.stateSince
	if limits.IdleLimit > 0 {
		if idleFor >= limits.IdleLimit {
			m.warn(now, s, "idle for longer than its limit", false)
			return
		}
		next = min(next, s.stateSince+limits.IdleLimit)
	}
	if limits.ContendedLimit >= 0 {
		if idleFor >= limits.ContendedLimit {
			m.contentionCandidates = append(m.contentionCandidates, s)
			next = min(next, now+contentionCheckInterval)
		} else {
			next = min(next, s.stateSince+limits.ContendedLimit)
		}
	}
	m.queue.schedule(s, next)
}

// warnContended warns the candidates that hold resources for which other jobs wait, the longest idle first.
func (m *Manager) warnContended(now time.Duration) {
	candidates := m.contentionCandidates
	m.contentionCandidates = candidates[:0]
	if len(candidates) == 0 || now-m.contentionCheckedAt < contentionCheckInterval {
		return
	}
	m.contentionCheckedAt = now
	slices.SortStableFunc(candidates, func(a, b *session) int { return cmp.Compare(a.stateSince, b.stateSince) })
	var holders []*jobs.Job
	var idleSessions []*session
	for _, s := range candidates {
		if job := m.Jobs.Get(s.id); job != nil && s.state == Idle {
			holders = append(holders, job)
			idleSessions = append(idleSessions, s)
		}
	}
	if len(holders) == 0 {
		return
	}
	for i, waiting := range m.WaitingJobsFor(now, holders) {
		if waiting != "" {
			m.warn(now, idleSessions[i], waiting+" waits for what it holds", true)
		}
	}
}

func (m *Manager) warn(now time.Duration, s *session, cause string, isContended bool) {
	s.setState(now, Warned, cause)
	s.reclaim.cause = cause
	s.reclaim.isContended = isContended
	m.queue.schedule(s, now+m.Policies.WarningTime)
}

// advanceWarned withdraws a warning whose reason no longer holds, or orders the checkpoint after the warning time.
func (m *Manager) advanceWarned(now time.Duration, s *session, job *jobs.Job, isHeartbeatOverdue bool) {
	checkpointAt := s.stateSince + m.Policies.WarningTime
	switch {
	case isHeartbeatOverdue:
		s.setState(now, Idle, "agent heartbeats overdue")
	case !m.isIdle(now, s):
		s.setState(now, Active, "no longer idle")
	case now < checkpointAt:
		m.queue.schedule(s, checkpointAt)
	case s.reclaim.isContended && m.WaitingJobsFor(now, []*jobs.Job{job})[0] == "":
		s.setState(now, Idle, "no longer contended")
	default:
		s.setState(now, Checkpointing, s.reclaim.cause)
		s.reclaim.checkpointOrder = m.nextID()
		m.queue.schedule(s, now+m.Policies.CheckpointTimeout)
	}
}

// checkpointFailed ends a reclaim after its checkpoint failed, with an exponential delay before the next warning.
func (m *Manager) checkpointFailed(now time.Duration, s *session, cause string) {
	s.reclaim.failedCheckpoints++
	doublings := min(s.reclaim.failedCheckpoints, maxBackoffDoublings)
	backoff := min(maxCheckpointBackoff, max(m.Policies.WarningTime, time.Second)<<doublings)
	s.reclaim.noWarningBefore = now + backoff
	slog.Warn("session checkpoint failed",
		"session", s.id,
		"cause", cause,
		"failures", s.reclaim.failedCheckpoints,
		"retry_in_s", int(backoff.Seconds()))
	s.setState(now, Idle, "checkpoint failed: "+cause)
}

// finishCheckpoint handles the result of an ordered checkpoint. The session is reclaimed only if it is frozen with all
// its work saved, and only after its record is durable.
func (m *Manager) finishCheckpoint(now time.Duration, s *session, job *jobs.Job, heartbeat Heartbeat) {
	wasUsed := heartbeat.CellRunning ||
		!heartbeat.Frozen ||
		heartbeat.UnsavedMB > 0 ||
		s.agent.lastInputAt > s.stateSince
	switch {
	case !heartbeat.Checkpoint.OK:
		m.checkpointFailed(now, s, heartbeat.Checkpoint.Cause)
		return
	case wasUsed:
		s.setState(now, Active, "used during the checkpoint")
		return
	}
	record := s.record
	record.Reclaimed = true
	record.ReclaimedAtMS = m.Wall(now).UnixMilli()
	record.Checkpoint = &Checkpoint{
		Ref:  heartbeat.Checkpoint.Ref,
		MB:   heartbeat.Checkpoint.MB,
		AtMS: record.ReclaimedAtMS,
	}
	cause := s.reclaim.cause
	m.write(s, record, func(at time.Duration, ok bool) { m.finishReclaim(at, s, job, cause, ok) })
}

// finishReclaim suspends a session's job after the write of its reclaim (ok: the record is durable). The durable record
// takes precedence over all requests that arrived during the write: a user who returns resumes from its checkpoint.
func (m *Manager) finishReclaim(now time.Duration, s *session, job *jobs.Job, cause string, ok bool) {
	if !ok {
		if s.state == Checkpointing {
			m.checkpointFailed(now, s, "record not written")
		}
		return
	}
	s.reclaim.failedCheckpoints = 0
	if s.state != Checkpointing {
		return
	}
	s.setState(now, Reclaimed, cause)
	m.sessionsByTeam[s.record.Team]--
	s.agent.attempt = 0
	s.agent.heartbeatSeq = 0
	s.agent.cellRunningSince = 0
	m.Suspend(now, job, true)
}
