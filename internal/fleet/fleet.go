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

// Fleet is the owner's state.
type Fleet struct {
	Env
	Term uint64
	// ZoneAcceptsWork tells whether a zone takes new work of a kind; nil: all do.
	ZoneAcceptsWork func(zone int32, w zones.WorkKind) bool
	termStartedAt   time.Duration // start of the term
	plansLoaded     bool
	attemptCounter  uint64

	machines []*Machine
	byName   map[string]*Machine
	// Gate decides whether a task may start and counts what may be on machines.
	Gate *admission.Gate

	// queuedOn says, for each job with planned tasks, on which machines they wait and how
	// many: planning looks at those instead of at the whole fleet.
	queuedOn map[jobs.Index]map[int32]int

	ranked          []*jobs.Job // live jobs by rank
	withinGuarantee map[jobs.Index]bool
	rankedAt        time.Duration

	classes map[int32]*classStats

	cycle     schedulingCycle
	nextCycle time.Duration
	// PlanningSteps counts the work of planning, in looks at a machine, lane or task. It paces the
	// passes, and tests bound it.
	PlanningSteps uint64
	jobScratch    []jobs.Index         // scratch
	workScratch   []planner.Work       // scratch
	refScratch    []TaskRef            // scratch
	listedTasks   map[TaskRef]struct{} // what the report at hand says is on its machine
	waitingPerGPU planner.Size         // what waiting work takes besides, for each accelerator
	// Of that work, whether any lies within its team's guarantee, and the highest priority of it.
	gpuWithinGuarantee bool
	gpuPriority        int
	onDemandTypes      map[int32]bool                // machine types that jobs which may not use spot need
	seenTypes          map[int32]bool                // machine types seen
	preemptedAt        map[jobs.Index]time.Duration  // jobs that had others stopped, when last
	crashLoops         map[jobs.Index]*crashLoop     // jobs of which tasks failed
	startDeadlineDue   map[jobs.Index]bool           // arrays and services of which a few tasks go before everybody
	pendingNotes       map[jobs.Index]pendingNote    // what planning last decided about what is unplanned
	licenceGrants      map[jobs.Index]licences.Grant // of jobs that need licences, by the last pass
	planBecameDurable  bool                          // a plan became durable since the last push
	nextRoomCheck      time.Duration                 // no look at who stands beside room before
	noMachineUntil     map[jobs.Index]time.Duration  // arrays for which no machine was found, until when

	// imageHints are the caches that the owner before inferred, until their machines are heard.
	imageHints      map[string][]cachedImage
	dirtyHintShards []bool // hints that have changed since they were written
	lastHintShard   int    // written last
	hintsWrittenAt  time.Duration

	startsStopped    bool // nothing new is started: the lead is being handed over
	directRequests   int  // direct commands under way
	writeInFlight    bool
	writesStuck      bool // writes without an outcome can't be settled in this term
	retry            func(time.Duration)
	retryAt          time.Duration
	endedJobs        []*jobs.Job // ended, with tasks that may still be on machines or plans that stand
	obsoletePlanKeys []string
	pages            *pages.Pages
	unreadableJobs   map[string]bool // jobs whose records could not be read when the term began
	migrated         bool            // no plan has a key of its own any more
	// LastHeartbeat is when any worker was last heard.
	LastHeartbeat time.Duration
	// Since the last summary: reports taken and direct commands sent.
	heartbeatCount, directRequestCount int
	summarizedAt                       time.Duration
}

// New starts a term at time now. Until Load has brought the durable plans nothing acts.
func New(env Env, term uint64, now time.Duration) *Fleet {
	f := &Fleet{
		Env: env, Term: term, termStartedAt: now, byName: map[string]*Machine{},
		withinGuarantee: map[jobs.Index]bool{}, classes: map[int32]*classStats{}, LastHeartbeat: now,
		imageHints: map[string][]cachedImage{}, queuedOn: map[jobs.Index]map[int32]int{}, noMachineUntil: map[jobs.Index]time.Duration{}, preemptedAt: map[jobs.Index]time.Duration{}, crashLoops: map[jobs.Index]*crashLoop{}, startDeadlineDue: map[jobs.Index]bool{},
		unreadableJobs: map[string]bool{}, licenceGrants: map[jobs.Index]licences.Grant{}, pendingNotes: map[jobs.Index]pendingNote{}, onDemandTypes: map[int32]bool{}, seenTypes: map[int32]bool{}, listedTasks: map[TaskRef]struct{}{},
	}
	if f.PlansInPages == nil {
		f.PlansInPages = func() bool { return true }
	}
	f.pages = pages.New(f.pageLimit())
	d := env.Jobs.Names
	f.Gate = admission.New(quota.New(env.Settings.Params.Teams, d.Teams.Index), licences.New(d.Pools, d.Teams.Index, now))
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

// WriteInFlight tells whether a write is under way.
func (f *Fleet) WriteInFlight() bool { return f.writeInFlight }

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
		f.rankedAt = 0
		slog.Info("job accepted", "job", job.ID, "class", job.Spec.Class, "kind", string(job.Spec.Kind), "tasks", job.TaskCount, "term", f.Term)
		f.Events.Add(events.Event{At: now, Kind: events.JobAccepted, Job: job.ID, Task: events.None, Machine: events.None})
		return
	}
	ended := events.JobDone
	if job.State == jobs.Cancelled {
		ended = events.JobCancelled
	}
	f.Events.Add(events.Event{At: now, Kind: ended, Job: job.ID, Task: events.None, Machine: events.None})
	f.rankedAt = 0
	delete(f.noMachineUntil, job.Index)
	delete(f.preemptedAt, job.Index)
	delete(f.crashLoops, job.Index)
	delete(f.licenceGrants, job.Index)
	delete(f.pendingNotes, job.Index)
	if job.Tasks == nil {
		return
	}
	f.endedJobs = append(f.endedJobs, job)
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
