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
	at               time.Duration       // time at which the order was built; 0 if it is out of date
	withinGuarantee  map[jobs.Index]bool // jobs within their team's guarantee
	startDeadlineDue map[jobs.Index]bool // arrays and services whose first tasks rank before all other jobs
	// latestEnds holds the time by which a job must end so that the jobs that depend on it can meet their deadlines.
	latestEnds map[jobs.Index]time.Duration
}

// newRanking returns an empty ranking that is out of date.
func newRanking() ranking {
	return ranking{
		withinGuarantee:  map[jobs.Index]bool{},
		startDeadlineDue: map[jobs.Index]bool{},
		latestEnds:       map[jobs.Index]time.Duration{},
	}
}

// gpuReserve is the amount of processors and memory that is reserved on a machine beside its idle accelerators, for
// the waiting tasks that need accelerators (GPU work). Each scheduling cycle computes it once, in computeGPUReserve.
type gpuReserve struct {
	perGPU          planner.Size   // processors and memory for each idle accelerator
	withinGuarantee bool           // some waiting GPU work is within its team's guarantee
	priority        int            // highest priority of the waiting GPU work
	onDemandTypes   map[int32]bool // machine types needed by jobs that must not run on spot machines
	seenTypes       map[int32]bool // types of the machines registered in this term
}

// newGPUReserve returns an empty reserve.
func newGPUReserve() gpuReserve {
	return gpuReserve{onDemandTypes: map[int32]bool{}, seenTypes: map[int32]bool{}}
}

// scratch holds buffers that hot paths reuse to avoid allocations. The content of a buffer is valid until the next call
// that uses the same buffer.
type scratch struct {
	jobIndices  []jobs.Index
	work        []planner.QueuedWork
	taskRefs    []TaskRef
	commands    []Command
	listedTasks map[TaskRef]struct{} // live tasks in the heartbeat that is being processed
}

// writerState is the state of a planWriter.
//
//	idle      -> in flight  FlushWrites sends a transaction, with changes or with deletions
//	in flight -> idle       the transaction was committed, or certainly not applied
//	in flight -> resolving  its outcome is a conflict or indeterminate: each of its keys is read again
//	resolving -> idle       all its keys were read, which shows whether the transaction was applied
//	idle     <-> stuck      the pages whose last write is indeterminate exceed the present limits of a transaction
type writerState uint8

const (
	writerIdle writerState = iota
	writerInFlight
	writerResolving
	writerStuck
)

// planWriter holds the state of the transaction in flight, of which there is at most one, and the changes and deletions
// that are still to be sent.
type planWriter struct {
	state   writerState
	retry   func(time.Duration) // repeats a read that failed while resolving; nil if none failed
	retryAt time.Duration       // time of the retry

	pages             *pages.Pages
	planBecameDurable bool        // a plan became durable since the last direct dispatch
	endedJobs         []*jobs.Job // ended jobs that may have tasks on machines or whose plans are not obsolete yet
	obsoleteKeys      []string    // keys of plan segments to be deleted
	migrated          bool        // all plan segments are stored in pages, none under a key of its own
}

// hintCache is the state of the stored image hints: the hints loaded from earlier terms, which apply once their machine
// is registered, and the shards that changed since their last write.
type hintCache struct {
	inherited   map[string][]cachedImage // images of earlier terms by machine name
	dirtyShards []bool
	lastShard   int           // shard of the last write
	writtenAt   time.Duration // time of the last write
}

// activity counts heartbeats and direct requests since the last summary in the log, see LogSummary.
type activity struct {
	heartbeats, directRequests int
	summarizedAt               time.Duration // time of the last summary
}
