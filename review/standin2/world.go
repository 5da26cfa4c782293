package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// jobSpec is a submission, with the fields of the pages.
type jobSpec struct {
	ID       string         `json:"name_id"`
	Class    string         `json:"breed"`
	Team     string         `json:"warren"`
	Kind     string         `json:"gait"`
	Priority string         `json:"urgency"`
	Tasks    int            `json:"hops"`
	CPUs     float64        `json:"cpus"`
	GPUs     float64        `json:"accelerators"`
	MemoryGB float64        `json:"memory_gb"`
	Image    string         `json:"pelt"`
	ImageGB  float64        `json:"size_gb"`
	Types    []string       `json:"builds"`
	Zone     *string        `json:"meadow"`
	OneZone  bool           `json:"same_place"`
	Spread   bool           `json:"apart"`
	Spot     bool           `json:"stray"`
	EstS     float64        `json:"stride_s"`
	RestS    float64        `json:"rest_s"`
	SaveS    float64        `json:"stash_s"`
	DueS     *float64       `json:"dusk_s"`
	Licences map[string]int `json:"licences,omitempty"`

	runS  float64 // real run time of a task
	fails bool    // its tasks fail on every machine
	crash float64 // after this time its first start crashes; 0: it doesn't
}

// team is a team's limit.
type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// machineType is a type that the cloud rents out.
type machineType struct {
	Name     string   `json:"name"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"accelerators"`
	MemoryGB float64  `json:"memory_gb"`
	CacheGB  float64  `json:"cache_gb"`
	FetchGB  float64  `json:"fetch_gb_per_s"`
	Price    float64  `json:"price"`
	LowPrice float64  `json:"low_price"`
	ReadyS   float64  `json:"ready_s"`
	Zones    []string `json:"meadows"`
}

// timing is the workers' timing, as in the settings.
type timing struct {
	reportS, leaseS, gangWaitS, gangPeerS, cancelS float64
}

// world is what clients, servers and the platform can see, with the checks of the rules.
type world struct {
	rec    *recorder
	timing timing
	teams  map[string]team
	types  map[string]machineType
	rng    *lockedRand

	mu        sync.Mutex
	jobs      map[string]*jobSpec
	on        map[string]map[*worker]time.Time // by task: the machines that it is on
	done      map[string]bool                  // tasks that are done
	progress  map[string]float64               // saved progress of a task, or of a gang by its job
	cancelled map[string]time.Time             // jobs whose user was told that they are cancelled
	told      map[string]string                // newest final or accepted state that a user was told
	gangs     map[string]*gang
	starts    int
	runs      map[string]int // starts of each task
	onStart   func(task string, try uint64, w *worker)
	onLeave   func(task, why string)
	lateStart int
	seats     map[string]int
}

// gang is one attempt of a gang.
type gang struct {
	tasks   map[string]*attempt
	started bool
}

type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

func (r *lockedRand) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func newWorld(rec *recorder, t timing, teams []team, types []machineType, seed uint64) *world {
	w := &world{
		rec: rec, timing: t, teams: map[string]team{}, types: map[string]machineType{},
		rng:  &lockedRand{rng: rand.New(rand.NewPCG(seed, 7))},
		jobs: map[string]*jobSpec{}, on: map[string]map[*worker]time.Time{}, done: map[string]bool{},
		progress: map[string]float64{}, cancelled: map[string]time.Time{}, told: map[string]string{},
		gangs: map[string]*gang{}, runs: map[string]int{},
	}
	for _, one := range teams {
		w.teams[one.Name] = one
	}
	for _, one := range types {
		w.types[one.Name] = one
	}
	go w.watchCancelled()
	return w
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// addJob uploads a job's description.
func (w *world) addJob(spec *jobSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[spec.ID] = spec
}

func splitTask(task string) (job string, index int) {
	job, digits, _ := strings.Cut(task, "/")
	index, err := strconv.Atoi(digits)
	if err != nil {
		return job, -1
	}
	return job, index
}

// findJob returns the job of a task, nil if there is none.
func (w *world) findJob(task string) *jobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, index := splitTask(task)
	spec := w.jobs[id]
	if spec == nil || index < 0 || index >= spec.Tasks {
		return nil
	}
	return spec
}

// enter records that a task is on a machine from now on, and checks the rules.
func (w *world) enter(task string, try uint64, m *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _ := splitTask(task)
	spec := w.jobs[id]
	w.starts++
	w.runs[task]++
	w.rec.logf("start %s try %d on %s", task, try, m.name)
	for other, since := range w.on[task] {
		if other != m {
			w.rec.breakRule("ran_twice: %s starts on %s while it is on %s since %.3f", task, m.name, other.name, since.Sub(w.rec.start).Seconds())
		}
	}
	if w.on[task] == nil {
		w.on[task] = map[*worker]time.Time{}
	}
	w.on[task][m] = time.Now()
	w.checkQuota(spec)
	w.checkPlace(spec, m)
	w.checkSeats()
	if at, ok := w.cancelled[id]; ok {
		w.lateStart++
		w.rec.logf("started %.3f s after its cancellation was confirmed: %s", time.Since(at).Seconds(), task)
		if time.Since(at) > seconds(w.timing.cancelS) {
			w.rec.breakRule("ran_cancelled: %s starts %.1f s after the confirmation", task, time.Since(at).Seconds())
		}
	}
	if w.onStart != nil {
		w.onStart(task, try, m)
	}
}

func (w *world) checkQuota(spec *jobSpec) {
	limit := w.teams[spec.Team]
	cpus, gpus := 0.0, 0.0
	for task, places := range w.on {
		id, _ := splitTask(task)
		other := w.jobs[id]
		if other.Team == spec.Team {
			cpus += other.CPUs * float64(len(places))
			gpus += other.GPUs * float64(len(places))
		}
	}
	if limit.CPUsMax > 0 && cpus > limit.CPUsMax+1e-6 || limit.GPUsMax > 0 && gpus > limit.GPUsMax+1e-6 {
		w.rec.breakRule("quota: team %s uses %.1f cpus and %.1f gpus", spec.Team, cpus, gpus)
	}
}

func (w *world) checkPlace(spec *jobSpec, m *worker) {
	allowed := spec.Types == nil
	for _, name := range spec.Types {
		allowed = allowed || name == m.build
	}
	if !allowed || spec.Zone != nil && *spec.Zone != m.zone || m.spot && !spec.Spot {
		w.rec.breakRule("wrong_place: %s on %s (%s %s spot %v)", spec.ID, m.name, m.build, m.zone, m.spot)
	}
	byZone := map[string]int{}
	for i := range spec.Tasks {
		for other := range w.on[spec.ID+"/"+strconv.Itoa(i)] {
			byZone[other.zone]++
		}
	}
	if spec.OneZone && len(byZone) > 1 {
		w.rec.breakRule("wrong_place: %s is in %d zones", spec.ID, len(byZone))
	}
	if spec.Spread && byZone[m.zone] > (spec.Tasks+1)/2 {
		w.rec.breakRule("wrong_place: %s has %d of %d tasks in %s", spec.ID, byZone[m.zone], spec.Tasks, m.zone)
	}
}

// leave records that a task is no longer on a machine.
func (w *world) leave(task string, m *worker, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.on[task][m]; ok {
		delete(w.on[task], m)
		w.rec.logf("end %s on %s: %s", task, m.name, why)
		if w.onLeave != nil {
			w.onLeave(task, why)
		}
	}
	if len(w.on[task]) == 0 {
		delete(w.on, task)
	}
}

func (w *world) watchCancelled() {
	reported := map[string]bool{}
	for range time.Tick(200 * time.Millisecond) {
		w.mu.Lock()
		for task, places := range w.on {
			id, _ := splitTask(task)
			at, ok := w.cancelled[id]
			if ok && len(places) > 0 && time.Since(at) > seconds(w.timing.cancelS) && !reported[task] {
				reported[task] = true
				w.rec.breakRule("ran_cancelled: %s is still on a machine %.1f s after the confirmation", task, time.Since(at).Seconds())
			}
		}
		w.mu.Unlock()
	}
}

func (w *world) markDone(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[task] = true
}

func (w *world) isDone(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}

// tellUser checks and records what a user was told of a job.
func (w *world) tellUser(id, how string, status int, stance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.told[id]
	switch {
	case status == 404 && before != "":
		w.rec.breakRule("forgotten: %s answers 404 to %s, was %s", id, how, before)
	case (status == 400 || status == 422) && before != "":
		w.rec.breakRule("forgotten: %s answers %d to %s, was %s", id, status, how, before)
	case status != 200 && status != 201:
	case before == "done" && stance != "done", before == "cancelled" && stance != "cancelled":
		w.rec.breakRule("went_back: %s is called %s by %s, was %s", id, stance, how, before)
	case stance == "done":
		w.checkAllDone(id)
		w.told[id] = stance
	case stance == "cancelled":
		w.told[id] = stance
	default:
		w.told[id] = "accepted"
	}
}

func (w *world) checkAllDone(id string) {
	spec := w.jobs[id]
	for i := range spec.Tasks {
		if !w.done[id+"/"+strconv.Itoa(i)] {
			w.rec.breakRule("not_done: %s is called done, but task %d is not", id, i)
			return
		}
	}
}

// tellCancelled records that a user was told that a job is cancelled.
func (w *world) tellCancelled(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.cancelled[id]; !ok {
		w.cancelled[id] = time.Now()
	}
}

// snapshot returns a summary.
func (w *world) snapshot() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for id := range w.jobs {
		counts[w.told[id]]++
	}
	return fmt.Sprintf("starts %d, jobs %v, on machines %d, starts after cancel %d", w.starts, counts, len(w.on), w.lateStart)
}

func (w *world) checkSeats() {
	used := map[string]int{}
	for task, places := range w.on {
		id, _ := splitTask(task)
		for pool, units := range w.jobs[id].Licences {
			used[pool] += units * len(places)
		}
	}
	for pool, units := range used {
		if w.seats != nil && units > w.seats[pool] {
			w.rec.breakRule("licences: %d of %d units of %s", units, w.seats[pool], pool)
		}
	}
}
