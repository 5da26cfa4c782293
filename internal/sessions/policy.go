package sessions

import (
	"time"

	"github.com/harewalk/harewalk/internal/calendar"
)

// Limits sets when an idle session may be reclaimed.
type Limits struct {
	Rule *Rule
	// IdleLimit is how long it may be idle at all, 0 for ever.
	IdleLimit time.Duration
	// ContendedLimit is how long it may be idle while other work waits for what it holds, negative for ever.
	ContendedLimit time.Duration
	// Source names the policy and its window.
	Source string
}

// WindowLimits holds other limits for hours of the week.
type WindowLimits struct {
	Limits
	Window calendar.Window
}

// Policy is a team's policy.
type Policy struct {
	Limits
	Windows []WindowLimits // the first that contains a moment applies
}

// At returns the limits that apply at a moment.
func (p *Policy) At(wall time.Time) Limits {
	for _, window := range p.Windows {
		if window.Window.Contains(wall) {
			return window.Limits
		}
	}
	return p.Limits
}

// NextChange returns when other limits apply next; ok is false if never.
func (p *Policy) NextChange(wall time.Time) (next time.Time, ok bool) {
	for _, window := range p.Windows {
		change, changes := window.Window.Next(wall)
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
	WarningTime       time.Duration // from the warning to the checkpoint's order
	CheckpointTimeout time.Duration
	UnheardTimeout    time.Duration // without a heartbeat, until an agent's state is in doubt
	Retention         time.Duration // of a reclaimed session, 0 for ever
	MaxPerUser        int           // sessions of a user, reclaimed ones included; 0: unbounded
	MaxPerTeam        int           // sessions of a team that aren't reclaimed; 0: unbounded
	ByTeam            map[string]*Policy
	Default           *Policy
}

// ForTeam returns a team's policy.
func (p *Policies) ForTeam(team string) *Policy {
	if policy := p.ByTeam[team]; policy != nil {
		return policy
	}
	return p.Default
}
