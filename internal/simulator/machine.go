package simulator

import (
	"fmt"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
)

// Machine is a rented machine and its worker.
type Machine struct {
	Name        string
	addr        string
	machineType capacity.MachineType
	zone        string
	spot        bool
	rentedAt    time.Duration
	upAt        time.Duration
	dead        bool
	diedAt      time.Duration
	returned    bool
	incarnation int           // raised by each restart under the same name
	noticeAt    time.Duration // when the cloud reclaims it; 0: it doesn't

	machineFaults
	worker
}

// machineFaults is what is injected at a machine. Each time is when the fault ends.
type machineFaults struct {
	hungUntil            time.Duration // nothing is executed
	commandDelay         time.Duration // the next direct commands are delayed so long
	inboundLostUntil     time.Duration // messages to it are lost, those from it arrive
	outboundLostUntil    time.Duration // messages from it are lost, those to it arrive
	outboundRefusedUntil time.Duration // its connections are refused; direct commands reach it and are answered
	faulty               bool          // every task fails on it
}

// worker is the state of a machine's worker.
type worker struct {
	session, seq, token uint64
	leaseBase           time.Duration // its lease is counted from here
	nextHeartbeat       time.Duration
	lastHeartbeat       time.Duration
	lastSummary         string // summary at the last heartbeat
	controller          int    // heartbeats go to it
	tasks               []*workerTask
	images              map[string]bool // in its cache
}

// workerTask is one attempt of a task on a machine.
type workerTask struct {
	name             string
	spec             *jobs.Spec
	attempt          uint64
	state            string
	reason           string // why it exited
	saved            bool   // it was checkpointed when it was halted
	directLaunch     bool   // launched by a direct command
	faulty           bool   // its machine was when it got its image
	counted          bool   // it has its image and hasn't exited
	launchedAt       time.Duration
	imageReadyAt     time.Duration
	gatheringSince   time.Duration // it waits for its gang
	runningSince     time.Duration
	remainingSeconds float64 // to run, counted from runningSince
	checkpointDoneAt time.Duration
}

// States of a task on the wire.
const (
	taskPulling       = "pulling"
	taskGathering     = "gathering"
	taskRunning       = "running"
	taskCheckpointing = "flushing"
	taskExited        = "exited"
)

// Reasons of an exit on the wire.
const (
	reasonDone        = "done"
	reasonError       = "error"
	reasonHalted      = "halted"
	reasonGangTimeout = "alone"
	reasonGangPeers   = "peers"
	reasonUnknownJob  = "no_such"
	reasonDuplicate   = "in_use"
	reasonNoRoom      = "full"
)

// startMachine rents a machine. Its worker sends heartbeats once it is up.
func (sim *Simulation) startMachine(
	now time.Duration,
	machineType capacity.MachineType,
	zone string,
	spot bool,
) (*Machine, error) {
	machine := &Machine{
		Name:        machineName(len(sim.cloud.machines) + 1),
		machineType: machineType,
		zone:        zone,
		spot:        spot,
		rentedAt:    now,
		upAt:        now + sim.bootTime(machineType),
	}
	machine.worker = sim.newWorker(machine.upAt)
	serve := func(request httpRequest, reply replyFunc) { sim.serveCommands(machine, request, reply) }
	var err error
	machine.addr, err = sim.env.listen(machine.Name, zone, serve)
	if err != nil {
		return nil, err
	}
	sim.cloud.machines = append(sim.cloud.machines, machine)
	sim.cloud.machineByName[machine.Name] = machine
	sim.env.schedule(machine.upAt-now, func() { sim.heartbeatLoop(machine) })
	return machine, nil
}

// newWorker returns the worker of a machine that boots, without tasks and images, for any controller.
func (sim *Simulation) newWorker(upAt time.Duration) worker {
	return worker{
		session:       1,
		leaseBase:     upAt,
		nextHeartbeat: upAt,
		controller:    sim.rng.IntN(sim.cfg.Controllers),
		images:        map[string]bool{},
	}
}

// terminate ends a machine with everything on it.
func (sim *Simulation) terminate(now time.Duration, machine *Machine) {
	sim.dropTasks(now, machine)
	if !machine.dead {
		sim.cloud.costOfEndedMachines += machine.cost(now)
	}
	machine.dead = true
	machine.diedAt = now
}

// cost is a machine's price from when it was rented.
func (m *Machine) cost(now time.Duration) float64 {
	price := m.machineType.Price
	if m.spot {
		price = m.machineType.Spot
	}
	return price * (now - m.rentedAt).Hours()
}

// summary is what of a heartbeat changes with the tasks: a change makes the next heartbeat early.
func (m *Machine) summary() string {
	var b strings.Builder
	fmt.Fprint(&b, m.session, m.noticeAt)
	for _, task := range m.tasks {
		b.WriteString(task.name + task.state)
	}
	return b.String()
}

// dropTasks ends a machine's tasks without notice.
func (sim *Simulation) dropTasks(now time.Duration, machine *Machine) {
	for _, task := range machine.tasks {
		if task.state != taskExited {
			sim.Licences.holderLost(now, task)
		}
	}
	machine.tasks = nil
}

// leaseExpired reports whether the worker's lease has run out.
func (sim *Simulation) leaseExpired(now time.Duration, machine *Machine) bool {
	return now-machine.leaseBase > jobs.Seconds(sim.cfg.Workers.LeaseS)
}

// expireWorkerLease ends the session of a worker whose lease has run out.
func (sim *Simulation) expireWorkerLease(now time.Duration, machine *Machine) {
	if !sim.leaseExpired(now, machine) {
		return
	}
	sim.stats.WorkerLeasesExpired++
	sim.dropTasks(now, machine)
	machine.session++
	machine.leaseBase = now
}

// advanceMachine brings a machine and its tasks up to now.
func (sim *Simulation) advanceMachine(now time.Duration, machine *Machine) {
	if machine.noticeAt > 0 && now >= machine.noticeAt && !machine.dead {
		sim.terminate(now, machine)
	}
	if machine.dead || now < machine.upAt {
		return
	}
	if now < machine.hungUntil {
		// It executes nothing, and beyond its lease it never will: its tasks have ended.
		if sim.leaseExpired(now, machine) {
			sim.dropTasks(now, machine)
		}
		for _, task := range machine.tasks {
			sim.checkCancelledTask(now, machine, task)
		}
		return
	}
	sim.expireWorkerLease(now, machine)
	for _, task := range machine.tasks {
		sim.checkCancelledTask(now, machine, task)
		sim.advanceTask(now, machine, task)
	}
}
