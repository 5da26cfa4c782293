package config

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/harewalk/harewalk/internal/licences"
)

// Operator holds the operators' own settings, which are written in HCL. All of them are optional.
type Operator struct {
	// ControllerLeaseTTLMS is the time after which a controller's lease at the state service expires without renewal,
	// in milliseconds. The default depends on the workers' lease and on cancel_s.
	ControllerLeaseTTLMS int `hcl:"hold_ttl_ms,optional" validate:"gte=1000,lte=600000"`
	// StartDeadlineS is the time from submission within which every job should start, in seconds, whatever its size and
	// priority, provided that there is capacity for the job at all. 0 means the default.
	StartDeadlineS float64 `hcl:"begin_s,optional" validate:"gte=0"`
	// MachineSilenceTimeoutS is how long a machine may send no heartbeat before it is returned, in seconds. 0 means a
	// few heartbeat intervals, at most the workers' lease.
	MachineSilenceTimeoutS float64 `hcl:"silent_s,optional" validate:"gte=0"`
	// MachineIdleTimeoutS is how long a machine may be idle before it is returned, in seconds. 0 means the time until a
	// newly rented machine would run a task.
	MachineIdleTimeoutS float64 `hcl:"idle_s,optional" validate:"gte=0"`
	// Headroom is the part of the fleet's hourly price that may be idle to absorb bursts.
	Headroom float64 `hcl:"headroom,optional" validate:"gte=0,lte=1"`
	// MaxMachines is the maximum number of machines. The default is the number that a leader can serve.
	MaxMachines int `hcl:"max_machines,optional" validate:"gte=1"`
	// MachinesBound names the resource or setting that MaxMachines follows from.
	MachinesBound MachineBound
	// NetworkFactor scales the planner's estimate of the time to fetch an image.
	NetworkFactor float64 `hcl:"network_factor,optional" validate:"gte=0"`
	// OperatorTokenFile is the path of a file with the token that operators' commands must carry, on one line. Without
	// the file, commands are accepted only from the controller's own machine.
	OperatorTokenFile string `hcl:"operator_token_file,optional"`
	// DebugAddr is the address that serves /metrics and /debug/pprof; "" disables them. Any client that reaches the
	// address can read profiles: use a loopback address, unless access is restricted in another way.
	DebugAddr string `hcl:"debug_addr,optional" validate:"omitempty,hostport"`
	// UsersFile is the path of the users' file; with "" users need no token.
	UsersFile string `hcl:"users_file,optional"`
	// TLS enables TLS for users, and optionally between controllers.
	TLS *TLSSettings `hcl:"tls,block" validate:"omitnil"`
	// Licences declares the pools of counted licences.
	Licences []LicencePool `hcl:"licence,block" validate:"dive"`
	// Sessions enables interactive sessions.
	Sessions *SessionSettings `hcl:"sessions,block" validate:"omitnil"`

	// Zones sets the times for zones that return after they were lost.
	Zones *ZoneSettings `hcl:"zones,block" validate:"omitnil"`
	// Archive sets how ended jobs are archived.
	Archive *ArchiveSettings `hcl:"archive,block" validate:"omitnil"`
	// Rollout sets how version upgrades take effect.
	Rollout *RolloutSettings `hcl:"rollout,block" validate:"omitnil"`

	// Token is the content of OperatorTokenFile, or "" without a file.
	Token string
}

// Defaults of the operators' settings that don't follow from the platform's.
const (
	defaultStartDeadlineS = 240
	defaultHeadroom       = 0.1
	defaultNetworkFactor  = 1
)

// The default of MachineSilenceTimeoutS is silenceHeartbeats heartbeat intervals plus silenceSlackS, in seconds, or the
// workers' lease if that is shorter.
const (
	silenceHeartbeats = 3
	silenceSlackS     = 4
)

// minOperatorTokenLength is the minimum length of the operators' token, in bytes.
const minOperatorTokenLength = 16

var errTokenTooShort = errors.New("the token must have at least " + strconv.Itoa(minOperatorTokenLength) + " characters")

// applyDefaults sets the defaults of the settings that operators haven't set.
func (s *Settings) applyDefaults() {
	operator := &s.Operator
	if operator.ControllerLeaseTTLMS == 0 {
		operator.ControllerLeaseTTLMS = int(s.defaultControllerLeaseTTL().Milliseconds())
	}
	if operator.StartDeadlineS == 0 {
		operator.StartDeadlineS = defaultStartDeadlineS
	}
	if operator.MachineSilenceTimeoutS == 0 {
		workers := s.Params.Workers
		silenceTimeoutS := silenceHeartbeats*workers.HeartbeatIntervalS + silenceSlackS
		operator.MachineSilenceTimeoutS = min(workers.LeaseS, silenceTimeoutS)
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

// applyMachineBound sets MaxMachines, unless operators have set it, and MachinesBound.
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
