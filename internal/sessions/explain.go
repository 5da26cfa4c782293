package sessions

import (
	"fmt"
	"time"
)

// explanation collects the sentences that explain a session's state at one time.
type explanation struct {
	now   time.Duration // steady clock
	wall  time.Time     // time of day at now
	lines []string
}

func (e *explanation) add(format string, args ...any) {
	e.lines = append(e.lines, fmt.Sprintf(format, args...))
}

// timeUntil returns a later time as text: the duration until then, and the time of day.
func (e *explanation) timeUntil(at time.Duration) string {
	timeOfDay := e.wall.Add(at - e.now).UTC().Format("15:04:05 MST")
	return fmt.Sprintf("%s, at %s", wholeSeconds(max(0, at-e.now)), timeOfDay)
}

func wholeSeconds(d time.Duration) string { return d.Round(time.Second).String() }

// Explain returns sentences that explain whether, why and when a session will be reclaimed. ok is false if there is no
// session with that id.
func (m *Manager) Explain(now time.Duration, id string) (lines []string, ok bool) {
	s := m.byID[id]
	if s == nil {
		return nil, false
	}
	e := &explanation{now: now, wall: m.Wall(now)}
	limits := m.Policies.ForTeam(s.record.Team).At(e.wall)
	e.add("It has been %s for %s; policy %q: idle = %s.",
		s.state, wholeSeconds(now-s.stateSince), limits.Source, limits.Rule.text)
	switch s.state {
	case Opening, Lost:
		e.add("No heartbeat of its current task has arrived, so it is not reclaimed.")
	case Reclaimed:
		e.add("It was reclaimed; what was saved (%s) is resumed when its user attaches.", s.record.Checkpoint.Ref)
	case Active:
		for _, unmet := range limits.Rule.UnmetConditions(s.activity(now, e.wall)) {
			e.add("It is not idle: %s.", unmet)
		}
	case Idle:
		e.explainIdle(s, limits)
	case Warned:
		e.add("It was warned, cause: %s; its work is saved and it is reclaimed in %s unless it is used before.",
			s.reclaim.cause, e.timeUntil(s.stateSince+m.Policies.WarningTime))
	case Checkpointing:
		e.add("Its work is being saved, cause: %s; if that is not done in %s, it is not reclaimed.",
			s.reclaim.cause, e.timeUntil(s.stateSince+m.Policies.CheckpointTimeout))
	}
	sinceHeartbeat := now - s.agent.lastHeartbeatAt
	if sinceHeartbeat > m.Policies.HeartbeatTimeout && s.state != Reclaimed && s.state != Opening && s.state != Lost {
		e.add("No heartbeat has arrived for %s: it is not reclaimed while its state is unknown.",
			wholeSeconds(sinceHeartbeat))
	}
	return e.lines, true
}

// explainIdle explains when an idle session will be warned.
func (e *explanation) explainIdle(s *session, limits Limits) {
	noWarningBefore := s.reclaim.noWarningBefore
	if e.now < noWarningBefore {
		e.add("Its last checkpoint failed (%d in a row); it can be warned again in %s.",
			s.reclaim.failedCheckpoints, e.timeUntil(noWarningBefore))
	}
	if limits.IdleLimit == 0 {
		e.add("Its policy sets no idle limit.")
	} else {
		e.add("It will be warned in %s at the latest; its idle limit is %s.",
			e.timeUntil(max(s.stateSince+limits.IdleLimit, noWarningBefore)), wholeSeconds(limits.IdleLimit))
	}
	switch {
	case limits.ContendedLimit < 0:
		e.add("It is not reclaimed for other jobs that wait.")
	case e.now-s.stateSince < limits.ContendedLimit:
		e.add("If another job waits for resources that it holds, it can be warned in %s.",
			e.timeUntil(s.stateSince+limits.ContendedLimit))
	default:
		e.add("It is warned as soon as another job waits for resources that it holds; none does now.")
	}
}
