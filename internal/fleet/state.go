package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/planner"
)

// ranking is the priority order of live jobs. RankJobs makes it anew; scheduling cycles only read it.
type ranking struct {
	jobs             []*jobs.Job // by rank, the first goes first
	at               time.Duration
	withinGuarantee  map[jobs.Index]bool // jobs that their team's guarantee covers
	startDeadlineDue map[jobs.Index]bool // arrays and services of which a few tasks go before all others
}

func newRanking() ranking {
	return ranking{withinGuarantee: map[jobs.Index]bool{}, startDeadlineDue: map[jobs.Index]bool{}}
}

// gpuReserve is what waiting work that needs accelerators takes besides them, found once a cycle: so much of a
// machine's processors and memory is kept beside its idle accelerators.
type gpuReserve struct {
	perGPU planner.Size // processors and memory for each accelerator
	// withinGuarantee tells whether any of that work lies within its team's guarantee; priority is the highest of it.
	withinGuarantee bool
	priority        int
	onDemandTypes   map[int32]bool // machine types that jobs which may not use spot machines need
	seenTypes       map[int32]bool // all machine types of which there has been a machine
}

func newGPUReserve() gpuReserve {
	return gpuReserve{onDemandTypes: map[int32]bool{}, seenTypes: map[int32]bool{}}
}

// scratch holds buffers that one call at a time uses, so that hot paths don't allocate.
type scratch struct {
	jobs   []jobs.Index
	work   []planner.Work
	refs   []TaskRef
	listed map[TaskRef]struct{} // the tasks that the heartbeat at hand lists as alive
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

// hintCache is which images machines are believed to hold: as inherited from earlier leaders, until each machine is
// heard, and what of it has changed since it was written.
type hintCache struct {
	inherited   map[string][]cachedImage // by machine name
	dirtyShards []bool
	lastShard   int // written last
	writtenAt   time.Duration
}

// activity counts what has happened since the last summary in the log.
type activity struct {
	heartbeats, directRequests int
	summarizedAt               time.Duration
}
