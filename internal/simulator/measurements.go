package simulator

import (
	"slices"
	"time"
)

// Stats counts what happened since the start of a simulation.
type Stats struct {
	// TaskStarts counts tasks that got their image, TasksDone those that completed, TasksCrashed those that failed,
	// and TasksRerun those that started again after they had completed.
	TaskStarts, TasksDone, TasksCrashed, TasksRerun int
	// MachinesKilled counts machines that ended without notice, MachinesHung those that hung for a time, and
	// MachinesRestarted those that were back at once under their old name.
	MachinesKilled, MachinesHung, MachinesRestarted int
	// WorkerLeasesExpired counts workers that ended their tasks because their lease had run out.
	WorkerLeasesExpired int
	// LicenceServerCrashes counts how often the licence server lost its checkouts.
	LicenceServerCrashes int
	// ControllersKilled, ControllersFrozen and ControllersDrained count faults of controllers, in virtual time.
	ControllersKilled, ControllersFrozen, ControllersDrained int

	// OneWayFaults counts machines that lost one direction of their connections, LinksCut controllers that were cut
	// off from some of their counterparts.
	OneWayFaults, LinksCut int
	// LaunchesLost counts the launch commands that were sent to machines and never received.
	LaunchesLost int
	// CommandsDelayed counts the direct commands to a machine that were delayed by DelayMachineCommands.
	CommandsDelayed int
	// DuplicatesSent counts late copies of messages, HeartbeatsReplayed copies of heartbeats that were kept for a new
	// leader and delivered as its term began, or once it had acted.
	DuplicatesSent, HeartbeatsReplayed int
	// LateWrites counts the transactions without an answer that were carried out late, LostAnswers those carried
	// out at once whose answer was lost.
	LateWrites, LostAnswers int

	// Heartbeats counts those that were sent, HeartbeatBytes and HeartbeatAnswerBytes the bytes of their bodies and
	// of their answers' bodies.
	Heartbeats                           int
	HeartbeatBytes, HeartbeatAnswerBytes uint64
	// StateRequests counts the requests to the state service, StateWrites the mutations carried out or tried, and
	// StateRefused the requests refused by its rate limits.
	StateRequests, StateWrites, StateRefused int

	// PollBursts counts the bursts of status queries, JobsCancelled the jobs that users cancelled as they ran or
	// ended, OddRequests the odd requests, and OddRequestsRefused those of them that were refused for good.
	PollBursts, JobsCancelled, OddRequests, OddRequestsRefused int
	// StartsAfterCancel counts the tasks that started after the cancellation of their job was confirmed to a user,
	// DirectStartsAfterCancel those of them that were launched by a direct command; LatestStartAfterCancel is the
	// longest time from a confirmation to such a start.
	StartsAfterCancel, DirectStartsAfterCancel int
	LatestStartAfterCancel                     time.Duration
	// LongestRunAfterCancel is the longest time that a task stayed on a machine after its job's cancellation was
	// confirmed.
	LongestRunAfterCancel time.Duration
}

// Stats returns the counters up to now.
func (sim *Simulation) Stats() Stats {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.stats
}

// Utilization is the use of the machines at one moment.
type Utilization struct {
	Machines           int     // up
	CPUs, GPUs         float64 // of machines that are up
	UsedCPUs, UsedGPUs float64 // of tasks on machines
	Running            int     // tasks on machines
	Cost               float64 // of all machines so far, from when they were rented
}

// Utilization measures the use of the machines now.
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
		if task.counted {
			use.Running++
			use.UsedCPUs += task.spec.CPUs
			use.UsedGPUs += task.spec.GPUs
		}
	}
}

// StartTimes lists when tasks started, in their order.
func (sim *Simulation) StartTimes() []time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.work.startTimes)
}

// LeaderChanges lists when a leader was elected, the first time included.
func (sim *Simulation) LeaderChanges() []time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.state.leaderChanges)
}

// FirstStart returns how long after its submission a job's first task started, and false if none has.
func (sim *Simulation) FirstStart(job string) (time.Duration, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	delay, ok := sim.work.startDelays[job]
	return delay, ok
}

// LongestStartGap returns the longest time between two moments in which no task started.
func (sim *Simulation) LongestStartGap(from, to time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	last := from
	longest := time.Duration(0)
	for _, start := range sim.work.startTimes {
		if start >= from && start <= to {
			longest = max(longest, start-last)
			last = start
		}
	}
	return max(longest, to-last)
}

// StartDelays lists, for the jobs of a class, the time from their submission to their first start.
func (sim *Simulation) StartDelays(class string) (delays []time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for job, delay := range sim.work.startDelays {
		if sim.work.specs[job].Class == class {
			delays = append(delays, delay)
		}
	}
	return delays
}
