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

// looks are the users' habits now.
type looks struct {
	rng   *rand.Rand // of its own: what users do besides doesn't change what else is drawn
	close bool
	odd   bool
	atEnd float64 // share of the jobs that end which are called off at that moment
	n     int     // odd jobs so far
}

// CloseLooks lets users ask at every controller, again and again within milliseconds, and repeat the submission, right after a
// job was accepted, ended or confirmed as cancelled; some then cancel it.
func (w *World) CloseLooks(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers.looks.close = on
}

// look is what users do right after they were told something new of a job.
func (w *World) look(id string) {
	w.mu.Lock()
	l := &w.answers.looks
	spec := w.specs[id]
	if !l.close || spec == nil {
		w.mu.Unlock()
		return
	}
	w.stats.CloseLooks++
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
		w.ground.after(a.at, func() {
			w.Ask(a.to, "GET", "/v2/runs/"+id, nil, nobody)
			if i%3 == 0 {
				w.Ask(a.to, "POST", "/v2/runs", body, nobody)
			}
		})
	}
	if aborts {
		w.ground.after(at, func() { w.CallOff(id, to) })
	}
}

// CallOff lets a user cancel a job through a controller, and through others until one answers.
func (w *World) CallOff(id string, to int) {
	w.Ask(to, "POST", "/v2/runs/"+id+"/abort", []byte("{}"), func(status int, _ []byte) {
		if status != 200 && status != 404 {
			w.ground.after(time.Second, func() { w.CallOff(id, (to+1)%w.cfg.Controllers) })
		}
	})
}

// CancelNow lets users call off n jobs that run and have longest to go, within a fifth of a second; with hang, up to eight of
// their machines stand still that long from then on.
func (w *World) CancelNow(n int, hang time.Duration) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	left, on := map[string]time.Duration{}, map[string][]*Machine{}
	for _, m := range w.up() {
		for _, k := range m.tasks {
			if k.state != running || k.spec.Kind == jobs.Service {
				continue
			}
			id := k.spec.ID
			left[id] = max(left[id], seconds(k.work)-(now-k.since))
			on[id] = append(on[id], m)
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
	l := &w.answers.looks
	hung := 0
	for _, id := range ids {
		at, to := time.Duration(l.rng.IntN(200))*time.Millisecond, l.rng.IntN(w.cfg.Controllers)
		w.ground.after(at, func() { w.CallOff(id, to) })
		for _, m := range on[id] {
			if hang > 0 && hung < 8 && now >= m.hungTill {
				m.hungTill = now + hang
				hung++
				w.stats.Hung++
			}
		}
	}
	w.stats.CalledOff += len(ids)
	return ids
}

// CancelAtEnd lets a share of the jobs that end be called off at the moment of their end; 0 ends it.
func (w *World) CancelAtEnd(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers.looks.atEnd = share
}

// ends is the moment in which a job's last task has come to its end.
func (w *World) ends(spec *jobs.Spec) {
	l := &w.answers.looks
	if l.atEnd == 0 || w.sim == nil || !w.allDone(spec.ID, spec.Tasks) || l.rng.Float64() >= l.atEnd {
		return
	}
	w.stats.CalledOff++
	at, to := time.Duration(l.rng.IntN(700))*time.Millisecond, l.rng.IntN(w.cfg.Controllers)
	if l.rng.IntN(2) == 0 {
		at = time.Duration(l.rng.IntN(5)) * time.Millisecond
	}
	w.ground.after(at, func() { w.CallOff(spec.ID, to) })
}

// OddRequests lets users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that fit no machine, exceed
// a limit or lack a field.
func (w *World) OddRequests(on bool) {
	w.mu.Lock()
	was := w.answers.looks.odd
	w.answers.looks.odd = on
	w.mu.Unlock()
	if on && !was {
		w.odd()
	}
}

// odd sends one odd request, and the next a little later.
func (w *World) odd() {
	w.mu.Lock()
	l := &w.answers.looks
	if !l.odd {
		w.mu.Unlock()
		return
	}
	w.stats.Odd++
	to, what := l.rng.IntN(w.cfg.Controllers), l.rng.IntN(3)
	var done, open []string
	for id, t := range w.answers.jobs {
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
		l.n++
		id = fmt.Sprintf("req-77%04d", l.n)
		body = w.wrong(id, l.rng.IntN(6))
	}
	next := time.Duration(100+l.rng.IntN(400)) * time.Millisecond
	w.mu.Unlock()
	switch what {
	case 0:
		w.Ask(to, "POST", "/v2/runs", body, func(int, []byte) {})
	case 1:
		w.Ask(to, "POST", "/v2/runs/"+id+"/abort", []byte("{}"), func(int, []byte) {})
	default:
		w.Ask(to, "POST", "/v2/runs", body, func(status int, _ []byte) {
			switch status {
			case 200, 201:
				w.Break("accepted: %s can't run: %s", id, body)
			case 400, 422:
				w.mu.Lock()
				w.stats.Refused++
				w.mu.Unlock()
			}
		})
	}
	w.ground.after(next, w.odd)
}

// wrong is a submission that no controller may accept.
func (w *World) wrong(id string, how int) []byte {
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
