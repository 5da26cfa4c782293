package config

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/harewalk/harewalk/internal/licences"
)

// Operator holds the operators' own settings, all optional, written in HCL.
type Operator struct {
	// ControllerLeaseTTLMS is how long a controller's lease at the state service lives without renewal, in
	// milliseconds.
	ControllerLeaseTTLMS int `hcl:"hold_ttl_ms,optional" validate:"gte=1000,lte=600000"`
	// StartDeadlineS is the start deadline of every job, in seconds from its submission, whatever its size and
	// priority, as far as there is capacity for it at all.
	StartDeadlineS float64 `hcl:"begin_s,optional" validate:"gte=0"`
	// MachineUnheardTimeoutS is how long a machine may send no heartbeat before it is returned, in seconds.
	MachineUnheardTimeoutS float64 `hcl:"silent_s,optional" validate:"gte=0"`
	// MachineIdleTimeoutS is how long a machine may be idle before it is returned, in seconds; 0 means as long as
	// renting it again would take.
	MachineIdleTimeoutS float64 `hcl:"idle_s,optional" validate:"gte=0"`
	// Headroom is the part of the fleet's price that may be idle for bursts.
	Headroom float64 `hcl:"headroom,optional" validate:"gte=0,lte=1"`
	// MaxMachines bounds how many machines are rented in all.
	MaxMachines int `hcl:"max_machines,optional" validate:"gte=1"`
	// MachinesBound names what MaxMachines follows from.
	MachinesBound MachineBound
	// NetworkFactor scales the planner's estimate of the time that fetching an image takes.
	NetworkFactor float64 `hcl:"network_factor,optional" validate:"gte=0"`
	// OperatorTokenFile holds the token that operators' commands must carry, on one line. Without it commands are
	// accepted from the controller's own machine only.
	OperatorTokenFile string `hcl:"operator_token_file,optional"`
	// DebugAddr serves /metrics and /debug/pprof; "" disables them. Whoever reaches it can read profiles: use an
	// address of this machine alone, unless access to it is guarded otherwise.
	DebugAddr string `hcl:"debug_addr,optional" validate:"omitempty,hostport"`
	// UsersFile names the users' file; without it no user's token is required.
	UsersFile string `hcl:"users_file,optional"`
	// TLS serves users, and controllers among themselves, over TLS.
	TLS *TLSSettings `hcl:"tls,block" validate:"omitnil"`
	// Licences declares the pools of counted licences.
	Licences []LicencePool `hcl:"licence,block" validate:"dive"`
	// Sessions enables interactive sessions.
	Sessions *SessionSettings `hcl:"sessions,block" validate:"omitnil"`

	// Zones sets how a lost zone's return is handled.
	Zones *ZoneSettings `hcl:"zones,block" validate:"omitnil"`
	// Archive sets how ended jobs are archived.
	Archive *ArchiveSettings `hcl:"archive,block" validate:"omitnil"`
	// Rollout sets how version upgrades take effect.
	Rollout *RolloutSettings `hcl:"rollout,block" validate:"omitnil"`

	// Token is the content of OperatorTokenFile, "" without one.
	Token string
}

// Defaults of the operators' settings that don't follow from the platform's.
const (
	defaultStartDeadlineS = 240
	defaultHeadroom       = 0.1
	defaultNetworkFactor  = 1
)

// A machine is unheard after so many intervals of its heartbeat and a slack, where its lease allows that.
const (
	unheardHeartbeats = 3
	unheardSlackS     = 4
)

// minOperatorTokenLength is the least length of the operators' token, in bytes.
const minOperatorTokenLength = 16

var errTokenTooShort = errors.New("a token has at least " + strconv.Itoa(minOperatorTokenLength) + " characters")

// applyDefaults sets what the operators left open.
func (s *Settings) applyDefaults() {
	operator := &s.Operator
	if operator.ControllerLeaseTTLMS == 0 {
		operator.ControllerLeaseTTLMS = int(s.defaultControllerLeaseTTL().Milliseconds())
	}
	if operator.StartDeadlineS == 0 {
		operator.StartDeadlineS = defaultStartDeadlineS
	}
	if operator.MachineUnheardTimeoutS == 0 {
		workers := s.Params.Workers
		unheardS := unheardHeartbeats*workers.HeartbeatIntervalS + unheardSlackS
		operator.MachineUnheardTimeoutS = min(workers.LeaseS, unheardS)
	}
	if operator.Headroom == 0 {
		operator.Headroom = defaultHeadroom
	}
	if operator.NetworkFactor == 0 {
		operator.NetworkFactor = defaultNetworkFactor
	}
	s.applyMachineBound()
	for i := range operator.Licences {
		if operator.Licences[i].OnCountLowered == "" {
			operator.Licences[i].OnCountLowered = string(licences.WaitForRelease)
		}
	}
}

// applyMachineBound sets the largest number of machines, unless the operators did, and what it follows from.
func (s *Settings) applyMachineBound() {
	operator := &s.Operator
	machines, bound := s.Params.Limits.maxMachines(s.Params.Workers.HeartbeatIntervalS)
	if operator.MaxMachines == 0 {
		operator.MaxMachines = machines
	}
	operator.MachinesBound = bound
	if operator.MaxMachines != machines {
		operator.MachinesBound = BoundBySettings
	}
}

// readToken reads the operators' token from its file, if one is set.
func (o *Operator) readToken() error {
	if o.OperatorTokenFile == "" {
		return nil
	}
	raw, err := os.ReadFile(o.OperatorTokenFile)
	if err != nil {
		return fmt.Errorf("operator_token_file: %w", err)
	}
	o.Token = strings.TrimSpace(string(raw))
	if len(o.Token) < minOperatorTokenLength {
		return fmt.Errorf("operator_token_file %s: %w", o.OperatorTokenFile, errTokenTooShort)
	}
	return nil
}
