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
	// latestEnds holds when jobs must have ended for the deadlines of the jobs that need them.
	latestEnds map[jobs.Index]time.Duration
}

// newRanking returns the ranking of no jobs, which is out of date.
func newRanking() ranking {
	return ranking{
		withinGuarantee:  map[jobs.Index]bool{},
		startDeadlineDue: map[jobs.Index]bool{},
		latestEnds:       map[jobs.Index]time.Duration{},
	}
}

// gpuReserve is how much of a machine's processors and memory is reserved beside its idle accelerators, for the
// waiting tasks that need accelerators. Each scheduling cycle computes it once, in computeGPUReserve.
type gpuReserve struct {
	perGPU          planner.Size   // processors and memory for each accelerator
	withinGuarantee bool           // some of that work is within its team's guarantee
	priority        int            // the highest priority of that work
	onDemandTypes   map[int32]bool // machine types needed by jobs that must not run on spot machines
	seenTypes       map[int32]bool // machine types of which a machine was registered in this term
}

// newGPUReserve returns a reserve of nothing.
func newGPUReserve() gpuReserve {
	return gpuReserve{onDemandTypes: map[int32]bool{}, seenTypes: map[int32]bool{}}
}

// scratch holds buffers that hot paths reuse instead of allocating. Each is valid until the next call that uses it.
type scratch struct {
	jobIndices  []jobs.Index
	work        []planner.Work
	taskRefs    []TaskRef
	commands    []Command
	listedTasks map[TaskRef]struct{} // live tasks in the heartbeat that is being processed
}

// writerState is the state of a planWriter.
//
//	idle      -> in flight  FlushWrites sends a transaction, with changes or with deletions
//	in flight -> idle       it was committed, or certainly not applied
//	in flight -> resolving  its outcome is a conflict or indeterminate: every key of it is read again
//	resolving -> idle       every key was read, and shows whether the transaction was applied
//	idle     <-> stuck      a transaction may, at present, not hold all pages whose last write is indeterminate
type writerState uint8

const (
	writerIdle writerState = iota
	writerInFlight
	writerResolving
	writerStuck
)

// planWriter is the state of the only write that may be in flight, and of what is still to be written or deleted.
type planWriter struct {
	state   writerState
	retry   func(time.Duration) // repeats a read that failed while resolving; nil: none
	retryAt time.Duration

	pages             *pages.Pages
	planBecameDurable bool        // since the last direct dispatch
	endedJobs         []*jobs.Job // that may have tasks on machines, or have plans that are not obsolete yet
	obsoleteKeys      []string    // of plan segments, to be deleted
	migrated          bool        // no plan segment has a key of its own any more
}

// hintCache is the state of the stored image hints: those loaded from earlier terms, which apply once their machine
// is registered, and the shards that changed since they were last written.
type hintCache struct {
	inherited   map[string][]cachedImage // by machine name
	dirtyShards []bool
	lastShard   int // the shard written last
	writtenAt   time.Duration
}

// activity counts heartbeats and direct requests since the last summary in the log, see LogSummary.
type activity struct {
	heartbeats, directRequests int
	summarizedAt               time.Duration
}
