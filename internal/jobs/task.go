package jobs

import (
	"slices"
	"time"
)

// TaskState is a task's state as its planner sees it.
type TaskState uint8

// The states of a task.
//
//	Unplanned -> Planned                         a plan names its machine
//	Planned -> Unplanned                         planned elsewhere, or its machine is gone
//	Planned -> Launched                          a launch was sent, after the plan became durable
//	Unplanned -> Recovered                       a durable plan of an earlier term names its machine, and no heartbeat
//	                                             at this term's fencing token has confirmed or denied it yet
//	Launched, Recovered -> OnMachine             a heartbeat lists it
//	Launched, Recovered, OnMachine -> Unplanned  proven not to be on the machine any more
//	any -> Finished                              a heartbeat reports it done, or the durable bitmap has it
const (
	Unplanned TaskState = iota
	Planned
	Launched
	Recovered
	OnMachine
	Finished
)

// String returns the state's name in log lines.
func (s TaskState) String() string {
	return [...]string{"unplanned", "planned", "launched", "recovered", "on machine", "finished"}[s]
}

// Occupies reports whether a task in this state counts as being on its machine.
func (s TaskState) Occupies() bool { return s == Launched || s == Recovered || s == OnMachine }

// Phase is how far a task on a machine has come, as the machine's heartbeats report it.
type Phase uint8

// The phases of a task.
const (
	NoPhase  Phase = iota
	Fetching       // its image is being fetched
	Waiting        // for the other tasks of its gang
	Running
	Saving // a checkpoint is being written
)

// None is the machine of a task that has none.
const None int32 = -1

// Task is one task of a job that this controller plans.
type Task struct {
	State               TaskState
	Phase               Phase
	Stopping            bool // a stop was sent or is due
	LaunchIndeterminate bool // a direct launch without an answer may still arrive
	Done                bool // known to be done, while an attempt may still be on a machine
	Failures            uint8
	Machine             int32
	Attempt             uint64
	LaunchedAt          time.Duration
	RunningSince        time.Duration // first reported in phase Running
	NotBefore           time.Duration // the earliest time of its next start
	StopSentAt          time.Duration // when the last stop was sent
}

// taskTransitions lists the allowed transitions; an attempt at any other is a defect.
var taskTransitions = map[TaskState][]TaskState{
	Unplanned: {Planned, Recovered, OnMachine, Finished},
	Planned:   {Unplanned, Planned, Launched, OnMachine, Finished},
	Launched:  {Unplanned, OnMachine, Finished},
	Recovered: {Unplanned, OnMachine, Finished, Planned},
	OnMachine: {Unplanned, Finished},
	Finished:  {},
}

// SetTaskState is the only place where a task's state changes. It refuses transitions that are not allowed.
func (j *Job) SetTaskState(taskIndex int32, to TaskState) error {
	task := &j.Tasks[taskIndex]
	if !slices.Contains(taskTransitions[task.State], to) {
		return &TransitionError{Job: j.ID, Task: taskIndex, From: task.State, To: to}
	}
	switch to {
	case Planned:
		task.Stopping = false // the stop was meant for an earlier start
	case Unplanned:
		j.leaveMachine(taskIndex)
		task.Machine = None
	case Finished:
		j.leaveMachine(taskIndex)
		j.FinishedTasks++
	case Launched, Recovered, OnMachine:
	}
	j.TasksByState[task.State]--
	j.TasksByState[to]++
	task.State = to
	return nil
}

// leaveMachine clears what belongs to a task's attempt on a machine.
func (j *Job) leaveMachine(taskIndex int32) {
	j.SetTaskPhase(taskIndex, NoPhase)
	task := &j.Tasks[taskIndex]
	task.Stopping = false
	task.LaunchIndeterminate = false
	task.Attempt = 0
}

// SetTaskPhase is the only place where a task's phase changes.
func (j *Job) SetTaskPhase(taskIndex int32, to Phase) {
	task := &j.Tasks[taskIndex]
	if task.Phase >= Running {
		j.RunningTasks--
	}
	if to >= Running {
		j.RunningTasks++
	}
	task.Phase = to
}

// CreateTasks creates a job's tasks and plan segments, all tasks unplanned. It does nothing if there are tasks already.
func (j *Job) CreateTasks() {
	if j.Tasks != nil {
		return
	}
	j.Tasks = make([]Task, j.TaskCount)
	for i := range j.Tasks {
		j.Tasks[i].Machine = None
	}
	for first := 0; first < j.TaskCount; first += SegmentTasks {
		size := min(SegmentTasks, j.TaskCount-first)
		j.Segments = append(j.Segments, newPlanSegment(first/SegmentTasks, size))
	}
	j.FinishedTasks = 0
	j.RunningTasks = 0
	j.TasksByState = [Finished + 1]int{Unplanned: j.TaskCount}
}

// UnstartedTasks returns the number of tasks that are not started.
func (j *Job) UnstartedTasks() int { return j.TasksByState[Unplanned] + j.TasksByState[Planned] }

// TasksOnMachines returns the number of tasks that count as being on a machine.
func (j *Job) TasksOnMachines() int {
	return j.TasksByState[Launched] + j.TasksByState[Recovered] + j.TasksByState[OnMachine]
}
