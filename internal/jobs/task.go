package jobs

import (
	"slices"
	"time"
)

// TaskState is a task's state on the controller that plans it.
type TaskState uint8

// The states of a task.
//
//	Unplanned -> Planned                         a plan names its machine
//	Planned -> Unplanned                         the plan was dropped, or the machine is gone
//	Planned -> Launched                          a launch was sent, after the plan became durable
//	Unplanned -> Recovered                       a durable plan of an earlier term names its machine, and no heartbeat
//	                                             at this term's fencing token has confirmed or denied it yet
//	Launched, Recovered -> OnMachine             a heartbeat lists the task
//	Launched, Recovered, OnMachine -> Unplanned  the task is proven not to be on the machine any more
//	any -> Finished                              a heartbeat reports the task done, or the durable bitmap does
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

// Phase is the progress of a task on a machine, as reported in the machine's heartbeats.
type Phase uint8

// The phases of a task.
const (
	NoPhase  Phase = iota
	Fetching       // the task's image is being fetched
	Waiting        // the task waits for the other tasks of its gang
	Running
	Saving // a checkpoint is being written
)

// None is the index that stands for no machine, machine type, zone or licence pool.
const None int32 = -1

// Task is a task of a job that this controller plans.
type Task struct {
	State        TaskState
	Phase        Phase
	Stopping     bool // the task is to be stopped, whether or not the stop was sent
	Done         bool // the task is known to be done, though an attempt may still be on a machine
	Failures     uint8
	Machine      int32  // index of the planned or current machine, or None
	Attempt      uint64 // number of the attempt on a machine; 0 if there is none
	LaunchedAt   time.Duration
	RunningSince time.Duration // time of the first report in phase Running
	NotBefore    time.Duration // earliest time of the next start
	StopSentAt   time.Duration // time at which the last stop was sent
}

// taskTransitions lists the states that may follow each state. Any other transition indicates a defect.
var taskTransitions = map[TaskState][]TaskState{
	Unplanned: {Planned, Recovered, OnMachine, Finished},
	Planned:   {Unplanned, Planned, Launched, OnMachine, Finished},
	Launched:  {Unplanned, OnMachine, Finished},
	Recovered: {Unplanned, OnMachine, Finished, Planned},
	OnMachine: {Unplanned, Finished},
	Finished:  {},
}

// SetTaskState sets a task's state and updates the counts that depend on it. All changes of a task's state go through
// it. It returns a *TransitionError and changes nothing if taskTransitions doesn't list the transition.
func (j *Job) SetTaskState(taskIndex int32, to TaskState) error {
	task := &j.Tasks[taskIndex]
	if !slices.Contains(taskTransitions[task.State], to) {
		return &TransitionError{Job: j.ID, Task: taskIndex, From: task.State, To: to}
	}
	switch to {
	case Planned:
		task.Stopping = false // the stop was for an earlier start
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

// leaveMachine clears the fields that describe a task's attempt on a machine.
func (j *Job) leaveMachine(taskIndex int32) {
	j.SetTaskPhase(taskIndex, NoPhase)
	task := &j.Tasks[taskIndex]
	task.Stopping = false
	task.Attempt = 0
}

// SetTaskPhase sets a task's phase and updates RunningTasks. All changes of a task's phase go through it.
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

// CreateTasks creates a job's tasks, all of them unplanned, and its plan segments. It does nothing if the job has tasks
// already.
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

// UnstartedTasks returns the number of tasks in state Unplanned or Planned.
func (j *Job) UnstartedTasks() int { return j.TasksByState[Unplanned] + j.TasksByState[Planned] }

// TasksOnMachines returns the number of tasks that count as being on a machine (see TaskState.Occupies).
func (j *Job) TasksOnMachines() int {
	return j.TasksByState[Launched] + j.TasksByState[Recovered] + j.TasksByState[OnMachine]
}
