package simulator

import (
	"fmt"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
)

// Machine is a rented machine with its worker. Times are counted from the simulation's start.
type Machine struct {
	Name        string
	addr        string
	machineType capacity.MachineType
	zone        string
	spot        bool
	rentedAt    time.Duration
	upAt        time.Duration // end of the boot
	dead        bool
	diedAt      time.Duration // valid if dead
	returned    bool          // returned to the cloud
	incarnation int           // raised by each restart under the same name
	noticeAt    time.Duration // time at which the cloud reclaims the machine; 0: no notice was given

	machineFaults
	worker
}

// machineFaults holds the faults injected into a machine. A field ending in Until is the time at which the fault ends;
// zero values mean no fault.
type machineFaults struct {
	hungUntil            time.Duration // the machine executes nothing
	commandDelay         time.Duration // delay of the next request with direct commands
	inboundLostUntil     time.Duration // messages to the machine are lost, messages from it arrive
	outboundLostUntil    time.Duration // messages from the machine are lost, messages to it arrive
	outboundRefusedUntil time.Duration // connections from the machine are refused; direct commands still work
	faulty               bool          // every task that starts on the machine fails

	// answeredCommands holds the requests that may be delivered again. repeatedIncarnation and repeatedElections are the
	// incarnation and the number of elections at the last check of RepeatCommandsAtWorstTime.
	answeredCommands    []*answeredCommands
	repeatedIncarnation int
	repeatedElections   int
}

// worker is the state of a machine's worker.
type worker struct {
	session, seq, token uint64
	leaseBase           time.Duration // start of the worker's current lease
	nextHeartbeat       time.Duration
	lastHeartbeat       time.Duration
	lastSummary         string // the machine's summary at the last heartbeat
	controller          int    // controller that receives the heartbeats
	tasks               []*workerTask
	images              map[string]bool // cached images
}

// workerTask is one attempt of a task on a machine.
type workerTask struct {
	name             string
	spec             *jobs.Spec
	attempt          uint64
	state            string
	reason           string // exit reason
	saved            bool   // a checkpoint was saved when the task was halted
	faulty           bool   // the machine was faulty when the image was ready
	active           bool   // the image is ready and the task hasn't exited
	launchedAt       time.Duration
	imageReadyAt     time.Duration
	gatheringSince   time.Duration // start of the wait for the other tasks of the gang
	runningSince     time.Duration
	remainingSeconds float64       // run time needed from runningSince on
	checkpointDoneAt time.Duration // end of the checkpoint in progress
}

// States of a task on the wire.
const (
	taskPulling       = "pulling"
	taskGathering     = "gathering"
	taskRunning       = "running"
	taskCheckpointing = "flushing"
	taskExited        = "exited"
)

// Exit reasons on the wire.
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

// startMachine rents a machine. The worker sends heartbeats once the machine is up.
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

// newWorker returns the worker of a booting machine, without tasks or images, with a randomly drawn controller.
func (sim *Simulation) newWorker(upAt time.Duration) worker {
	return worker{
		session:       1,
		leaseBase:     upAt,
		nextHeartbeat: upAt,
		controller:    sim.rng.IntN(sim.cfg.Controllers),
		images:        map[string]bool{},
	}
}

// terminate ends a machine and the tasks on it.
func (sim *Simulation) terminate(now time.Duration, machine *Machine) {
	sim.dropTasks(now, machine)
	if !machine.dead {
		sim.cloud.costOfEndedMachines += machine.cost(now)
	}
	machine.dead = true
	machine.diedAt = now
}

// cost returns the machine's accumulated price since it was rented.
func (m *Machine) cost(now time.Duration) float64 {
	price := m.machineType.OnDemandPrice
	if m.spot {
		price = m.machineType.SpotPrice
	}
	return price * (now - m.rentedAt).Hours()
}

// summary returns the machine's session, notice and task states. A changed summary makes the next heartbeat early.
func (m *Machine) summary() string {
	var b strings.Builder
	fmt.Fprint(&b, m.session, m.noticeAt)
	for _, task := range m.tasks {
		b.WriteString(task.name + task.state)
	}
	return b.String()
}

// dropTasks removes all tasks from a machine without a clean exit: their licence units stay checked out.
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

// advanceMachine advances a machine and its tasks to now.
func (sim *Simulation) advanceMachine(now time.Duration, machine *Machine) {
	if machine.noticeAt > 0 && now >= machine.noticeAt && !machine.dead {
		sim.terminate(now, machine)
	}
	if machine.dead || now < machine.upAt {
		return
	}
	if now < machine.hungUntil {
		// A hung machine executes nothing. If its lease runs out meanwhile, its tasks never resume.
		if sim.leaseExpired(now, machine) {
			sim.dropTasks(now, machine)
		}
		for _, task := range machine.tasks {
			sim.checkCancelledTask(now, machine, task)
		}
		return
	}
	sim.expireWorkerLease(now, machine)
	sim.repeatAtWorstTime(now, machine)
	for _, task := range machine.tasks {
		sim.checkCancelledTask(now, machine, task)
		sim.advanceTask(now, machine, task)
	}
}
