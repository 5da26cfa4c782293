package simulator

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Monotonic reads over all controllers, by real time: a question sent after an answer was received, whoever gave it, never
// gets an older one. Every answer to a user of a simulation is held against what users had been told before its request went out.

// told is what users were told of one job.
type told struct {
	accepted   bool
	acceptedAt time.Duration
	final      string // "done" or "cancelled"
	finalAt    time.Duration
}

// answers are what users were told, and who asked for what.
type answers struct {
	jobs  map[string]*told
	asked map[string]bool // jobs that somebody asked to cancel
	looks looks
}

// asks is what a user's request is about.
type asks struct {
	id                    string
	submits, queries, end bool
}

// about reads a user's request; false: it isn't about the stance of one job.
func about(method, path string, body []byte) (a asks, ok bool) {
	rest, runs := strings.CutPrefix(path, "/v2/runs")
	switch {
	case !runs:
		return a, false
	case method == "POST" && rest == "":
		var v view
		_ = json.Unmarshal(body, &v)
		return asks{id: v.ID, submits: true}, v.ID != ""
	case method == "POST" && strings.HasSuffix(rest, "/abort"):
		return asks{id: strings.TrimSuffix(rest[1:], "/abort"), end: true}, true
	case method == "GET" && len(rest) > 1 && !strings.Contains(rest[1:], "/"):
		return asks{id: rest[1:], queries: true}, true
	}
	return a, false
}

// AskedToEnd tells whether any user has asked to cancel a job.
func (w *World) AskedToEnd(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers.asked[id]
}

// wanted notes a request for a job's end as it goes out.
func (w *World) wanted(a asks) {
	if a.end {
		w.mu.Lock()
		w.answers.asked[a.id] = true
		w.mu.Unlock()
	}
}

// received holds an answer against what users had been told when its request was sent, and adds it to that.
func (w *World) received(a asks, sent time.Duration, status int, raw []byte) {
	stance := stanceOf(raw)
	w.mu.Lock()
	t := w.answers.jobs[a.id]
	if t == nil {
		t = &told{}
		w.answers.jobs[a.id] = t
	}
	switch known := t.accepted && t.acceptedAt < sent; {
	case known && status == 404 && !a.submits:
		w.fail("forgotten: %s is answered 404 after it was accepted", a.id)
	case known && a.submits && (status == 400 || status == 422):
		w.fail("forgotten: a repeated submission of %s is answered %d", a.id, status)
	}
	if status != 200 && status != 201 {
		w.mu.Unlock()
		return
	}
	final := stance == "done" || stance == "cancelled"
	switch {
	case t.final != "" && final && stance != t.final:
		w.fail("went_back: %s was %s and is %s", a.id, t.final, stance)
	case t.final != "" && !final && t.finalAt < sent:
		w.fail("went_back: %s was %s and is %s", a.id, t.final, stance)
	}
	if spec := w.specs[a.id]; a.submits && !t.accepted && spec != nil && !w.canRun(spec) {
		w.fail("accepted: %s can't run", a.id)
	}
	now := w.now()
	first := !t.accepted
	if first {
		t.accepted, t.acceptedAt = true, now
	}
	if final && t.final == "" {
		t.final, t.finalAt, first = stance, now, true
	}
	w.mu.Unlock()
	if stance == "cancelled" {
		w.Cancelled(a.id)
	}
	if first {
		w.look(a.id)
	}
}

// canRun judges a job by the protocol: its team is known, a task fits an allowed type, and it needs no more than its team's limit.
func (w *World) canRun(spec *jobs.Spec) bool {
	n := 1
	if spec.Kind != jobs.Array {
		n = spec.Tasks
	}
	team := false
	for _, t := range w.cfg.Teams {
		if t.Name == spec.Team {
			team = (t.CPUsMax == 0 || spec.CPUs*float64(n) <= t.CPUsMax+1e-9) && (t.GPUsMax == 0 || spec.GPUs*float64(n) <= t.GPUsMax+1e-9)
		}
	}
	return team && slices.ContainsFunc(w.cfg.Types, func(t typ) bool { return allows(spec, t, "", false) && spec.Size().Fits(t.Size()) })
}

// allows tells whether a job's tasks may be on a kind of machine; zone "" is any of the type's.
func allows(spec *jobs.Spec, t typ, zone string, spot bool) bool {
	switch {
	case spot && !spec.Spot, spec.Types != nil && !slices.Contains(spec.Types, t.Name):
		return false
	case spec.Zone == nil:
		return true
	case zone == "":
		return slices.Contains(t.Zones, *spec.Zone)
	}
	return *spec.Zone == zone
}

// Room beside work: once all troubles are over, no job of which nothing is on a machine waits for long while machines that fit
// have room for it and its team is under its limit. It is judged by the truth, not by what the leader believes.

// besideMost is how long that may be.
const besideMost = 90 * time.Second

// beside is since when each job has waited beside room.
type beside struct {
	since   map[string]time.Duration
	longest time.Duration
	job     string // that waited so
}

// Healed says that all troubles are over: from now on no job may wait beside room. It returns how long any has at most, and which.
// It is for simulations.
func (w *World) Healed() func() (time.Duration, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &beside{since: map[string]time.Duration{}}
	var look func()
	look = func() {
		w.mu.Lock()
		w.lookBeside(b)
		w.mu.Unlock()
		w.ground.after(time.Second, look)
	}
	w.ground.after(time.Second, look)
	return func() (time.Duration, string) { return b.longest, b.job }
}

func (w *World) lookBeside(b *beside) {
	now := w.now()
	on, used := map[string]bool{}, map[string][2]float64{}
	var hosts []place
	for _, m := range w.machines {
		if m.dead {
			continue
		}
		free := m.typ.Size()
		for _, k := range m.tasks {
			if k.state == exited {
				continue
			}
			on[k.spec.ID] = true
			u := used[k.spec.Team]
			used[k.spec.Team] = [2]float64{u[0] + k.spec.CPUs, u[1] + k.spec.GPUs}
			free = free.Sub(k.spec.Size())
		}
		if now >= m.boots && now >= m.hungTill && now >= m.deafTill && now >= m.muteTill && now >= m.shutTill && m.noticeAt == 0 && !m.faulty && m.token > 0 {
			hosts = append(hosts, place{m, free})
		}
	}
	for id, spec := range w.specs {
		var r jobs.Record
		item, stored := w.svc.Keys[jobs.RecordKey(id)]
		if !stored || on[id] || len(spec.Licences) > 0 || w.mistaken[id] || w.interactive[id] != nil ||
			json.Unmarshal(item.Value, &r) != nil || r.State != jobs.Pending.String() || w.allDone(id, spec.Tasks) || !w.underLimit(spec, used[spec.Team]) || !fits(spec, hosts) {
			delete(b.since, id)
			continue
		}
		at, ok := b.since[id]
		if !ok {
			b.since[id], at = now, now
		}
		if duration := now - at; duration > b.longest || duration == b.longest && id < b.job {
			b.longest, b.job = duration, id
		}
		if now-at > besideMost {
			w.fail("beside: %s waits for %v and there is room", id, now-at)
			b.since[id] = math.MaxInt64 // told once
		}
	}
}

// place is a machine that could take work, and its free room.
type place struct {
	m    *Machine
	free planner.Size
}

// fits tells whether a job could begin on some of the machines: an array or a service with one task, a gang whole.
func fits(spec *jobs.Spec, on []place) bool {
	n := 1
	if spec.Kind == jobs.Gang {
		n = spec.Tasks
	}
	zones := map[string]int32{}
	var hosts []planner.Host
	for i, p := range on {
		if !allows(spec, p.m.typ, p.m.zone, p.m.spot) {
			continue
		}
		if _, ok := zones[p.m.zone]; !ok {
			zones[p.m.zone] = int32(len(zones))
		}
		hosts = append(hosts, planner.Host{ID: int32(i), Zone: zones[p.m.zone], Free: p.free})
	}
	return planner.FirstFit(hosts, spec.Size(), n, spec.OneZone, spec.ZoneLimit()) != nil
}

// underLimit tells whether a job's tasks would keep its team within its limit.
func (w *World) underLimit(spec *jobs.Spec, used [2]float64) bool {
	n := 1.0
	if spec.Kind == jobs.Gang {
		n = float64(spec.Tasks)
	}
	for _, t := range w.cfg.Teams {
		if t.Name == spec.Team {
			return (t.CPUsMax == 0 || used[0]+n*spec.CPUs <= t.CPUsMax) && (t.GPUsMax == 0 || used[1]+n*spec.GPUs <= t.GPUsMax)
		}
	}
	return false
}
