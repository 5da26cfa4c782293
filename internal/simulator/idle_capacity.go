package simulator

import (
	"encoding/json"
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// This file checks that no capacity stays idle while jobs could use it. Once all faults have ended, a job without a
// task on a machine must not wait for long while its team is under its limit and ready machines that the job allows
// have room. The check uses the machines' true state, not the leader's view.

const (
	// maxIdleWait is the longest time that a job may wait while idle capacity could run it.
	maxIdleWait = 90 * time.Second
	// idleCheckInterval is the time between two checks.
	idleCheckInterval = time.Second
)

// idleCapacityMonitor records how long jobs have waited while idle capacity could run them.
type idleCapacityMonitor struct {
	waitingSince map[string]time.Duration // start of the current wait, by job
	longest      time.Duration            // longest wait so far
	longestJob   string                   // job with the longest wait
}

// WatchIdleCapacity begins the checks; the caller calls it once all faults have ended. It returns a function that
// returns the longest wait of a job despite idle capacity so far, and the job. The simulation must be in virtual time.
func (sim *Simulation) WatchIdleCapacity() func() (longest time.Duration, job string) {
	monitor := &idleCapacityMonitor{waitingSince: map[string]time.Duration{}}
	var check func()
	check = func() {
		sim.mu.Lock()
		sim.checkIdleCapacity(monitor)
		sim.mu.Unlock()
		sim.env.schedule(idleCheckInterval, check)
	}
	sim.env.schedule(idleCheckInterval, check)
	return func() (time.Duration, string) { return monitor.longest, monitor.longestJob }
}

// capacityUse is the true usage of the machines at one time.
type capacityUse struct {
	placed map[string]bool         // jobs with a task on a machine
	byTeam map[string]planner.Size // resources of the tasks on machines, by team
	ready  []candidateMachine
}

// candidateMachine is a machine that accepts tasks, and its free resources.
type candidateMachine struct {
	machine *Machine
	free    planner.Size
}

func (sim *Simulation) capacityUse(now time.Duration) capacityUse {
	use := capacityUse{placed: map[string]bool{}, byTeam: map[string]planner.Size{}}
	for _, machine := range sim.cloud.machines {
		if machine.dead {
			continue
		}
		free := machine.machineType.Size()
		for _, task := range machine.tasks {
			if task.state == taskExited {
				continue
			}
			size := task.spec.Size()
			use.placed[task.spec.ID] = true
			use.byTeam[task.spec.Team] = use.byTeam[task.spec.Team].Add(size)
			free = free.Sub(size)
		}
		if machine.acceptsTasks(now) {
			use.ready = append(use.ready, candidateMachine{machine, free})
		}
	}
	return use
}

// acceptsTasks reports whether a machine accepts tasks: it is up, has an owner, no fault and no notice.
func (m *Machine) acceptsTasks(now time.Duration) bool {
	isUp := now >= m.upAt && now >= m.hungUntil
	isConnected := now >= m.inboundLostUntil && now >= m.outboundLostUntil && now >= m.outboundRefusedUntil
	return isUp && isConnected && m.noticeAt == 0 && !m.faulty && m.token > 0
}

func (sim *Simulation) checkIdleCapacity(monitor *idleCapacityMonitor) {
	now := sim.now()
	use := sim.capacityUse(now)
	for job, spec := range sim.records.specs {
		if !sim.waitsDespiteCapacity(spec, &use) {
			delete(monitor.waitingSince, job)
			continue
		}
		since, ok := monitor.waitingSince[job]
		if !ok {
			since = now
			monitor.waitingSince[job] = now
		}
		waited := now - since
		if waited > monitor.longest || waited == monitor.longest && job < monitor.longestJob {
			monitor.longest = waited
			monitor.longestJob = job
		}
		if waited > maxIdleWait {
			sim.recordViolation("beside: %s has waited for %v despite idle capacity", job, waited)
			monitor.waitingSince[job] = math.MaxInt64 // don't report this wait again
		}
	}
}

// waitsDespiteCapacity reports whether a job is pending, has no task on a machine, and could start now. It returns
// false for jobs that need licences, wait for predecessors, fail on purpose, or are interactive sessions.
func (sim *Simulation) waitsDespiteCapacity(spec *jobs.Spec, use *capacityUse) bool {
	job := spec.ID
	item, stored := sim.state.service.Keys[jobs.RecordKey(job)]
	exempt := len(spec.Licences) > 0 || sim.faults.failingJobs[job] || sim.records.sessions[job] != nil
	if !stored || use.placed[job] || exempt || sim.unfinishedPredecessor(spec) != "" {
		return false
	}
	var record jobs.Record
	if json.Unmarshal(item.Value, &record) != nil || record.State != jobs.Pending.String() {
		return false
	}
	if sim.allDone(job, spec.Tasks) || !sim.underLimit(spec, use.byTeam[spec.Team]) {
		return false
	}
	return fits(spec, use.ready)
}

// startingTasks returns the number of tasks of a job that must start together: all tasks of a gang, one of an array or
// a service.
func startingTasks(spec *jobs.Spec) int {
	if spec.Kind == jobs.Gang {
		return spec.Tasks
	}
	return 1
}

// fits reports whether the tasks of a job that must start together fit the free resources of the machines.
func fits(spec *jobs.Spec, ready []candidateMachine) bool {
	zones := map[string]int32{}
	var hosts []planner.Host
	for i, candidate := range ready {
		machine := candidate.machine
		if !allows(spec, machine.machineType, machine.zone, machine.spot) {
			continue
		}
		if _, ok := zones[machine.zone]; !ok {
			zones[machine.zone] = int32(len(zones))
		}
		hosts = append(hosts, planner.Host{ID: int32(i), Zone: zones[machine.zone], Free: candidate.free})
	}
	return planner.FirstFit(hosts, spec.Size(), startingTasks(spec), spec.OneZone, spec.ZoneLimit()) != nil
}

// underLimit reports whether a job's start would keep its team within its limit, given the team's current usage.
func (sim *Simulation) underLimit(spec *jobs.Spec, used planner.Size) bool {
	tasks := float64(startingTasks(spec))
	for _, team := range sim.cfg.Teams {
		if team.Name == spec.Team {
			cpusFit := team.CPUsMax == 0 || used.CPUs+tasks*spec.CPUs <= team.CPUsMax
			gpusFit := team.GPUsMax == 0 || used.GPUs+tasks*spec.GPUs <= team.GPUsMax
			return cpusFit && gpusFit
		}
	}
	return false
}
