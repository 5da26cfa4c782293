package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/planner"
)

// ranking is the priority order of live jobs. RankJobs rebuilds it; scheduling cycles only read it.
type ranking struct {
	jobs             []*jobs.Job         // highest priority first
	at               time.Duration       // when it was built; 0: it is out of date
	withinGuarantee  map[jobs.Index]bool // jobs within their team's guarantee
	startDeadlineDue map[jobs.Index]bool // arrays and services whose first tasks rank before all other jobs
}

func newRanking() ranking {
	return ranking{withinGuarantee: map[jobs.Index]bool{}, startDeadlineDue: map[jobs.Index]bool{}}
}

// gpuReserve is how much of a machine's processors and memory is reserved beside its idle accelerators, for the
// waiting tasks that need accelerators. Each scheduling cycle computes it once, in findGPUReserve.
type gpuReserve struct {
	perGPU          planner.Size   // processors and memory for each accelerator
	withinGuarantee bool           // some of that work is within its team's guarantee
	priority        int            // the highest priority of that work
	onDemandTypes   map[int32]bool // machine types needed by jobs that must not run on spot machines
	seenTypes       map[int32]bool // machine types of which a machine was registered in this term
}

func newGPUReserve() gpuReserve {
	return gpuReserve{onDemandTypes: map[int32]bool{}, seenTypes: map[int32]bool{}}
}

// scratch holds buffers that hot paths reuse instead of allocating. Each is valid until the next call that uses it.
type scratch struct {
	jobIndices  []jobs.Index
	work        []planner.Work
	taskRefs    []TaskRef
	listedTasks map[TaskRef]struct{} // live tasks in the heartbeat that is being processed
}

// planWriter is the state of the one write that may be in flight, and of what is still to be written or deleted.
// FlushWrites describes the protocol; its states are:
//
//	idle      -> in flight   FlushWrites or deleteObsoletePlans sends a transaction
//	in flight -> idle        the outcome is determinate
//	in flight -> in flight   the outcome is indeterminate: every key is read again before anything else is written
type planWriter struct {
	inFlight bool
	stuck    bool                // an indeterminate write cannot be resolved in this term, see WritesStuck
	retry    func(time.Duration) // reads the keys of an indeterminate write again; nil if none is due
	retryAt  time.Duration

	pages             *pages.Pages
	planBecameDurable bool        // since the last direct dispatch
	endedJobs         []*jobs.Job // with tasks that may still be on machines, or plans that are still stored
	obsoleteKeys      []string    // stored plans to delete
	migrated          bool        // no plan is stored under a key of its own any more
}

// hintCache is the state of the stored image hints: those loaded from earlier terms, which apply once their machine
// is registered, and the shards that changed since they were last written.
type hintCache struct {
	inherited   map[string][]cachedImage // by machine name
	dirtyShards []bool
	lastShard   int // the shard written last
	writtenAt   time.Duration
}

// activity counts heartbeats and direct requests since the last summary in the log, see Summary.
type activity struct {
	heartbeats, directRequests int
	summarizedAt               time.Duration
}
