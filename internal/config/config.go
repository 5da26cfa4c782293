// Package config reads the platform's JSON settings and the operators' own HCL file,
// validates both and derives the defaults the other slices need.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// Peer is another controller.
type Peer struct {
	Node string `json:"node" validate:"required"`
	Zone string `json:"site"`
	Addr string `json:"endpoint" validate:"required,hostport"`
}

// Team carries a team's guarantee and limit; 0 means none set.
type Team struct {
	Name    string  `json:"name" validate:"required"`
	CPUs    float64 `json:"cpus" validate:"gte=0"`
	CPUsMax float64 `json:"cpus_max" validate:"gte=0"`
	GPUs    float64 `json:"gpus" validate:"gte=0"`
	GPUsMax float64 `json:"gpus_max" validate:"gte=0"`
}

// Objective is one aim of the operator.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
	Max     float64 `json:"most"`
}

// Workers holds the timing rules of the workers.
type Workers struct {
	ReportS   float64 `json:"report_s" validate:"gt=0"`
	LeaseS    float64 `json:"lease_s" validate:"gt=0"`
	GangWaitS float64 `json:"gang_wait_s" validate:"gt=0"`
	GangPeerS float64 `json:"gang_peer_s" validate:"gt=0"`
	CancelS   float64 `json:"cancel_s" validate:"gt=0"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `json:"rps" validate:"gt=0"`
	WriteRPS float64 `json:"write_rps" validate:"gt=0"`
	ValueKB  float64 `json:"value_kb" validate:"gt=0"`
	TxnOps   int     `json:"txn_ops" validate:"gt=0"`
	// Next holds the limits that the service will have from some moment on, without notice; nil: none are announced.
	Next *NextState `json:"next" validate:"omitnil"`
}

// NextState holds announced limits of the state service; 0 where nothing is said.
type NextState struct {
	WriteRPS float64 `json:"write_rps" validate:"gte=0"`
	ValueKB  float64 `json:"value_kb" validate:"gte=0"`
	TxnOps   int     `json:"txn_ops" validate:"gte=0"`
}

// Limits are those that every transaction keeps to: the smaller of the present and of the announced ones, from the start,
// so that nothing that is stored has to shrink when the moment comes.
func (s State) Limits() store.Limits {
	l := store.Limits{MaxOps: s.TxnOps, MaxValueBytes: int(s.ValueKB * bytesPerKB)}
	if n := s.Next; n != nil {
		if n.TxnOps > 0 {
			l.MaxOps = min(l.MaxOps, n.TxnOps)
		}
		if n.ValueKB > 0 {
			l.MaxValueBytes = min(l.MaxValueBytes, int(n.ValueKB*bytesPerKB))
		}
	}
	return l
}

// Cloud holds the limits of the cloud interface.
type Cloud struct {
	RPS      float64 `json:"rps" validate:"gt=0"`
	ListLagS float64 `json:"list_lag_s" validate:"gte=0"`
}

// ControllerLimits says how large a machine the controller itself runs on; nil where that is not given.
// With less than what the rules ask for it can't serve at all: it needs 12 MB before it has
// heard of anything, and a connection for each outside system and controller.
type ControllerLimits struct {
	Cores   *float64 `json:"cores" validate:"omitnil,gt=0"`
	MemMB   *float64 `json:"mem_mb" validate:"omitnil,gte=24"`
	Sockets *int     `json:"sockets" validate:"omitnil,gte=32"`
}

// What is assumed of a machine of which the settings say nothing.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 512.0
	defaultSockets  = 1024
)

func valueOr[T any](given *T, otherwise T) T {
	if given != nil {
		return *given
	}
	return otherwise
}

// Processor is the share of cores to be used.
func (l ControllerLimits) Processor() float64 { return valueOr(l.Cores, defaultCores) }

// MemoryLimitMB is the most memory to be used, in MB.
func (l ControllerLimits) MemoryLimitMB() float64 { return valueOr(l.MemMB, defaultMemoryMB) }

// MaxConns is how many connections are taken from outside. Each may hold a request body of
// the largest size at the same time, and those together leave room for the rest.
func (l ControllerLimits) MaxConns() int {
	return max(1, min(valueOr(l.Sockets, defaultSockets)*7/10, int(l.MemoryLimitMB()*0.6*(1<<20)/MaxBody)))
}

// KeepAliveConns is how many connections are open when those of workers no longer stay open after an answer: the rest is left
// for those that come in, for users, whom the load balancer spreads over all controllers, and for health checks.
func (l ControllerLimits) KeepAliveConns() int { return max(1, l.MaxConns()*3/4) }

// MaxOutgoing is how many requests of a kind may be under way, at most most.
func (l ControllerLimits) MaxOutgoing(most int) int {
	return max(4, min(most, valueOr(l.Sockets, defaultSockets)/10))
}

// MaxBody is the protocol's bound on a request's body.
const MaxBody = 64 << 10

// MaxTasks is how many unfinished tasks are kept: a task takes about 80 bytes, and twice that
// while plans are read after a takeover.
func (l ControllerLimits) MaxTasks() int { return int(l.MemoryLimitMB() * 2000) }

// MaxQueueBytes bounds the submissions that wait to be stored.
func (l ControllerLimits) MaxQueueBytes() int { return int(l.MemoryLimitMB() * 0.03 * (1 << 20)) }

// Services are the addresses of the outside systems.
type Services struct {
	Cloud string `json:"cloud" validate:"required,hostport"`
	State string `json:"state" validate:"required,hostport"`
}

// Params is the part of the settings that is equal on all controllers.
type Params struct {
	Zones      []string         `json:"zones"`
	Teams      []Team           `json:"teams" validate:"dive"`
	Objectives []Objective      `json:"objectives"`
	Workers    Workers          `json:"workers"`
	State      State            `json:"state"`
	Cloud      Cloud            `json:"cloud"`
	Limits     ControllerLimits `json:"machine_limits"`
	SkewMS     float64          `json:"skew_ms" validate:"gte=0"`
}

// Settings is the whole platform file, with the operators' settings added.
type Settings struct {
	Node       string   `json:"node" validate:"required"`
	Zone       string   `json:"site"`
	PublicAddr string   `json:"public_addr" validate:"required,hostport"`
	PeerAddr   string   `json:"back" validate:"required,hostport"`
	Peers      []Peer   `json:"others" validate:"dive"`
	Services   Services `json:"services"`
	Params     Params   `json:"params"`

	// Operator is never read from the platform's file.
	Operator         Operator      `json:"-"`
	simulatedLevel   rollout.Level // of a simulated earlier release, 0: this one
	simulatedRelease string
	pools            []*licences.Pool
	sessions         *sessions.Policies
	keys             *access.Keys
	users            *access.Users
}

// Operator holds the operators' own settings, all optional, written in HCL.
type Operator struct {
	// ControllerLeaseTTLMS is the life of a controller's hold without renewal.
	ControllerLeaseTTLMS int `hcl:"hold_ttl_ms,optional" validate:"gte=1000,lte=600000"`
	// BeginS is within how long every job is to begin, seconds from its submission, whatever its size and rank, as far
	// as there is room for it at all.
	BeginS float64 `hcl:"begin_s,optional" validate:"gte=0"`
	// UnheardTimeoutS is how long a machine may be silent before it is given back.
	MachineUnheardTimeoutS float64 `hcl:"silent_s,optional" validate:"gte=0"`
	// MachineIdleTimeoutS is how long a machine may be idle before it is returned; 0 means as long as
	// it would take to get it back.
	MachineIdleTimeoutS float64 `hcl:"idle_s,optional" validate:"gte=0"`
	// Headroom is the part of the fleet's price that may stand idle for bursts.
	Headroom float64 `hcl:"headroom,optional" validate:"gte=0,lte=1"`
	// MaxMachines bounds how many machines are rented in all.
	MaxMachines int `hcl:"max_machines,optional" validate:"gte=1"`
	// MachinesBound is where that bound comes from.
	MachinesBound MachineBound
	// NetworkFactor scales the planner's q.
	NetworkFactor float64 `hcl:"network_factor,optional" validate:"gte=0"`
	// OperatorTokenFile holds the token that operators' commands must carry, one line. Without
	// it they are taken from the controller's own machine only.
	OperatorTokenFile string `hcl:"operator_token_file,optional"`
	// DebugAddr serves /metrics and /debug/pprof, "" for nowhere. Whoever reaches it can read
	// profiles: an address of this machine alone, unless somebody else guards it.
	DebugAddr string `hcl:"debug_addr,optional" validate:"omitempty,hostport"`
	// UsersFile names who may ask for what, by token; without it nobody is asked for one.
	UsersFile string `hcl:"users_file,optional"`
	// TLS serves users, and controllers among themselves, over TLS.
	TLS *TLSSettings `hcl:"tls,block" validate:"omitnil"`
	// Licences are the pools of counted licences.
	Licences []LicencePool `hcl:"licence,block" validate:"dive"`
	// Sessions switch interactive sessions on.
	Sessions *SessionSettings `hcl:"sessions,block" validate:"omitnil"`

	// Zones says how a zone that was lost comes back.
	Zones *ZoneSettings `hcl:"zones,block" validate:"omitnil"`
	// Archive says how ended jobs leave the followed keys.
	Archive *ArchiveSettings `hcl:"archive,block" validate:"omitnil"`
	// Rollout says how new releases take effect.
	Rollout *RolloutSettings `hcl:"rollout,block" validate:"omitnil"`

	// Token is what the file held.
	Token string
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		for _, tag := range []string{"json", "hcl"} {
			if n, _, _ := strings.Cut(f.Tag.Get(tag), ","); n != "" && n != "-" {
				return n
			}
		}
		return f.Name
	})
	// The platform names hosts by address only, but a host name is no mistake.
	_ = v.RegisterValidation("hostport", func(fl validator.FieldLevel) bool {
		host, port, ok := strings.Cut(fl.Field().String(), ":")
		return ok && host != "" && port != "" && strings.Trim(port, "0123456789") == ""
	})
	return v
}

// describeValidationError turns a validator's error into one line that names the setting.
func describeValidationError(err error) error {
	var fields validator.ValidationErrors
	if errors.As(err, &fields) && len(fields) > 0 {
		f := fields[0]
		_, path, _ := strings.Cut(f.Namespace(), ".")
		rule := f.Tag()
		if f.Param() != "" {
			rule += " " + f.Param()
		}
		return fmt.Errorf("setting %q: value %v breaks the rule %q", path, f.Value(), rule)
	}
	return err
}

// Load reads the platform's file and, if hclPath is not empty, the operators' file.
func Load(path, hclPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if hclPath != "" {
		if err := settings.LoadOperator(hclPath); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// LoadOperator adds the operators' own settings from a file.
func (s *Settings) LoadOperator(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operators' settings: %w", err)
	}
	return s.ReadOperator(path, raw)
}

// ReadOperator adds the operators' own settings from HCL; name ends in .hcl and stands in errors.
func (s *Settings) ReadOperator(path string, raw []byte) error {
	if err := hclsimple.Decode(path, raw, nil, &s.Operator); err != nil {
		return fmt.Errorf("operators' settings: %w", err)
	}
	s.derive()
	if err := newValidator().Struct(&s.Operator); err != nil {
		return fmt.Errorf("%s: %w", path, describeValidationError(err))
	}
	for _, f := range []func() error{s.checkTiming, s.checkArchive, s.derivePools, s.deriveSessions, s.Operator.readToken, s.openAccess} {
		if err := f(); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// readToken reads the operators' token.
func (o *Operator) readToken() error {
	if o.OperatorTokenFile == "" {
		return nil
	}
	raw, err := os.ReadFile(o.OperatorTokenFile)
	if err != nil {
		return fmt.Errorf("operator_token_file: %w", err)
	}
	if o.Token = strings.TrimSpace(string(raw)); len(o.Token) < 16 {
		return fmt.Errorf("operator_token_file %s: a token has at least 16 characters", o.OperatorTokenFile)
	}
	return nil
}

// Parse reads and validates the platform's settings.
func Parse(raw []byte) (*Settings, error) {
	settings := &Settings{}
	if err := json.Unmarshal(raw, settings); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("setting %q: %s is not a %s", te.Field, te.Value, te.Type)
		}
		return nil, fmt.Errorf("settings are not valid JSON: %w", err)
	}
	settings.derive()
	settings.sessions = &sessions.Policies{}
	if err := newValidator().Struct(settings); err != nil {
		return nil, describeValidationError(err)
	}
	if err := settings.checkTiming(); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, t := range settings.Params.Teams {
		if seen[t.Name] {
			return nil, fmt.Errorf("setting \"params.teams\": team %q is named twice", t.Name)
		}
		seen[t.Name] = true
	}
	return settings, nil
}

// derive fills what the operators left open from the platform's settings.
func (s *Settings) derive() {
	o := &s.Operator
	w := s.Params.Workers
	if o.ControllerLeaseTTLMS == 0 {
		o.ControllerLeaseTTLMS = int(s.defaultControllerLeaseTTL().Milliseconds())
	}
	if o.BeginS == 0 {
		o.BeginS = 240
	}
	if o.MachineUnheardTimeoutS == 0 {
		o.MachineUnheardTimeoutS = min(w.LeaseS, 3*w.ReportS+4)
	}
	if o.Headroom == 0 {
		o.Headroom = 0.1
	}
	most, by := s.Params.Limits.maxMachines(w.ReportS)
	if o.MaxMachines == 0 {
		o.MaxMachines = most
	}
	if o.MachinesBound = by; o.MaxMachines != most {
		o.MachinesBound = BoundBySettings
	}
	for i := range o.Licences {
		if o.Licences[i].OnCountLowered == "" {
			o.Licences[i].OnCountLowered = string(licences.Wait)
		}
	}
	if o.NetworkFactor == 0 {
		o.NetworkFactor = 1
	}
}

// ControllerLeaseTTL is the life of a hold.
func (s *Settings) ControllerLeaseTTL() time.Duration {
	return time.Duration(s.Operator.ControllerLeaseTTLMS) * time.Millisecond
}

// Lease is the workers' lease.
func (s *Settings) Lease() time.Duration { return Seconds(s.Params.Workers.LeaseS) }

// teamNames are the platform's teams.
func (s *Settings) teamNames() map[string]bool {
	names := map[string]bool{}
	for _, t := range s.Params.Teams {
		names[t.Name] = true
	}
	return names
}

// HasCostObjective tells whether an objective measures money.
func (s *Settings) HasCostObjective() bool {
	for _, o := range s.Params.Objectives {
		if o.Kind == "price" || o.Kind == "useful" {
			return true
		}
	}
	return false
}

// Seconds turns the wire's decimal seconds into a duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
