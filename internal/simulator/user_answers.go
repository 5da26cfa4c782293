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

// jobAnswers is what users were told of one job.
type jobAnswers struct {
	accepted   bool
	acceptedAt time.Duration
	final      string // "done" or "cancelled"
	finalAt    time.Duration
}

// userAnswers are what users were told, and who asked for what.
type userAnswers struct {
	jobs            map[string]*jobAnswers
	cancelRequested map[string]bool // jobs that somebody asked to cancel
	habits          userHabits
}

// userRequest is what a user's request is about.
type userRequest struct {
	id                        string
	submits, queries, cancels bool
}

// parseUserRequest reads a user's request; false: it isn't about the stance of one job.
func parseUserRequest(method, path string, body []byte) (request userRequest, ok bool) {
	rest, runs := strings.CutPrefix(path, "/v2/runs")
	switch {
	case !runs:
		return request, false
	case method == "POST" && rest == "":
		var v jobView
		_ = json.Unmarshal(body, &v)
		return userRequest{id: v.ID, submits: true}, v.ID != ""
	case method == "POST" && strings.HasSuffix(rest, "/abort"):
		return userRequest{id: strings.TrimSuffix(rest[1:], "/abort"), cancels: true}, true
	case method == "GET" && len(rest) > 1 && !strings.Contains(rest[1:], "/"):
		return userRequest{id: rest[1:], queries: true}, true
	}
	return request, false
}

// CancelRequested tells whether any user has asked to cancel a job.
func (w *Simulation) CancelRequested(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.userAnswers.cancelRequested[id]
}

// noteCancelRequest notes a request for a job's end as it goes out.
func (w *Simulation) noteCancelRequest(request userRequest) {
	if request.cancels {
		w.mu.Lock()
		w.userAnswers.cancelRequested[request.id] = true
		w.mu.Unlock()
	}
}

// checkUserAnswer holds an answer against what users had been told when its request was sent, and adds it to that.
func (w *Simulation) checkUserAnswer(request userRequest, sent time.Duration, status int, raw []byte) {
	stance := jobStateIn(raw)
	w.mu.Lock()
	t := w.userAnswers.jobs[request.id]
	if t == nil {
		t = &jobAnswers{}
		w.userAnswers.jobs[request.id] = t
	}
	switch known := t.accepted && t.acceptedAt < sent; {
	case known && status == 404 && !request.submits:
		w.violate("forgotten: %s is answered 404 after it was accepted", request.id)
	case known && request.submits && (status == 400 || status == 422):
		w.violate("forgotten: a repeated submission of %s is answered %d", request.id, status)
	}
	if status != 200 && status != 201 {
		w.mu.Unlock()
		return
	}
	final := stance == "done" || stance == "cancelled"
	switch {
	case t.final != "" && final && stance != t.final:
		w.violate("went_back: %s was %s and is %s", request.id, t.final, stance)
	case t.final != "" && !final && t.finalAt < sent:
		w.violate("went_back: %s was %s and is %s", request.id, t.final, stance)
	}
	if spec := w.specs[request.id]; request.submits && !t.accepted && spec != nil && !w.canRun(spec) {
		w.violate("accepted: %s can't run", request.id)
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
		w.ConfirmCancelled(request.id)
	}
	if first {
		w.pollBurst(request.id)
	}
}

// canRun judges a job by the protocol: its team is known, a task fits an allowed type, and it needs no more than its team's limit.
func (w *Simulation) canRun(spec *jobs.Spec) bool {
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
	return team && slices.ContainsFunc(w.cfg.Types, func(t MachineType) bool { return allows(spec, t, "", false) && spec.Size().Fits(t.Size()) })
}

// allows tells whether a job's tasks may be on a kind of machine; zone "" is any of the type's.
func allows(spec *jobs.Spec, t MachineType, zone string, spot bool) bool {
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

// maxIdleWait is how long that may be.
const maxIdleWait = 90 * time.Second

// idleCapacityWatch is since when each job has waited beside room.
type idleCapacityWatch struct {
	since   map[string]time.Duration
	longest time.Duration
	job     string // that waited so
}

// WatchIdleCapacity says that all troubles are over: from now on no job may wait beside room. It returns how long any has at most, and which.
// It is for simulations.
func (w *Simulation) WatchIdleCapacity() func() (time.Duration, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &idleCapacityWatch{since: map[string]time.Duration{}}
	var look func()
	look = func() {
		w.mu.Lock()
		w.checkIdleCapacity(b)
		w.mu.Unlock()
		w.env.schedule(time.Second, look)
	}
	w.env.schedule(time.Second, look)
	return func() (time.Duration, string) { return b.longest, b.job }
}

func (w *Simulation) checkIdleCapacity(b *idleCapacityWatch) {
	now := w.now()
	on, used := map[string]bool{}, map[string][2]float64{}
	var hosts []candidateMachine
	for _, machine := range w.machines {
		if machine.dead {
			continue
		}
		free := machine.machineType.Size()
		for _, task := range machine.tasks {
			if task.state == taskExited {
				continue
			}
			on[task.spec.ID] = true
			u := used[task.spec.Team]
			used[task.spec.Team] = [2]float64{u[0] + task.spec.CPUs, u[1] + task.spec.GPUs}
			free = free.Sub(task.spec.Size())
		}
		if now >= machine.upAt && now >= machine.hungUntil && now >= machine.inboundLostUntil && now >= machine.outboundLostUntil && now >= machine.outboundRefusedUntil && machine.noticeAt == 0 && !machine.faulty && machine.token > 0 {
			hosts = append(hosts, candidateMachine{machine, free})
		}
	}
	for id, spec := range w.specs {
		var r jobs.Record
		item, stored := w.stateService.Keys[jobs.RecordKey(id)]
		if !stored || on[id] || len(spec.Licences) > 0 || w.failingJobs[id] || w.sessions[id] != nil ||
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
		if now-at > maxIdleWait {
			w.violate("beside: %s waits for %v and there is room", id, now-at)
			b.since[id] = math.MaxInt64 // told once
		}
	}
}

// candidateMachine is a machine that could take work, and its free room.
type candidateMachine struct {
	machine *Machine
	free    planner.Size
}

// fits tells whether a job could begin on some of the machines: an array or a service with one task, a gang whole.
func fits(spec *jobs.Spec, on []candidateMachine) bool {
	n := 1
	if spec.Kind == jobs.Gang {
		n = spec.Tasks
	}
	zones := map[string]int32{}
	var hosts []planner.Host
	for i, p := range on {
		if !allows(spec, p.machine.machineType, p.machine.zone, p.machine.spot) {
			continue
		}
		if _, ok := zones[p.machine.zone]; !ok {
			zones[p.machine.zone] = int32(len(zones))
		}
		hosts = append(hosts, planner.Host{ID: int32(i), Zone: zones[p.machine.zone], Free: p.free})
	}
	return planner.FirstFit(hosts, spec.Size(), n, spec.OneZone, spec.ZoneLimit()) != nil
}

// underLimit tells whether a job's tasks would keep its team within its limit.
func (w *Simulation) underLimit(spec *jobs.Spec, used [2]float64) bool {
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
