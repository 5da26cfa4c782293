// Package fleet is the owner's side of the workers: reports, sessions, tokens, leases and
// commands; the placing of tasks by the planner, lane starts and stealing; and the writing
// of the durable plan that comes before every start.
//
// A Fleet lives for one term of one controller. It is driven by the event loop and does
// no I/O of its own.
package fleet

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/harewalk/harewalk/internal/admission"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
	"github.com/harewalk/harewalk/internal/store"
	"github.com/harewalk/harewalk/internal/zones"
)

// MachineType is a machine type as far as placing needs it.
type MachineType struct {
	Size    planner.Size
	CacheGB float64
	FetchGB float64 // per second
	BootS   float64
	Price   float64
	Spot    float64 // spot price, 0 if there is none
}

// Env is what a Fleet needs of its surroundings.
type Env struct {
	Settings *config.Settings
	Jobs     *jobs.Table
	Types    func(int32) *MachineType // nil while unknown
	Rng      *rand.Rand
	// CanWrite tells whether a write of n operations may go out now.
	CanWrite func(n int) bool
	// HasSpareWrites tells whether half of the budget for writes is unused.
	HasSpareWrites func() bool
	// Commit sends one transaction of the leader, guarded by its leader key.
	Commit func(store.Txn, func(store.Result))
	// Read re-reads one key after an open or failed write.
	Read func(key string, done func(store.Item, error))
	// SendCommands sends commands straight to a machine; ok is false if the outcome is open.
	SendCommands func(machine *Machine, o DirectCommands, done func(heartbeat *Heartbeat, ok bool))
	// OnJobRecord hands on a job record that this fleet has written or re-read.
	OnJobRecord func(now time.Duration, item store.Item)
	// Now is the steady clock, for answers that come later than the call that asked.
	Now func() time.Duration
	// TxnOps bounds the operations of one transaction. Limits is what one may hold now, which may be less, for the state
	// service's limits may shrink; nil: it is what TxnOps and the settings say.
	TxnOps int
	Limits func() store.Limits
	// MaxDirectRequests bounds the direct commands under way; 0: no bound.
	MaxDirectRequests int
	// PlansInPages tells whether plans are written into pages that many jobs share: from level 2 of the stored state on.
	// nil: they are.
	PlansInPages func() bool
	// OnUnreadable is told of a stored record that can't be read and why; nil for nobody.
	OnUnreadable func(key string, raw json.RawMessage, cause error)
	// Events takes what happens, for whoever asks; nil for nobody.
	Events *events.Log
}

// Fleet is the state of one leader's term over the machines and the work on them. The fields are grouped by the
// concern that changes them; each group is described in state.go.
type Fleet struct {
	Env
	Term uint64
	// ZoneAcceptsWork tells whether a zone takes new work of a kind; nil: all do.
	ZoneAcceptsWork func(zone int32, kind zones.WorkKind) bool
	// Gate decides whether a task may start and counts what may be on machines.
	Gate *admission.Gate
	// PlanningSteps counts the work of planning, in looks at a machine, queue or task. It spaces the scheduling
	// cycles, and tests bound it.
	PlanningSteps uint64
	// LastHeartbeat is when any worker was last heard.
	LastHeartbeat time.Duration

	termStartedAt  time.Duration
	plansLoaded    bool
	startsStopped  bool            // nothing new is started: the lead is being handed over
	attemptCounter uint64          // of this term's launches
	unreadableJobs map[string]bool // jobs whose records could not be read when the term began

	machines       []*Machine // by dense index
	byName         map[string]*Machine
	directRequests int // direct commands without a response yet

	ranking    ranking
	cycle      schedulingCycle
	nextCycle  time.Duration
	gpuReserve gpuReserve
	scratch    scratch
	writer     planWriter
	hints      hintCache
	activity   activity

	// queuedOn holds, for each job with planned tasks, the machines on which they wait and how many on each:
	// planning looks at those instead of at the whole fleet.
	queuedOn       map[jobs.Index]map[int32]int
	classes        map[int32]*classStats
	preemptedAt    map[jobs.Index]time.Duration  // when a job last had others stopped
	crashLoops     map[jobs.Index]*crashLoop     // jobs of which tasks failed
	pendingNotes   map[jobs.Index]pendingNote    // why a job's unplanned tasks wait, as of the last cycle
	licenceGrants  map[jobs.Index]licences.Grant // by the last cycle, for jobs that need licences
	nextRoomCheck  time.Duration                 // earliest next look at which jobs wait beside free room
	noMachineUntil map[jobs.Index]time.Duration  // arrays for which no machine was found: not tried before
}

// New starts a term at time now. Until LoadPlans has read the durable plans nothing acts.
func New(env Env, term uint64, now time.Duration) *Fleet {
	f := &Fleet{
		Env:            env,
		Term:           term,
		LastHeartbeat:  now,
		termStartedAt:  now,
		unreadableJobs: map[string]bool{},
		byName:         map[string]*Machine{},
		ranking:        newRanking(),
		gpuReserve:     newGPUReserve(),
		scratch:        scratch{listed: map[TaskRef]struct{}{}},
		hints:          hintCache{inherited: map[string][]cachedImage{}},
		queuedOn:       map[jobs.Index]map[int32]int{},
		classes:        map[int32]*classStats{},
		preemptedAt:    map[jobs.Index]time.Duration{},
		crashLoops:     map[jobs.Index]*crashLoop{},
		pendingNotes:   map[jobs.Index]pendingNote{},
		licenceGrants:  map[jobs.Index]licences.Grant{},
		noMachineUntil: map[jobs.Index]time.Duration{},
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

// maxOps is how many changes a transaction may hold now.
func (f *Fleet) maxOps() int {
	if f.Limits == nil {
		return f.TxnOps
	}
	return min(f.TxnOps, f.Limits().MaxOps)
}

// valueLimit is how large a value of many parts may be made now, in bytes: a little less than what is taken.
func (f *Fleet) valueLimit() int {
	limit := f.Settings.Params.State.Limits().MaxValueBytes
	if f.Limits != nil {
		limit = min(limit, f.Limits().MaxValueBytes)
	}
	return limit * 7 / 8
}

// pageLimit is how much is put in one page now.
func (f *Fleet) pageLimit() int { return min(pageBytes, f.valueLimit()) }

// StopStarting starts nothing new from now on; what runs goes on, and what is due is written.
func (f *Fleet) StopStarting() { f.startsStopped = true }

// PlansLoaded tells whether the durable plans were read.
func (f *Fleet) PlansLoaded() bool { return f.plansLoaded }

// Machines are all machines heard of in this term.
func (f *Fleet) Machines() []*Machine { return f.machines }

// addTaskEvent keeps an event of a task; the note says more.
func (f *Fleet) addTaskEvent(now time.Duration, kind events.Kind, job *jobs.Job, taskIndex int32, note string) {
	task := &job.Tasks[taskIndex]
	f.Events.Add(events.Event{At: now, Kind: kind, Job: job.ID, Task: taskIndex, Machine: task.Machine, Attempt: task.Attempt, Note: note})
}

// pageBytes is how much is put in one page at most, where a value may be larger: all of it is sent with each write.
const pageBytes = 6 << 10

// checkTransition reports a change of state that the rules do not know: a defect, never input.
func (f *Fleet) checkTransition(err error) {
	if err != nil {
		slog.Error("state machine", "term", f.Term, "cause", err)
	}
}

func (f *Fleet) jobAt(jobIndex jobs.Index) *jobs.Job { return f.Jobs.ByIndex(jobIndex) }

// Jobs tells of a change in the job table: a new job is opened, a cancelled one stopped.
func (f *Fleet) HandleJobChange(now time.Duration, job *jobs.Job) {
	if !f.plansLoaded {
		return
	}
	if job.State == jobs.Pending {
		job.OpenTasks()
		// Its plan was passed over when this term began: what runs of it isn't known here. The next leader reads both.
		job.Quarantined = job.Quarantined || f.unreadableJobs[job.ID]
		f.ranking.at = 0
		slog.Info("job accepted", "job", job.ID, "class", job.Spec.Class, "kind", string(job.Spec.Kind), "tasks", job.TaskCount, "term", f.Term)
		f.Events.Add(events.Event{At: now, Kind: events.JobAccepted, Job: job.ID, Task: events.None, Machine: events.None})
		return
	}
	ended := events.JobDone
	if job.State == jobs.Cancelled {
		ended = events.JobCancelled
	}
	f.Events.Add(events.Event{At: now, Kind: ended, Job: job.ID, Task: events.None, Machine: events.None})
	f.ranking.at = 0
	delete(f.noMachineUntil, job.Index)
	delete(f.preemptedAt, job.Index)
	delete(f.crashLoops, job.Index)
	delete(f.licenceGrants, job.Index)
	delete(f.pendingNotes, job.Index)
	if job.Tasks == nil {
		return
	}
	f.writer.endedJobs = append(f.writer.endedJobs, job)
	slog.Info("job ended", "job", job.ID, "stance", job.State.String(), "term", f.Term)
	for _, ix := range f.queueMachines(job) {
		machine := f.machines[ix]
		n := len(machine.queued(job.Index))
		machine.setQueue(job.Index, nil)
		f.removeQueued(machine, job, n)
	}
	for t := range job.Tasks {
		task := &job.Tasks[t]
		switch {
		case task.State == jobs.Planned:
			f.checkTransition(job.SetTaskState(int32(t), jobs.Unplanned))
		case task.State.Occupies():
			f.stopTask(job, int32(t))
		}
	}
}
