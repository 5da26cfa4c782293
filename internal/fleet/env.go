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

// MachineType is the part of a machine type's description that placement needs.
type MachineType struct {
	Size    planner.Size
	CacheGB float64 // image cache
	FetchGB float64 // image download rate, in GB per second
	BootS   float64 // seconds from the order to the first heartbeat
	Price   float64 // on-demand price
	Spot    float64 // spot price; 0 if the type has none
}

// Env is what a Fleet needs of the controller that runs it. All functions are called on the event loop, and the
// callbacks that they take must be called there too.
type Env struct {
	Settings *config.Settings
	Jobs     *jobs.Table
	// Types returns a machine type by its index, or nil while the type's description is not available.
	Types  func(typeIndex int32) *MachineType
	Random *rand.Rand
	// Now returns the monotonic clock, for responses that arrive after the call that requested them.
	Now func() time.Duration

	// CanWrite reports whether a write of n operations may be sent now.
	CanWrite func(n int) bool
	// HasSpareWrites reports whether half of the budget for writes is unused.
	HasSpareWrites func() bool
	// Commit sends one transaction of the leader, guarded by its leader key.
	Commit func(store.Txn, func(store.Result))
	// Read reads one key again after a write that failed or whose outcome is indeterminate.
	Read func(key string, done func(store.Item, error))
	// TxnOps bounds the operations of one transaction.
	TxnOps int
	// Limits returns what one transaction may hold now. That may be less than TxnOps, since the state service's
	// limits may shrink. If nil, TxnOps and the settings apply.
	Limits func() store.Limits
	// PlansInPages reports whether plans are written into pages that many jobs share, as from level 2 of the stored
	// state on. If nil, they are.
	PlansInPages func() bool

	// LatestEnds returns a function that gives the latest time at which a job may end for the deadlines of the jobs
	// that need it; false if they have none. runTime is the time from a job's release to its end. If nil, no job needs
	// another.
	LatestEnds func(runTime func(*jobs.Job) time.Duration) func(*jobs.Job) (time.Duration, bool)

	// SendCommands sends commands directly to a machine. If ok is false, the outcome is indeterminate; the
	// heartbeat is the body of the response, nil if there is none.
	SendCommands func(machine *Machine, commands DirectCommands, done func(heartbeat *Heartbeat, ok bool))
	// MaxDirectRequests bounds the direct requests without a response yet; 0 means no bound.
	MaxDirectRequests int

	// OnJobRecord receives each job record that this fleet has written or read again.
	OnJobRecord func(now time.Duration, item store.Item)
	// OnUnreadable receives each stored record that cannot be decoded, with the cause. It may be nil.
	OnUnreadable func(key string, raw json.RawMessage, cause error)
	// Events records what happens to jobs, tasks and machines. It may be nil.
	Events *events.Log
}
