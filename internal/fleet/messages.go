package fleet

import (
	"strconv"
	"strings"

	"github.com/harewalk/harewalk/internal/jobs"
)

// The types in this file are the messages between the leader and the workers as this package uses them. wire.go
// converts them from and to the protocol's JSON.

// Heartbeat is a worker's heartbeat with the status of its machine and tasks.
type Heartbeat struct {
	Machine    string
	Addr       string // address for direct commands
	Type       string
	Zone       string
	Spot       bool
	Session    uint64   // 1 in a new incarnation of the worker; the worker adds 1 after each expired lease
	Seq        uint64   // counts heartbeats within an incarnation
	Token      uint64   // the highest fencing token that the worker has received
	ReclaimInS *float64 // seconds until the cloud reclaims the machine; nil if unannounced
	Tasks      []TaskReport
}

// TaskReport is the status of one attempt at a task on a machine.
type TaskReport struct {
	Task      string // name of the task, see taskName
	Attempt   uint64
	State     AttemptState
	ExitCause ExitCause // "" until the attempt has exited
	Saved     bool      // the attempt left a checkpoint when it exited

	// The task's job and index, set by Fleet.resolveTaskReports; job is nil if the job table has no such task.
	job       *jobs.Job
	taskIndex int32
}

// ref returns the reference to a report's task. The report's job must not be nil.
func (r *TaskReport) ref() TaskRef { return TaskRef{Job: r.job.Index, Task: r.taskIndex} }

// AttemptState is the state of an attempt at a task on its machine. Its value is the state's name in the protocol.
type AttemptState string

// The states of an attempt.
const (
	taskFetching AttemptState = "pulling"   // the task's image is being downloaded
	taskWaiting  AttemptState = "gathering" // the task waits for the other tasks of its gang
	taskRunning  AttemptState = "running"
	taskSaving   AttemptState = "flushing" // the task writes a checkpoint before it stops
	taskExited   AttemptState = "exited"
)

// taskPhase returns the phase of a task by the state of its attempt. It returns NoPhase for an exited attempt and for
// an unknown state.
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

// ExitCause is the cause of an attempt's exit. Its value is the cause's name in the protocol. Workers also send other
// causes than those below, for example if the other tasks of a gang did not start. The fleet handles all these alike.
type ExitCause string

// The causes of an exit that the fleet handles specially.
const (
	exitDone    ExitCause = "done"
	exitStopped ExitCause = "halted"
	exitError   ExitCause = "error"
	exitNoRoom  ExitCause = "full"    // refused: the machine lacks the capacity
	exitBusy    ExitCause = "in_use"  // refused: another attempt at the task is on the machine
	exitUnknown ExitCause = "no_such" // refused: the worker did not find the job
)

// Command is a leader's command to a worker about one attempt at a task.
type Command struct {
	Op      Operation
	Task    string
	Attempt uint64
	GraceS  float64 // seconds in which a stopped task may save a checkpoint before it is killed

	cause commandCause // for the log; it is not part of the message
}

// commandCause is the reason why a command is sent, as the log gives it.
type commandCause string

const (
	causeStart       commandCause = "start"        // launch: the task's plan is durable and it has room
	causeNotListed   commandCause = "not listed"   // launch: sent or decided before, and the heartbeat lacks it
	causePrompt      commandCause = "prompt"       // launch of promptTask
	causeExited      commandCause = "exited"       // forget: the attempt's outcome is durable
	causeJobEnded    commandCause = "job ended"    // stop: the job has ended or does not exist
	causeNotExpected commandCause = "not expected" // stop: the task is done or counts on another machine
	causeStopping    commandCause = "stopping"     // stop: the task is marked to be stopped
	causeReclaim     commandCause = "reclaim"      // stop: the cloud is about to reclaim the machine
)

// because returns the command with a cause.
func (c Command) because(cause commandCause) Command {
	c.cause = cause
	return c
}

// Operation is the operation of a command. Its value is the operation's name in the protocol.
type Operation string

// The operations of a command.
const (
	opStart  Operation = "launch"
	opStop   Operation = "halt"
	opForget Operation = "forget" // stop listing an attempt that has exited
)

// startCommand returns the command that starts an attempt at a task.
func startCommand(task string, attempt uint64) Command {
	return Command{Op: opStart, Task: task, Attempt: attempt}
}

// promptTask is the name of a task that can't exist, because no job has such an id.
const promptTask = "heartbeat-prompt/0"

// promptCommand returns a command that makes a worker send a heartbeat early. The worker refuses to launch a task that
// does not exist, lists the refused attempt, and sends a heartbeat because its list has changed. Executing the command
// again has no other effect.
func promptCommand(attempt uint64) Command {
	return startCommand(promptTask, attempt).because(causePrompt)
}

// stopCommand returns the command that stops an attempt at a task, with a grace period in seconds.
func stopCommand(task string, attempt uint64, graceS float64) Command {
	return Command{Op: opStop, Task: task, Attempt: attempt, GraceS: graceS}
}

// forgetCommand returns the command that makes the worker stop listing an attempt that has exited.
func forgetCommand(task string, attempt uint64) Command {
	return Command{Op: opForget, Task: task, Attempt: attempt}
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	Token    uint64
	Commands []Command
}

// DirectCommands is the request by which a leader sends commands without waiting for a heartbeat. The worker refuses
// a request that is for another session, or whose token is below the worker's highest token.
type DirectCommands struct {
	Token    uint64
	Session  uint64
	Commands []Command
}

// taskName returns the name of a task in messages, for example "req-000412/3".
func taskName(job *jobs.Job, taskIndex int32) string {
	return job.ID + "/" + strconv.Itoa(int(taskIndex))
}

// parseTaskName splits a task's name into its job's id and its index. ok is false if the name does not have the form
// that taskName returns.
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
