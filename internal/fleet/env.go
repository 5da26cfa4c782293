package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
)

// MachineType describes a machine type, as far as placement needs it.
type MachineType struct {
	Size          planner.Size
	CacheGB       float64 // size of the image cache; 0 if unbounded
	FetchGB       float64 // image download rate, in GB per second
	BootS         float64 // seconds from the order to the first heartbeat
	OnDemandPrice float64 // on-demand price
	SpotPrice     float64 // spot price; 0 if the type has none
}

// Env holds the settings, tables and functions that the controller supplies to its Fleet. The fleet calls the functions
// on the event loop, and their callbacks must be called there too.
type Env struct {
	Settings *config.Settings
	Jobs     *jobs.Table
	// Types returns a machine type by its index, or nil while the type's description is not available.
	Types  func(typeIndex int32) *MachineType
	Random *rand.Rand
	// Now returns the time of the monotonic clock. Callbacks use it, since they run after the call that passed them
	// has returned.
	Now func() time.Duration

	// CanWrite reports whether a write of n operations may be sent now.
	CanWrite func(n int) bool
	// HasSpareWrites reports whether at least half of the write budget is unused.
	HasSpareWrites func() bool
	// Commit sends one transaction that is conditional on the leader key.
	Commit func(store.Txn, func(store.Result))
	// ReadKey reads one key again after a write that failed or whose outcome is indeterminate.
	ReadKey func(key string, done func(store.Item, error))
	// MaxTxnOps is the maximum number of operations in one transaction.
	MaxTxnOps int
	// Limits returns the present limits of one transaction. They may be lower than MaxTxnOps, since the state service can
	// reduce its limits. If nil, MaxTxnOps and the settings apply.
	Limits func() store.TxnLimits
	// PlansInPages reports whether plans are written into pages that many jobs share, which level 2 of the stored state
	// introduced. If nil, plans are written into pages.
	PlansInPages func() bool

	// LatestEnds returns a function that gives the latest time at which a job may end so that the jobs that depend on
	// it can meet their deadlines, or false if none of them has a deadline. runTime returns the time from a job's
	// release to its end. If LatestEnds is nil, no job depends on another.
	LatestEnds func(runTime func(*jobs.Job) time.Duration) func(*jobs.Job) (time.Duration, bool)

	// SendCommands sends commands directly to a machine and then calls done. The heartbeat is the body of the response,
	// or nil if there was no response.
	SendCommands func(machine *Machine, commands DirectCommands, done func(heartbeat *Heartbeat))
	// MaxDirectRequests is the maximum number of direct requests without a response yet; 0 means no maximum.
	MaxDirectRequests int

	// OnJobRecord receives each job record that this fleet has written, or has read to resolve a write's outcome.
	OnJobRecord func(now time.Duration, item store.Item)
	// OnUnreadable receives each stored record that cannot be decoded, with the cause. It may be nil.
	OnUnreadable func(key string, raw json.RawMessage, cause error)
	// Events records what happens to jobs, tasks and machines. It may be nil.
	Events *events.Log
}
