package simulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// AddJob lets workers know a job, as users do who upload it with its submission.
func (w *Simulation) AddJob(spec *jobs.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[spec.ID] = spec
	w.submittedAt[spec.ID] = w.now()
}

// ConfirmCancelled notes that a user was told that a job is cancelled.
func (w *Simulation) ConfirmCancelled(id string) {
	for _, f := range w.recordCancelled(id) {
		f()
	}
}

// AllDone tells whether every task of a job is done.
func (w *Simulation) AllDone(id string, tasks int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allDone(id, tasks)
}

func (w *Simulation) allDone(id string, tasks int) bool {
	for t := range tasks {
		if p := w.taskProgress[id+"/"+strconv.Itoa(t)]; p == nil || !p.done {
			return false
		}
	}
	return true
}

// readyMachines lists the machines that are up and do not hang.
func (w *Simulation) readyMachines() (machines []*Machine) {
	now := w.now()
	for _, machine := range w.machines {
		if !machine.dead && now >= machine.upAt && now >= machine.hungUntil {
			machines = append(machines, machine)
		}
	}
	return machines
}

// CrashTask lets one running task fail; false: none runs.
func (w *Simulation) CrashTask() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range w.shuffledReadyMachines() {
		if i := slices.IndexFunc(machine.tasks, func(task *workerTask) bool { return task.state == taskRunning }); i >= 0 {
			w.exitTask(w.now(), machine.tasks[i], "error")
			return true
		}
	}
	return false
}

func (w *Simulation) shuffledReadyMachines() []*Machine {
	machines := w.readyMachines()
	w.rng.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	return machines
}

// KillMachine ends one machine with all that is on it.
func (w *Simulation) KillMachine() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := w.shuffledReadyMachines()
	if len(machines) == 0 {
		return false
	}
	w.stats.MachinesKilled++
	w.terminate(w.now(), machines[0])
	return true
}

// HangMachine lets one machine stand still for a time. What ran on it goes on afterwards, unless its
// lease has run out meanwhile.
func (w *Simulation) HangMachine(duration time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := w.shuffledReadyMachines()
	if len(machines) == 0 {
		return false
	}
	w.stats.MachinesHung++
	machines[0].hungUntil = w.now() + duration
	for _, task := range machines[0].tasks {
		w.Licences.holderLost(w.now(), task)
	}
	return true
}

// DelayMachineCommands holds the next direct commands to one machine back for a time.
func (w *Simulation) DelayMachineCommands(duration time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := w.shuffledReadyMachines()
	if len(machines) == 0 {
		return false
	}
	machines[0].commandDelay = duration
	return true
}

// ReclaimSpotMachine announces that the cloud takes one spot machine back after a time.
func (w *Simulation) ReclaimSpotMachine(duration time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range w.shuffledReadyMachines() {
		if machine.spot && machine.noticeAt == 0 {
			machine.noticeAt = w.now() + duration
			return true
		}
	}
	return false
}

// BusiestMachine names the machine with most tasks on it.
func (w *Simulation) BusiestMachine() (name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := -1
	for _, machine := range w.readyMachines() {
		if len(machine.tasks) > most {
			most, name = len(machine.tasks), machine.Name
		}
	}
	return name
}

// MachineReturned tells whether a machine was given back.
func (w *Simulation) MachineReturned(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	machine := w.machineByName[name]
	return machine != nil && machine.returned
}
