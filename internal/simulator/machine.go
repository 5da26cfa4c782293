package simulator

import (
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

type MachineType = capacity.MachineType

// Machine is a rented machine and its worker.
type Machine struct {
	Name                 string
	addr                 string
	machineType          MachineType
	zone                 string
	spot                 bool
	rentedAt             time.Duration
	upAt                 time.Duration // when it is up
	dead                 bool
	diedAt               time.Duration
	returned             bool
	hungUntil            time.Duration
	commandDelay         time.Duration // direct commands are held back for so long
	inboundLostUntil     time.Duration // it hears nothing, though it is heard
	outboundLostUntil    time.Duration // it isn't heard, though it hears
	outboundRefusedUntil time.Duration // it reaches no controller, though direct commands reach it and are answered
	faulty               bool          // every task fails on it
	incarnation          int           // times it was started
	noticeAt             time.Duration // the cloud takes it then; 0: it does not

	session, seq, token uint64
	leaseBase           time.Duration // the lease counts from here
	nextHeartbeat       time.Duration // report
	lastSummary         string        // what the last report said, to see changes
	lastSent            time.Duration
	controller          int // controller reported to
	tasks               []*workerTask
	images              map[string]bool
}

// workerTask is one attempt on a machine.
type workerTask struct {
	name             string
	spec             *jobs.Spec
	attempt          uint64
	state            string
	reason           string
	saved            bool
	faulty           bool          // its machine is
	imageReadyAt     time.Duration // has its image
	gatheringSince   time.Duration // for its gang since
	runningSince     time.Duration // running since
	remainingSeconds float64       // seconds still to do when it began to run
	checkpointDoneAt time.Duration // saved by then
	counted          bool          // on the machine, by the rules
	directLaunch     bool          // launched by a direct command
	launchedAt       time.Duration // when its launch came
}

// States and reasons on the wire.
const (
	taskPulling       = "pulling"
	taskGathering     = "gathering"
	taskRunning       = "running"
	taskCheckpointing = "flushing"
	taskExited        = "exited"
)

// startMachine starts a machine; its worker reports once it is up.
func (w *Simulation) startMachine(now time.Duration, t MachineType, zone string, spot bool) (*Machine, error) {
	machine := &Machine{
		Name: machineName(len(w.machines) + 1), machineType: t, zone: zone, spot: spot, rentedAt: now,
		upAt: now + w.bootTime(t), session: 1, images: map[string]bool{}, controller: w.rng.IntN(w.cfg.Controllers),
	}
	var err error
	if machine.addr, err = w.env.listen(machine.Name, zone, func(request httpRequest, reply replyFunc) { w.serveCommands(machine, request, reply) }); err != nil {
		return nil, err
	}
	machine.leaseBase, machine.nextHeartbeat = machine.upAt, machine.upAt
	w.machines = append(w.machines, machine)
	w.machineByName[machine.Name] = machine
	w.env.schedule(machine.upAt-now, func() { w.heartbeatLoop(machine) })
	return machine, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// terminate takes a machine and everything on it away.
func (w *Simulation) terminate(now time.Duration, machine *Machine) {
	w.dropTasks(now, machine)
	if !machine.dead {
		w.costOfEndedMachines += machine.cost(now)
	}
	machine.dead, machine.diedAt = true, now
}

// cost is a machine's price from its renting on.
func (m *Machine) cost(now time.Duration) float64 {
	price := m.machineType.Price
	if m.spot {
		price = m.machineType.Spot
	}
	return price * (now - m.rentedAt).Hours()
}

// dropTasks ends a machine's tasks without notice.
func (w *Simulation) dropTasks(now time.Duration, machine *Machine) {
	for _, task := range machine.tasks {
		if task.state != taskExited {
			w.Licences.holderLost(now, task)
		}
	}
	machine.tasks = nil
}

// expireWorkerLease ends the session of a worker whose lease has run out.
func (w *Simulation) expireWorkerLease(now time.Duration, machine *Machine) {
	if now-machine.leaseBase > seconds(w.cfg.Workers.LeaseS) {
		w.stats.WorkerLeasesExpired++
		w.dropTasks(now, machine)
		machine.session++
		machine.leaseBase = now
	}
}

// advanceMachine lets time pass on a machine.
func (w *Simulation) advanceMachine(now time.Duration, machine *Machine) {
	if machine.noticeAt > 0 && now >= machine.noticeAt && !machine.dead {
		w.terminate(now, machine)
	}
	if machine.dead || now < machine.upAt {
		return
	}
	if now < machine.hungUntil {
		// It executes nothing, and beyond its lease it never will: what is on it is gone.
		if now-machine.leaseBase > seconds(w.cfg.Workers.LeaseS) {
			w.dropTasks(now, machine)
		}
		for _, task := range machine.tasks {
			w.checkCancelledTask(now, machine, task)
		}
		return
	}
	w.expireWorkerLease(now, machine)
	for _, task := range machine.tasks {
		w.checkCancelledTask(now, machine, task)
		w.advanceTask(now, machine, task)
	}
}

// advanceTask lets one task go on.
func (w *Simulation) advanceTask(now time.Duration, machine *Machine, task *workerTask) {
	switch task.state {
	case taskPulling:
		if now < task.imageReadyAt {
			return
		}
		machine.images[task.spec.Image] = true
		w.taskStarted(now, machine, task)
		task.state, task.gatheringSince, task.faulty = taskGathering, now, machine.faulty
		if task.spec.Kind != jobs.Gang {
			w.startRunning(now, task)
		}
	case taskGathering:
		switch {
		case w.countGangMembers(task) == task.spec.Tasks:
			w.startRunning(now, task)
		case now-task.gatheringSince > seconds(w.cfg.Workers.GangWaitS):
			w.exitTask(now, task, "alone")
		}
	case taskRunning:
		if !w.Licences.checkOut(now, task) {
			w.exitTask(now, task, "error") // what the users call failing late and noisily
			return
		}
		gang := task.spec.Kind == jobs.Gang
		switch {
		case now-task.runningSince >= failingTaskRunTime && (task.faulty || w.failingJobs[task.spec.ID]):
			w.exitTask(now, task, "error")
		case gang && w.countGangMembers(task) < task.spec.Tasks && w.progressOf(task).done:
			w.exitTask(now, task, "done")
		case gang && w.countGangMembers(task) < task.spec.Tasks:
			w.exitTask(now, task, "peers")
		case task.spec.Kind != jobs.Service && now-task.runningSince >= seconds(task.remainingSeconds):
			w.completeTask(now, task)
		}
	case taskCheckpointing:
		if now >= task.checkpointDoneAt {
			p := w.progressOf(task)
			p.savedSeconds = min(task.spec.EstimateS, p.savedSeconds+(task.checkpointDoneAt-task.runningSince).Seconds()-task.spec.SaveS)
			task.saved = true
			w.exitTask(now, task, "halted")
		}
	}
}

func (w *Simulation) progressOf(task *workerTask) *progress {
	p := w.taskProgress[task.name]
	if p == nil {
		p = &progress{}
		w.taskProgress[task.name] = p
	}
	return p
}

func (w *Simulation) startRunning(now time.Duration, task *workerTask) {
	task.state, task.runningSince = taskRunning, now
	if session := w.sessions[task.spec.ID]; session != nil {
		session.processStarted(now, task)
	}
	factor := 0.8 + 0.4*w.rng.Float64()
	if w.cfg.VariedRunTimes {
		factor = 0.25 + 1.75*w.rng.Float64()
	}
	task.remainingSeconds = max(0.01, (task.spec.EstimateS-w.progressOf(task).savedSeconds)*factor/w.cfg.Speed)
}

// exitTask ends a task by itself: what it held it gives back, unless it fails.
func (w *Simulation) exitTask(now time.Duration, task *workerTask, why string) {
	task.state, task.reason, task.counted = taskExited, why, false
	if why == "error" {
		w.stats.TasksCrashed++
		w.Licences.holderLost(now, task)
		return
	}
	w.Licences.checkIn(task)
}

func (w *Simulation) completeTask(now time.Duration, task *workerTask) {
	w.progressOf(task).done = true
	w.exitTask(now, task, "done")
	w.stats.TasksDone++
	defer w.jobCompleted(task.spec)
	if task.spec.Kind == jobs.Gang {
		for t := range task.spec.Tasks {
			w.progressOf(&workerTask{name: task.spec.ID + "/" + strconv.Itoa(t)}).done = true
		}
	}
}

// countGangMembers counts the tasks of an attempt that have their image.
func (w *Simulation) countGangMembers(task *workerTask) (n int) {
	for _, machine := range w.machines {
		for _, other := range machine.tasks {
			if other.spec.ID == task.spec.ID && other.attempt == task.attempt && other.counted {
				n++
			}
		}
	}
	return n
}

// taskStarted is the moment a task has its image: the rules look here.
func (w *Simulation) taskStarted(now time.Duration, m *Machine, task *workerTask) {
	task.counted = true
	w.startTimes = append(w.startTimes, now)
	if _, ok := w.startDelays[task.spec.ID]; !ok {
		w.startDelays[task.spec.ID] = now - w.submittedAt[task.spec.ID]
	}
	w.stats.TaskStarts++
	if at, ok := w.cancelledAt[task.spec.ID]; ok {
		w.stats.StartsAfterCancel++
		if task.directLaunch {
			w.stats.DirectStartsAfterCancel++
		}
		w.stats.LatestStartAfterCancel = max(w.stats.LatestStartAfterCancel, now-at)
	}
	if w.progressOf(task).done {
		w.stats.TasksRerun++
	}
	var use planner.Size
	for _, o := range w.machines {
		for _, other := range o.tasks {
			if !other.counted || o.dead {
				continue
			}
			if other.name == task.name && other != task {
				w.violate("ran_twice: %s on %s and %s", task.name, o.Name, m.Name)
			}
			if other.spec.Team == task.spec.Team {
				use = use.Add(other.spec.Size())
			}
		}
	}
	for _, t := range w.cfg.Teams {
		if t.Name == task.spec.Team && ((t.CPUsMax > 0 && use.CPUs > t.CPUsMax+1e-6) || (t.GPUsMax > 0 && use.GPUs > t.GPUsMax+1e-6)) {
			w.violate("quota: team %s uses %v with %s", t.Name, use, task.name)
		}
	}
}
