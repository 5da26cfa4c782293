// Package fleet is the owner's side of the workers: reports, sessions, tokens, leases and
// commands; the placing of tasks by the planner, lane starts and stealing; and the writing
// of the durable plan that comes before every start.
//
// A Fleet lives for one term of one controller. It is driven by the event loop and does
// no I/O of its own.
package fleet

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/admission"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
	"github.com/harewalk/harewalk/internal/store"
	"github.com/harewalk/harewalk/internal/zones"
)

// Type is a machine type as far as placing needs it.
type Type struct {
	Size    planner.Size
	CacheGB float64
	FetchGB float64 // per second
	BootS   float64
	Price   float64
	Spot    float64 // spot price, 0 if there is none
}

// Env is what a Fleet needs of its surroundings.
type Env struct {
	Settings *config.Settings
	Book     *jobs.Book
	Types    func(int32) *Type // nil while unknown
	Rng      *rand.Rand
	// Room tells whether a write of n operations may go out now.
	Room func(n int) bool
	// Spare tells whether half of the budget for writes is unused.
	Spare func() bool
	// Commit sends one transaction of the leader, guarded by its leader key.
	Commit func(store.Txn, func(store.Result))
	// Read re-reads one key after an open or failed write.
	Read func(key string, done func(store.Item, error))
	// Order sends commands straight to a machine; ok is false if the outcome is open.
	Order func(m *Machine, o Orders, done func(r *Report, ok bool))
	// Learned hands on a job record that this fleet has written or re-read.
	Learned func(now time.Duration, it store.Item)
	// Now is the steady clock, for answers that come later than the call that asked.
	Now func() time.Duration
	// TxnOps bounds the operations of one transaction.
	TxnOps int
	// MaxOrders bounds the direct commands under way; 0: no bound.
	MaxOrders int
	// Paged tells whether plans are written into pages that many jobs share: from level 2 of the stored state on.
	// nil: they are.
	Paged func() bool
	// Unreadable is told of a stored record that can't be read and why; nil for nobody.
	Unreadable func(key string, raw json.RawMessage, cause error)
	// Events takes what happens, for whoever asks; nil for nobody.
	Events *events.Log
}

// Fleet is the owner's state.
type Fleet struct {
	Env
	Term uint64
	// Zones tells whether a zone takes new work of a kind; nil: all do.
	Zones   func(zone int32, w zones.Work) bool
	since   time.Duration // start of the term
	loaded  bool
	counter uint64

	machines []*Machine
	byName   map[string]*Machine
	// Gate decides whether a task may start and counts what may be on machines.
	Gate *admission.Gate

	// spread says, for each job with planned tasks, on which machines they wait and how
	// many: planning looks at those instead of at the whole fleet.
	spread map[jobs.Index]map[int32]int

	order  []*jobs.Job // live jobs by rank
	within map[jobs.Index]bool
	ranked time.Duration

	classes map[int32]*classStats

	pass     pass
	nextPass time.Duration
	// Steps counts the work of planning, in looks at a machine, lane or task. It paces the
	// passes, and tests bound it.
	Steps  uint64
	ixs    []jobs.Index     // scratch
	works  []planner.Work   // scratch
	refs   []Ref            // scratch
	listed map[Ref]struct{} // what the report at hand says is on its machine
	perGPU planner.Size     // what waiting work takes besides, for each accelerator
	// Of that work, whether any lies within its team's guarantee, and the highest priority of it.
	gpuWithin bool
	gpuLevel  int
	ordinary  map[int32]bool                // machine types that jobs which may not use spot need
	kinds     map[int32]bool                // machine types seen
	pleaded   map[jobs.Index]time.Duration  // jobs that had others stopped, when last
	failing   map[jobs.Index]*failing       // jobs of which tasks failed
	first     map[jobs.Index]bool           // arrays and services of which a few tasks go before everybody
	verdicts  map[jobs.Index]verdict        // what planning last decided about what is unplanned
	grants    map[jobs.Index]licences.Grant // of jobs that need licences, by the last pass
	news      bool                          // a plan became durable since the last push
	besideAt  time.Duration                 // no look at who stands beside room before
	barren    map[jobs.Index]time.Duration  // arrays for which no machine was found, until when

	// hints are the caches that the owner before inferred, until their machines are heard.
	hints    map[string][]cached
	shards   []bool // hints that have changed since they were written
	shard    int    // written last
	imagesAt time.Duration

	held     bool // nothing new is started: the lead is being handed over
	ordering int  // direct commands under way
	writing  bool
	retry    func(time.Duration)
	retryAt  time.Duration
	over     []*jobs.Job // ended, with tasks that may still be on machines or plans that stand
	garbage  []string
	pages    *pages.Pages
	unread   map[string]bool // jobs whose records could not be read when the term began
	migrated bool            // no plan has a key of its own any more
	// LastReport is when any worker was last heard.
	LastReport time.Duration
	// Since the last summary: reports taken and direct commands sent.
	reports, orders int
	summed          time.Duration
}

// classStats corrects a class's estimates by what was seen.
type classStats struct {
	ratio float64 // run time against estimate
	n     float64
}

// New starts a term at time now. Until Load has brought the durable plans nothing acts.
func New(env Env, term uint64, now time.Duration) *Fleet {
	f := &Fleet{Env: env, Term: term, since: now, byName: map[string]*Machine{},
		within: map[jobs.Index]bool{}, classes: map[int32]*classStats{}, LastReport: now,
		hints: map[string][]cached{}, spread: map[jobs.Index]map[int32]int{}, barren: map[jobs.Index]time.Duration{}, pleaded: map[jobs.Index]time.Duration{}, failing: map[jobs.Index]*failing{}, first: map[jobs.Index]bool{},
		unread: map[string]bool{}, grants: map[jobs.Index]licences.Grant{}, verdicts: map[jobs.Index]verdict{}, ordinary: map[int32]bool{}, kinds: map[int32]bool{}, listed: map[Ref]struct{}{}}
	if f.Paged == nil {
		f.Paged = func() bool { return true }
	}
	f.pages = pages.New(min(pageBytes, int(env.Settings.Params.State.ValueKB*1024)*7/8))
	d := env.Book.Door
	f.Gate = admission.New(quota.New(env.Settings.Params.Teams, d.Teams.Index), licences.New(d.Pools, d.Teams.Index, now))
	return f
}

// Hold starts nothing new from now on; what runs goes on, and what is due is written.
func (f *Fleet) Hold() { f.held = true }

// Writing tells whether a write is under way.
func (f *Fleet) Writing() bool { return f.writing }

// Loaded tells whether the durable plans were read.
func (f *Fleet) Loaded() bool { return f.loaded }

// Machines are all machines heard of in this term.
func (f *Fleet) Machines() []*Machine { return f.machines }

// Machine finds or makes a machine by name.
func (f *Fleet) Machine(now time.Duration, name string) *Machine {
	if m, ok := f.byName[name]; ok {
		return m
	}
	m := &Machine{Index: int32(len(f.machines)), Name: name, Type: jobs.None, Zone: jobs.None, Created: now,
		Answered: now, Heard: now, IdleSince: now, On: map[Ref]struct{}{},
		late: map[attempt]struct{}{}, slow: 1, Token: f.Term << tokenBits}
	m.images = f.hints[name]
	f.machines = append(f.machines, m)
	f.byName[m.Name] = m
	return m
}

// Find finds a machine by name, or nil.
func (f *Fleet) Find(name string) *Machine { return f.byName[name] }

// Describe notes what the list or a report tells of a machine.
func (f *Fleet) Describe(m *Machine, addr, typ, zone string, spot bool) {
	d := f.Book.Door
	z := d.Zones.Index(zone)
	if m.Zone == jobs.None {
		// Recovered tasks were counted before their machine's zone was known.
		for r := range m.On {
			j := f.job(r.Job)
			j.ZoneUse[jobs.None]--
			j.ZoneUse[z]++
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

// happened keeps an event of a task; the note says more.
func (f *Fleet) happened(now time.Duration, kind events.Kind, j *jobs.Job, t int32, note string) {
	k := &j.Tasks[t]
	f.Events.Add(events.Event{At: now, Kind: kind, Job: j.ID, Task: t, Machine: k.Machine, Attempt: k.Attempt, Note: note})
}

// pageBytes is how much is put in one page at most, where a value may be larger: all of it is sent with each write.
const pageBytes = 6 << 10

// Load takes over the durable plans of earlier terms: every machine named there counts as
// running its task until a fenced report or the end of its lease says otherwise.
func (f *Fleet) Load(now time.Duration, items []store.Item) {
	for _, it := range items {
		if strings.HasPrefix(it.Key, imagesKey) {
			f.loadImages(now, it)
		}
	}
	found := map[*jobs.Chunk]uint64{}
	for _, id := range f.Book.Unreads() {
		f.unread[id] = true
	}
	values, lost := f.values(items)
	for _, v := range values {
		if c := f.loadChunk(now, v); c != nil {
			found[c] = v.version
		}
	}
	if lost > 0 {
		f.sealOlder(now, found, lost)
	}
	f.Book.Live(func(j *jobs.Job) {
		j.Open()
		if j.Spec.Kind == jobs.Gang && j.DoneN > 0 {
			f.gangDone(now, j)
		}
	})
	f.Book.All(func(j *jobs.Job) {
		if j.Stance.Terminal() && j.Tasks != nil {
			f.over = append(f.over, j)
		}
	})
	f.loaded = true
	f.Rank(now)
	slog.Info("plans loaded", "term", f.Term, "keys", len(items), "jobs", len(f.order), "machines", len(f.machines))
}

// value is one chunk's value as it was read, from a page or from a key of its own.
type value struct {
	name    string
	raw     json.RawMessage
	version uint64
	page    int // -1: a key of its own
}

// values lists what counts of the stored plans, each chunk once: of two places the one written last. The pages are
// taken over; lost is the version of the newest one that can't be read, 0: all can.
func (f *Fleet) values(items []store.Item) (kept []value, lost uint64) {
	var all []value
	var read []pages.Stored
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, imagesKey):
		case strings.HasPrefix(it.Key, jobs.PlanPages):
			s, err := pages.Decode(jobs.PlanPages, it.Key, it.Value, it.Version)
			if err != nil {
				f.unreadable(it.Key, it.Value, err)
				f.pages.Reserve(s.No)
				lost = max(lost, it.Version)
				continue
			}
			read = append(read, s)
			for name, raw := range s.Values {
				all = append(all, value{name, raw, it.Version, s.No})
			}
		default:
			all = append(all, value{strings.TrimPrefix(it.Key, jobs.PlanPrefix), it.Value, it.Version, -1})
		}
	}
	slices.SortFunc(all, func(a, b value) int { return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(b.version, a.version)) })
	live := map[int][]pages.Entry{}
	kept = all[:0]
	for i, v := range all {
		if i > 0 && all[i-1].name == v.name {
			if v.page < 0 {
				f.garbage = append(f.garbage, jobs.PlanPrefix+v.name)
			}
			continue
		}
		kept = append(kept, v)
		if id, no, ok := splitPlanName(v.name); ok && v.page >= 0 {
			ref := pages.Ref{A: -1 - int32(i), B: int32(no)}
			if j := f.Book.Get(id); j != nil {
				ref.A = int32(j.Index)
			} else if !f.Book.Unread(id) {
				continue
			} // else its record can't be read: the plan stays, wherever its page is written, under a number that no job has
			live[v.page] = append(live[v.page], pages.Entry{Ref: ref, Name: v.name, Raw: v.raw})
		}
	}
	for _, s := range read {
		f.pages.Load(s.No, s.Version, live[s.No])
	}
	return kept, lost
}

// loadChunk takes over one chunk and returns it, nil if it is nobody's any more.
func (f *Fleet) loadChunk(now time.Duration, v value) *jobs.Chunk {
	key := jobs.PlanPrefix + v.name
	id, no, ok := splitPlanName(v.name)
	j := f.Book.Get(id)
	drop := func() {
		if v.page >= 0 {
			if j != nil {
				f.pages.Drop(pages.Ref{A: int32(j.Index), B: int32(no)})
			}
			return
		}
		f.garbage = append(f.garbage, key)
	}
	if !ok || j == nil || j.Stance == jobs.Done || j.Spec == nil {
		if j == nil && f.Book.Unread(id) {
			return nil // its record can't be read: its plan is nobody's to drop
		}
		drop()
		return nil
	}
	j.Open()
	if no >= len(j.Chunks) {
		drop()
		return nil
	}
	c := j.Chunks[no]
	on, done, err := jobs.DecodeChunk(v.raw, len(c.Durable), func(name string) int32 { return f.Machine(now, name).Index })
	if v.page < 0 {
		c.Version = v.version
	}
	if err != nil {
		f.unreadable(key, v.raw, err)
		f.seal(now, j, c)
		return c
	}
	for i := range on {
		t := int32(no*jobs.ChunkTasks + i)
		switch {
		case done[i]:
			c.Durable[i] = jobs.DurablyDone
			f.must(j.Set(t, jobs.Finished))
		case on[i] != jobs.None:
			c.Durable[i] = on[i]
			j.Tasks[t].Machine = on[i]
			j.Started = true
			f.place(now, j, t, jobs.Recovered)
		}
	}
	return c
}

// splitPlanName reads a chunk's name: its job and number.
func splitPlanName(name string) (id string, no int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i <= 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[i+1:])
	return name[:i], n, err == nil && n >= 0
}

// must reports a change of state that the rules do not know: a defect, never input.
func (f *Fleet) must(err error) {
	if err != nil {
		slog.Error("state machine", "term", f.Term, "cause", err)
	}
}

// place lets a task count as being on its machine.
func (f *Fleet) place(now time.Duration, j *jobs.Job, t int32, s jobs.State) {
	k := &j.Tasks[t]
	if k.State.Occupies() {
		f.must(j.Set(t, s))
		return
	}
	m := f.machines[k.Machine]
	f.must(j.Set(t, s))
	size := j.Spec.Size()
	m.On[Ref{j.Index, t}] = struct{}{}
	m.Use = m.Use.Add(size)
	m.endsOK = false
	f.Gate.Take(now, seatRef(j, t), k.Attempt, claimOf(j))
	kind := events.TaskFound
	if s == jobs.Launched {
		kind = events.TaskSent
	}
	f.happened(now, kind, j, t, "")
	j.ZoneUse[m.Zone]++
	if ty := f.typ(m); ty != nil {
		if !m.HasImage(j.Image) {
			f.newImage(m)
		}
		m.touchImage(j.Image, j.Spec.ImageGB, ty.CacheGB)
	}
	m.IdleSince = now
}

// release ends a task's being on its machine; it then is to. how says what that means for its
// licences.
func (f *Fleet) release(now time.Duration, j *jobs.Job, t int32, to jobs.State, how licences.End) {
	k := &j.Tasks[t]
	if to != jobs.Finished && (j.GangDone || k.Done) {
		to = jobs.Finished
		f.happened(now, events.TaskDone, j, t, "")
	}
	if !k.State.Occupies() {
		f.must(j.Set(t, to))
		return
	}
	m := f.machines[k.Machine]
	size := j.Spec.Size()
	delete(m.On, Ref{j.Index, t})
	if k.Phase == jobs.Fetching {
		f.unfetched(m, j.Image)
	}
	m.Use = m.Use.Sub(size)
	m.endsOK = false
	if len(m.On) == 0 {
		m.Use = planner.Size{} // decimals leave dust
		m.IdleSince = now
	}
	f.Gate.Give(now, seatRef(j, t), claimOf(j), how)
	j.ZoneUse[m.Zone]--
	f.must(j.Set(t, to))
	if to == jobs.Planned {
		k.Machine = m.Index
		j.Enter(t, jobs.NoPhase)
		k.Attempt, k.Halting = 0, false
		f.lane(m, j, t)
	}
}

// lane queues a planned task at its machine.
func (f *Fleet) lane(m *Machine, j *jobs.Job, t int32) {
	m.wait(j.Index, append(m.waiting(j.Index), t))
	at := f.spread[j.Index]
	if at == nil {
		at = map[int32]int{}
		f.spread[j.Index] = at
	}
	at[m.Index]++
	size := j.Spec.Size()
	if m.Planned == 0 {
		m.least = size
	}
	m.least = m.least.Min(size)
	m.Planned++
	m.need = m.need.Add(size)
	if j.Spec.Kind != jobs.Array {
		m.whole = m.whole.Add(size)
	}
}

// unqueue keeps the books when n of a job's tasks have left a machine's lanes.
func (f *Fleet) unqueue(m *Machine, j *jobs.Job, n int) {
	if at := f.spread[j.Index]; at != nil {
		if at[m.Index] -= n; at[m.Index] <= 0 {
			delete(at, m.Index)
		}
		if len(at) == 0 {
			delete(f.spread, j.Index)
		}
	}
	m.Planned -= n
	if m.Planned == 0 {
		m.need, m.whole = planner.Size{}, planner.Size{} // decimals leave dust
		return
	}
	size := j.Spec.Size().Times(float64(n))
	m.need = m.need.Sub(size)
	if j.Spec.Kind != jobs.Array {
		m.whole = m.whole.Sub(size)
	}
}

// unlane empties a machine's lanes: its planned tasks are to be planned anew.
func (f *Fleet) unlane(m *Machine) {
	for len(m.lanes) > 0 {
		l := m.lanes[len(m.lanes)-1]
		j := f.job(l.job)
		for _, t := range l.tasks {
			if j.Tasks != nil && j.Tasks[t].State == jobs.Planned && j.Tasks[t].Machine == m.Index {
				f.must(j.Set(t, jobs.Unplanned))
			}
		}
		m.wait(l.job, nil)
		f.unqueue(m, j, len(l.tasks))
	}
}

// waitsAt lists the machines on which a job's planned tasks wait, in a fixed order.
func (f *Fleet) waitsAt(j *jobs.Job) []int32 {
	at := f.spread[j.Index]
	out := make([]int32, 0, len(at))
	for m := range at {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}

// halt marks a task that is to be stopped.
func (f *Fleet) halt(j *jobs.Job, t int32) {
	k := &j.Tasks[t]
	if !k.Halting {
		f.happened(f.Now(), events.TaskStopping, j, t, "")
	}
	k.Halting = true
	if k.Machine != jobs.None {
		m := f.machines[k.Machine]
		m.halts, m.endsOK = true, false
	}
}

func (f *Fleet) job(ix jobs.Index) *jobs.Job { return f.Book.At(ix) }

// Jobs tells of a change in the job table: a new job is opened, a cancelled one stopped.
func (f *Fleet) Changed(now time.Duration, j *jobs.Job) {
	if !f.loaded {
		return
	}
	if j.Stance == jobs.Pending {
		j.Open()
		// Its plan was passed over when this term began: what runs of it isn't known here. The next leader reads both.
		j.Sealed = j.Sealed || f.unread[j.ID]
		f.ranked = 0
		slog.Info("job accepted", "job", j.ID, "class", j.Spec.Class, "kind", string(j.Spec.Kind), "tasks", j.N, "term", f.Term)
		f.Events.Add(events.Event{At: now, Kind: events.JobAccepted, Job: j.ID, Task: events.None, Machine: events.None})
		return
	}
	ended := events.JobDone
	if j.Stance == jobs.Cancelled {
		ended = events.JobCancelled
	}
	f.Events.Add(events.Event{At: now, Kind: ended, Job: j.ID, Task: events.None, Machine: events.None})
	f.ranked = 0
	delete(f.barren, j.Index)
	delete(f.pleaded, j.Index)
	delete(f.failing, j.Index)
	delete(f.grants, j.Index)
	delete(f.verdicts, j.Index)
	if j.Tasks == nil {
		return
	}
	f.over = append(f.over, j)
	slog.Info("job ended", "job", j.ID, "stance", j.Stance.String(), "term", f.Term)
	for _, ix := range f.waitsAt(j) {
		m := f.machines[ix]
		n := len(m.waiting(j.Index))
		m.wait(j.Index, nil)
		f.unqueue(m, j, n)
	}
	for t := range j.Tasks {
		k := &j.Tasks[t]
		switch {
		case k.State == jobs.Planned:
			f.must(j.Set(int32(t), jobs.Unplanned))
		case k.State.Occupies():
			f.halt(j, int32(t))
		}
	}
}

// stats finds a class's record.
func (f *Fleet) stats(class int32) *classStats {
	s := f.classes[class]
	if s == nil {
		s = &classStats{ratio: 1}
		f.classes[class] = s
	}
	return s
}

// estimate is a task's expected run time in seconds, corrected by its class.
func (f *Fleet) estimate(j *jobs.Job) float64 {
	if j.Spec.EstimateS <= 0 {
		return 1
	}
	return j.Spec.EstimateS * f.stats(j.Class).ratio
}

// fetchS is how long a machine needs to fetch a job's image, 0 if it has it.
func (f *Fleet) fetchS(j *jobs.Job, m *Machine) float64 {
	ty := f.typ(m)
	if ty == nil || ty.FetchGB <= 0 || m.HasImage(j.Image) {
		return 0
	}
	return j.Spec.ImageGB / ty.FetchGB
}

// left is the estimated remaining time of a task on its machine, in seconds.
func (f *Fleet) left(now time.Duration, j *jobs.Job, t int32) float64 {
	k := &j.Tasks[t]
	m := f.machines[k.Machine]
	if k.Halting {
		return j.Spec.SaveS + 1
	}
	est := f.estimate(j) * m.slow
	if k.Phase == jobs.Running || k.Phase == jobs.Saving {
		ran := (now - k.RunSince).Seconds()
		// An overdue task is most likely to run on for a part of what it has run.
		return max(est-ran, 0.25*ran, 1)
	}
	ty := f.typ(m)
	if ty == nil || ty.FetchGB <= 0 {
		return est
	}
	return est + max(0, j.Spec.ImageGB/ty.FetchGB-(now-k.Since).Seconds())
}

// due is when a job's next start should have happened at the latest, and whether any of
// its aims can still be met.
func (f *Fleet) due(now time.Duration, j *jobs.Job) (time.Duration, bool) {
	best, ok := time.Duration(1<<62), false
	est := config.Seconds(f.estimate(j))
	consider := func(d time.Duration) {
		if d >= now && d < best {
			best, ok = d, true
		}
	}
	if j.Spec.DeadlineS != nil {
		consider(j.At + config.Seconds(*j.Spec.DeadlineS) - est)
	}
	for _, o := range f.Settings.Params.Objectives {
		if o.Kind == "guarantee" && f.within[j.Index] && !j.Started {
			consider(j.At + config.Seconds(o.WithinS))
		}
		if o.Class != j.Spec.Class {
			continue
		}
		switch o.Kind {
		case "wait":
			if !j.Started {
				consider(j.At + config.Seconds(o.WithinS))
			}
		case "finished":
			consider(j.At + config.Seconds(o.WithinS) - est)
		case "deadline":
			if j.Spec.DeadlineS != nil && o.Times > 1 {
				consider(j.At + config.Seconds(*j.Spec.DeadlineS*o.Times) - est)
			}
		}
	}
	if !ok {
		return j.At, false
	}
	return best, true
}

// rankKey is a job's place among its equals: its latest useful start, and whether an aim
// can still be met.
type rankKey struct {
	due time.Duration
	ok  bool
}

// Rank orders the live jobs: what lies within its team's guarantee first, then by
// priority, then the latest start that still meets an aim; jobs past all aims come last, oldest
// first.
func (f *Fleet) Rank(now time.Duration) {
	f.ranked = now
	for _, j := range f.order {
		j.Place = 0
	}
	f.order = f.order[:0]
	f.Book.Live(func(j *jobs.Job) {
		if j.Tasks != nil && j.Spec != nil {
			f.order = append(f.order, j)
		}
	})
	sort.Slice(f.order, func(a, b int) bool {
		if f.order[a].At != f.order[b].At {
			return f.order[a].At < f.order[b].At
		}
		return f.order[a].ID < f.order[b].ID
	})
	demand := map[int32]planner.Size{}
	clear(f.within)
	keys := make(map[jobs.Index]rankKey, len(f.order))
	for _, j := range f.order {
		s := j.Spec.Size()
		n := float64(j.N - j.DoneN)
		sum := demand[j.Team].Add(planner.Size{CPUs: s.CPUs * n, GPUs: s.GPUs * n})
		demand[j.Team] = sum
		f.within[j.Index] = f.Gate.Quota.Within(j.Team, s, sum)
		d, ok := f.due(now, j)
		keys[j.Index] = rankKey{d, ok}
	}
	f.sortByRank(f.order, keys)
	f.yieldPlaces(now, keys)
	f.beginFirst(now)
	for i, j := range f.order {
		j.Place = i + 1
	}
}

// sortByRank orders jobs among which equal ones keep their places.
func (f *Fleet) sortByRank(js []*jobs.Job, keys map[jobs.Index]rankKey) {
	sort.SliceStable(js, func(a, b int) bool {
		x, y := js[a], js[b]
		// What may preempt the other must also rank before it, or the room it made
		// would be taken by its victims again.
		if wx, wy := f.within[x.Index], f.within[y.Index]; wx != wy {
			return wx
		}
		if x.Level != y.Level {
			return x.Level > y.Level
		}
		kx, ky := keys[x.Index], keys[y.Index]
		if kx.ok != ky.ok {
			return kx.ok
		}
		return kx.due < ky.due
	})
}
