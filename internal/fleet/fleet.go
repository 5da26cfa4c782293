// Package fleet is the leader's side of the machines and of the work on them. It owns each machine's condition,
// fencing token, lease and agent session, the placement of tasks, and the durable plan that records a task's
// machine before the task is launched there.
//
// A Fleet lives for one term of one controller, or of one shard's leader. The controller's event loop is its only
// caller: heartbeats, changes of the job table, ticks and the outcomes of writes arrive there one after the other.
// The package has no goroutine, clock, lock or I/O of its own. Writes, reads and direct commands leave through the
// functions of Env, and time is an argument. The simulator and the tests drive it the same way.
//
// What it never does:
//   - launch a task whose machine is not in the durable plan, see appendStarts and jobs.Job.IsDurable;
//   - act on a heartbeat below the machine's token: commands of a former leader may still arrive until then;
//   - count a task as gone without proof: a heartbeat at the current token that lacks it, the cloud's confirmation that
//     the machine is terminated, or an expired worker lease;
//   - use an attempt number twice, in any term.
//
// Where things are:
//
//	fleet.go, state.go, env.go          the Fleet, its state by concern, what it needs of the controller
//	machine.go, lease.go, drain.go      a machine and its conditions; lease expiry and return; operators' drains
//	messages.go, wire.go                the messages to and from workers; their JSON forms and the conversion
//	heartbeat.go, reconcile.go          a heartbeat: is it current, what does it prove
//	reachability.go                     one-way reachability, stale copies and restarted workers
//	commands.go, dispatch.go, start.go  the response's commands, direct requests, which queued tasks start
//	occupancy.go, images.go             what counts as on a machine; image cache hints
//	crashloop.go, zoneloss.go           crash loops and faulty machines; what the loss of a zone would mean
//	jobchange.go                        jobs that are accepted and that end
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

// Fleet is the state of one leader's term over the machines and the work on them. The fields are grouped by concern;
// state.go has the types that hold most of it. A Fleet is not safe for concurrent use.
type Fleet struct {
	Env
	// Term is the leader's term; the high bits of every token and attempt of this fleet hold it.
	Term uint64
	// ZoneAcceptsWork reports whether a zone takes new work of a kind. If nil, all zones do.
	ZoneAcceptsWork func(zone int32, kind zones.WorkKind) bool
	// Gate decides by quota and licences whether a task may start, and counts what may be on machines.
	Gate *admission.Gate
	// PlanningSteps counts the work of planning, in machines, queues and tasks examined. It spaces the scheduling
	// cycles, and tests bound it.
	PlanningSteps uint64
	// LastHeartbeat is when the last heartbeat that proved contact with any machine was accepted.
	LastHeartbeat time.Duration

	// The term.
	termStartedAt  time.Duration
	plansLoaded    bool
	startsStopped  bool            // no launches: leadership is being handed over
	attemptCounter uint64          // of this term's launches
	unreadableJobs map[string]bool // jobs whose records could not be read when the term began

	// The machines and what is sent to them.
	machines       []*Machine // by dense index
	byName         map[string]*Machine
	directRequests int // direct commands without a response yet
	activity       activity

	// The scheduling cycle.
	ranking       ranking
	cycle         schedulingCycle
	nextCycle     time.Duration
	nextRoomCheck time.Duration // when updateRoomSince is due again
	gpuReserve    gpuReserve
	scratch       scratch

	// What planning keeps of each job from one cycle to the next. queuedOn holds, for each job with planned tasks, how
	// many of them are queued on which machine, so that planning need not examine the whole fleet.
	queuedOn         map[jobs.Index]map[int32]int
	classes          map[int32]*classStats          // run-time statistics by job class
	preemptedAt      map[jobs.Index]time.Duration   // when a job last preempted others
	crashLoops       map[jobs.Index]*crashLoop      // for jobs with failed tasks
	unplannedReasons map[jobs.Index]unplannedReason // why the last cycle left tasks of a job without a plan
	licenceGrants    map[jobs.Index]licences.Grant  // by the last cycle, for jobs that need licences
	noMachineUntil   map[jobs.Index]time.Duration   // arrays for which no machine was found: when to plan them again

	// What is stored.
	writer planWriter
	hints  hintCache
}

// New returns the fleet of a term that begins at now. Until LoadPlans has read the durable plans it launches
// nothing and accepts heartbeats only to register machines and to hand out its token.
func New(env Env, term uint64, now time.Duration) *Fleet {
	f := &Fleet{
		Env:              env,
		Term:             term,
		LastHeartbeat:    now,
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

// StopStarting prevents all further launches in this term. Running tasks go on, and writes that are due are still
// sent.
func (f *Fleet) StopStarting() { f.startsStopped = true }

// PlansLoaded reports whether LoadPlans has read the durable plans.
func (f *Fleet) PlansLoaded() bool { return f.plansLoaded }

// Machines returns all machines registered in this term, by index. The fleet owns the slice and the machines.
func (f *Fleet) Machines() []*Machine { return f.machines }

// checkTransition logs a change of state that the job's state machine does not allow: always a defect, never the
// result of input.
func (f *Fleet) checkTransition(err error) {
	if err != nil {
		slog.Error("state transition not allowed", "term", f.Term, "error", err)
	}
}

// jobAt returns a job by its index, or nil if it has been swept.
func (f *Fleet) jobAt(jobIndex jobs.Index) *jobs.Job { return f.Jobs.ByIndex(jobIndex) }
