package config

import (
	"fmt"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"github.com/harewalk/harewalk/internal/calendar"
	"github.com/harewalk/harewalk/internal/sessions"
)

// SessionSettings switch interactive sessions on, in HCL: sessions { ... }.
type SessionSettings struct {
	// WarningS is the time between the warning and the save; CheckpointTimeoutS what a save may take; UnheardTimeoutS
	// after which an agent that isn't heard is in doubt.
	WarningS           float64 `hcl:"warn_s,optional" validate:"gte=0"`
	CheckpointTimeoutS float64 `hcl:"save_s,optional" validate:"gte=0"`
	UnheardTimeoutS    float64 `hcl:"silent_s,optional" validate:"gte=0"`
	// RetentionDays is how long a reclaimed session is kept, 0: for ever.
	RetentionDays float64 `hcl:"keep_days,optional" validate:"gte=0"`
	MaxPerUser    int     `hcl:"per_user,optional" validate:"gte=0"`
	MaxPerTeam    int     `hcl:"per_team,optional" validate:"gte=0"`
	// Policies are by team; the one called "default" is for all others.
	Policies []SessionPolicy `hcl:"policy,block" validate:"dive"`
}

// SessionPolicy says when a team's sessions are idle and how long they may be.
type SessionPolicy struct {
	Team            string          `hcl:"team,label" validate:"required"`
	IdleRule        *hcl.Attribute  `hcl:"idle,optional"` // nil: the default
	IdleLimitS      float64         `hcl:"limit_s,optional" validate:"gte=0"`
	ContendedLimitS *float64        `hcl:"wanted_s,optional"`
	Windows         []SessionWindow `hcl:"during,block" validate:"dive"`
}

// SessionWindow are other limits in named hours of a named time zone.
type SessionWindow struct {
	Name            string         `hcl:"name,label" validate:"required"`
	Days            string         `hcl:"days" validate:"required"`
	From            string         `hcl:"from" validate:"required"`
	To              string         `hcl:"to" validate:"required"`
	Zone            string         `hcl:"zone" validate:"required"`
	IdleRule        *hcl.Attribute `hcl:"idle,optional"`
	IdleLimitS      *float64       `hcl:"limit_s,optional"`
	ContendedLimitS *float64       `hcl:"wanted_s,optional"`
}

// Defaults for sessions.
const (
	defaultWarningTime       = 2 * time.Minute
	defaultCheckpointTimeout = time.Minute
	defaultUnheardTimeout    = 30 * time.Second
	defaultIdleRule          = "input_s > 900 && cpu < 0.1 && gpu < 0.1"
)

// Sessions is what operators set for sessions; off unless they did.
func (s *Settings) Sessions() *sessions.Policies { return s.sessions }

func durationOr(s float64, otherwise time.Duration) time.Duration {
	if s == 0 {
		return otherwise
	}
	return Seconds(s)
}

// deriveSessions compiles and checks the policies; its error names file, line and column of a
// bad one.
func (s *Settings) deriveSessions() error {
	s.sessions = &sessions.Policies{}
	d := s.Operator.Sessions
	if d == nil {
		return nil
	}
	rule, err := compileRule(nil)
	if err != nil {
		return err
	}
	p := &sessions.Policies{
		Enabled: true, WarningTime: durationOr(d.WarningS, defaultWarningTime), CheckpointTimeout: durationOr(d.CheckpointTimeoutS, defaultCheckpointTimeout),
		UnheardTimeout: durationOr(d.UnheardTimeoutS, defaultUnheardTimeout), Retention: time.Duration(d.RetentionDays * 24 * float64(time.Hour)),
		MaxPerUser: d.MaxPerUser, MaxPerTeam: d.MaxPerTeam, ByTeam: map[string]*sessions.Policy{},
		Default: &sessions.Policy{Limits: sessions.Limits{Rule: rule, ContendedLimit: 0, Source: "default"}},
	}
	teams := s.teamNames()
	for i := range d.Policies {
		q := &d.Policies[i]
		switch {
		case q.Team != "default" && !teams[q.Team]:
			return fmt.Errorf("sessions, policy %q: that is not one of the platform's teams, nor \"default\"", q.Team)
		case p.ByTeam[q.Team] != nil:
			return fmt.Errorf("sessions, policy %q: there are two", q.Team)
		}
		if p.ByTeam[q.Team], err = q.compile(); err != nil {
			return fmt.Errorf("sessions, policy %q: %w", q.Team, err)
		}
	}
	if q := p.ByTeam["default"]; q != nil {
		p.Default = q
		delete(p.ByTeam, "default")
	}
	s.sessions = p
	return nil
}

func (q *SessionPolicy) compile() (*sessions.Policy, error) {
	rule, err := compileRule(q.IdleRule)
	if err != nil {
		return nil, err
	}
	p := &sessions.Policy{Limits: sessions.Limits{Rule: rule, IdleLimit: Seconds(q.IdleLimitS), Source: q.Team}}
	if q.ContendedLimitS != nil {
		p.ContendedLimit = Seconds(*q.ContendedLimitS)
	}
	for i := range q.Windows {
		h := &q.Windows[i]
		l := p.Limits
		l.Source = q.Team + ", " + h.Name
		if h.IdleRule != nil {
			if l.Rule, err = compileRule(h.IdleRule); err != nil {
				return nil, err
			}
		}
		if h.IdleLimitS != nil {
			l.IdleLimit = Seconds(*h.IdleLimitS)
		}
		if h.ContendedLimitS != nil {
			l.ContendedLimit = Seconds(*h.ContendedLimitS)
		}
		w, err := calendar.Parse(h.Days, h.From, h.To, h.Zone)
		if err != nil {
			return nil, fmt.Errorf("during %q: %w", h.Name, err)
		}
		p.Windows = append(p.Windows, sessions.WindowLimits{Limits: l, Window: w})
	}
	return p, nil
}

// compileRule compiles what stands in an attribute, or the default.
func compileRule(a *hcl.Attribute) (*sessions.Rule, error) {
	if a == nil {
		return sessions.CompileRule(defaultIdleRule, "the default")
	}
	at := fmt.Sprintf("%s:%d,%d", a.Range.Filename, a.Expr.Range().Start.Line, a.Expr.Range().Start.Column)
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() || v.IsNull() || !v.IsKnown() || v.Type() != cty.String {
		return nil, fmt.Errorf("%s: idle must be an expression in quotes", at)
	}
	return sessions.CompileRule(v.AsString(), at)
}
