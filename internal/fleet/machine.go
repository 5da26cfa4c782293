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
	Known Condition = iota
	Acting
	Noticed
	Lost
	Gone
	Deaf
)

func (c Condition) String() string {
	return [...]string{"known", "acting", "noticed", "lost", "gone", "deaf"}[c]
}

// There tells whether a machine in this condition is expected to report, and to go on doing so.
func (c Condition) There() bool { return c == Known || c == Acting || c == Deaf }

// Ref names a task by dense indices.
type Ref struct {
	Job  jobs.Index
	Task int32
}

type attempt struct {
	Ref
	n uint64
}

type cached struct {
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
	Token        uint64
	Session, Seq uint64
	Created      time.Duration // first heard of
	Heard        time.Duration // last accepted report, unless nothing shows that it hears
	Spoke        time.Duration // last accepted report
	Answered     time.Duration // last 200 that any owner may have sent
	UpSince      time.Duration
	NoticeAt     time.Duration // when the cloud takes it, if Noticed
	IdleSince    time.Duration
	Retiring     bool // we are giving it back
	drained      bool // because operators want it
	Aside        bool // its zone is lost and it isn't heard: nothing is planned here until it is

	Size planner.Size
	Use  planner.Size // by tasks that may be here
	On   map[Ref]struct{}
	// lanes holds the planned, not yet started tasks by job. Planned is their number, need
	// what they would take if all started, whole the part of it that gangs and services
	// take, and least a lower bound on what any one of them takes: without so much room
	// nothing can start here. Fleet.lane and Fleet.unqueue keep them in step.
	lanes              []lane
	Planned            int
	need, whole, least planner.Size

	// ends says when what is on the machine is expected to end, earliest first. It is made
	// when it is asked for and counts until the machine changes, or for endsFor.
	ends   []end
	endsAt time.Duration
	endsOK bool

	halts bool // some task here may have to be stopped by a direct command

	images []cached // most recently used last

	// ordering is set while a direct command has no answer; late holds the attempts whose
	// direct launch was never answered and may still arrive in this session.
	ordering bool
	late     map[attempt]struct{}
	fencing  bool // the token was raised and no report has carried it yet
	hearing  hearing
	pushed   time.Duration

	// claim is what a waiting gang of rank claimRank is to get here.
	spared    bool // cores beside its accelerators are left for work that waits for those
	claim     planner.Size
	claimRank int
	claimFirm bool // it holds against jobs that have waited for long too

	failed []jobs.Index // different jobs that failed here since one was done
	slow   float64      // run time against what was expected, smoothed; 1 is normal
}

// lane is what of a job waits on a machine.
type lane struct {
	job   jobs.Index
	tasks []int32
}

// waiting lists the tasks of a job that are planned here and not started.
func (m *Machine) waiting(ix jobs.Index) []int32 {
	for i := range m.lanes {
		if m.lanes[i].job == ix {
			return m.lanes[i].tasks
		}
	}
	return nil
}

// wait replaces the tasks of a job that are planned here; none ends its lane.
func (m *Machine) wait(ix jobs.Index, tasks []int32) {
	for i := range m.lanes {
		if m.lanes[i].job != ix {
			continue
		}
		if m.lanes[i].tasks = tasks; len(tasks) == 0 {
			m.lanes = slices.Delete(m.lanes, i, i+1)
		}
		return
	}
	if len(tasks) > 0 {
		m.lanes = append(m.lanes, lane{ix, tasks})
	}
}

// end is the expected end of a task on a machine.
type end struct {
	Ref
	at   time.Duration
	size planner.Size
}

// tokenBits is the room for fences within a term.
const tokenBits = 20

// fence raises the machine's token if direct launches are open: once a report carries the
// new token they can no longer be executed. Without it a launch lost for good would count
// against its team until the worker's session ends.
func (m *Machine) fence() {
	if len(m.late) > 0 && !m.ordering && !m.fencing {
		m.Token++
		m.fencing = true
	}
}

// Free is what is left of it.
func (m *Machine) Free() planner.Size { return m.Size.Sub(m.Use) }

// HasImage tells whether an image is probably in its cache.
func (m *Machine) HasImage(image int32) bool {
	for _, c := range m.images {
		if c.image == image {
			return true
		}
	}
	return false
}

// touchImage notes the use of an image and drops the least recently used ones that no
// longer fit the cache.
func (m *Machine) touchImage(image int32, gb, cacheGB float64) {
	for i, c := range m.images {
		if c.image == image {
			m.images = append(m.images[:i], m.images[i+1:]...)
			break
		}
	}
	m.images = append(m.images, cached{image, gb})
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		sum += m.images[i].gb
		if cacheGB > 0 && sum > cacheGB && i < len(m.images)-1 {
			m.images = append([]cached(nil), m.images[i+1:]...)
			break
		}
	}
}

// Machine finds or makes a machine by name.
func (f *Fleet) Machine(now time.Duration, name string) *Machine {
	if m, ok := f.byName[name]; ok {
		return m
	}
	m := &Machine{
		Index: int32(len(f.machines)), Name: name, Type: jobs.None, Zone: jobs.None, Created: now,
		Answered: now, Heard: now, IdleSince: now, On: map[Ref]struct{}{},
		late: map[attempt]struct{}{}, slow: 1, Token: f.Term << tokenBits,
	}
	m.images = f.hints[name]
	f.machines = append(f.machines, m)
	f.byName[m.Name] = m
	return m
}

// Find finds a machine by name, or nil.
func (f *Fleet) Find(name string) *Machine { return f.byName[name] }

// Describe notes what the list or a report tells of a machine.
func (f *Fleet) Describe(m *Machine, addr, typ, zone string, spot bool) {
	d := f.Jobs.Names
	z := d.Zones.Index(zone)
	if m.Zone == jobs.None {
		// Recovered tasks were counted before their machine's zone was known.
		for r := range m.On {
			j := f.job(r.Job)
			j.TasksByZone[jobs.None]--
			j.TasksByZone[z]++
		}
	}
	m.Addr, m.Type, m.Zone, m.Spot = addr, d.Types.Index(typ), z, spot
	f.size(m)
}

func (f *Fleet) size(m *Machine) {
	if t := f.typ(m); t != nil {
		f.kinds[m.Type] = true
		m.Size = t.Size
	}
}

func (f *Fleet) typ(m *Machine) *Type {
	if m.Type == jobs.None {
		return nil
	}
	return f.Types(m.Type)
}

// condition is the only place where a machine's condition changes.
func (f *Fleet) condition(m *Machine, c Condition, cause string) {
	if m.Condition == c {
		return
	}
	slog.Info("machine", "name", m.Name, "from", m.Condition.String(), "to", c.String(), "term", f.Term, "cause", cause)
	m.Condition = c
	f.Events.Add(events.Event{At: f.Now(), Kind: events.Machine, Machine: m.Index, Note: c.String()})
}
