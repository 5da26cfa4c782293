// Package fleet is the leader's side of machine and task management. It owns each machine's condition, fencing
// token, lease and worker session, the placement of tasks, and the durable plan that records a task's machine before
// the task is launched there.
//
// A Fleet lives for one term of one controller, or of one shard's leader. The controller's event loop is its only
// caller, and passes on heartbeats, changes of the job table, ticks and the outcomes of writes one after the other.
// The package has no goroutine, clock, lock or I/O of its own. It sends writes, reads and direct commands through the
// functions of Env, and receives the time as an argument. The simulator and the tests call it the same way.
//
// Invariants:
//   - A task is launched only if its machine is in the durable plan, see appendStarts and jobs.Job.IsDurable.
//   - A heartbeat below the machine's token does not change the state of any task. Until a heartbeat carries the token,
//     commands of a former leader may still arrive at the machine.
//   - A task counts as on its machine until one of three proofs: a heartbeat at the current token that does not list
//     the task, the cloud's confirmation that the machine is terminated, or an expired worker lease.
//   - No attempt number is used twice, in any term.
//
// Files:
//
//	fleet.go, state.go, env.go          the Fleet, its state by concern, the functions that the controller supplies
//	machine.go, lease.go, drain.go      a machine and its conditions; lease expiry and return; operators' drains
//	messages.go, wire.go                the messages to and from workers; their JSON forms and the conversion
//	heartbeat.go, reconcile.go          acceptance of heartbeats; reconciliation of the tasks they list
//	reachability.go                     one-way unreachable machines, stale copies, restarted workers
//	commands.go, dispatch.go, start.go  commands in responses and in direct requests; task launches
//	occupancy.go, images.go             which tasks count as on a machine; image cache hints
//	crashloop.go, zoneloss.go           crash loops and faulty machines; estimate of a zone's loss
//	jobchange.go                        accepted, released and ended jobs
//	cycle.go, priority.go, demand.go    the scheduling cycle, the priority order, the demand for machines
//	array.go, gang.go, service.go       placement of job arrays, gangs and services
//	candidates.go, packing.go           machines that may take a job, and the order in which they are filled
//	machineload.go, queues.go, steal.go a machine's expected load, its queue of tasks, work stealing between queues
//	backfill.go, gpureserve.go          room beside waiting work; processors kept beside idle accelerators
//	startdeadline.go, overload.go       overdue starts; deadlines that can't be met
//	preempt.go, suspend.go              preemption; sessions that are taken off their machines
//	licences.go, licencepreempt.go      licence units granted to jobs, and taken back
//	estimate.go, pendingreason.go       run-time estimates; why a task waits
//	planwrites.go, writebatch.go        what is written in one transaction, within which limits (writelimits.go)
//	writeoutcome.go                     what follows from a write's outcome, indeterminate ones included
//	planmigration.go, plandeletion.go   plans into pages; obsolete plans
//	recovery.go, quarantine.go          plans read at the start of a term; those that can't be read
package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/admission"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/quota"
	"github.com/harewalk/harewalk/internal/zones"
)

// Fleet holds the machines and the tasks on them for one leader's term. The fields are grouped by concern; state.go
// declares the types of most of them. A Fleet is not safe for concurrent use.
type Fleet struct {
	Env
	// Term is the leader's term. It is the high bits of every token and attempt number that this fleet issues.
	Term uint64
	// ZoneAcceptsWork reports whether a zone accepts new work of a kind. If nil, every zone accepts all work.
	ZoneAcceptsWork func(zone int32, kind zones.WorkKind) bool
	// Gate decides by quota and licences whether a task may start. It counts the quota and licence units of all tasks
	// that may be on machines.
	Gate *admission.Gate
	// PlanningSteps counts the machines, queues and tasks that planning has examined. The interval between scheduling
	// cycles depends on this count, and tests bound it.
	PlanningSteps uint64
	// LastContactAt is the time of the last accepted heartbeat that proved contact with any machine.
	LastContactAt time.Duration

	// The term.
	termStartedAt  time.Duration
	plansLoaded    bool
	startsStopped  bool            // leadership is being handed over: no task is launched
	attemptCounter uint64          // number of attempts issued in this term
	unreadableJobs map[string]bool // ids of jobs whose records were unreadable when the term began

	// The machines and the direct requests to them.
	machines       []*Machine // machines by dense index
	byName         map[string]*Machine
	directRequests int // number of direct requests without a response yet
	activity       activity
	counts         CommandCounts

	// The scheduling cycle.
	ranking       ranking
	cycle         schedulingCycle
	nextCycle     time.Duration
	nextRoomCheck time.Duration // time of the next updateRoomSince
	gpuReserve    gpuReserve
	scratch       scratch

	// Planning state of each job that outlives a scheduling cycle. queuedOn holds, for each job with planned tasks, how
	// many of them are queued on each machine, so that planning need not examine the whole fleet.
	queuedOn         map[jobs.Index]map[int32]int
	classes          map[int32]*classStats          // run-time statistics, by job class
	preemptedAt      map[jobs.Index]time.Duration   // time at which a job last preempted others
	crashLoops       map[jobs.Index]*crashLoop      // failure records of jobs with failed tasks
	unplannedReasons map[jobs.Index]unplannedReason // reason why the last cycle left tasks of a job unplanned
	licenceGrants    map[jobs.Index]licences.Grant  // grants of the last cycle to jobs that need licences
	noMachineUntil   map[jobs.Index]time.Duration   // time of the next planning of an array without a suitable machine

	// Writes to the state service.
	writer planWriter
	hints  hintCache
}

// New returns the fleet of a term that begins at now. Until LoadPlans has read the durable plans, the fleet launches no
// task, and uses heartbeats only to register machines and to send them its token.
func New(env Env, term uint64, now time.Duration) *Fleet {
	f := &Fleet{
		Env:              env,
		Term:             term,
		LastContactAt:    now,
		termStartedAt:    now,
		unreadableJobs:   map[string]bool{},
		byName:           map[string]*Machine{},
		ranking:          newRanking(),
		gpuReserve:       newGPUReserve(),
		scratch:          scratch{listedTasks: map[TaskRef]struct{}{}},
		hints:            hintCache{inherited: map[string][]cachedImage{}},
		queuedOn:         map[jobs.Index]map[int32]int{},
		classes:          map[int32]*classStats{},
		preemptedAt:      map[jobs.Index]time.Duration{},
		crashLoops:       map[jobs.Index]*crashLoop{},
		unplannedReasons: map[jobs.Index]unplannedReason{},
		licenceGrants:    map[jobs.Index]licences.Grant{},
		noMachineUntil:   map[jobs.Index]time.Duration{},
	}
	if f.PlansInPages == nil {
		f.PlansInPages = func() bool { return true }
	}
	f.writer.pages = pages.New(f.pageLimit())
	names := env.Jobs.Names
	limits := quota.New(env.Settings.Params.Teams, names.Teams.Index)
	f.Gate = admission.New(limits, licences.New(names.Pools, names.Teams.Index, now))
	return f
}

// StopStarting prevents all further launches in this term. Running tasks continue, and pending writes are still
// sent.
func (f *Fleet) StopStarting() { f.startsStopped = true }

// PlansLoaded reports whether LoadPlans has read the durable plans.
func (f *Fleet) PlansLoaded() bool { return f.plansLoaded }

// Machines returns all machines registered in this term, by index. The caller must not change the slice.
func (f *Fleet) Machines() []*Machine { return f.machines }

// checkTransition logs the error of a state change that the job's state machine does not allow. Such an error is
// always a defect in this package, never the result of input.
func (f *Fleet) checkTransition(err error) {
	if err != nil {
		slog.Error("state transition not allowed", "term", f.Term, "error", err)
	}
}

// jobAt returns the job with an index, or nil if the job has been removed from the table.
func (f *Fleet) jobAt(jobIndex jobs.Index) *jobs.Job { return f.Jobs.ByIndex(jobIndex) }
