package fleet

import (
	"strconv"
	"strings"

	"github.com/harewalk/harewalk/internal/jobs"
)

// The types in this file are the messages between the leader and the workers, as the package handles them. wire.go
// converts them from and to the protocol's JSON.

// Heartbeat is a worker's heartbeat with the status of its machine and tasks.
type Heartbeat struct {
	Machine string
	Addr    string // for direct commands
	Type    string
	Zone    string
	Spot    bool
	Session uint64   // 1 in a new incarnation of the worker, one more after each expired lease
	Seq     uint64   // counts heartbeats within an incarnation
	Token   uint64   // the highest fencing token that the worker has received
	NoticeS *float64 // seconds until the cloud reclaims the machine; nil if unannounced
	Tasks   []TaskReport
}

// TaskReport is the status of one attempt at a task on a machine.
type TaskReport struct {
	Task      string // as taskName returns it
	Attempt   uint64
	State     AttemptState
	ExitCause ExitCause // "" until it has exited
	Saved     bool      // it left a checkpoint when it exited

	// The task in the job table, set by Fleet.resolveTaskReports; job is nil if it is not there.
	job       *jobs.Job
	taskIndex int32
}

// ref returns the task of a report whose job was found.
func (r *TaskReport) ref() TaskRef { return TaskRef{Job: r.job.Index, Task: r.taskIndex} }

// AttemptState is the state of an attempt at a task on its machine, as on the wire.
type AttemptState string

// The states of an attempt.
const (
	taskFetching AttemptState = "pulling"   // downloads its image
	taskWaiting  AttemptState = "gathering" // waits for the other tasks of its gang
	taskRunning  AttemptState = "running"
	taskSaving   AttemptState = "flushing" // writes a checkpoint before it stops
	taskExited   AttemptState = "exited"
)

// taskPhase returns the phase of a task whose attempt is in a state, NoPhase if the state is not one of a live
// task.
func taskPhase(state AttemptState) jobs.Phase {
	switch state {
	case taskFetching:
		return jobs.Fetching
	case taskWaiting:
		return jobs.Waiting
	case taskRunning:
		return jobs.Running
	case taskSaving:
		return jobs.Saving
	}
	return jobs.NoPhase
}

// ExitCause is why an attempt at a task has exited, as on the wire. Workers also send causes that are not listed
// here, such as that the other tasks of a gang did not start; these have no effect of their own.
type ExitCause string

// The causes of an exit that the fleet distinguishes.
const (
	exitDone    ExitCause = "done"
	exitStopped ExitCause = "halted"
	exitError   ExitCause = "error"
	exitNoRoom  ExitCause = "full"    // refused: the machine lacks the capacity
	exitBusy    ExitCause = "in_use"  // refused: another attempt at the task is on the machine
	exitUnknown ExitCause = "no_such" // refused: the worker found no such job
)

// Command is a leader's command to a worker about one attempt at a task.
type Command struct {
	Op      Operation
	Task    string
	Attempt uint64
	GraceS  float64 // of a stop: seconds to save a checkpoint before the task is killed
}

// Operation is what a command asks for, as on the wire.
type Operation string

// The operations of a command.
const (
	opStart  Operation = "launch"
	opStop   Operation = "halt"
	opForget Operation = "forget" // stop listing an attempt that has exited
)

// startCommand returns the command to start an attempt at a task.
func startCommand(task string, attempt uint64) Command {
	return Command{Op: opStart, Task: task, Attempt: attempt}
}

// stopCommand returns the command to stop an attempt at a task within a grace period in seconds.
func stopCommand(task string, attempt uint64, graceS float64) Command {
	return Command{Op: opStop, Task: task, Attempt: attempt, GraceS: graceS}
}

// forgetCommand returns the command to stop listing an attempt at a task that has exited.
func forgetCommand(task string, attempt uint64) Command {
	return Command{Op: opForget, Task: task, Attempt: attempt}
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	Token    uint64
	Commands []Command
}

// DirectCommands is the request by which a leader sends commands without waiting for a heartbeat. The worker
// refuses one for another session or below its highest token.
type DirectCommands struct {
	Token    uint64
	Session  uint64
	Commands []Command
}

// taskName returns the name of a task in messages, such as "req-000412/3".
func taskName(job *jobs.Job, taskIndex int32) string {
	return job.ID + "/" + strconv.Itoa(int(taskIndex))
}

// parseTaskName splits a task's name into its job's id and its index. It is not ok if the name is not of taskName's
// form.
func parseTaskName(name string) (job string, taskIndex int32, ok bool) {
	job, digits, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, false
	}
	index, err := strconv.ParseInt(digits, 10, 32)
	if err != nil || index < 0 {
		return "", 0, false
	}
	return job, int32(index), true
}
