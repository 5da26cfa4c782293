package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Condition is the state of a machine, as its leader determines it.
type Condition uint8

// The conditions of a machine and their transitions.
//
//	Registered        -> Ready              a heartbeat at the leader's token was accepted
//	any               -> ReclaimNoticed     a fenced heartbeat has a reclaim notice: no launches
//	Ready             -> ReclaimNoticed     the machine is being returned: no launches
//	ReclaimNoticed    -> Ready              a fenced heartbeat has no reclaim notice any more
//	ReclaimNoticed    -> Registered         a drain request was withdrawn before the machine was returned
//	Registered, Ready -> OneWayUnreachable  its heartbeats arrive, but nothing in them confirms that responses do
//	OneWayUnreachable -> Ready              a heartbeat at the raised token was accepted
//	any               -> LeaseExpired       its worker's lease has certainly run out
//	LeaseExpired      -> Ready              a heartbeat of a new session at the leader's token was accepted
//	any               -> Terminated         the cloud confirmed that the machine is gone; final
const (
	Registered Condition = iota
	Ready
	ReclaimNoticed
	LeaseExpired
	Terminated
	OneWayUnreachable
)

// String returns the condition's name in the operators' API and in events.
func (c Condition) String() string {
	return [...]string{"known", "acting", "noticed", "lost", "gone", "deaf"}[c]
}

// ExpectsHeartbeats reports whether a machine in this condition is expected to send heartbeats and to continue to.
func (c Condition) ExpectsHeartbeats() bool {
	return c == Registered || c == Ready || c == OneWayUnreachable
}

// TaskRef identifies a task by dense indices.
type TaskRef struct {
	Job  jobs.Index
	Task int32
}

// taskAttempt identifies one attempt at a task.
type taskAttempt struct {
	TaskRef
	attempt uint64
}

// tokenBits is the width of the part of a token that counts how often it was raised within a term.
const tokenBits = 20

// Machine is one machine of the fleet.
type Machine struct {
	Index     int32 // dense, in the order of registration
	Name      string
	Addr      string // for direct commands; "" until a heartbeat or the cloud's list has it
	Type      int32  // None until a heartbeat or the cloud's list has it
	Zone      int32  // None until a heartbeat or the cloud's list has it
	Spot      bool
	Condition Condition

	// Token is the fencing token: the leader's term in the high bits and, in the low tokenBits, how often the token
	// was raised in this term against launches of this leader that may arrive late.
	Token        uint64
	Session, Seq uint64 // of the latest accepted heartbeat

	FirstSeenAt     time.Duration // when it was registered
	LastContactAt   time.Duration // last accepted heartbeat that counts as contact, see recordContact
	LastHeartbeatAt time.Duration // last accepted heartbeat
	LastAnsweredAt  time.Duration // last 200 that any leader may have sent; the worker's lease began no later
	UpSince         time.Duration // when it first became Ready; 0 before
	ReclaimAt       time.Duration // when the cloud takes it, while ReclaimNoticed
	IdleSince       time.Duration // when its last task went or came

	Returning   bool // it is being returned to the cloud
	Quarantined bool // its zone is lost and no heartbeat came since: nothing is planned here
	draining    bool // operators asked for it to be drained

	Capacity planner.Size
	Used     planner.Size // by tasks that may be here
	Tasks    map[TaskRef]struct{}

	// The planned tasks that wait here for their launch, by job, kept in step by Fleet.enqueue and
	// Fleet.removeQueued.
	queues              []taskQueue
	QueuedTasks         int          // their number
	queuedNeed          planner.Size // what they need together
	queuedWithoutArrays planner.Size // the part of queuedNeed that gangs and services need
	smallestQueued      planner.Size // a lower bound of what each needs: with less room nothing can start here

	// expectedEnds caches when the tasks here are expected to end, earliest first. It is computed on demand and valid
	// until the machine changes, or for expectedEndsValidFor.
	expectedEnds   []expectedEnd
	endsComputedAt time.Duration
	endsValid      bool

	cachedImages []cachedImage // inferred; most recently used last

	// Direct commands.
	directInFlight bool // a direct request has no response yet
	dispatchedAt   time.Duration
	hasStops       bool // some task here may need a stop by a direct command
	fencing        bool // the token was raised and no heartbeat has carried it yet
	// indeterminateLaunches holds the attempts whose direct launch was not confirmed and may still arrive in this
	// session.
	indeterminateLaunches map[taskAttempt]struct{}
	reachability          reachability

	// What is kept free here for others.
	keepsCPUsForGPUWork bool         // processors beside its accelerators, for work that needs accelerators
	reserved            planner.Size // for a waiting gang
	reservedRank        int          // the gang's place in the priority order
	reservedFirmly      bool         // also against jobs that have waited long

	failedJobs []jobs.Index // distinct jobs of which a task failed here since the last success
	slowdown   float64      // smoothed ratio of run time to estimate; 1 is normal
}

// taskQueue holds the tasks of one job that are planned on a machine and not launched.
type taskQueue struct {
	job   jobs.Index
	tasks []int32
}

// queued returns the tasks of a job that are planned here and not launched.
func (m *Machine) queued(jobIndex jobs.Index) []int32 {
	for i := range m.queues {
		if m.queues[i].job == jobIndex {
			return m.queues[i].tasks
		}
	}
	return nil
}

// setQueue replaces the queue of a job; an empty queue is removed. It does not update the sums, see
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

// raiseToken makes commands that were sent so far void once the machine has seen its new token.
func (m *Machine) raiseToken() {
	m.Token++
	m.fencing = true
}

// raiseTokenIfIndeterminate raises the machine's token if direct launches are indeterminate: once a heartbeat
// carries the new token, they can no longer be executed. Otherwise a launch that never arrived would count against
// its team until the worker's session ends.
func (m *Machine) raiseTokenIfIndeterminate() {
	if len(m.indeterminateLaunches) > 0 && !m.directInFlight && !m.fencing {
		m.raiseToken()
	}
}

// Free returns the capacity that no task uses.
func (m *Machine) Free() planner.Size { return m.Capacity.Sub(m.Used) }

// RegisterMachine returns the machine of a name, registering it if it is new in this term.
func (f *Fleet) RegisterMachine(now time.Duration, name string) *Machine {
	if machine, ok := f.byName[name]; ok {
		return machine
	}
	machine := &Machine{
		Index:                 int32(len(f.machines)),
		Name:                  name,
		Type:                  jobs.None,
		Zone:                  jobs.None,
		Token:                 f.Term << tokenBits,
		FirstSeenAt:           now,
		LastContactAt:         now,
		LastAnsweredAt:        now,
		IdleSince:             now,
		Tasks:                 map[TaskRef]struct{}{},
		indeterminateLaunches: map[taskAttempt]struct{}{},
		cachedImages:          f.hints.inherited[name],
		slowdown:              1,
	}
	f.machines = append(f.machines, machine)
	f.byName[machine.Name] = machine
	return machine
}

// FindMachine returns the machine of a name, or nil if none is registered.
func (f *Fleet) FindMachine(name string) *Machine { return f.byName[name] }

// SetMachineDetails sets what a heartbeat or the cloud's list contains about a machine.
func (f *Fleet) SetMachineDetails(machine *Machine, addr, typ, zone string, spot bool) {
	names := f.Jobs.Names
	zoneIndex := names.Zones.Index(zone)
	if machine.Zone == jobs.None {
		// Recovered tasks were counted before their machine's zone was known.
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

// machineType returns the description of a machine's type, or nil while it is unknown.
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
