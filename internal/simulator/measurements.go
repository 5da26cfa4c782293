package simulator

import (
	"slices"
	"time"
)

// Stats counts the events since the start of a simulation.
type Stats struct {
	// TaskStarts counts the task starts, TasksDone the tasks that completed, TasksCrashed the tasks that failed, and
	// TasksRerun the starts of tasks that had already completed. A task starts when its image is ready.
	TaskStarts, TasksDone, TasksCrashed, TasksRerun int
	// MachinesKilled counts the machines that were killed, MachinesHung the machines that hung for a time, and
	// MachinesRestarted the machines that restarted under their old name.
	MachinesKilled, MachinesHung, MachinesRestarted int
	// WorkerLeasesExpired counts workers that ended their tasks because their lease had run out.
	WorkerLeasesExpired int
	// LicenceServerCrashes counts the crashes of the licence server, in which it lost its checkouts.
	LicenceServerCrashes int
	// ControllersKilled, ControllersFrozen and ControllersDrained count faults of controllers in virtual time.
	ControllersKilled, ControllersFrozen, ControllersDrained int

	// OneWayFaults counts the faults in one direction of a machine's connections, LinksCut the times that some of a
	// controller's links were cut.
	OneWayFaults, LinksCut int
	// LaunchesLost counts the launch commands that were sent to machines and never received.
	LaunchesLost int
	// CommandsDelayed counts the requests with direct commands that DelayMachineCommands delayed.
	CommandsDelayed int
	// DuplicatesSent counts the duplicates of messages, HeartbeatsReplayed the copies of heartbeats that were kept for
	// a new leader and delivered after its election.
	DuplicatesSent, HeartbeatsReplayed int
	// CommandsRepeated counts the direct requests that were delivered again after their answer, RepeatsExecuted those of
	// them that the worker executed, and RepeatedLaunches the tasks that these launched and the worker
	// did not refuse.
	CommandsRepeated, RepeatsExecuted, RepeatedLaunches int
	// ServiceRequestsRepeated counts the requests to the state service and the cloud that were delivered again after
	// their answer.
	ServiceRequestsRepeated int
	// LateWrites counts the transactions that were applied late without an answer, LostAnswers the transactions that
	// were applied immediately without an answer.
	LateWrites, LostAnswers int

	// Heartbeats counts the heartbeats sent, HeartbeatBytes and HeartbeatAnswerBytes the bytes of their bodies and of
	// their answers' bodies.
	Heartbeats                           int
	HeartbeatBytes, HeartbeatAnswerBytes uint64
	// StateRequests counts the requests to the state service, StateWrites the mutations in transactions that passed
	// the rate limits, and StateRefused the requests that the rate limits refused.
	StateRequests, StateWrites, StateRefused int

	// PollBursts counts the bursts of status queries, JobsCancelled the jobs that users cancelled as they ran or
	// ended, OddRequests the requests that SetOddRequests enables, and OddRequestsRefused the invalid submissions that
	// were rejected.
	PollBursts, JobsCancelled, OddRequests, OddRequestsRefused int
	// TaskStartsAfterCancel counts the tasks that started after a user received the cancellation of their job.
	// LatestStartAfterCancel is the longest time from the cancellation to a start.
	TaskStartsAfterCancel  int
	LatestStartAfterCancel time.Duration
	// LongestRunAfterCancel is the longest time that a task stayed on a machine after a user received the cancellation
	// of its job or of one of the job's ancestors.
	LongestRunAfterCancel time.Duration
}

// Stats returns the current counters.
func (sim *Simulation) Stats() Stats {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.stats
}

// Utilization is the usage of the machines at one time.
type Utilization struct {
	Machines           int     // number of machines that are up
	CPUs, GPUs         float64 // resources of the machines that are up
	UsedCPUs, UsedGPUs float64 // resources of the running tasks
	Running            int     // number of started tasks on machines
	Cost               float64 // accumulated price of all machines since they were rented
}

// Utilization returns the current usage of the machines.
func (sim *Simulation) Utilization() (use Utilization) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now := sim.now()
	use.Cost = sim.cloud.costOfEndedMachines
	for _, machine := range sim.cloud.machines {
		if machine.dead {
			continue
		}
		use.Cost += machine.cost(now)
		if now >= machine.upAt {
			use.add(machine)
		}
	}
	return use
}

func (use *Utilization) add(machine *Machine) {
	use.Machines++
	use.CPUs += machine.machineType.CPUs
	use.GPUs += machine.machineType.GPUs
	for _, task := range machine.tasks {
		if task.active {
			use.Running++
			use.UsedCPUs += task.spec.CPUs
			use.UsedGPUs += task.spec.GPUs
		}
	}
}

// StartTimes returns the start times of all tasks, in order.
func (sim *Simulation) StartTimes() []time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.records.startTimes)
}

// LeaderChanges returns the times at which a leader was elected, including the first election.
func (sim *Simulation) LeaderChanges() []time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.state.leaderChanges)
}

// FirstStart returns the time from a job's submission to the start of its first task, and false if no task has
// started.
func (sim *Simulation) FirstStart(job string) (time.Duration, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	delay, ok := sim.records.startDelays[job]
	return delay, ok
}

// LongestStartGap returns the longest period without a task start between the times from and to.
func (sim *Simulation) LongestStartGap(from, to time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	last := from
	longest := time.Duration(0)
	for _, start := range sim.records.startTimes {
		if start >= from && start <= to {
			longest = max(longest, start-last)
			last = start
		}
	}
	return max(longest, to-last)
}

// StartDelays returns the times from submission to first task start of the started jobs of a class, in no particular
// order.
func (sim *Simulation) StartDelays(class string) (delays []time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for job, delay := range sim.records.startDelays {
		if sim.records.specs[job].Class == class {
			delays = append(delays, delay)
		}
	}
	return delays
}
