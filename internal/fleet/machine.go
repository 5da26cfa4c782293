package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Condition is where a machine stands for its owner.
type Condition uint8

// The conditions of a machine.
//
//	Known  -> Acting     a report at our token was seen
//	Acting -> Noticed    the cloud takes it back soon, or we give it back: nothing new starts
//	any    -> Lost       its worker's lease has surely run out
//	any    -> Gone       the cloud confirmed that it is gone
//	Lost   -> Acting     it reported again, in a new session
//	Known, Acting -> Deaf  it reports, but nothing shows that it hears
//	Deaf   -> Acting     a report carries the token that was raised
const (
	Registered Condition = iota
	Ready
	ReclaimNoticed
	LeaseExpired
	Terminated
	OneWayUnreachable
)

func (c Condition) String() string {
	return [...]string{"known", "acting", "noticed", "lost", "gone", "deaf"}[c]
}

// ExpectsHeartbeats tells whether a machine in this condition is expected to report, and to go on doing so.
func (c Condition) ExpectsHeartbeats() bool {
	return c == Registered || c == Ready || c == OneWayUnreachable
}

// TaskRef names a task by dense indices.
type TaskRef struct {
	Job  jobs.Index
	Task int32
}

type taskAttempt struct {
	TaskRef
	n uint64
}

type cachedImage struct {
	image int32
	gb    float64
}

// Machine is one rented machine.
type Machine struct {
	Index     int32
	Name      string
	Addr      string
	Type      int32 // None until a report or the list tells
	Zone      int32
	Spot      bool
	Condition Condition

	// Token is our term in the high bits and, below, how often we fenced the machine in
	// this term against launches of our own that may arrive late.
	Token           uint64
	Session, Seq    uint64
	FirstSeenAt     time.Duration // first heard of
	LastHeardAt     time.Duration // last accepted report, unless nothing shows that it hears
	LastHeartbeatAt time.Duration // last accepted report
	LastAnsweredAt  time.Duration // last 200 that any owner may have sent
	UpSince         time.Duration
	ReclaimAt       time.Duration // when the cloud takes it, if Noticed
	IdleSince       time.Duration
	Returning       bool // we are giving it back
	draining        bool // because operators want it
	Quarantined     bool // its zone is lost and it isn't heard: nothing is planned here until it is

	Capacity planner.Size
	Used     planner.Size // by tasks that may be here
	Tasks    map[TaskRef]struct{}
	// queues holds the planned, not yet started tasks by job. Planned is their number, need
	// what they would take if all started, whole the part of it that gangs and services
	// take, and least a lower bound on what any one of them takes: without so much room
	// nothing can start here. Fleet.lane and Fleet.unqueue keep them in step.
	queues                                  []taskQueue
	QueuedTasks                             int
	queuedNeed, queuedWhole, smallestQueued planner.Size

	// expectedEnds says when what is on the machine is expected to end, earliest first. It is made
	// when it is asked for and counts until the machine changes, or for expectedEndsValidFor.
	expectedEnds   []expectedEnd
	endsComputedAt time.Duration
	endsValid      bool

	hasStops bool // some task here may have to be stopped by a direct command

	cachedImages []cachedImage // most recently used last

	// directInFlight is set while a direct command has no answer; late holds the attempts whose
	// direct launch was never answered and may still arrive in this session.
	directInFlight        bool
	indeterminateLaunches map[taskAttempt]struct{}
	fencing               bool // the token was raised and no report has carried it yet
	reachability          reachability
	dispatchedAt          time.Duration

	// claim is what a waiting gang of rank reservedRank is to get here.
	keepsCPUsForGPUWork bool // cores beside its accelerators are left for work that waits for those
	reserved            planner.Size
	reservedRank        int
	reservedFirmly      bool // it holds against jobs that have waited for long too

	failedJobs []jobs.Index // different jobs that failed here since one was done
	slowdown   float64      // run time against what was expected, smoothed; 1 is normal
}

// taskQueue is what of a job waits on a machine.
type taskQueue struct {
	job   jobs.Index
	tasks []int32
}

// queued lists the tasks of a job that are planned here and not started.
func (m *Machine) queued(jobIndex jobs.Index) []int32 {
	for i := range m.queues {
		if m.queues[i].job == jobIndex {
			return m.queues[i].tasks
		}
	}
	return nil
}

// setQueue replaces the tasks of a job that are planned here; none ends its lane.
func (m *Machine) setQueue(jobIndex jobs.Index, tasks []int32) {
	for i := range m.queues {
		if m.queues[i].job != jobIndex {
			continue
		}
		if m.queues[i].tasks = tasks; len(tasks) == 0 {
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

// tokenBits is the room for fences within a term.
const tokenBits = 20

// fence raises the machine's token if direct launches are open: once a report carries the
// new token they can no longer be executed. Without it a launch lost for good would count
// against its team until the worker's session ends.
func (m *Machine) fence() {
	if len(m.indeterminateLaunches) > 0 && !m.directInFlight && !m.fencing {
		m.Token++
		m.fencing = true
	}
}

// Free is what is left of it.
func (m *Machine) Free() planner.Size { return m.Capacity.Sub(m.Used) }

// HasImage tells whether an image is probably in its cache.
func (m *Machine) HasImage(image int32) bool {
	for _, c := range m.cachedImages {
		if c.image == image {
			return true
		}
	}
	return false
}

// touchImage notes the use of an image and drops the least recently used ones that no
// longer fit the cache.
func (m *Machine) touchImage(image int32, gb, cacheGB float64) {
	for i, c := range m.cachedImages {
		if c.image == image {
			m.cachedImages = append(m.cachedImages[:i], m.cachedImages[i+1:]...)
			break
		}
	}
	m.cachedImages = append(m.cachedImages, cachedImage{image, gb})
	sum := 0.0
	for i := len(m.cachedImages) - 1; i >= 0; i-- {
		sum += m.cachedImages[i].gb
		if cacheGB > 0 && sum > cacheGB && i < len(m.cachedImages)-1 {
			m.cachedImages = append([]cachedImage(nil), m.cachedImages[i+1:]...)
			break
		}
	}
}

// RegisterMachine finds or makes a machine by name.
func (f *Fleet) RegisterMachine(now time.Duration, name string) *Machine {
	if machine, ok := f.byName[name]; ok {
		return machine
	}
	machine := &Machine{
		Index: int32(len(f.machines)), Name: name, Type: jobs.None, Zone: jobs.None, FirstSeenAt: now,
		LastAnsweredAt: now, LastHeardAt: now, IdleSince: now, Tasks: map[TaskRef]struct{}{},
		indeterminateLaunches: map[taskAttempt]struct{}{}, slowdown: 1, Token: f.Term << tokenBits,
	}
	machine.cachedImages = f.hints.inherited[name]
	f.machines = append(f.machines, machine)
	f.byName[machine.Name] = machine
	return machine
}

// FindMachine finds a machine by name, or nil.
func (f *Fleet) FindMachine(name string) *Machine { return f.byName[name] }

// SetMachineDetails notes what the list or a report tells of a machine.
func (f *Fleet) SetMachineDetails(machine *Machine, addr, typ, zone string, spot bool) {
	d := f.Jobs.Names
	z := d.Zones.Index(zone)
	if machine.Zone == jobs.None {
		// Recovered tasks were counted before their machine's zone was known.
		for r := range machine.Tasks {
			job := f.jobAt(r.Job)
			job.TasksByZone[jobs.None]--
			job.TasksByZone[z]++
		}
	}
	machine.Addr, machine.Type, machine.Zone, machine.Spot = addr, d.Types.Index(typ), z, spot
	f.setCapacity(machine)
}

func (f *Fleet) setCapacity(machine *Machine) {
	if machineType := f.machineType(machine); machineType != nil {
		f.gpuReserve.seenTypes[machine.Type] = true
		machine.Capacity = machineType.Size
	}
}

func (f *Fleet) machineType(machine *Machine) *MachineType {
	if machine.Type == jobs.None {
		return nil
	}
	return f.Types(machine.Type)
}

// setCondition is the only place where a machine's condition changes.
func (f *Fleet) setCondition(machine *Machine, c Condition, cause string) {
	if machine.Condition == c {
		return
	}
	slog.Info("machine", "name", machine.Name, "from", machine.Condition.String(), "to", c.String(), "term", f.Term, "cause", cause)
	machine.Condition = c
	f.Events.Add(events.Event{At: f.Now(), Kind: events.Machine, Machine: machine.Index, Note: c.String()})
}
