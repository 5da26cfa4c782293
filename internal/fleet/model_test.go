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

type modelItem struct {
	value     json.RawMessage
	version uint64
}

type modelTask struct {
	job      string
	task     int32
	attempt  uint64
	state    string
	exitReason      string
	imageReadyAt    time.Duration // has its image
	startedAt  time.Duration
	runTime      time.Duration
	onMachine  bool // on the machine in the rules' sense
	waitingSince time.Duration
}

type modelWorker struct {
	incarnation            int // times it was started
	unreachableUntil        time.Duration
	name, machineType, zone string
	spot            bool
	capacity            planner.Size
	alive, hung     bool
	session, seq    uint64
	token           uint64
	leaseFrom            time.Duration // lease counts from here
	tasks           []*modelTask
	heartbeatInFlight        bool
	heartbeatSentAt            time.Duration
	nextHeartbeat            time.Duration
	reclaimAt          time.Duration
}

type delayedEvent struct {
	at time.Duration
	run  func()
}

type model struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	now      time.Duration
	settings *config.Settings
	items       map[string]modelItem
	revision      uint64
	workers  []*modelWorker
	events      []delayedEvent
	specs    map[string]*jobs.Spec
	finished     map[string]map[int32]bool
	cancelledAt     map[string]time.Duration // cancelled
	fleet    *Fleet
	jobs     *jobs.Table
	leaderVersion   uint64 // version of the leader key
	term     uint64
	nextTermAt  time.Duration
	nextJob  int
	startCount   int
	violations   []string
	faultRate  float64

	pools   []*licences.Pool // nil: no job needs a licence
	lingering []lingeringUnits      // seats of those that crashed
	nextCountChange time.Duration    // when the counts were last changed
	maxUnits    map[string]int   // the highest count of the last minute
	peakUnits    map[string]int

	afterTick func() // after every tick of the fleet

	unreliableMachines                    bool // machines are deaf, copies come late, machines restart under their names
	unreachablePeriods, lateCopies, restarts int

	migrateAt           time.Duration // 0: never
	plansInPages, migrated bool          // level 2 is in force; and no plan of the former form is left
}

// lingeringUnits is a seat that its server still counts.
type lingeringUnits struct {
	pool  string
	units int
	until time.Duration
}

// crashTasks ends tasks without notice: their seats stay taken for a while.
func (w *model) crashTasks(ks []*modelTask) {
	for _, task := range ks {
		for pool, n := range w.specs[task.job].Licences {
			for _, p := range w.pools {
				if p.Name == pool && task.onMachine {
					w.lingering = append(w.lingering, lingeringUnits{pool, n, w.now + p.Linger})
				}
			}
		}
	}
}

// checkLicences checks, at a start, that no pool has more seats taken than there were lately.
func (w *model) checkLicences(spec *jobs.Spec) {
	for pool := range spec.Licences {
		n := 0
		for _, l := range w.lingering {
			if l.pool == pool && l.until > w.now {
				n += l.units
			}
		}
		for _, o := range w.workers {
			for _, x := range o.tasks {
				if x.onMachine {
					n += w.specs[x.job].Licences[pool]
				}
			}
		}
		if w.peakUnits[pool] = max(w.peakUnits[pool], n); n > w.maxUnits[pool] {
			w.violation("seats: %d of %d of %s taken by a start of %s", n, w.maxUnits[pool], pool, spec.ID)
		}
	}
}

// changeLicenceCounts sets the counts anew, now and then, and lets the highest one count for a minute: what
// was let through before may still be on its way.
func (w *model) changeLicenceCounts() {
	if w.pools == nil || w.now < w.nextCountChange {
		return
	}
	w.nextCountChange = w.now + time.Minute
	for _, pool := range w.pools {
		was := pool.Count
		pool.Count = 3 + w.rng.IntN(5)
		pool.Lowering = []licences.Lower{licences.Wait, licences.Stop}[w.rng.IntN(2)]
		w.maxUnits[pool.Name] = max(was, pool.Count)
	}
}

func (w *model) violation(format string, a ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, a...))
}

func (w *model) after(duration time.Duration, f func()) {
	w.events = append(w.events, delayedEvent{w.now + duration, f})
}

// networkDelay is how long a message takes; late ones outlive whatever waits for them.
func (w *model) networkDelay() time.Duration {
	if w.rng.Float64() < w.faultRate {
		return time.Duration(w.rng.Int64N(int64(25 * time.Second)))
	}
	return time.Duration(w.rng.Int64N(int64(60 * time.Millisecond)))
}

// commit is the state service.
func (w *model) commit(txn store.Txn) store.Result {
	var failed []string
	for _, c := range txn.If {
		if w.items[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return store.Result{Outcome: store.Conflict, FailedKeys: failed}
	}
	w.revision++
	for _, o := range txn.Then {
		if o.Delete != "" {
			delete(w.items, o.Delete)
			continue
		}
		w.checkRecord(o.Put, o.Value)
		if plan, ok := strings.CutPrefix(o.Put, jobs.PlanPrefix); ok && w.migrated && !strings.HasPrefix(o.Put, jobs.PlanPagePrefix) && !strings.HasPrefix(o.Put, imagesKey) {
			// Of a job that is over nobody reads it any more.
			id, _, _ := splitSegmentName(plan)
			var r jobs.Record
			if _ = json.Unmarshal(w.items[jobs.RecordKey(id)].value, &r); r.State == "pending" {
				w.violation("%s is written with a key of its own, and the migration is over", plan)
			}
		}
		w.items[o.Put] = modelItem{o.Value, w.revision}
	}
	rev := w.revision
	for _, o := range txn.Then {
		if len(o.Put) > 4 && o.Put[:4] == jobs.Prefix {
			key, raw := o.Put, o.Value
			w.after(w.watchDelay(), func() { w.applyRecord(key, raw, rev) })
		}
	}
	return store.Result{Outcome: store.Committed, Revision: rev}
}

func (w *model) watchDelay() time.Duration {
	return time.Duration(w.rng.Int64N(int64(400 * time.Millisecond)))
}

// checkRecord watches what users may be told: not_done and went_back.
func (w *model) checkRecord(key string, raw json.RawMessage) {
	if len(key) < 4 || key[:4] != jobs.Prefix {
		return
	}
	id := key[4:]
	var was, is jobs.Record
	_ = json.Unmarshal(raw, &is)
	if old, ok := w.items[key]; ok {
		_ = json.Unmarshal(old.value, &was)
		if was.State != "pending" {
			w.violation("went_back: %s was %s and becomes %s", id, was.State, is.State)
		}
	}
	if is.State == "done" {
		if n := len(w.finished[id]); n != w.specs[id].Tasks {
			w.violation("not_done: %s is called done with %d of %d tasks", id, n, w.specs[id].Tasks)
		}
	}
}

func (w *model) applyRecord(key string, raw json.RawMessage, version uint64) {
	if w.jobs == nil {
		return
	}
	job, changed, err := w.jobs.Apply(key[4:], raw, version)
	if err != nil {
		w.violation("record: %v", err)
	}
	if changed && w.fleet != nil {
		w.fleet.HandleJobChange(w.now, job)
	}
}

// startTerm starts a new term with nothing but what the state service holds.
func (w *model) startTerm() {
	w.term++
	w.revision++
	w.items["leader"] = modelItem{json.RawMessage(`{}`), w.revision}
	w.leaderVersion = w.revision
	w.jobs = jobs.NewTable(0)
	w.jobs.Names.Pools = licences.NewCatalog(w.pools)
	keys := make([]string, 0, len(w.items))
	for k := range w.items {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var plans []store.Item
	for _, k := range keys {
		it := w.items[k]
		switch {
		case len(k) > 4 && k[:4] == jobs.Prefix:
			w.applyRecord(k, it.value, it.version)
		case len(k) > 2 && k[:2] == jobs.PlanPrefix:
			plans = append(plans, store.Item{Key: k, Value: it.value, Version: it.version})
		}
	}
	term, guard := w.term, store.Condition{Key: "leader", Version: w.leaderVersion}
	var f *Fleet
	f = New(Env{
		Settings: w.settings, Jobs: w.jobs, Rng: w.rng, TxnOps: 5, Now: func() time.Duration { return w.now },
		Types: func(ix int32) *MachineType {
			switch w.jobs.Names.Types.Name(ix) {
			case "gpu":
				return &MachineType{Size: planner.Size{CPUs: 8, GPUs: 2, Mem: 32}, CacheGB: 8, FetchGB: 1}
			case "cpu":
				return &MachineType{Size: planner.Size{CPUs: 4, Mem: 16}, CacheGB: 8, FetchGB: 1}
			}
			return nil
		},
		PlansInPages:   func() bool { return w.plansInPages },
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
			case x < w.faultRate/2: // applied late or not at all, the answer is lost
				if w.rng.IntN(2) == 0 {
					w.after(w.networkDelay(), func() { w.commit(txn) })
				}
				w.after(time.Second, func() { answer(store.Result{Outcome: store.Indeterminate}) })
			case x < w.faultRate:
				w.after(20*time.Millisecond, func() { answer(store.Result{Outcome: store.NotApplied}) })
			default:
				w.after(time.Duration(w.rng.Int64N(int64(80*time.Millisecond))), func() { answer(w.commit(txn)) })
			}
		},
		Read: func(key string, done func(store.Item, error)) {
			w.after(10*time.Millisecond, func() {
				if w.fleet == f {
					it := w.items[key]
					done(store.Item{Key: key, Value: it.value, Version: it.version}, nil)
				}
			})
		},
		SendCommands: func(machine *Machine, o DirectCommands, done func(*Heartbeat, bool)) {
			var worker *modelWorker
			for _, c := range w.workers {
				if c.name == machine.Name {
					worker = c
				}
			}
			answered := false
			finish := func(heartbeat *Heartbeat, ok bool) {
				if !answered && w.fleet == f {
					answered = true
					done(heartbeat, ok)
				}
			}
			w.after(2*time.Second, func() { finish(nil, false) })
			if w.rng.Float64() < w.faultRate/4 {
				return
			}
			life := 0
			if worker != nil {
				life = worker.incarnation
			}
			w.after(w.networkDelay(), func() {
				if worker == nil || !worker.alive || worker.incarnation != life || w.now < worker.unreachableUntil {
					return
				}
				if worker.hung {
					// A machine that hangs takes what waits once it resumes.
					w.after(3*time.Second, func() {
						if worker.incarnation == life {
							w.handleCommands(worker, o)
						}
					})
					return
				}
				heartbeat, ok := w.handleCommands(worker, o)
				if ok {
					w.after(w.networkDelay(), func() { finish(heartbeat, true) })
				}
			})
		},
		OnJobRecord: func(_ time.Duration, item store.Item) { w.applyRecord(item.Key, item.Value, item.Version) },
	}, term, w.now)
	w.fleet = f
	f.LoadPlans(w.now, plans)
}

// handleCommands is a worker's direct entry.
func (w *model) handleCommands(worker *modelWorker, o DirectCommands) (*Heartbeat, bool) {
	if !worker.alive {
		return nil, false
	}
	w.expireLease(worker)
	if o.Token >= worker.token && o.Session == worker.session {
		worker.token = o.Token
		w.execute(worker, o.Commands)
	}
	return w.heartbeat(worker), true
}

func (w *model) heartbeat(worker *modelWorker) *Heartbeat {
	worker.seq++
	heartbeat := &Heartbeat{Machine: worker.name, Addr: "x", Type: worker.machineType, Zone: worker.zone, Spot: worker.spot, Session: worker.session, Seq: worker.seq, Token: worker.token}
	if worker.reclaimAt > 0 {
		s := (worker.reclaimAt - w.now).Seconds()
		heartbeat.NoticeS = &s
	}
	for _, task := range worker.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{Task: fmt.Sprintf("%s/%d", task.job, task.task), Attempt: task.attempt, State: task.state, Why: task.exitReason})
	}
	return heartbeat
}

func (w *model) execute(worker *modelWorker, cs []Command) {
	for _, c := range cs {
		id, taskIndex, _ := parseTaskName(c.Task)
		at := -1
		other := false
		for i, task := range worker.tasks {
			if task.job == id && task.task == taskIndex {
				if task.attempt == c.Attempt {
					at = i
				} else if task.state != taskExited {
					other = true
				}
			}
		}
		switch c.Op {
		case opStart:
			if at >= 0 {
				continue
			}
			task := &modelTask{
				job: id, task: taskIndex, attempt: c.Attempt, state: taskFetching, imageReadyAt: w.now + time.Duration(w.rng.Int64N(int64(4*time.Second))),
				runTime: time.Second + time.Duration(w.rng.Int64N(int64(12*time.Second))),
			}
			free := worker.capacity
			for _, o := range worker.tasks {
				if o.state != taskExited {
					free = free.Sub(w.specs[o.job].Size())
				}
			}
			switch {
			case w.specs[id] == nil:
				task.state, task.exitReason = taskExited, exitUnknown
			case other:
				task.state, task.exitReason = taskExited, exitBusy
			case !w.specs[id].Size().Fits(free):
				task.state, task.exitReason = taskExited, exitNoRoom
			}
			worker.tasks = append(worker.tasks, task)
		case opStop:
			if at >= 0 && worker.tasks[at].state != taskExited {
				worker.tasks[at].state, worker.tasks[at].exitReason, worker.tasks[at].onMachine = taskExited, exitStopped, false
			}
		case opForget:
			if at >= 0 && worker.tasks[at].state == taskExited {
				if worker.tasks[at].exitReason == exitDone && !w.durablyFinished(id, taskIndex) {
					w.violation("forgot %s before its end was durable", c.Task)
				}
				worker.tasks = append(worker.tasks[:at], worker.tasks[at+1:]...)
			}
		}
	}
}

// segmentValue is a chunk's value as it stands, read plainly: of all places the one written last. A chunk stands in a
// page, or in a key of its own.
func (w *model) segmentValue(name string) (raw json.RawMessage) {
	it, ok := w.items[jobs.PlanPrefix+name]
	if raw = it.value; ok && w.migrated {
		w.violation("%s has a key of its own, and the migration is over", name)
	}
	for key, p := range w.items {
		if strings.HasPrefix(key, jobs.PlanPagePrefix) && p.version > it.version {
			var page struct{ Plans map[string]json.RawMessage }
			if err := json.Unmarshal(p.value, &page); err != nil {
				w.violation("%s: %v", key, err)
			}
			if v, ok := page.Plans[name]; ok {
				raw, it.version = v, p.version
			}
		}
	}
	return raw
}

// durablyFinished tells whether the state service knows that a task is done.
func (w *model) durablyFinished(id string, taskIndex int32) bool {
	var r jobs.Record
	_ = json.Unmarshal(w.items[jobs.RecordKey(id)].value, &r)
	if r.State != "pending" {
		return true
	}
	no := int(taskIndex) / jobs.SegmentTasks
	raw := w.segmentValue(fmt.Sprintf("%s/%03d", id, no))
	if raw == nil {
		return false
	}
	_, done, err := jobs.DecodeSegment(raw, min(jobs.SegmentTasks, w.specs[id].Tasks-no*jobs.SegmentTasks), func(string) int32 { return 0 })
	return err == nil && done[int(taskIndex)%jobs.SegmentTasks]
}

func (w *model) expireLease(worker *modelWorker) {
	if w.now-worker.leaseFrom > w.settings.Lease() {
		w.crashTasks(worker.tasks)
		worker.tasks = nil
		worker.session++
		worker.leaseFrom = w.now
		worker.heartbeatInFlight = false
	}
}

// startTask is the moment a task has its image: the rules look here.
func (w *model) startTask(worker *modelWorker, task *modelTask) {
	task.onMachine = true
	w.startCount++
	spec := w.specs[task.job]
	w.checkLicences(spec)
	use, zones := planner.Size{}, map[string]int{}
	for _, o := range w.workers {
		for _, x := range o.tasks {
			if !x.onMachine {
				continue
			}
			if x.job == task.job && x.task == task.task && o != worker {
				w.violation("ran_twice: %s/%d on %s and %s", task.job, task.task, o.name, worker.name)
			}
			if w.specs[x.job].Team == spec.Team {
				use = use.Add(w.specs[x.job].Size())
			}
			if x.job == task.job && x != task {
				zones[o.zone]++
			}
		}
	}
	if lim := w.settings.Params.Teams[0].CPUsMax; use.CPUs > lim+1e-9 {
		w.violation("quota: team %s uses %v of %v CPUs with %s/%d on %s", spec.Team, use.CPUs, lim, task.job, task.task, worker.name)
	}
	ok := !worker.spot || spec.Spot
	if spec.Zone != nil && *spec.Zone != worker.zone {
		ok = false
	}
	if spec.Types != nil && spec.Types[0] != worker.machineType {
		ok = false
	}
	if spec.OneZone && len(zones) > 0 && (len(zones) > 1 || zones[worker.zone] == 0) {
		ok = false
	}
	if spec.Spread && zones[worker.zone]+1 > (spec.Tasks+1)/2 {
		ok = false
	}
	if !ok {
		w.violation("wrong_place: %s/%d on %s (%s, zone %s, spot %v), others in %v", task.job, task.task, worker.name, worker.machineType, worker.zone, worker.spot, zones)
	}
}

// advanceTasks lets a worker's tasks go on.
func (w *model) advanceTasks(worker *modelWorker) {
	w.expireLease(worker)
	for _, task := range worker.tasks {
		if task.state == taskExited {
			continue
		}
		if at, ok := w.cancelledAt[task.job]; ok && w.now > at+config.Seconds(w.settings.Params.Workers.CancelS) && task.onMachine {
			w.violation("ran_cancelled: %s/%d on %s", task.job, task.task, worker.name)
			task.state, task.exitReason, task.onMachine = taskExited, exitStopped, false
			continue
		}
		switch task.state {
		case taskFetching:
			if w.now < task.imageReadyAt {
				continue
			}
			w.startTask(worker, task)
			switch {
			case w.finished[task.job][task.task]:
				task.state, task.exitReason, task.onMachine = taskExited, exitDone, false
			case w.specs[task.job].Kind == jobs.Gang:
				task.state, task.waitingSince = taskWaiting, w.now
			default:
				task.state, task.startedAt = taskRunning, w.now
			}
		case taskWaiting:
			if w.now-task.waitingSince > config.Seconds(w.settings.Params.Workers.GangWaitS) {
				task.state, task.exitReason, task.onMachine = taskExited, "alone", false
			} else if w.gangTasksOnMachines(task) == w.specs[task.job].Tasks {
				task.state, task.startedAt = taskRunning, w.now
			}
		case taskRunning:
			gang := w.specs[task.job].Kind == jobs.Gang
			switch {
			case gang && w.gangTasksOnMachines(task) < w.specs[task.job].Tasks:
				task.state, task.exitReason, task.onMachine = taskExited, "peers", false
			case w.specs[task.job].Kind == jobs.Service:
			case w.now-task.startedAt > task.runTime:
				if w.rng.Float64() < 0.03 && !gang {
					w.crashTasks([]*modelTask{task})
					task.state, task.exitReason, task.onMachine = taskExited, exitError, false
					continue
				}
				if gang {
					w.finishGang(task)
					continue
				}
				task.state, task.exitReason, task.onMachine = taskExited, exitDone, false
				w.finished[task.job][task.task] = true
			}
		}
	}
}

// gangTasksOnMachines counts the tasks of an attempt that have their image.
func (w *model) gangTasksOnMachines(task *modelTask) int {
	n := 0
	for _, o := range w.workers {
		for _, x := range o.tasks {
			if o.alive && x.job == task.job && x.attempt == task.attempt && x.onMachine {
				n++
			}
		}
	}
	return n
}

func (w *model) finishGang(task *modelTask) {
	for _, o := range w.workers {
		for _, x := range o.tasks {
			if x.job == task.job && x.attempt == task.attempt && x.state == taskRunning {
				x.state, x.exitReason, x.onMachine = taskExited, exitDone, false
			}
		}
	}
	for t := range w.specs[task.job].Tasks {
		w.finished[task.job][int32(t)] = true
	}
}

// sendHeartbeat sends a worker's report when it is due and takes the answer.
func (w *model) sendHeartbeat(worker *modelWorker) {
	if worker.heartbeatInFlight && w.now-worker.heartbeatSentAt > 4*time.Second {
		worker.heartbeatInFlight, worker.nextHeartbeat = false, w.now+time.Second
	}
	if worker.heartbeatInFlight || w.now < worker.nextHeartbeat {
		return
	}
	heartbeat := w.heartbeat(worker)
	sent, session, life := w.now, worker.session, worker.incarnation
	if w.unreliableMachines && w.rng.IntN(8) == 0 {
		w.lateCopies++
		w.after(time.Second+time.Duration(w.rng.Int64N(int64(40*time.Second))), func() {
			if w.fleet != nil {
				c := *heartbeat
				c.Tasks = append([]TaskReport(nil), heartbeat.Tasks...)
				w.fleet.HandleHeartbeat(w.now, &c)
			}
		})
	}
	worker.heartbeatInFlight, worker.heartbeatSentAt, worker.nextHeartbeat = true, w.now, w.now+time.Second+time.Duration(w.rng.Int64N(int64(time.Second)))
	if w.rng.Float64() < w.faultRate/4 {
		return
	}
	w.after(w.networkDelay(), func() {
		if w.fleet == nil {
			return
		}
		a, v := w.fleet.HandleHeartbeat(w.now, heartbeat)
		if v != Accepted || w.rng.Float64() < w.faultRate/4 {
			return
		}
		w.after(w.networkDelay(), func() {
			w.expireLease(worker)
			if !worker.alive || worker.hung || worker.incarnation != life || w.now < worker.unreachableUntil || worker.session != session || worker.heartbeatSentAt != sent || w.now-sent > 4*time.Second {
				return // dropped: too late, or of an earlier session
			}
			worker.heartbeatInFlight = false
			if a.Token < worker.token {
				return
			}
			if a.Token > worker.token {
				worker.nextHeartbeat = w.now + 500*time.Millisecond
			}
			worker.token, worker.leaseFrom = a.Token, sent
			w.execute(worker, a.Commands)
		})
	})
}

func (w *model) submitJob() {
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
	w.finished[id] = map[int32]bool{}
	w.commit(store.Txn{
		If:   []store.Condition{{Key: jobs.RecordKey(id)}},
		Then: []store.Op{{Put: jobs.RecordKey(id), Value: jobs.EncodeRecord(jobs.Pending, w.now.Milliseconds(), spec.Tasks, spec)}},
	})
}

// cancel is a user's abort, as any controller carries it out.
func (w *model) cancel(id string) {
	key := jobs.RecordKey(id)
	it, ok := w.items[key]
	var r jobs.Record
	if !ok || json.Unmarshal(it.value, &r) != nil || r.State != "pending" {
		return
	}
	w.commit(store.Txn{
		If:   []store.Condition{{Key: key, Version: it.version}},
		Then: []store.Op{{Put: key, Value: jobs.EncodeRecord(jobs.Cancelled, r.AtMS, r.Tasks, r.Spec)}},
	})
	w.cancelledAt[id] = w.now
}

func newModel(t *testing.T, seed uint64, trouble float64, pools ...*licences.Pool) *model {
	m := &model{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 99)), items: map[string]modelItem{}, specs: map[string]*jobs.Spec{},
		finished: map[string]map[int32]bool{}, cancelledAt: map[string]time.Duration{}, faultRate: trouble,
		pools: pools, maxUnits: map[string]int{}, peakUnits: map[string]int{},
	}
	m.settings = &config.Settings{}
	m.settings.Params.Teams = []config.Team{{Name: "t0", CPUs: 4, CPUsMax: 14}, {Name: "t1", CPUs: 4, CPUsMax: 14}}
	m.settings.Params.Workers = config.Workers{ReportS: 1.5, LeaseS: 10, GangWaitS: 8, GangPeerS: 2, CancelS: 30}
	m.settings.Params.State.ValueKB = 8
	m.settings.Operator.NetworkFactor = 1
	for i := range 7 {
		worker := &modelWorker{
			name: fmt.Sprintf("i-%03d", i), machineType: "cpu", zone: []string{"a", "b"}[i%2], spot: i%3 == 2,
			capacity: planner.Size{CPUs: 4, Mem: 16}, alive: true, session: 1,
		}
		if i < 3 {
			worker.machineType, worker.capacity = "gpu", planner.Size{CPUs: 8, GPUs: 2, Mem: 32}
		}
		m.workers = append(m.workers, worker)
	}
	// A third of all days begin and end with a key for each plan, a third with pages, and in a third of them
	// the level rises while jobs run.
	if m.plansInPages = seed%3 == 0; seed%3 == 1 {
		m.migrateAt = 20*time.Second + time.Duration(seed%7)*15*time.Second
	}
	m.startTerm()
	return m
}

// run plays a day: until quiet, troubles happen; after it the world heals, services are
// cancelled and everything has to come to an end.
func (w *model) run(quiet, end time.Duration) {
	const tick = 50 * time.Millisecond
	healed := false
	for ; w.now < end && len(w.violations) == 0; w.now += tick {
		rough := w.now < quiet
		if !rough && !healed {
			healed = true
			w.faultRate = 0
			for _, pool := range w.pools {
				pool.Count, w.maxUnits[pool.Name] = 8, 8
			}
			for id, spec := range w.specs {
				if spec.Kind == jobs.Service {
					w.cancel(id)
				}
			}
			for _, worker := range w.workers {
				worker.hung, worker.reclaimAt, worker.unreachableUntil = false, 0, 0
			}
		}
		if rough {
			w.injectFaults()
			w.changeLicenceCounts()
		}
		sort.SliceStable(w.events, func(a, b int) bool { return w.events[a].at < w.events[b].at })
		for len(w.events) > 0 && w.events[0].at <= w.now {
			d := w.events[0]
			w.events = w.events[1:]
			d.run()
			sort.SliceStable(w.events, func(a, b int) bool { return w.events[a].at < w.events[b].at })
		}
		if w.fleet == nil && w.now >= w.nextTermAt {
			w.startTerm()
		}
		for _, worker := range w.workers {
			if worker.alive && worker.hung {
				w.expireLease(worker) // a lease ends while its machine hangs, too
			} else if worker.alive {
				w.advanceTasks(worker)
				w.sendHeartbeat(worker)
			}
		}
		if w.fleet != nil && w.now%(100*time.Millisecond) == 0 {
			if w.migrateAt > 0 && w.now > w.migrateAt {
				w.plansInPages = true
			}
			w.fleet.Tick(w.now, true)
			w.migrated = w.migrated || (w.plansInPages && w.fleet.Migrated())
			if w.afterTick != nil {
				w.afterTick()
			}
		}
	}
}

func (w *model) chance(perSecond float64) bool { return w.rng.Float64() < perSecond/20 }

func (w *model) injectFaults() {
	if w.chance(0.25) {
		w.submitJob()
	}
	if w.chance(0.06) && w.nextJob > 0 {
		w.cancel(fmt.Sprintf("req-%06d", 1+w.rng.IntN(w.nextJob)))
	}
	if w.chance(0.04) && w.fleet != nil {
		w.fleet, w.jobs = nil, nil
		w.nextTermAt = w.now + time.Duration(w.rng.Int64N(int64(6*time.Second)))
	}
	for _, worker := range w.workers {
		switch {
		case w.unreliableMachines && w.chance(0.006) && worker.alive && !worker.hung: // it hears nothing for a while
			w.unreachablePeriods++
			worker.unreachableUntil = w.now + time.Duration(w.rng.Int64N(int64(40*time.Second)))
		case w.unreliableMachines && w.chance(0.008) && worker.alive && !worker.hung: // it restarts, and is there again at once
			w.restarts++
			w.crashTasks(worker.tasks)
			worker.tasks, worker.incarnation, worker.heartbeatInFlight = nil, worker.incarnation+1, false
			worker.session, worker.seq, worker.token, worker.leaseFrom, worker.reclaimAt = 1, 0, 0, w.now, 0
			worker.nextHeartbeat = w.now + time.Duration(w.rng.Int64N(int64(900*time.Millisecond)))
		case w.chance(0.006) && worker.alive && !worker.hung: // hangs, and resumes before or after its lease
			worker.hung = true
			o := worker
			w.after(time.Duration(w.rng.Int64N(int64(15*time.Second))), func() { o.hung = false })
		case w.chance(0.003) && worker.alive: // dies; a machine of a new name takes its place
			worker.alive = false
			w.crashTasks(worker.tasks)
			worker.tasks = nil
			n := *worker
			n.name, n.alive, n.hung, n.session, n.seq, n.token, n.leaseFrom = fmt.Sprintf("i-%d", len(w.workers)+100), true, false, 1, 0, 0, w.now
			n.heartbeatInFlight, n.reclaimAt = false, 0
			w.workers = append(w.workers, &n)
		case w.chance(0.004) && worker.alive && w.fleet != nil: // the cloud confirms a return
			if machine := w.fleet.FindMachine(worker.name); machine != nil {
				worker.alive = false
				w.crashTasks(worker.tasks)
				worker.tasks = nil
				w.fleet.HandleReturned(w.now, machine, "returned")
				n := *worker
				n.name, n.alive, n.hung, n.session, n.seq, n.token, n.leaseFrom = fmt.Sprintf("i-%d", len(w.workers)+100), true, false, 1, 0, 0, w.now
				n.heartbeatInFlight, n.reclaimAt = false, 0
				w.workers = append(w.workers, &n)
			}
		case w.chance(0.004) && worker.alive && worker.spot && worker.reclaimAt == 0:
			worker.reclaimAt = w.now + 5*time.Second
			o := worker
			w.after(5*time.Second, func() { o.alive = false; w.crashTasks(o.tasks); o.tasks = nil })
			n := *worker
			n.name, n.session, n.seq, n.token, n.leaseFrom = fmt.Sprintf("i-%d", len(w.workers)+100), 1, 0, 0, w.now
			n.hung, n.heartbeatInFlight, n.reclaimAt, n.tasks = false, false, 0, nil
			w.workers = append(w.workers, &n)
		}
	}
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// seedCount is how many days are played.
func seedCount() uint64 {
	if os.Getenv("HAREWALK_LONG") != "" {
		return 1500
	}
	return 60
}

// The rules hold whatever is lost, late, repeated, crashed or taken away, and once the
// world has healed every job comes to its end.
func TestRulesAgainstThePlainModel(t *testing.T) {
	starts, ended := 0, 0
	for seed := uint64(1); seed <= seedCount(); seed++ {
		m := newModel(t, seed, 0.12)
		ended += m.runAndCheck(t)
		starts += m.startCount
	}
	if starts < 2000 || ended < 1000 {
		t.Fatalf("only %d starts and %d jobs: the model does not exercise the code", starts, ended)
	}
}

// The same with machines that report and don't hear, that restart under their names with session and sequence from the
// start, and with copies of reports that come up to four leases late.
func TestRulesWithOddMachines(t *testing.T) {
	starts, ended, deafs, copies, rebirths := 0, 0, 0, 0, 0
	for seed := uint64(1); seed <= seedCount(); seed++ {
		m := newModel(t, seed, 0.12)
		m.unreliableMachines = true
		ended += m.runAndCheck(t)
		starts, deafs, copies, rebirths = starts+m.startCount, deafs+m.unreachablePeriods, copies+m.lateCopies, rebirths+m.restarts
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
	for seed := uint64(1); seed <= seedCount(); seed++ {
		m := newModel(t, seed, 0.12, &licences.Pool{Name: "p", Count: 6}, &licences.Pool{Name: "q", Count: 5, Linger: 6 * time.Second})
		ended += m.runAndCheck(t)
		starts += m.startCount
		for _, pool := range m.pools {
			if m.peakUnits[pool.Name] >= 5 {
				full++
			}
			ix, _ := m.jobs.Names.Pools.Index(pool.Name)
			if v := m.fleet.Gate.Licences.Show(m.now, ix, func(int32) string { return "" }); v.Free != pool.Count {
				t.Fatalf("seed %d: pool %s is empty but %+v", seed, pool.Name, v)
			}
		}
	}
	if starts < 1500 || ended < 1000 || full < 30 {
		t.Fatalf("only %d starts, %d jobs and %d full pools: the model does not exercise the code", starts, ended, full)
	}
}

// runAndCheck runs a day and checks that every rule held and every job ended; it returns their number.
func (w *model) runAndCheck(t *testing.T) (ended int) {
	w.run(150*time.Second, 420*time.Second)
	if len(w.violations) > 0 {
		t.Fatalf("seed %d: %s", w.seed, w.violations[0])
	}
	for id := range w.specs {
		var r jobs.Record
		_ = json.Unmarshal(w.items[jobs.RecordKey(id)].value, &r)
		if r.State == "pending" {
			job := w.jobs.Get(id)
			for i := range job.Tasks {
				t.Logf("task %d %s on %d fails %d late %v", i, job.Tasks[i].State, job.Tasks[i].Machine, job.Tasks[i].Failures, job.Tasks[i].LaunchIndeterminate)
			}
			for _, worker := range w.workers {
				if len(worker.tasks) > 0 {
					t.Logf("%s (%+v) has", worker.name, worker.capacity)
					for _, task := range worker.tasks {
						t.Logf("  %+v", *task)
					}
				}
			}
			t.Fatalf("seed %d: %s (%+v) never ends: %s, %+v", w.seed, id, *w.specs[id], job.LicenceDenial, w.fleet.PendingReasons(w.now, job))
		}
		ended++
	}
	if w.plansInPages != w.migrated {
		t.Fatalf("seed %d: %d plans have keys of their own at the end", w.seed, w.fleet.UnmigratedPlans())
	}
	return ended
}
