package simulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// What users do that meets other troubles: they look closely, ask for odd things, and call jobs off while they run or at the
// moment of their end. All of it goes through the controllers of a simulation.

// userHabits are the users' habits now.
type userHabits struct {
	rng                *rand.Rand // of its own: what users do besides doesn't change what else is drawn
	pollBursts         bool
	oddRequests        bool
	cancelAtCompletion float64 // share of the jobs that end which are called off at that moment
	invalidJobs        int     // odd jobs so far
}

// PollBursts lets users ask at every controller, again and again within milliseconds, and repeat the submission, right after a
// job was accepted, ended or confirmed as cancelled; some then cancel it.
func (w *Simulation) SetPollBursts(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.userAnswers.habits.pollBursts = on
}

// pollBurst is what users do right after they were told something new of a job.
func (w *Simulation) pollBurst(id string) {
	w.mu.Lock()
	l := &w.userAnswers.habits
	spec := w.specs[id]
	if !l.pollBursts || spec == nil {
		w.mu.Unlock()
		return
	}
	w.stats.PollBursts++
	aborts := l.rng.Float64() < 0.15
	body, _ := json.Marshal(spec)
	type ask struct {
		at time.Duration
		to int
	}
	var all []ask
	for to := range w.cfg.Controllers {
		for _, at := range []time.Duration{0, 1, 3, 8, 20, 60, 150} {
			all = append(all, ask{(at + time.Duration(l.rng.IntN(2))) * time.Millisecond, to})
		}
	}
	at, to := time.Duration(l.rng.IntN(5))*time.Millisecond, l.rng.IntN(w.cfg.Controllers)
	w.mu.Unlock()
	nobody := func(int, []byte) {}
	for i, a := range all {
		w.env.schedule(a.at, func() {
			w.Request(a.to, "GET", "/v2/runs/"+id, nil, nobody)
			if i%3 == 0 {
				w.Request(a.to, "POST", "/v2/runs", body, nobody)
			}
		})
	}
	if aborts {
		w.env.schedule(at, func() { w.CancelJob(id, to) })
	}
}

// CancelJob lets a user cancel a job through a controller, and through others until one answers.
func (w *Simulation) CancelJob(id string, to int) {
	w.Request(to, "POST", "/v2/runs/"+id+"/abort", []byte("{}"), func(status int, _ []byte) {
		if status != 200 && status != 404 {
			w.env.schedule(time.Second, func() { w.CancelJob(id, (to+1)%w.cfg.Controllers) })
		}
	})
}

// CancelRunning lets users call off n jobs that run and have longest to go, within a fifth of a second; with hang, up to eight of
// their machines stand still that long from then on.
func (w *Simulation) CancelRunning(n int, hang time.Duration) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	left, on := map[string]time.Duration{}, map[string][]*Machine{}
	for _, machine := range w.readyMachines() {
		for _, task := range machine.tasks {
			if task.state != taskRunning || task.spec.Kind == jobs.Service {
				continue
			}
			id := task.spec.ID
			left[id] = max(left[id], seconds(task.remainingSeconds)-(now-task.runningSince))
			on[id] = append(on[id], machine)
		}
	}
	for id := range left {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		if left[a] != left[b] {
			return int(min(1, max(-1, left[b]-left[a])))
		}
		return strings.Compare(a, b)
	})
	ids = ids[:min(n, len(ids))]
	l := &w.userAnswers.habits
	hung := 0
	for _, id := range ids {
		at, to := time.Duration(l.rng.IntN(200))*time.Millisecond, l.rng.IntN(w.cfg.Controllers)
		w.env.schedule(at, func() { w.CancelJob(id, to) })
		for _, machine := range on[id] {
			if hang > 0 && hung < 8 && now >= machine.hungUntil {
				machine.hungUntil = now + hang
				hung++
				w.stats.MachinesHung++
			}
		}
	}
	w.stats.JobsCancelled += len(ids)
	return ids
}

// CancelAtCompletion lets a share of the jobs that end be called off at the moment of their end; 0 ends it.
func (w *Simulation) CancelAtCompletion(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.userAnswers.habits.cancelAtCompletion = share
}

// jobCompleted is the moment in which a job's last task has come to its end.
func (w *Simulation) jobCompleted(spec *jobs.Spec) {
	l := &w.userAnswers.habits
	if l.cancelAtCompletion == 0 || w.virtual == nil || !w.allDone(spec.ID, spec.Tasks) || l.rng.Float64() >= l.cancelAtCompletion {
		return
	}
	w.stats.JobsCancelled++
	at, to := time.Duration(l.rng.IntN(700))*time.Millisecond, l.rng.IntN(w.cfg.Controllers)
	if l.rng.IntN(2) == 0 {
		at = time.Duration(l.rng.IntN(5)) * time.Millisecond
	}
	w.env.schedule(at, func() { w.CancelJob(spec.ID, to) })
}

// SetOddRequests lets users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that fit no machine, exceed
// a limit or lack a field.
func (w *Simulation) SetOddRequests(on bool) {
	w.mu.Lock()
	was := w.userAnswers.habits.oddRequests
	w.userAnswers.habits.oddRequests = on
	w.mu.Unlock()
	if on && !was {
		w.sendOddRequest()
	}
}

// sendOddRequest sends one odd request, and the next a little later.
func (w *Simulation) sendOddRequest() {
	w.mu.Lock()
	l := &w.userAnswers.habits
	if !l.oddRequests {
		w.mu.Unlock()
		return
	}
	w.stats.OddRequests++
	to, what := l.rng.IntN(w.cfg.Controllers), l.rng.IntN(3)
	var done, open []string
	for id, t := range w.userAnswers.jobs {
		switch {
		case t.final == "done":
			done = append(done, id)
		case t.accepted && t.final == "" && w.specs[id] != nil:
			open = append(open, id)
		}
	}
	slices.Sort(done)
	slices.Sort(open)
	var body []byte
	id := ""
	switch {
	case what == 0 && len(open) > 0:
		id = open[l.rng.IntN(len(open))]
		body, _ = json.Marshal(w.specs[id])
	case what == 1 && len(done) > 0:
		id = done[l.rng.IntN(len(done))]
	default:
		what = 2
		l.invalidJobs++
		id = fmt.Sprintf("req-77%04d", l.invalidJobs)
		body = w.invalidSubmission(id, l.rng.IntN(6))
	}
	next := time.Duration(100+l.rng.IntN(400)) * time.Millisecond
	w.mu.Unlock()
	switch what {
	case 0:
		w.Request(to, "POST", "/v2/runs", body, func(int, []byte) {})
	case 1:
		w.Request(to, "POST", "/v2/runs/"+id+"/abort", []byte("{}"), func(int, []byte) {})
	default:
		w.Request(to, "POST", "/v2/runs", body, func(status int, _ []byte) {
			switch status {
			case 200, 201:
				w.ReportViolation("accepted: %s can't run: %s", id, body)
			case 400, 422:
				w.mu.Lock()
				w.stats.OddRequestsRefused++
				w.mu.Unlock()
			}
		})
	}
	w.env.schedule(next, w.sendOddRequest)
}

// invalidSubmission is a submission that no controller may accept.
func (w *Simulation) invalidSubmission(id string, how int) []byte {
	spec := &jobs.Spec{ID: id, Class: "odd", Team: w.cfg.Teams[0].Name, Kind: jobs.Array, Priority: "standard", Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 5, Spot: true}
	switch how {
	case 0:
		spec.CPUs = 1e6 // fits no machine
	case 1:
		spec.Team = "nobody"
	case 2:
		spec.Types = []string{"no-such-type"}
	case 3: // exceeds its team's limit
		spec.Kind, spec.Tasks = jobs.Gang, 90_000
	case 4:
		zone := "nowhere"
		spec.Zone = &zone
	}
	if t := w.cfg.Teams[0]; how == 3 && t.CPUsMax == 0 {
		spec.Team = "nobody"
	}
	raw, _ := json.Marshal(spec)
	if how == 5 { // lacks a field
		raw = []byte(strings.Replace(string(raw), `"hops":2,`, "", 1))
	}
	return raw
}
