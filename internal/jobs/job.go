package jobs

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/licences"
)

// Index is a job's dense index on this controller. It is never reused.
type Index int32

// Job is one job as this controller has read it. It has tasks only on the controller that plans it.
type Job struct {
	Index       Index
	ID          string
	Spec        *Spec // nil if the job was terminal when it was first read and its record has none
	State       State
	Version     uint64 // of its record
	TaskCount   int
	SubmittedAt time.Duration
	// ReleasedAt is when this controller learned that the last of its predecessors is done; 0: it has none, or not all
	// are done.
	ReleasedAt time.Duration
	// RoomSince is when its planner first found room for it while none of its tasks was on a machine; 0: that
	// isn't the case.
	RoomSince time.Duration

	Tasks        []Task
	Segments     []*PlanSegment
	TasksByState [Finished + 1]int // kept by SetTaskState
	RunningTasks int               // tasks in phase Running or Saving, kept by SetTaskPhase

	FinishedTasks   int // as far as this controller has learned
	ReportedRunning int // running tasks as another controller reported them; for display only

	GangAttempt   uint64        // of a gang's current start
	GangStartedAt time.Duration // when that start was made
	FetchS        float64       // the longest image fetch that the gang waits for, in seconds
	// Priority is the highest of its own and of those of the live jobs that need it. A higher one is scheduled first.
	Priority int

	// Dense indices of the names in the specification.
	Class, Team, Image int32
	Zone               int32   // the only zone that may run it, or None
	Types              []int32 // the only machine types that may run it; nil: all
	// LicenceUnits is what each task holds of the licence pools. A unit of an undeclared pool keeps the job waiting.
	LicenceUnits []licences.Unit
	// LicenceDenial is why its planner got no licence units for its waiting tasks.
	LicenceDenial licences.Denial

	// TasksByZone counts, by dense zone, the tasks that may be on a machine there.
	TasksByZone map[int32]int

	// AvoidedMachines holds the machines on which a task of the job failed, and until when they are avoided. Mostly
	// the machine is at fault, but a job that crash-loops fails on all of them.
	AvoidedMachines map[int32]time.Duration

	// GangDone is set when a task of the gang is done, which means that all are.
	GangDone bool

	// Suspended keeps its tasks off machines: it is a session that was reclaimed.
	Suspended bool
	// Quarantined is set when something stored of the job can't be read. Nothing of it is planned or started, and
	// users get no answer about it.
	Quarantined bool

	// Blocked is set while a predecessor isn't known to be done. Nothing of the job is planned or started then.
	Blocked bool
	// Doomed is set when a predecessor, direct or not, is cancelled: the job is to be cancelled too.
	Doomed bool

	FinalWriteInFlight bool // the terminal record is being written
	Started            bool // a task was launched at least once

	// QueuePosition is its place among the live jobs of its planner, from 1; 0: it has none.
	QueuePosition int
	// EndedAt is when this controller learned that the job is terminal.
	EndedAt time.Duration
	// Archived is set when its record has left the followed keys. It leaves the table once its planner holds
	// nothing of it.
	Archived bool
	removed  bool // from the table
}

// Allows reports whether the job may run on machines of a type in a zone, spot machines or others.
func (j *Job) Allows(machineType, zone int32, spot bool) bool {
	if j.Spec == nil {
		return false
	}
	if spot && !j.Spec.Spot {
		return false
	}
	if j.Zone != None && j.Zone != zone {
		return false
	}
	return j.Types == nil || slices.Contains(j.Types, machineType)
}

// ReadyAt returns since when nothing but room and its team's limit keeps its tasks from starting: its submission, or
// the end of the last of its predecessors.
func (j *Job) ReadyAt() time.Duration { return max(j.SubmittedAt, j.ReleasedAt) }

// Deadline returns when the job should be done; false if it has no deadline.
func (j *Job) Deadline() (at time.Duration, ok bool) {
	if j.Spec.DeadlineS == nil {
		return 0, false
	}
	return j.SubmittedAt + Seconds(*j.Spec.DeadlineS), true
}

// Idle reports whether nothing of the job may be planned.
func (j *Job) Idle() bool { return j.Suspended || j.Quarantined || j.Blocked }

// resetPlanning drops all that only the job's planner holds.
func (j *Job) resetPlanning() {
	j.Tasks = nil
	j.Segments = nil
	j.RunningTasks = 0
	j.QueuePosition = 0
	j.RoomSince = 0
	j.Suspended = false
	j.FinalWriteInFlight = false
	j.Started = false
	j.GangDone = false
	j.GangAttempt = 0
	clear(j.TasksByZone)
	clear(j.AvoidedMachines)
}
