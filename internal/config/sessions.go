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
	// WarnS is the time between the warning and the save; SaveS what a save may take; SilentS
	// after which an agent that isn't heard is in doubt.
	WarnS   float64 `hcl:"warn_s,optional" validate:"gte=0"`
	SaveS   float64 `hcl:"save_s,optional" validate:"gte=0"`
	SilentS float64 `hcl:"silent_s,optional" validate:"gte=0"`
	// KeepDays is how long a reclaimed session is kept, 0: for ever.
	KeepDays float64 `hcl:"keep_days,optional" validate:"gte=0"`
	PerUser  int     `hcl:"per_user,optional" validate:"gte=0"`
	PerTeam  int     `hcl:"per_team,optional" validate:"gte=0"`
	// Policies are by team; the one called "default" is for all others.
	Policies []SessionPolicy `hcl:"policy,block" validate:"dive"`
}

// SessionPolicy says when a team's sessions are idle and how long they may be.
type SessionPolicy struct {
	Team    string         `hcl:"team,label" validate:"required"`
	Idle    *hcl.Attribute `hcl:"idle,optional"` // nil: the default
	LimitS  float64        `hcl:"limit_s,optional" validate:"gte=0"`
	WantedS *float64       `hcl:"wanted_s,optional"`
	During  []SessionHours `hcl:"during,block" validate:"dive"`
}

// SessionHours are other limits in named hours of a named time zone.
type SessionHours struct {
	Name    string         `hcl:"name,label" validate:"required"`
	Days    string         `hcl:"days" validate:"required"`
	From    string         `hcl:"from" validate:"required"`
	To      string         `hcl:"to" validate:"required"`
	Zone    string         `hcl:"zone" validate:"required"`
	Idle    *hcl.Attribute `hcl:"idle,optional"`
	LimitS  *float64       `hcl:"limit_s,optional"`
	WantedS *float64       `hcl:"wanted_s,optional"`
}

// Defaults for sessions.
const (
	defaultWarn   = 2 * time.Minute
	defaultSave   = time.Minute
	defaultSilent = 30 * time.Second
	defaultIdle   = "input_s > 900 && cpu < 0.1 && gpu < 0.1"
)

// Sessions is what operators set for sessions; off unless they did.
func (s *Settings) Sessions() *sessions.Policies { return s.sessions }

func duration(s float64, otherwise time.Duration) time.Duration {
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
		On: true, Warn: duration(d.WarnS, defaultWarn), Save: duration(d.SaveS, defaultSave),
		Silent: duration(d.SilentS, defaultSilent), Keep: time.Duration(d.KeepDays * 24 * float64(time.Hour)),
		PerUser: d.PerUser, PerTeam: d.PerTeam, ByTeam: map[string]*sessions.Policy{},
		Default: &sessions.Policy{Limits: sessions.Limits{Rule: rule, Wanted: 0, Name: "default"}},
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
	rule, err := compileRule(q.Idle)
	if err != nil {
		return nil, err
	}
	p := &sessions.Policy{Limits: sessions.Limits{Rule: rule, Limit: Seconds(q.LimitS), Name: q.Team}}
	if q.WantedS != nil {
		p.Wanted = Seconds(*q.WantedS)
	}
	for i := range q.During {
		h := &q.During[i]
		l := p.Limits
		l.Name = q.Team + ", " + h.Name
		if h.Idle != nil {
			if l.Rule, err = compileRule(h.Idle); err != nil {
				return nil, err
			}
		}
		if h.LimitS != nil {
			l.Limit = Seconds(*h.LimitS)
		}
		if h.WantedS != nil {
			l.Wanted = Seconds(*h.WantedS)
		}
		w, err := calendar.Parse(h.Days, h.From, h.To, h.Zone)
		if err != nil {
			return nil, fmt.Errorf("during %q: %w", h.Name, err)
		}
		p.During = append(p.During, sessions.During{Limits: l, Window: w})
	}
	return p, nil
}

// compileRule compiles what stands in an attribute, or the default.
func compileRule(a *hcl.Attribute) (*sessions.Rule, error) {
	if a == nil {
		return sessions.Compile(defaultIdle, "the default")
	}
	at := fmt.Sprintf("%s:%d,%d", a.Range.Filename, a.Expr.Range().Start.Line, a.Expr.Range().Start.Column)
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() || v.IsNull() || !v.IsKnown() || v.Type() != cty.String {
		return nil, fmt.Errorf("%s: idle must be an expression in quotes", at)
	}
	return sessions.Compile(v.AsString(), at)
}
