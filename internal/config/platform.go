package config

import (
	"time"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// Settings holds one controller's settings: the platform's file, the operators' settings, and the values derived from
// both. It is immutable once it has been loaded.
type Settings struct {
	Node       string   `json:"node" validate:"required"`
	Zone       string   `json:"site"`
	PublicAddr string   `json:"public_addr" validate:"required,hostport"`
	PeerAddr   string   `json:"back" validate:"required,hostport"`
	Peers      []Peer   `json:"others" validate:"dive"`
	Services   Services `json:"services"`
	Params     Params   `json:"params"`

	// Operator holds the operators' settings, which are never read from the platform's file.
	Operator Operator `json:"-"`

	// The two fields below are set by SimulateRelease only.
	simulatedLevel   rollout.Level
	simulatedRelease string

	// Derived from the operators' settings and the files that they name.
	licencePools []*licences.Pool
	sessions     *sessions.Policies
	keys         *access.Keys
	users        *access.Users
}

// Peer is another controller.
type Peer struct {
	Node string `json:"node" validate:"required"`
	Zone string `json:"site"`
	Addr string `json:"endpoint" validate:"required,hostport"`
}

// Services holds the addresses of the outside systems.
type Services struct {
	Cloud string `json:"cloud" validate:"required,hostport"`
	State string `json:"state" validate:"required,hostport"`
}

// Params holds the settings that are the same on all controllers.
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

// Team holds a team's quota of CPU cores and GPUs. CPUs and GPUs are guarantees; CPUsMax and GPUsMax are limits. 0
// means that no guarantee or limit is set.
type Team struct {
	Name    string  `json:"name" validate:"required"`
	CPUs    float64 `json:"cpus" validate:"gte=0"`
	CPUsMax float64 `json:"cpus_max" validate:"gte=0"`
	GPUs    float64 `json:"gpus" validate:"gte=0"`
	GPUsMax float64 `json:"gpus_max" validate:"gte=0"`
}

// Objective is one service-level objective. Kind determines which of the other fields apply.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
	Max     float64 `json:"most"`
}

// Kinds of objectives that measure cost.
const (
	objectiveKindPrice  = "price"
	objectiveKindUseful = "useful"
)

// Workers holds the timing of the workers, in seconds.
type Workers struct {
	// HeartbeatIntervalS is the interval between two heartbeats of a worker.
	HeartbeatIntervalS float64 `json:"report_s" validate:"gt=0"`
	// LeaseS is how long a worker keeps its tasks running after the last response 200 to a heartbeat.
	LeaseS float64 `json:"lease_s" validate:"gt=0"`
	// GangWaitS is how long a gang's task waits for the gang's other tasks to start before it exits.
	GangWaitS float64 `json:"gang_wait_s" validate:"gt=0"`
	// GangPeerS is how long a gang's other tasks may run on after one task has ended.
	GangPeerS float64 `json:"gang_peer_s" validate:"gt=0"`
	// CancelS is the time within which all tasks of a cancelled job have to be gone.
	CancelS float64 `json:"cancel_s" validate:"gt=0"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `json:"rps" validate:"gt=0"`
	WriteRPS float64 `json:"write_rps" validate:"gt=0"`
	ValueKB  float64 `json:"value_kb" validate:"gt=0"`
	TxnOps   int     `json:"txn_ops" validate:"gt=0"`
	// Next holds announced limits, which the service will apply from a later time on without further notice; nil if
	// none are announced.
	Next *AnnouncedStateLimits `json:"next" validate:"omitnil"`
}

// AnnouncedStateLimits holds announced limits of the state service; 0 means that the limit doesn't change.
type AnnouncedStateLimits struct {
	WriteRPS float64 `json:"write_rps" validate:"gte=0"`
	ValueKB  float64 `json:"value_kb" validate:"gte=0"`
	TxnOps   int     `json:"txn_ops" validate:"gte=0"`
}

// bytesPerKB converts the state service's value limit to bytes.
const bytesPerKB = 1024

// Limits returns the limits for every transaction: the smaller of each present and announced limit. Announced limits
// apply from the start, so that no stored value has to shrink when they take effect.
func (s State) Limits() store.TxnLimits {
	limits := store.TxnLimits{MaxOps: s.TxnOps, MaxValueBytes: int(s.ValueKB * bytesPerKB)}
	if s.Next == nil {
		return limits
	}
	if s.Next.TxnOps > 0 {
		limits.MaxOps = min(limits.MaxOps, s.Next.TxnOps)
	}
	if s.Next.ValueKB > 0 {
		limits.MaxValueBytes = min(limits.MaxValueBytes, int(s.Next.ValueKB*bytesPerKB))
	}
	return limits
}

// Cloud holds the limits of the cloud's API.
type Cloud struct {
	RPS float64 `json:"rps" validate:"gt=0"`
	// ListLagS is how far the cloud's list of machines may lag behind, in seconds.
	ListLagS float64 `json:"list_lag_s" validate:"gte=0"`
}

// WorkerLease returns LeaseS as a duration.
func (s *Settings) WorkerLease() time.Duration { return jobs.Seconds(s.Params.Workers.LeaseS) }

// HasCostObjective reports whether any objective measures cost.
func (s *Settings) HasCostObjective() bool {
	for _, objective := range s.Params.Objectives {
		if objective.Kind == objectiveKindPrice || objective.Kind == objectiveKindUseful {
			return true
		}
	}
	return false
}

// teamNames returns the set of the names of the platform's teams.
func (s *Settings) teamNames() map[string]bool {
	names := map[string]bool{}
	for _, team := range s.Params.Teams {
		names[team.Name] = true
	}
	return names
}
