package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
)

// The slow plain model: a world of workers, a state service and a network that loses,
// delays and repeats, in which one Fleet after another leads. The world knows the truth
// and checks the protocol's rules on every start, and the Fleet is the real code.

type kvItem struct {
	raw     json.RawMessage
	version uint64
}

type onWorker struct {
	job      string
	task     int32
	attempt  uint64
	state    string
	why      string
	ready    time.Duration // has its image
	started  time.Duration
	run      time.Duration
	counted  bool // on the machine in the rules' sense
	waitFrom time.Duration
}

type worker struct {
	life            int // times it was started
	deafTill        time.Duration
	name, typ, zone string
	spot            bool
	size            planner.Size
	alive, hung     bool
	session, seq    uint64
	token           uint64
	base            time.Duration // lease counts from here
	tasks           []*onWorker
	inFlight        bool
	sent            time.Duration
	next            time.Duration
	notice          time.Duration
}

type delayed struct {
	at time.Duration
	f  func()
}

type world struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	now      time.Duration
	settings *config.Settings
	kv       map[string]kvItem
	rev      uint64
	workers  []*worker
	net      []delayed
	specs    map[string]*jobs.Spec
	done     map[string]map[int32]bool
	told     map[string]time.Duration // cancelled
	fleet    *Fleet
	book     *jobs.Table
	leader   uint64 // version of the leader key
	term     uint64
	crashed  time.Duration
	nextJob  int
	starts   int
	broken   []string
	trouble  float64

	pools   []*licences.Pool // nil: no job needs a licence
	lingers []lingering      // seats of those that crashed
	changed time.Duration    // when the counts were last changed
	most    map[string]int   // the highest count of the last minute
	peak    map[string]int

	each func() // after every tick of the fleet

	odd                    bool // machines are deaf, copies come late, machines restart under their names
	deafs, copies, rebirth int

	rises           time.Duration // 0: never
	paged, allPaged bool          // level 2 is in force; and no plan of the former form is left
}

// lingering is a seat that its server still counts.
type lingering struct {
	pool  string
	units int
	until time.Duration
}

// crash ends tasks without notice: their seats stay taken for a while.
func (w *world) crash(ks []*onWorker) {
	for _, k := range ks {
		for pool, n := range w.specs[k.job].Licences {
			for _, p := range w.pools {
				if p.Name == pool && k.counted {
					w.lingers = append(w.lingers, lingering{pool, n, w.now + p.Linger})
				}
			}
		}
	}
}

// seats checks, at a start, that no pool has more seats taken than there were lately.
func (w *world) seats(spec *jobs.Spec) {
	for pool := range spec.Licences {
		n := 0
		for _, l := range w.lingers {
			if l.pool == pool && l.until > w.now {
				n += l.units
			}
		}
		for _, o := range w.workers {
			for _, x := range o.tasks {
				if x.counted {
					n += w.specs[x.job].Licences[pool]
				}
			}
		}
		if w.peak[pool] = max(w.peak[pool], n); n > w.most[pool] {
			w.fail("seats: %d of %d of %s taken by a start of %s", n, w.most[pool], pool, spec.ID)
		}
	}
}

// recount sets the counts anew, now and then, and lets the highest one count for a minute: what
// was let through before may still be on its way.
func (w *world) recount() {
	if w.pools == nil || w.now < w.changed {
		return
	}
	w.changed = w.now + time.Minute
	for _, pool := range w.pools {
		was := pool.Count
		pool.Count = 3 + w.rng.IntN(5)
		pool.Lowering = []licences.Lower{licences.Wait, licences.Stop}[w.rng.IntN(2)]
		w.most[pool.Name] = max(was, pool.Count)
	}
}

func (w *world) fail(format string, a ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, a...))
}

func (w *world) later(duration time.Duration, f func()) {
	w.net = append(w.net, delayed{w.now + duration, f})
}

// delay is how long a message takes; late ones outlive whatever waits for them.
func (w *world) delay() time.Duration {
	if w.rng.Float64() < w.trouble {
		return time.Duration(w.rng.Int64N(int64(25 * time.Second)))
	}
	return time.Duration(w.rng.Int64N(int64(60 * time.Millisecond)))
}

// apply is the state service.
func (w *world) apply(txn store.Txn) store.Result {
	var failed []string
	for _, c := range txn.If {
		if w.kv[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return store.Result{Outcome: store.Conflict, FailedKeys: failed}
	}
	w.rev++
	for _, o := range txn.Then {
		if o.Delete != "" {
			delete(w.kv, o.Delete)
			continue
		}
		w.checkRecord(o.Put, o.Value)
		if plan, ok := strings.CutPrefix(o.Put, jobs.PlanPrefix); ok && w.allPaged && !strings.HasPrefix(o.Put, jobs.PlanPagePrefix) && !strings.HasPrefix(o.Put, imagesKey) {
			// Of a job that is over nobody reads it any more.
			id, _, _ := splitSegmentName(plan)
			var r jobs.Record
			if _ = json.Unmarshal(w.kv[jobs.RecordKey(id)].raw, &r); r.State == "pending" {
				w.fail("%s is written with a key of its own, and the migration is over", plan)
			}
		}
		w.kv[o.Put] = kvItem{o.Value, w.rev}
	}
	rev := w.rev
	for _, o := range txn.Then {
		if len(o.Put) > 4 && o.Put[:4] == jobs.Prefix {
			key, raw := o.Put, o.Value
			w.later(w.followDelay(), func() { w.learned(key, raw, rev) })
		}
	}
	return store.Result{Outcome: store.Committed, Revision: rev}
}

func (w *world) followDelay() time.Duration {
	return time.Duration(w.rng.Int64N(int64(400 * time.Millisecond)))
}

// checkRecord watches what users may be told: not_done and went_back.
func (w *world) checkRecord(key string, raw json.RawMessage) {
	if len(key) < 4 || key[:4] != jobs.Prefix {
		return
	}
	id := key[4:]
	var was, is jobs.Record
	_ = json.Unmarshal(raw, &is)
	if old, ok := w.kv[key]; ok {
		_ = json.Unmarshal(old.raw, &was)
		if was.State != "pending" {
			w.fail("went_back: %s was %s and becomes %s", id, was.State, is.State)
		}
	}
	if is.State == "done" {
		if n := len(w.done[id]); n != w.specs[id].Tasks {
			w.fail("not_done: %s is called done with %d of %d tasks", id, n, w.specs[id].Tasks)
		}
	}
}

func (w *world) learned(key string, raw json.RawMessage, version uint64) {
	if w.book == nil {
		return
	}
	job, changed, err := w.book.Apply(key[4:], raw, version)
	if err != nil {
		w.fail("record: %v", err)
	}
	if changed && w.fleet != nil {
		w.fleet.HandleJobChange(w.now, job)
	}
}

// lead starts a new term with nothing but what the state service holds.
func (w *world) lead() {
	w.term++
	w.rev++
	w.kv["leader"] = kvItem{json.RawMessage(`{}`), w.rev}
	w.leader = w.rev
	w.book = jobs.NewTable(0)
	w.book.Names.Pools = licences.NewCatalog(w.pools)
	keys := make([]string, 0, len(w.kv))
	for k := range w.kv {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var plans []store.Item
	for _, k := range keys {
		it := w.kv[k]
		switch {
		case len(k) > 4 && k[:4] == jobs.Prefix:
			w.learned(k, it.raw, it.version)
		case len(k) > 2 && k[:2] == jobs.PlanPrefix:
			plans = append(plans, store.Item{Key: k, Value: it.raw, Version: it.version})
		}
	}
	term, guard := w.term, store.Condition{Key: "leader", Version: w.leader}
	var f *Fleet
	f = New(Env{
		Settings: w.settings, Jobs: w.book, Rng: w.rng, TxnOps: 5, Now: func() time.Duration { return w.now },
		Types: func(ix int32) *MachineType {
			switch w.book.Names.Types.Name(ix) {
			case "gpu":
				return &MachineType{Size: planner.Size{CPUs: 8, GPUs: 2, Mem: 32}, CacheGB: 8, FetchGB: 1}
			case "cpu":
				return &MachineType{Size: planner.Size{CPUs: 4, Mem: 16}, CacheGB: 8, FetchGB: 1}
			}
			return nil
		},
		PlansInPages:   func() bool { return w.paged },
		CanWrite:       func(int) bool { return true },
		HasSpareWrites: func() bool { return true },
		Commit: func(txn store.Txn, done func(store.Result)) {
			txn.If = append([]store.Condition{guard}, txn.If...)
			answer := func(result store.Result) {
				if w.fleet == f {
					done(result)
				}
			}
			switch x := w.rng.Float64(); {
			case x < w.trouble/2: // applied late or not at all, the answer is lost
				if w.rng.IntN(2) == 0 {
					w.later(w.delay(), func() { w.apply(txn) })
				}
				w.later(time.Second, func() { answer(store.Result{Outcome: store.Indeterminate}) })
			case x < w.trouble:
				w.later(20*time.Millisecond, func() { answer(store.Result{Outcome: store.NotApplied}) })
			default:
				w.later(time.Duration(w.rng.Int64N(int64(80*time.Millisecond))), func() { answer(w.apply(txn)) })
			}
		},
		Read: func(key string, done func(store.Item, error)) {
			w.later(10*time.Millisecond, func() {
				if w.fleet == f {
					it := w.kv[key]
					done(store.Item{Key: key, Value: it.raw, Version: it.version}, nil)
				}
			})
		},
		SendCommands: func(machine *Machine, o DirectCommands, done func(*Heartbeat, bool)) {
			var wk *worker
			for _, c := range w.workers {
				if c.name == machine.Name {
					wk = c
				}
			}
			answered := false
			finish := func(heartbeat *Heartbeat, ok bool) {
				if !answered && w.fleet == f {
					answered = true
					done(heartbeat, ok)
				}
			}
			w.later(2*time.Second, func() { finish(nil, false) })
			if w.rng.Float64() < w.trouble/4 {
				return
			}
			life := 0
			if wk != nil {
				life = wk.life
			}
			w.later(w.delay(), func() {
				if wk == nil || !wk.alive || wk.life != life || w.now < wk.deafTill {
					return
				}
				if wk.hung {
					// A machine that hangs takes what waits once it resumes.
					w.later(3*time.Second, func() {
						if wk.life == life {
							w.orders(wk, o)
						}
					})
					return
				}
				heartbeat, ok := w.orders(wk, o)
				if ok {
					w.later(w.delay(), func() { finish(heartbeat, true) })
				}
			})
		},
		OnJobRecord: func(_ time.Duration, item store.Item) { w.learned(item.Key, item.Value, item.Version) },
	}, term, w.now)
	w.fleet = f
	f.LoadPlans(w.now, plans)
}

// orders is a worker's direct entry.
func (w *world) orders(wk *worker, o DirectCommands) (*Heartbeat, bool) {
	if !wk.alive {
		return nil, false
	}
	w.expire(wk)
	if o.Token >= wk.token && o.Session == wk.session {
		wk.token = o.Token
		w.execute(wk, o.Commands)
	}
	return w.report(wk), true
}

func (w *world) report(wk *worker) *Heartbeat {
	wk.seq++
	heartbeat := &Heartbeat{Machine: wk.name, Addr: "x", Type: wk.typ, Zone: wk.zone, Spot: wk.spot, Session: wk.session, Seq: wk.seq, Token: wk.token}
	if wk.notice > 0 {
		s := (wk.notice - w.now).Seconds()
		heartbeat.NoticeS = &s
	}
	for _, k := range wk.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{Task: fmt.Sprintf("%s/%d", k.job, k.task), Attempt: k.attempt, State: k.state, Why: k.why})
	}
	return heartbeat
}

func (w *world) execute(wk *worker, cs []Command) {
	for _, c := range cs {
		id, taskIndex, _ := parseTaskName(c.Task)
		at := -1
		other := false
		for i, k := range wk.tasks {
			if k.job == id && k.task == taskIndex {
				if k.attempt == c.Attempt {
					at = i
				} else if k.state != taskExited {
					other = true
				}
			}
		}
		switch c.Op {
		case opStart:
			if at >= 0 {
				continue
			}
			k := &onWorker{
				job: id, task: taskIndex, attempt: c.Attempt, state: taskFetching, ready: w.now + time.Duration(w.rng.Int64N(int64(4*time.Second))),
				run: time.Second + time.Duration(w.rng.Int64N(int64(12*time.Second))),
			}
			free := wk.size
			for _, o := range wk.tasks {
				if o.state != taskExited {
					free = free.Sub(w.specs[o.job].Size())
				}
			}
			switch {
			case w.specs[id] == nil:
				k.state, k.why = taskExited, exitUnknown
			case other:
				k.state, k.why = taskExited, exitBusy
			case !w.specs[id].Size().Fits(free):
				k.state, k.why = taskExited, exitNoRoom
			}
			wk.tasks = append(wk.tasks, k)
		case opStop:
			if at >= 0 && wk.tasks[at].state != taskExited {
				wk.tasks[at].state, wk.tasks[at].why, wk.tasks[at].counted = taskExited, exitStopped, false
			}
		case opForget:
			if at >= 0 && wk.tasks[at].state == taskExited {
				if wk.tasks[at].why == exitDone && !w.durable(id, taskIndex) {
					w.fail("forgot %s before its end was durable", c.Task)
				}
				wk.tasks = append(wk.tasks[:at], wk.tasks[at+1:]...)
			}
		}
	}
}

// planned is a chunk's value as it stands, read plainly: of all places the one written last. A chunk stands in a
// page, or in a key of its own.
func (w *world) planned(name string) (raw json.RawMessage) {
	it, ok := w.kv[jobs.PlanPrefix+name]
	if raw = it.raw; ok && w.allPaged {
		w.fail("%s has a key of its own, and the migration is over", name)
	}
	for key, p := range w.kv {
		if strings.HasPrefix(key, jobs.PlanPagePrefix) && p.version > it.version {
			var page struct{ Plans map[string]json.RawMessage }
			if err := json.Unmarshal(p.raw, &page); err != nil {
				w.fail("%s: %v", key, err)
			}
			if v, ok := page.Plans[name]; ok {
				raw, it.version = v, p.version
			}
		}
	}
	return raw
}

// durable tells whether the state service knows that a task is done.
func (w *world) durable(id string, taskIndex int32) bool {
	var r jobs.Record
	_ = json.Unmarshal(w.kv[jobs.RecordKey(id)].raw, &r)
	if r.State != "pending" {
		return true
	}
	no := int(taskIndex) / jobs.SegmentTasks
	raw := w.planned(fmt.Sprintf("%s/%03d", id, no))
	if raw == nil {
		return false
	}
	_, done, err := jobs.DecodeSegment(raw, min(jobs.SegmentTasks, w.specs[id].Tasks-no*jobs.SegmentTasks), func(string) int32 { return 0 })
	return err == nil && done[int(taskIndex)%jobs.SegmentTasks]
}

func (w *world) expire(wk *worker) {
	if w.now-wk.base > w.settings.Lease() {
		w.crash(wk.tasks)
		wk.tasks = nil
		wk.session++
		wk.base = w.now
		wk.inFlight = false
	}
}

// begin is the moment a task has its image: the rules look here.
func (w *world) begin(wk *worker, k *onWorker) {
	k.counted = true
	w.starts++
	spec := w.specs[k.job]
	w.seats(spec)
	use, zones := planner.Size{}, map[string]int{}
	for _, o := range w.workers {
		for _, x := range o.tasks {
			if !x.counted {
				continue
			}
			if x.job == k.job && x.task == k.task && o != wk {
				w.fail("ran_twice: %s/%d on %s and %s", k.job, k.task, o.name, wk.name)
			}
			if w.specs[x.job].Team == spec.Team {
				use = use.Add(w.specs[x.job].Size())
			}
			if x.job == k.job && x != k {
				zones[o.zone]++
			}
		}
	}
	if lim := w.settings.Params.Teams[0].CPUsMax; use.CPUs > lim+1e-9 {
		w.fail("quota: team %s uses %v of %v CPUs with %s/%d on %s", spec.Team, use.CPUs, lim, k.job, k.task, wk.name)
	}
	ok := !wk.spot || spec.Spot
	if spec.Zone != nil && *spec.Zone != wk.zone {
		ok = false
	}
	if spec.Types != nil && spec.Types[0] != wk.typ {
		ok = false
	}
	if spec.OneZone && len(zones) > 0 && (len(zones) > 1 || zones[wk.zone] == 0) {
		ok = false
	}
	if spec.Spread && zones[wk.zone]+1 > (spec.Tasks+1)/2 {
		ok = false
	}
	if !ok {
		w.fail("wrong_place: %s/%d on %s (%s, zone %s, spot %v), others in %v", k.job, k.task, wk.name, wk.typ, wk.zone, wk.spot, zones)
	}
}

// step lets a worker's tasks go on.
func (w *world) step(wk *worker) {
	w.expire(wk)
	for _, k := range wk.tasks {
		if k.state == taskExited {
			continue
		}
		if at, ok := w.told[k.job]; ok && w.now > at+config.Seconds(w.settings.Params.Workers.CancelS) && k.counted {
			w.fail("ran_cancelled: %s/%d on %s", k.job, k.task, wk.name)
			k.state, k.why, k.counted = taskExited, exitStopped, false
			continue
		}
		switch k.state {
		case taskFetching:
			if w.now < k.ready {
				continue
			}
			w.begin(wk, k)
			switch {
			case w.done[k.job][k.task]:
				k.state, k.why, k.counted = taskExited, exitDone, false
			case w.specs[k.job].Kind == jobs.Gang:
				k.state, k.waitFrom = taskWaiting, w.now
			default:
				k.state, k.started = taskRunning, w.now
			}
		case taskWaiting:
			if w.now-k.waitFrom > config.Seconds(w.settings.Params.Workers.GangWaitS) {
				k.state, k.why, k.counted = taskExited, "alone", false
			} else if w.together(k) == w.specs[k.job].Tasks {
				k.state, k.started = taskRunning, w.now
			}
		case taskRunning:
			gang := w.specs[k.job].Kind == jobs.Gang
			switch {
			case gang && w.together(k) < w.specs[k.job].Tasks:
				k.state, k.why, k.counted = taskExited, "peers", false
			case w.specs[k.job].Kind == jobs.Service:
			case w.now-k.started > k.run:
				if w.rng.Float64() < 0.03 && !gang {
					w.crash([]*onWorker{k})
					k.state, k.why, k.counted = taskExited, exitError, false
					continue
				}
				if gang {
					w.finishGang(k)
					continue
				}
				k.state, k.why, k.counted = taskExited, exitDone, false
				w.done[k.job][k.task] = true
			}
		}
	}
}

// together counts the tasks of an attempt that have their image.
func (w *world) together(k *onWorker) int {
	n := 0
	for _, o := range w.workers {
		for _, x := range o.tasks {
			if o.alive && x.job == k.job && x.attempt == k.attempt && x.counted {
				n++
			}
		}
	}
	return n
}

func (w *world) finishGang(k *onWorker) {
	for _, o := range w.workers {
		for _, x := range o.tasks {
			if x.job == k.job && x.attempt == k.attempt && x.state == taskRunning {
				x.state, x.why, x.counted = taskExited, exitDone, false
			}
		}
	}
	for t := range w.specs[k.job].Tasks {
		w.done[k.job][int32(t)] = true
	}
}

// talk sends a worker's report when it is due and takes the answer.
func (w *world) talk(wk *worker) {
	if wk.inFlight && w.now-wk.sent > 4*time.Second {
		wk.inFlight, wk.next = false, w.now+time.Second
	}
	if wk.inFlight || w.now < wk.next {
		return
	}
	heartbeat := w.report(wk)
	sent, session, life := w.now, wk.session, wk.life
	if w.odd && w.rng.IntN(8) == 0 {
		w.copies++
		w.later(time.Second+time.Duration(w.rng.Int64N(int64(40*time.Second))), func() {
			if w.fleet != nil {
				c := *heartbeat
				c.Tasks = append([]TaskReport(nil), heartbeat.Tasks...)
				w.fleet.HandleHeartbeat(w.now, &c)
			}
		})
	}
	wk.inFlight, wk.sent, wk.next = true, w.now, w.now+time.Second+time.Duration(w.rng.Int64N(int64(time.Second)))
	if w.rng.Float64() < w.trouble/4 {
		return
	}
	w.later(w.delay(), func() {
		if w.fleet == nil {
			return
		}
		a, v := w.fleet.HandleHeartbeat(w.now, heartbeat)
		if v != Accepted || w.rng.Float64() < w.trouble/4 {
			return
		}
		w.later(w.delay(), func() {
			w.expire(wk)
			if !wk.alive || wk.hung || wk.life != life || w.now < wk.deafTill || wk.session != session || wk.sent != sent || w.now-sent > 4*time.Second {
				return // dropped: too late, or of an earlier session
			}
			wk.inFlight = false
			if a.Token < wk.token {
				return
			}
			if a.Token > wk.token {
				wk.next = w.now + 500*time.Millisecond
			}
			wk.token, wk.base = a.Token, sent
			w.execute(wk, a.Commands)
		})
	})
}

func (w *world) submit() {
	w.nextJob++
	id := fmt.Sprintf("req-%06d", w.nextJob)
	kinds := []jobs.Kind{jobs.Array, jobs.Array, jobs.Gang, jobs.Service}
	spec := &jobs.Spec{
		ID: id, Class: "c", Team: fmt.Sprintf("t%d", w.rng.IntN(2)), Kind: kinds[w.rng.IntN(len(kinds))],
		Priority: []string{"prod", "urgent", "standard", "best_effort"}[w.rng.IntN(4)], Tasks: 1 + w.rng.IntN(8),
		CPUs: 1 + float64(w.rng.IntN(3)), MemoryGB: 2, Image: fmt.Sprintf("i%d", w.rng.IntN(4)), ImageGB: 3, EstimateS: 6,
		Spot: w.rng.IntN(2) == 0, OneZone: w.rng.IntN(3) == 0, SaveS: 1,
	}
	if spec.Kind != jobs.Array {
		spec.Tasks = 1 + w.rng.IntN(3)
	}
	switch w.rng.IntN(5) {
	case 0:
		z := []string{"a", "b"}[w.rng.IntN(2)]
		spec.Zone = &z
	case 1:
		spec.Types = []string{[]string{"gpu", "cpu"}[w.rng.IntN(2)]}
	case 2:
		spec.GPUs = 1
	case 3:
		if !spec.OneZone && spec.Kind == jobs.Array {
			spec.Spread = true
		}
	}
	if spec.Kind != jobs.Array && (spec.OneZone || spec.GPUs > 0 || spec.Zone != nil || spec.Types != nil) {
		spec.Tasks, spec.CPUs = min(spec.Tasks, 2), 1 // nobody rents here: it must fit one machine
	}
	if w.pools != nil && w.rng.IntN(3) > 0 {
		spec.Licences = map[string]int{"p": 1}
		if w.rng.IntN(2) == 0 {
			spec.Licences["q"] = 1
		}
	}
	w.specs[id] = spec
	w.done[id] = map[int32]bool{}
	w.apply(store.Txn{
		If:   []store.Condition{{Key: jobs.RecordKey(id)}},
		Then: []store.Op{{Put: jobs.RecordKey(id), Value: jobs.EncodeRecord(jobs.Pending, w.now.Milliseconds(), spec.Tasks, spec)}},
	})
}

// cancel is a user's abort, as any controller carries it out.
func (w *world) cancel(id string) {
	key := jobs.RecordKey(id)
	it, ok := w.kv[key]
	var r jobs.Record
	if !ok || json.Unmarshal(it.raw, &r) != nil || r.State != "pending" {
		return
	}
	w.apply(store.Txn{
		If:   []store.Condition{{Key: key, Version: it.version}},
		Then: []store.Op{{Put: key, Value: jobs.EncodeRecord(jobs.Cancelled, r.AtMS, r.Tasks, r.Spec)}},
	})
	w.told[id] = w.now
}

func newWorld(t *testing.T, seed uint64, trouble float64, pools ...*licences.Pool) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 99)), kv: map[string]kvItem{}, specs: map[string]*jobs.Spec{},
		done: map[string]map[int32]bool{}, told: map[string]time.Duration{}, trouble: trouble,
		pools: pools, most: map[string]int{}, peak: map[string]int{},
	}
	w.settings = &config.Settings{}
	w.settings.Params.Teams = []config.Team{{Name: "t0", CPUs: 4, CPUsMax: 14}, {Name: "t1", CPUs: 4, CPUsMax: 14}}
	w.settings.Params.Workers = config.Workers{ReportS: 1.5, LeaseS: 10, GangWaitS: 8, GangPeerS: 2, CancelS: 30}
	w.settings.Params.State.ValueKB = 8
	w.settings.Operator.NetworkFactor = 1
	for i := range 7 {
		wk := &worker{
			name: fmt.Sprintf("i-%03d", i), typ: "cpu", zone: []string{"a", "b"}[i%2], spot: i%3 == 2,
			size: planner.Size{CPUs: 4, Mem: 16}, alive: true, session: 1,
		}
		if i < 3 {
			wk.typ, wk.size = "gpu", planner.Size{CPUs: 8, GPUs: 2, Mem: 32}
		}
		w.workers = append(w.workers, wk)
	}
	// A third of all days begin and end with a key for each plan, a third with pages, and in a third of them
	// the level rises while jobs run.
	if w.paged = seed%3 == 0; seed%3 == 1 {
		w.rises = 20*time.Second + time.Duration(seed%7)*15*time.Second
	}
	w.lead()
	return w
}

// run plays a day: until quiet, troubles happen; after it the world heals, services are
// cancelled and everything has to come to an end.
func (w *world) run(quiet, end time.Duration) {
	const tick = 50 * time.Millisecond
	healed := false
	for ; w.now < end && len(w.broken) == 0; w.now += tick {
		rough := w.now < quiet
		if !rough && !healed {
			healed = true
			w.trouble = 0
			for _, pool := range w.pools {
				pool.Count, w.most[pool.Name] = 8, 8
			}
			for id, spec := range w.specs {
				if spec.Kind == jobs.Service {
					w.cancel(id)
				}
			}
			for _, wk := range w.workers {
				wk.hung, wk.notice, wk.deafTill = false, 0, 0
			}
		}
		if rough {
			w.mischief()
			w.recount()
		}
		sort.SliceStable(w.net, func(a, b int) bool { return w.net[a].at < w.net[b].at })
		for len(w.net) > 0 && w.net[0].at <= w.now {
			d := w.net[0]
			w.net = w.net[1:]
			d.f()
			sort.SliceStable(w.net, func(a, b int) bool { return w.net[a].at < w.net[b].at })
		}
		if w.fleet == nil && w.now >= w.crashed {
			w.lead()
		}
		for _, wk := range w.workers {
			if wk.alive && wk.hung {
				w.expire(wk) // a lease ends while its machine hangs, too
			} else if wk.alive {
				w.step(wk)
				w.talk(wk)
			}
		}
		if w.fleet != nil && w.now%(100*time.Millisecond) == 0 {
			if w.rises > 0 && w.now > w.rises {
				w.paged = true
			}
			w.fleet.Tick(w.now, true)
			w.allPaged = w.allPaged || (w.paged && w.fleet.Migrated())
			if w.each != nil {
				w.each()
			}
		}
	}
}

func (w *world) chance(perSecond float64) bool { return w.rng.Float64() < perSecond/20 }

func (w *world) mischief() {
	if w.chance(0.25) {
		w.submit()
	}
	if w.chance(0.06) && w.nextJob > 0 {
		w.cancel(fmt.Sprintf("req-%06d", 1+w.rng.IntN(w.nextJob)))
	}
	if w.chance(0.04) && w.fleet != nil {
		w.fleet, w.book = nil, nil
		w.crashed = w.now + time.Duration(w.rng.Int64N(int64(6*time.Second)))
	}
	for _, wk := range w.workers {
		switch {
		case w.odd && w.chance(0.006) && wk.alive && !wk.hung: // it hears nothing for a while
			w.deafs++
			wk.deafTill = w.now + time.Duration(w.rng.Int64N(int64(40*time.Second)))
		case w.odd && w.chance(0.008) && wk.alive && !wk.hung: // it restarts, and is there again at once
			w.rebirth++
			w.crash(wk.tasks)
			wk.tasks, wk.life, wk.inFlight = nil, wk.life+1, false
			wk.session, wk.seq, wk.token, wk.base, wk.notice = 1, 0, 0, w.now, 0
			wk.next = w.now + time.Duration(w.rng.Int64N(int64(900*time.Millisecond)))
		case w.chance(0.006) && wk.alive && !wk.hung: // hangs, and resumes before or after its lease
			wk.hung = true
			o := wk
			w.later(time.Duration(w.rng.Int64N(int64(15*time.Second))), func() { o.hung = false })
		case w.chance(0.003) && wk.alive: // dies; a machine of a new name takes its place
			wk.alive = false
			w.crash(wk.tasks)
			wk.tasks = nil
			n := *wk
			n.name, n.alive, n.hung, n.session, n.seq, n.token, n.base = fmt.Sprintf("i-%d", len(w.workers)+100), true, false, 1, 0, 0, w.now
			n.inFlight, n.notice = false, 0
			w.workers = append(w.workers, &n)
		case w.chance(0.004) && wk.alive && w.fleet != nil: // the cloud confirms a return
			if machine := w.fleet.FindMachine(wk.name); machine != nil {
				wk.alive = false
				w.crash(wk.tasks)
				wk.tasks = nil
				w.fleet.HandleReturned(w.now, machine, "returned")
				n := *wk
				n.name, n.alive, n.hung, n.session, n.seq, n.token, n.base = fmt.Sprintf("i-%d", len(w.workers)+100), true, false, 1, 0, 0, w.now
				n.inFlight, n.notice = false, 0
				w.workers = append(w.workers, &n)
			}
		case w.chance(0.004) && wk.alive && wk.spot && wk.notice == 0:
			wk.notice = w.now + 5*time.Second
			o := wk
			w.later(5*time.Second, func() { o.alive = false; w.crash(o.tasks); o.tasks = nil })
			n := *wk
			n.name, n.session, n.seq, n.token, n.base = fmt.Sprintf("i-%d", len(w.workers)+100), 1, 0, 0, w.now
			n.hung, n.inFlight, n.notice, n.tasks = false, false, 0, nil
			w.workers = append(w.workers, &n)
		}
	}
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// seeds is how many days are played.
func seeds() uint64 {
	if os.Getenv("HAREWALK_LONG") != "" {
		return 1500
	}
	return 60
}

// The rules hold whatever is lost, late, repeated, crashed or taken away, and once the
// world has healed every job comes to its end.
func TestRulesAgainstThePlainModel(t *testing.T) {
	starts, ended := 0, 0
	for seed := uint64(1); seed <= seeds(); seed++ {
		w := newWorld(t, seed, 0.12)
		ended += w.play(t)
		starts += w.starts
	}
	if starts < 2000 || ended < 1000 {
		t.Fatalf("only %d starts and %d jobs: the model does not exercise the code", starts, ended)
	}
}

// The same with machines that report and don't hear, that restart under their names with session and sequence from the
// start, and with copies of reports that come up to four leases late.
func TestRulesWithOddMachines(t *testing.T) {
	starts, ended, deafs, copies, rebirths := 0, 0, 0, 0, 0
	for seed := uint64(1); seed <= seeds(); seed++ {
		w := newWorld(t, seed, 0.12)
		w.odd = true
		ended += w.play(t)
		starts, deafs, copies, rebirths = starts+w.starts, deafs+w.deafs, copies+w.copies, rebirths+w.rebirth
	}
	t.Logf("%d starts, %d jobs, %d deaf, %d copies, %d restarts", starts, ended, deafs, copies, rebirths)
	if starts < 2000 || ended < 1000 || deafs < 100 || copies < 5000 || rebirths < 100 {
		t.Fatal("the model does not exercise the code")
	}
}

// The same with licences: no pool ever has more seats taken than it has, crashed holders
// included, while counts fall and rise and leaders change, and no seat is lost for good.
func TestSeatsAgainstThePlainModel(t *testing.T) {
	starts, ended, full := 0, 0, 0
	for seed := uint64(1); seed <= seeds(); seed++ {
		w := newWorld(t, seed, 0.12, &licences.Pool{Name: "p", Count: 6}, &licences.Pool{Name: "q", Count: 5, Linger: 6 * time.Second})
		ended += w.play(t)
		starts += w.starts
		for _, pool := range w.pools {
			if w.peak[pool.Name] >= 5 {
				full++
			}
			ix, _ := w.book.Names.Pools.Index(pool.Name)
			if v := w.fleet.Gate.Licences.Show(w.now, ix, func(int32) string { return "" }); v.Free != pool.Count {
				t.Fatalf("seed %d: pool %s is empty but %+v", seed, pool.Name, v)
			}
		}
	}
	if starts < 1500 || ended < 1000 || full < 30 {
		t.Fatalf("only %d starts, %d jobs and %d full pools: the model does not exercise the code", starts, ended, full)
	}
}

// play runs a day and checks that every rule held and every job ended; it returns their number.
func (w *world) play(t *testing.T) (ended int) {
	w.run(150*time.Second, 420*time.Second)
	if len(w.broken) > 0 {
		t.Fatalf("seed %d: %s", w.seed, w.broken[0])
	}
	for id := range w.specs {
		var r jobs.Record
		_ = json.Unmarshal(w.kv[jobs.RecordKey(id)].raw, &r)
		if r.State == "pending" {
			job := w.book.Get(id)
			for i := range job.Tasks {
				t.Logf("task %d %s on %d fails %d late %v", i, job.Tasks[i].State, job.Tasks[i].Machine, job.Tasks[i].Failures, job.Tasks[i].LaunchIndeterminate)
			}
			for _, wk := range w.workers {
				if len(wk.tasks) > 0 {
					t.Logf("%s (%+v) has", wk.name, wk.size)
					for _, k := range wk.tasks {
						t.Logf("  %+v", *k)
					}
				}
			}
			t.Fatalf("seed %d: %s (%+v) never ends: %s, %+v", w.seed, id, *w.specs[id], job.LicenceDenial, w.fleet.PendingReasons(w.now, job))
		}
		ended++
	}
	if w.paged != w.allPaged {
		t.Fatalf("seed %d: %d plans have keys of their own at the end", w.seed, w.fleet.UnmigratedPlans())
	}
	return ended
}
