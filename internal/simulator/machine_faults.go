package simulator

import (
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
)

// allMachines is larger than the number of machines in any simulation.
const allMachines = 1 << 30

// neverBoots is the boot time of a machine that never comes up: longer than any simulation.
const neverBoots = 1000 * time.Hour

// readyMachines lists the machines that are up and not hung.
func (sim *Simulation) readyMachines() (machines []*Machine) {
	now := sim.now()
	for _, machine := range sim.cloud.machines {
		if !machine.dead && now >= machine.upAt && now >= machine.hungUntil {
			machines = append(machines, machine)
		}
	}
	return machines
}

func (sim *Simulation) shuffledReadyMachines() []*Machine {
	machines := sim.readyMachines()
	sim.rng.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	return machines
}

// drawReadyMachine returns a random ready machine, nil if there is none.
func (sim *Simulation) drawReadyMachine() *Machine {
	machines := sim.shuffledReadyMachines()
	if len(machines) == 0 {
		return nil
	}
	return machines[0]
}

// CrashTask makes one running task fail. It returns false if no task is running.
func (sim *Simulation) CrashTask() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.shuffledReadyMachines() {
		i := slices.IndexFunc(machine.tasks, func(task *workerTask) bool { return task.state == taskRunning })
		if i >= 0 {
			sim.exitTask(sim.now(), machine.tasks[i], reasonError)
			return true
		}
	}
	return false
}

// KillMachine ends one ready machine and the tasks on it. It returns false if no machine is ready.
func (sim *Simulation) KillMachine() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machine := sim.drawReadyMachine()
	if machine == nil {
		return false
	}
	sim.stats.MachinesKilled++
	sim.terminate(sim.now(), machine)
	return true
}

// HangMachine makes one ready machine hang for the duration. Its tasks resume afterwards, unless the worker's lease
// has expired meanwhile. It returns false if no machine is ready.
func (sim *Simulation) HangMachine(duration time.Duration) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machine := sim.drawReadyMachine()
	if machine == nil {
		return false
	}
	sim.stats.MachinesHung++
	machine.hungUntil = sim.now() + duration
	for _, task := range machine.tasks {
		sim.Licences.holderLost(sim.now(), task)
	}
	return true
}

// DelayMachineCommands delays the next request with direct commands to one ready machine. It returns false if no
// machine is ready.
func (sim *Simulation) DelayMachineCommands(duration time.Duration) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machine := sim.drawReadyMachine()
	if machine == nil {
		return false
	}
	machine.commandDelay = duration
	return true
}

// ReclaimSpotMachine gives one ready spot machine notice that the cloud reclaims it after the given time. It returns
// false if there is no such machine without a notice.
func (sim *Simulation) ReclaimSpotMachine(after time.Duration) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.shuffledReadyMachines() {
		if machine.spot && machine.noticeAt == 0 {
			machine.noticeAt = sim.now() + after
			return true
		}
	}
	return false
}

// BusiestMachine returns the name of the ready machine with the most tasks, "" if no machine is ready.
func (sim *Simulation) BusiestMachine() (name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	maxTasks := -1
	for _, machine := range sim.readyMachines() {
		if len(machine.tasks) > maxTasks {
			maxTasks = len(machine.tasks)
			name = machine.Name
		}
	}
	return name
}

// MachineReturned reports whether a machine has been returned to the cloud.
func (sim *Simulation) MachineReturned(name string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machine := sim.cloud.machineByName[name]
	return machine != nil && machine.returned
}

// DropInbound drops, for the duration, all messages to up to n ready machines of a zone ("" for any). Messages from
// them still arrive. It returns the machines' names.
func (sim *Simulation) DropInbound(n int, zone string, duration time.Duration) []string {
	return sim.affectMachines(n, zone, func(machine *Machine) {
		machine.inboundLostUntil = sim.now() + duration
	})
}

// DropOutbound drops, for the duration, all messages from up to n ready machines of a zone ("" for any). Messages to
// them still arrive. It returns the machines' names.
func (sim *Simulation) DropOutbound(n int, zone string, duration time.Duration) []string {
	return sim.affectMachines(n, zone, func(machine *Machine) {
		machine.outboundLostUntil = sim.now() + duration
	})
}

// RefuseOutbound refuses, for the duration, all connections from up to n ready machines of a zone ("" for any). Direct
// commands still reach them and are answered. It returns the machines' names.
func (sim *Simulation) RefuseOutbound(n int, zone string, duration time.Duration) []string {
	return sim.affectMachines(n, zone, func(machine *Machine) {
		machine.outboundRefusedUntil = sim.now() + duration
	})
}

func (sim *Simulation) affectMachines(n int, zone string, apply func(*Machine)) (names []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.shuffledReadyMachines() {
		if len(names) == n {
			break
		}
		if zone == "" || machine.zone == zone {
			apply(machine)
			sim.stats.OneWayFaults++
			names = append(names, machine.Name)
		}
	}
	return names
}

// RestartMachine restarts a ready machine ("" for any), which is up again after the given time. The machine keeps its
// name and address, loses its tasks and images, and restarts its session and sequence numbers. RestartMachine returns
// the machine's name, "" if there is no such ready machine.
func (sim *Simulation) RestartMachine(name string, after time.Duration) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.shuffledReadyMachines() {
		if name != "" && machine.Name != name {
			continue
		}
		now := sim.now()
		sim.dropTasks(now, machine)
		machine.incarnation++
		machine.noticeAt = 0
		machine.upAt = now + after
		machine.worker = sim.newWorker(machine.upAt)
		sim.stats.MachinesRestarted++
		return machine.Name
	}
	return ""
}

// FailTasksOnMachine makes every task that starts on a machine from now on fail.
func (sim *Simulation) FailTasksOnMachine(name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cloud.machineByName[name].faulty = true
}

// SetMachineFaulty makes the tasks that start on a machine fail, or succeed again.
func (sim *Simulation) SetMachineFaulty(name string, faulty bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cloud.machineByName[name].faulty = faulty
}

// FailJob makes every task of a job fail, on any machine.
func (sim *Simulation) FailJob(job string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.failingJobs[job] = true
}

// bootFault changes the boot times of machines that are rented while the fault is on.
type bootFault struct {
	on         bool
	factor     float64 // multiple of the usual boot time
	neverShare float64 // share of machines that never come up
}

// SetBootFault multiplies the boot times of machines rented from now on by factor, and prevents the share neverShare
// of them from coming up; factor 0 ends the fault.
func (sim *Simulation) SetBootFault(factor, neverShare float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cloud.bootFault = bootFault{on: factor > 0, factor: factor, neverShare: neverShare}
}

// bootTime draws the boot time of a machine.
func (sim *Simulation) bootTime(machineType capacity.MachineType) time.Duration {
	usual := jobs.Seconds(machineType.BootS * (0.6 + 0.9*sim.rng.Float64()))
	fault := sim.cloud.bootFault
	if !fault.on {
		return usual
	}
	if sim.rng.Float64() < fault.neverShare {
		return neverBoots
	}
	return time.Duration(float64(usual) * fault.factor)
}
