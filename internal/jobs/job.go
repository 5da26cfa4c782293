package jobs

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/licences"
)

// Index is a job's dense index in this controller's Table. It is never reused.
type Index int32

// Job is a job as this controller has read it from the state service. Only the controller that plans the job, the
// leader, has its Tasks and Segments.
type Job struct {
	Index       Index
	ID          string
	Spec        *Spec // nil if the job was terminal when it was first read and its record has none
	State       State
	Version     uint64 // version of the job's record
	TaskCount   int
	SubmittedAt time.Duration
	// ReleasedAt is when this controller read that the last predecessor is done. It is 0 if the job has no predecessors
	// or not all of them are done.
	ReleasedAt time.Duration
	// StartableSince is the time since when the job, with no task on a machine, could have started on free resources of
	// the machines. It is 0 if the job could not start or has a task on a machine.
	StartableSince time.Duration

	Tasks        []Task
	Segments     []*PlanSegment
	TasksByState [Finished + 1]int // number of tasks in each state; maintained by SetTaskState
	RunningTasks int               // number of tasks in phase Running or Saving; maintained by SetTaskPhase

	FinishedTasks   int // number of finished tasks, which lags behind on a controller that isn't the leader
	ReportedRunning int // number of running tasks as reported by the leader; for display only

	GangAttempt   uint64        // attempt number of the gang's current start
	GangStartedAt time.Duration // time of the gang's current start
	GangFetchS    float64       // longest expected image fetch among the gang's machines, in seconds
	// Priority is the maximum of the job's own priority level and those of the live jobs that depend on it. A job with a
	// higher value is scheduled first.
	Priority int

	// Class, Team and Image are the dense indices of the names in the specification.
	Class, Team, Image int32
	Zone               int32   // index of the only zone that may run the job, or None for any zone
	Types              []int32 // indices of the machine types that may run the job; nil for all types
	// LicenceUnits lists the licence units that each task needs. A unit of an undeclared pool can't be granted, so the
	// job doesn't start.
	LicenceUnits []licences.Requirement
	// LicenceDenial is the reason for which licence units were last denied to the job's waiting tasks.
	LicenceDenial licences.Denial

	// TasksByZone maps the index of a zone to the number of tasks that may be on a machine in that zone.
	TasksByZone map[int32]int

	// AvoidedMachines maps the index of each machine on which a task of the job failed to the time until which the job
	// avoids the machine. Usually the machine is at fault, but a job that crash-loops fails on every machine.
	AvoidedMachines map[int32]time.Duration

	// GangDone is set when one task of the gang is done. All others are done then too.
	GangDone bool

	// Suspended is set while the job is a reclaimed interactive session. Its tasks are kept off machines.
	Suspended bool
	// Quarantined is set when a stored value of the job can't be read (its record, a plan segment or a session record),
	// or when another leader archived the job. The job is not planned or started, and users get no answer about it.
	Quarantined bool

	// Blocked is set until all predecessors are known to be done. A blocked job is not planned or started.
	Blocked bool
	// CancelPending is set when a direct or indirect predecessor is cancelled. The job is to be cancelled too.
	CancelPending bool

	FinalWriteInFlight bool // set while the write of the terminal record is in flight
	Started            bool // set when the first task of the job is launched

	// QueuePosition is the job's rank among the live jobs on the controller that plans them, from 1; 0 if unranked.
	QueuePosition int
	// EndedAt is when this controller read that the job is terminal.
	EndedAt time.Duration
	// Archived is set when the job's record was moved out of the watched keys while the job still had Tasks.
	// ResetPlanning removes such a job from the table.
	Archived bool
	removed  bool // set once the job was removed from the table
}

// Allows reports whether the job may run on machines of a type in a zone. spot tells whether they are spot machines.
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

// ReadyAt returns the time from which the job's tasks could start, resources and the team's limit permitting: its
// submission or, if later, the end of its last predecessor.
func (j *Job) ReadyAt() time.Duration { return max(j.SubmittedAt, j.ReleasedAt) }

// Deadline returns the time by which the job should be done. ok is false if the job has no deadline.
func (j *Job) Deadline() (at time.Duration, ok bool) {
	if j.Spec.DeadlineS == nil {
		return 0, false
	}
	return j.SubmittedAt + Seconds(*j.Spec.DeadlineS), true
}

// PlanningBlocked reports whether the job must not be planned.
func (j *Job) PlanningBlocked() bool { return j.Suspended || j.Quarantined || j.Blocked }

// resetPlanning clears the state that only the controller that plans the job has.
func (j *Job) resetPlanning() {
	j.Tasks = nil
	j.Segments = nil
	j.RunningTasks = 0
	j.QueuePosition = 0
	j.StartableSince = 0
	j.Suspended = false
	j.FinalWriteInFlight = false
	j.Started = false
	j.GangDone = false
	j.GangAttempt = 0
	clear(j.TasksByZone)
	clear(j.AvoidedMachines)
}
