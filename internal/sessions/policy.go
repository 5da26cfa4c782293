package sessions

import (
	"time"

	"github.com/harewalk/harewalk/internal/calendar"
)

// Limits sets when an idle session may be reclaimed.
type Limits struct {
	Rule *Rule
	// IdleLimit is how long a session may be idle; 0: without limit.
	IdleLimit time.Duration
	// ContendedLimit is how long a session may be idle while other jobs wait for resources that it holds; negative:
	// without limit.
	ContendedLimit time.Duration
	// Source names the policy, and its window if there is one, for explanations.
	Source string
}

// WindowLimits holds the limits that replace a policy's during a window of the week.
type WindowLimits struct {
	Limits
	Window calendar.Window
}

// Policy is a team's policy.
type Policy struct {
	Limits
	Windows []WindowLimits // the first one that contains the time of day applies
}

// At returns the limits that apply at a time of day.
func (p *Policy) At(wall time.Time) Limits {
	for _, window := range p.Windows {
		if window.Window.Contains(wall) {
			return window.Limits
		}
	}
	return p.Limits
}

// NextChange returns when the next window begins or ends; ok is false if there is no such time.
func (p *Policy) NextChange(wall time.Time) (next time.Time, ok bool) {
	for _, window := range p.Windows {
		change, changes := window.Window.NextChange(wall)
		if changes && (!ok || change.Before(next)) {
			next = change
			ok = true
		}
	}
	return next, ok
}

// Policies holds the operators' settings for sessions. The zero value disables sessions.
type Policies struct {
	Enabled           bool
	WarningTime       time.Duration // time from the warning to the order of the checkpoint
	CheckpointTimeout time.Duration // time from the order of a checkpoint until it counts as failed without a result
	HeartbeatTimeout  time.Duration // time without a heartbeat after which an agent's state is unknown
	Retention         time.Duration // time for which a reclaimed session is kept; 0: without limit
	MaxPerUser        int           // maximum number of sessions of a user, reclaimed sessions included; 0: no limit
	MaxPerTeam        int           // maximum number of sessions of a team, without reclaimed sessions; 0: no limit
	ByTeam            map[string]*Policy
	Default           *Policy
}

// ForTeam returns a team's own policy, or the default policy.
func (p *Policies) ForTeam(team string) *Policy {
	if policy := p.ByTeam[team]; policy != nil {
		return policy
	}
	return p.Default
}
