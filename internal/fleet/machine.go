package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Condition is the state of a machine as determined by the leader.
type Condition uint8

// The conditions of a machine and their transitions.
//
// A fenced heartbeat carries the machine's present token, see isFenced.
//
//	Registered        -> Ready              a fenced heartbeat was accepted
//	any               -> ReclaimNoticed     a fenced heartbeat has a reclaim notice: no launches
//	Ready             -> ReclaimNoticed     the machine is being returned: no launches
//	ReclaimNoticed    -> Ready              a fenced heartbeat no longer has a reclaim notice
//	ReclaimNoticed    -> Registered         a drain request was withdrawn before the machine was returned
//	Registered, Ready -> OneWayUnreachable  its heartbeats arrive, but do not confirm that responses reach it
//	OneWayUnreachable -> Ready              a heartbeat at the raised token was accepted
//	any               -> LeaseExpired       its worker's lease has certainly expired
//	LeaseExpired      -> Ready              a fenced heartbeat of a new session was accepted
//	any               -> Terminated         the cloud confirmed the termination; final
const (
	Registered Condition = iota
	Ready
	ReclaimNoticed
	LeaseExpired
	Terminated
	OneWayUnreachable
)

// String returns the condition's name in the operators' API, in log lines and in events.
func (c Condition) String() string {
	return [...]string{"known", "acting", "noticed", "lost", "gone", "deaf"}[c]
}

// ExpectsHeartbeats reports whether a machine in this condition is expected to send heartbeats, now and later.
func (c Condition) ExpectsHeartbeats() bool {
	return c == Registered || c == Ready || c == OneWayUnreachable
}

// TaskRef identifies a task by dense indices.
type TaskRef struct {
	Job  jobs.Index
	Task int32
}

// tokenBits is the number of low bits of a token that count how often the token was raised within a term.
const tokenBits = 20

// Machine is one machine of the fleet.
type Machine struct {
	Index     int32 // dense, in the order of registration
	Name      string
	Addr      string // address for direct commands; "" until a heartbeat or the cloud's list has it
	Type      int32  // machine type; None until a heartbeat or the cloud's list has it
	Zone      int32  // None until a heartbeat or the cloud's list has it
	Spot      bool
	Condition Condition

	// Token is the fencing token. The high bits are the leader's term. The low tokenBits count how often the token was
	// raised in this term, which makes commands of this leader void that may still arrive late.
	Token        uint64
	Session, Seq uint64 // session and sequence number of the latest accepted heartbeat

	RegisteredAt    time.Duration // time of registration
	LastContactAt   time.Duration // time of the last heartbeat that counts as contact, see recordContact
	LastHeartbeatAt time.Duration // time of the last accepted heartbeat
	LeaseRenewedAt  time.Duration // latest time at which the worker's lease may have begun or been renewed
	UpSince         time.Duration // time at which the machine first became Ready; 0 before
	ReclaimAt       time.Duration // time at which the cloud reclaims the machine, after a reclaim notice
	IdleSince       time.Duration // time at which a task last came to the machine, or the last one left

	Returning   bool // the machine is being returned to the cloud
	Quarantined bool // the zone is lost and no heartbeat arrived since: no task is planned here
	draining    bool // operators have requested a drain

	Capacity planner.Size
	Used     planner.Size         // capacity used by Tasks
	Tasks    map[TaskRef]struct{} // the tasks that count as on the machine, see release

	// The planned tasks that wait here for their launch, by job, with their sums. Fleet.enqueue and Fleet.removeQueued
	// keep the sums up to date.
	queues              []taskQueue
	QueuedTasks         int          // number of tasks in queues
	queuedNeed          planner.Size // total need of the queued tasks
	queuedWithoutArrays planner.Size // the part of queuedNeed that gangs and services need
	smallestQueued      planner.Size // lower bound of each queued task's need: with less room, none can start

	// expectedEnds caches the expected ends of the tasks here, earliest first. It is computed on demand and valid until
	// the machine changes, for at most expectedEndsValidFor.
	expectedEnds   []expectedEnd
	endsComputedAt time.Duration
	endsValid      bool

	cachedImages []cachedImage // inferred content of the image cache; most recently used last

	// Direct commands.
	directInFlight bool          // a direct request has no response yet
	dispatchedAt   time.Duration // time of the last direct request
	promptedAt     time.Duration // time of the last prompt for a heartbeat; 0 if none was sent since the last response
	hasLaunches    bool          // a task was launched here since the last response to a heartbeat
	hasStops       bool          // a task here may have to be stopped by a direct command
	fencing        bool          // the token was raised and no heartbeat has carried it yet
	reachability   reachability

	exitedListed int // number of exited tasks that the last heartbeat listed

	// The attempts that the last two heartbeats listed unexpectedly, see commandlog.go.
	unexpected, formerUnexpected []unexpectedAttempt

	// Capacity that is kept free here for waiting work.
	keepsCPUsForGPUWork bool         // processors beside its accelerators are kept for GPU work
	reserved            planner.Size // reservation for a waiting gang
	reservedRank        int          // the gang's rank
	reservedFirmly      bool         // the reservation also binds jobs that have waited long
	// borrowers are the tasks here that were launched into reserved room, see recordBorrower, and borrowed is their size.
	borrowers map[TaskRef]struct{}
	borrowed  planner.Size

	failedJobs []jobs.Index // distinct jobs with a task that failed here since the last success
	slowdown   float64      // smoothed ratio of run time to estimate; 1 is normal
}

// taskQueue holds the tasks of one job that are planned on a machine and not yet launched.
type taskQueue struct {
	job   jobs.Index
	tasks []int32
}

// queued returns the tasks of a job that are planned on the machine and not yet launched.
func (m *Machine) queued(jobIndex jobs.Index) []int32 {
	for i := range m.queues {
		if m.queues[i].job == jobIndex {
			return m.queues[i].tasks
		}
	}
	return nil
}

// setQueue replaces the queue of a job; an empty queue is removed. The caller updates the sums, see
// Fleet.removeQueued.
func (m *Machine) setQueue(jobIndex jobs.Index, tasks []int32) {
	for i := range m.queues {
		if m.queues[i].job != jobIndex {
			continue
		}
		m.queues[i].tasks = tasks
		if len(tasks) == 0 {
			m.queues = slices.Delete(m.queues, i, i+1)
		}
		return
	}
	if len(tasks) > 0 {
		m.queues = append(m.queues, taskQueue{jobIndex, tasks})
	}
}

// expectedEnd is the expected end of a task on a machine.
type expectedEnd struct {
	TaskRef
	at   time.Duration
	size planner.Size
}

// raiseToken raises the token. Once the worker has received the new token, it refuses all commands sent before.
func (m *Machine) raiseToken() {
	m.Token++
	m.fencing = true
}

// Free returns the capacity that no task uses.
func (m *Machine) Free() planner.Size { return m.Capacity.Sub(m.Used) }

// RegisterMachine returns the machine with a name, and registers the name if it is new in this term.
func (f *Fleet) RegisterMachine(now time.Duration, name string) *Machine {
	if machine, ok := f.byName[name]; ok {
		return machine
	}
	machine := &Machine{
		Index:          int32(len(f.machines)),
		Name:           name,
		Type:           jobs.None,
		Zone:           jobs.None,
		Token:          f.Term << tokenBits,
		RegisteredAt:   now,
		LastContactAt:  now,
		LeaseRenewedAt: now,
		IdleSince:      now,
		Tasks:          map[TaskRef]struct{}{},
		cachedImages:   f.hints.inherited[name],
		slowdown:       1,
	}
	f.machines = append(f.machines, machine)
	f.byName[machine.Name] = machine
	return machine
}

// FindMachine returns the machine with a name, or nil if none is registered.
func (f *Fleet) FindMachine(name string) *Machine { return f.byName[name] }

// SetMachineDetails sets the details of a machine that a heartbeat or the cloud's list contains.
func (f *Fleet) SetMachineDetails(machine *Machine, addr, typ, zone string, spot bool) {
	names := f.Jobs.Names
	zoneIndex := names.Zones.Index(zone)
	if machine.Zone == jobs.None {
		// Tasks recovered from the plans were counted in zone None, before the machine's zone was available.
		for ref := range machine.Tasks {
			job := f.jobAt(ref.Job)
			job.TasksByZone[jobs.None]--
			job.TasksByZone[zoneIndex]++
		}
	}
	machine.Addr = addr
	machine.Type = names.Types.Index(typ)
	machine.Zone = zoneIndex
	machine.Spot = spot
	f.setCapacity(machine)
}

// setCapacity sets a machine's capacity, if its type's description is available.
func (f *Fleet) setCapacity(machine *Machine) {
	if machineType := f.machineType(machine); machineType != nil {
		f.gpuReserve.seenTypes[machine.Type] = true
		machine.Capacity = machineType.Size
	}
}

// machineType returns the description of a machine's type, or nil while the type or its description is not available.
func (f *Fleet) machineType(machine *Machine) *MachineType {
	if machine.Type == jobs.None {
		return nil
	}
	return f.Types(machine.Type)
}

// setCondition changes a machine's condition, with a log line and an event. Nothing else writes Machine.Condition.
func (f *Fleet) setCondition(machine *Machine, to Condition, cause string) {
	if machine.Condition == to {
		return
	}
	slog.Info("machine state changed", "machine", machine.Name, "from", machine.Condition.String(), "to", to.String(),
		"cause", cause, "term", f.Term)
	machine.Condition = to
	f.Events.Add(events.Event{At: f.Now(), Kind: events.MachineStateChanged, Machine: machine.Index, Note: to.String()})
}
