package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"github.com/harewalk/harewalk/internal/calendar"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/sessions"
)

// SessionSettings enables interactive sessions, in HCL: sessions { ... }.
type SessionSettings struct {
	// WarningS is the time between the warning and the checkpoint, in seconds; 0 means two minutes.
	WarningS float64 `hcl:"warn_s,optional" validate:"gte=0"`
	// CheckpointTimeoutS is how long a checkpoint may take, in seconds; 0 means a minute.
	CheckpointTimeoutS float64 `hcl:"save_s,optional" validate:"gte=0"`
	// UnheardTimeoutS is the time without a heartbeat after which an agent's state counts as unknown, in seconds; 0
	// means 30.
	UnheardTimeoutS float64 `hcl:"silent_s,optional" validate:"gte=0"`
	// RetentionDays is how long a reclaimed session is kept, in days; 0 means without limit.
	RetentionDays float64 `hcl:"keep_days,optional" validate:"gte=0"`
	// MaxPerUser bounds a user's sessions, and MaxPerTeam a team's sessions that aren't reclaimed; 0 means no limit.
	MaxPerUser int `hcl:"per_user,optional" validate:"gte=0"`
	MaxPerTeam int `hcl:"per_team,optional" validate:"gte=0"`
	// Policies holds one policy for each team that has its own. The policy called "default" is for all other teams.
	Policies []SessionPolicy `hcl:"policy,block" validate:"dive"`
}

// SessionPolicy sets when a team's sessions count as idle and how long they may be idle.
type SessionPolicy struct {
	Team string `hcl:"team,label" validate:"required"`
	// IdleRule is an expression in quotes that is true for an idle session; nil means the default rule.
	IdleRule *hcl.Attribute `hcl:"idle,optional"`
	// IdleLimitS is how long a session may be idle, in seconds; 0 means without limit.
	IdleLimitS float64 `hcl:"limit_s,optional" validate:"gte=0"`
	// ContendedLimitS is how long a session may be idle while other work waits for the session's resources, in seconds;
	// a negative value means without limit.
	ContendedLimitS *float64        `hcl:"wanted_s,optional"`
	Windows         []SessionWindow `hcl:"during,block" validate:"dive"`
}

// SessionWindow sets other limits for some hours of the week in a time zone. A field that is nil has the policy's
// value.
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

// Defaults of SessionSettings.
const (
	defaultWarningTime       = 2 * time.Minute
	defaultCheckpointTimeout = time.Minute
	defaultUnheardTimeout    = 30 * time.Second
	defaultIdleRule          = "input_s > 900 && cpu < 0.1 && gpu < 0.1"
)

// defaultPolicyName is the name of the policy for all teams without a policy of their own.
const defaultPolicyName = "default"

const hoursPerDay = 24

// Sessions returns the policies of interactive sessions. Sessions are disabled unless operators enable them.
func (s *Settings) Sessions() *sessions.Policies { return s.sessions }

// deriveSessions compiles and checks the policies. An error names the policy, and for an invalid rule its file, line
// and column.
func (s *Settings) deriveSessions() error {
	s.sessions = &sessions.Policies{}
	settings := s.Operator.Sessions
	if settings == nil {
		return nil
	}
	rule, err := compileIdleRule(nil)
	if err != nil {
		return err
	}
	policies := &sessions.Policies{
		Enabled:           true,
		WarningTime:       durationOr(settings.WarningS, defaultWarningTime),
		CheckpointTimeout: durationOr(settings.CheckpointTimeoutS, defaultCheckpointTimeout),
		HeartbeatTimeout:  durationOr(settings.UnheardTimeoutS, defaultUnheardTimeout),
		Retention:         time.Duration(settings.RetentionDays * hoursPerDay * float64(time.Hour)),
		MaxPerUser:        settings.MaxPerUser,
		MaxPerTeam:        settings.MaxPerTeam,
		Default:           &sessions.Policy{Limits: sessions.Limits{Rule: rule, Source: defaultPolicyName}},
	}
	if policies.ByTeam, err = settings.compilePolicies(s.teamNames()); err != nil {
		return err
	}
	if policy := policies.ByTeam[defaultPolicyName]; policy != nil {
		policies.Default = policy
		delete(policies.ByTeam, defaultPolicyName)
	}
	s.sessions = policies
	return nil
}

// compilePolicies returns the policies by name. It returns an error for an unknown team and for two policies of one
// name.
func (settings *SessionSettings) compilePolicies(teams map[string]bool) (map[string]*sessions.Policy, error) {
	compiled := map[string]*sessions.Policy{}
	for i := range settings.Policies {
		policy := &settings.Policies[i]
		name := policy.Team
		switch {
		case name != defaultPolicyName && !teams[name]:
			return nil, policy.newError(`the name is neither one of the platform's teams nor "default"`)
		case compiled[name] != nil:
			return nil, policy.newError("there are two policies with this name")
		}
		var err error
		if compiled[name], err = policy.compile(); err != nil {
			return nil, fmt.Errorf("%s %q: %w", KindSessionPolicy, name, err)
		}
	}
	return compiled, nil
}

// newError returns a *SettingError for the policy.
func (p *SessionPolicy) newError(reason string) error {
	return &SettingError{Kind: KindSessionPolicy, Name: p.Team, Reason: reason}
}

func (p *SessionPolicy) compile() (*sessions.Policy, error) {
	rule, err := compileIdleRule(p.IdleRule)
	if err != nil {
		return nil, err
	}
	limits := sessions.Limits{Rule: rule, IdleLimit: jobs.Seconds(p.IdleLimitS), Source: p.Team}
	if p.ContendedLimitS != nil {
		limits.ContendedLimit = jobs.Seconds(*p.ContendedLimitS)
	}
	policy := &sessions.Policy{Limits: limits}
	for i := range p.Windows {
		window, err := p.Windows[i].compile(limits)
		if err != nil {
			return nil, err
		}
		policy.Windows = append(policy.Windows, window)
	}
	return policy, nil
}

// compile returns the window's limits. limits are the policy's; values that the window sets replace them.
func (w *SessionWindow) compile(limits sessions.Limits) (sessions.WindowLimits, error) {
	limits.Source += ", " + w.Name
	if w.IdleRule != nil {
		rule, err := compileIdleRule(w.IdleRule)
		if err != nil {
			return sessions.WindowLimits{}, err
		}
		limits.Rule = rule
	}
	if w.IdleLimitS != nil {
		limits.IdleLimit = jobs.Seconds(*w.IdleLimitS)
	}
	if w.ContendedLimitS != nil {
		limits.ContendedLimit = jobs.Seconds(*w.ContendedLimitS)
	}
	window, err := calendar.Parse(w.Days, w.From, w.To, w.Zone)
	if err != nil {
		return sessions.WindowLimits{}, fmt.Errorf("during %q: %w", w.Name, err)
	}
	return sessions.WindowLimits{Limits: limits, Window: window}, nil
}

// errIdleRuleNotText means that the attribute of an idle rule isn't a constant string.
var errIdleRuleNotText = errors.New("idle must be an expression in quotes")

// compileIdleRule compiles the expression in an attribute, or the default rule if the attribute is nil.
func compileIdleRule(attribute *hcl.Attribute) (*sessions.Rule, error) {
	if attribute == nil {
		return sessions.CompileRule(defaultIdleRule, "the default")
	}
	start := attribute.Expr.Range().Start
	position := fmt.Sprintf("%s:%d,%d", attribute.Range.Filename, start.Line, start.Column)
	value, diags := attribute.Expr.Value(nil)
	if diags.HasErrors() || value.IsNull() || !value.IsKnown() || value.Type() != cty.String {
		return nil, fmt.Errorf("%s: %w", position, errIdleRuleNotText)
	}
	return sessions.CompileRule(value.AsString(), position)
}
