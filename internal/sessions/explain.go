package sessions

import (
	"fmt"
	"time"
)

// explanation collects the sentences that explain a session's state at a moment.
type explanation struct {
	now   time.Duration
	wall  time.Time
	lines []string
}

func (e *explanation) add(format string, args ...any) {
	e.lines = append(e.lines, fmt.Sprintf(format, args...))
}

// later describes a later time, from now and by the time of day.
func (e *explanation) later(at time.Duration) string {
	timeOfDay := e.wall.Add(at - e.now).UTC().Format("15:04:05 MST")
	return fmt.Sprintf("%s, at %s", wholeSeconds(max(0, at-e.now)), timeOfDay)
}

func wholeSeconds(d time.Duration) string { return d.Round(time.Second).String() }

// Explain returns sentences on why a session is or isn't going to be reclaimed, and when; ok is false if there is no
// session of that id.
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
		e.add("Its agent has not been heard since it started, so nothing is decided about it.")
	case Reclaimed:
		e.add("It was reclaimed; what was saved (%s) is resumed when its user attaches.", s.record.Checkpoint.Ref)
	case Active:
		for _, unmet := range limits.Rule.UnmetConditions(s.activity(now, e.wall)) {
			e.add("It is not idle: %s.", unmet)
		}
	case Idle:
		e.explainIdle(s, limits)
	case Warned:
		e.add("It was warned, since %s; its work is saved and it is reclaimed in %s, unless it is used before.",
			s.reclaim.cause, e.later(s.stateSince+m.Policies.WarningTime))
	case Checkpointing:
		e.add("Its work is being saved, since %s; if that takes until %s, it is not reclaimed.",
			s.reclaim.cause, e.later(s.stateSince+m.Policies.CheckpointTimeout))
	}
	unheardFor := now - s.agent.lastHeardAt
	if unheardFor > m.Policies.UnheardTimeout && s.state != Reclaimed && s.state != Opening && s.state != Lost {
		e.add("Its agent has not been heard for %s: it is not reclaimed on doubt.", wholeSeconds(unheardFor))
	}
	return e.lines, true
}

// explainIdle explains when an idle session will be warned.
func (e *explanation) explainIdle(s *session, limits Limits) {
	noWarningBefore := s.reclaim.noWarningBefore
	if e.now < noWarningBefore {
		e.add("Its last save failed (%d in a row): no warning before another try in %s.",
			s.reclaim.failedCheckpoints, e.later(noWarningBefore))
	}
	if limits.IdleLimit == 0 {
		e.add("Its policy sets no limit to idleness.")
	} else {
		e.add("It will be warned at the latest in %s, when it has been idle for %s.",
			e.later(max(s.stateSince+limits.IdleLimit, noWarningBefore)), wholeSeconds(limits.IdleLimit))
	}
	switch {
	case limits.ContendedLimit < 0:
		e.add("It is not reclaimed for others who wait.")
	case e.now-s.stateSince < limits.ContendedLimit:
		e.add("From %s on it is warned as soon as somebody waits for what it holds.",
			e.later(s.stateSince+limits.ContendedLimit))
	default:
		e.add("It is warned as soon as somebody waits for what it holds; nobody does.")
	}
}
