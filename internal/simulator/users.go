package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Users submit jobs, follow them to their end and watch that no answer contradicts another.
type Users struct {
	w      *World
	client *fasthttp.Client
	wait   sync.WaitGroup
	mu     sync.Mutex
	rng    *rand.Rand
	final  map[string]string // the final answer of each accepted job
	open   map[string]bool
	asked  map[string]bool // cancellations
	refuse int
}

// Users makes a crowd of users.
func (w *World) Users(seed uint64) *Users {
	return &Users{
		w: w, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		rng: rand.New(rand.NewPCG(seed, 11)), final: map[string]string{}, open: map[string]bool{}, asked: map[string]bool{},
	}
}

// view is a job as users are told of it.
type view struct {
	ID     string `json:"name_id"`
	Stance string `json:"stance"`
}

func stanceOf(raw []byte) string {
	var v view
	_ = json.Unmarshal(raw, &v)
	return v.Stance
}

func (u *Users) somebody() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.w.Public(u.rng.IntN(u.w.cfg.Controllers))
}

// call asks a controller; status 0: no answer.
func (u *Users) call(method, path string, body []byte) (int, view, []byte) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.SetRequestURI("http://" + u.somebody() + path)
	q.Header.SetMethod(method)
	q.SetConnectionClose()
	if body != nil {
		q.Header.SetContentType("application/json")
		q.SetBody(body)
	}
	if u.client.DoTimeout(q, p, 5*time.Second) != nil {
		return 0, view{}, nil
	}
	defer func() { fasthttp.ReleaseRequest(q); fasthttp.ReleaseResponse(p) }()
	var v view
	_ = json.Unmarshal(p.Body(), &v)
	return p.StatusCode(), v, append([]byte(nil), p.Body()...)
}

// Submit hands a job in, again for up to a minute, and then follows it until it is over or
// the world's end; it returns the first final status of the submission, 0 if none came.
func (u *Users) Submit(spec *jobs.Spec) int {
	u.w.Know(spec)
	body, _ := json.Marshal(spec)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		status, _, _ := u.call("POST", "/v2/runs", body)
		switch status {
		case 200, 201:
			u.mu.Lock()
			u.open[spec.ID] = true
			u.mu.Unlock()
			u.wait.Add(1)
			go u.follow(spec)
			return status
		case 400, 422:
			return status
		}
		u.mu.Lock()
		u.refuse++
		u.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
	return 0
}

// Cancel asks for a job's end until an answer comes.
func (u *Users) Cancel(id string) string {
	u.mu.Lock()
	u.asked[id] = true
	u.mu.Unlock()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if status, v, _ := u.call("POST", "/v2/runs/"+id+"/abort", []byte("{}")); status == 200 {
			if v.Stance == "cancelled" {
				u.w.Cancelled(id)
			}
			return v.Stance
		}
	}
	return ""
}

// follow polls until a job is over, and once more later: what was said stays.
func (u *Users) follow(spec *jobs.Spec) {
	defer u.wait.Done()
	h := History{ID: spec.ID, Tasks: spec.Tasks}
	for {
		select {
		case <-u.w.stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		status, v, _ := u.call("GET", "/v2/runs/"+spec.ID, nil)
		u.mu.Lock()
		asked := u.asked[spec.ID]
		u.mu.Unlock()
		u.w.Heard(&h, status, v.Stance, asked)
		if status == 404 {
			return
		}
		if h.Times == 3 {
			u.mu.Lock()
			u.final[spec.ID] = h.Final
			delete(u.open, spec.ID)
			u.mu.Unlock()
			return
		}
	}
}

// History is what one user was told of a job.
type History struct {
	ID    string
	Tasks int
	Final string // "done" or "cancelled", once it was told
	Times int    // how often that was
}

// Heard adds an answer to a history, and notes the rules that don't hold by it: what was accepted is not
// forgotten, what is final never changes, done is what is done, and cancelled what somebody asked to be.
func (w *World) Heard(h *History, status int, stance string, asked bool) {
	switch {
	case status == 404:
		w.Break("forgotten: %s", h.ID)
	case status != 200:
		return
	case h.Final != "" && stance != h.Final:
		w.Break("went_back: %s was %s and is %s", h.ID, h.Final, stance)
	}
	if status != 200 || (stance != "done" && stance != "cancelled") {
		return
	}
	if h.Final == "" && stance == "done" && !w.AllDone(h.ID, h.Tasks) {
		w.Break("not_done: %s is called done", h.ID)
	}
	if stance == "cancelled" && !asked && !w.AskedToEnd(h.ID) {
		w.Break("went_back: %s is called cancelled, and nobody asked for it", h.ID)
	}
	h.Final = stance
	h.Times++
}

// Break notes that a rule did not hold, as a user saw it.
func (w *World) Break(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail(format, a...)
}

// Wait waits until all accepted jobs are over, and says which are not after a time.
func (u *Users) Wait(duration time.Duration) error {
	done := make(chan struct{})
	go func() { u.wait.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-time.After(duration):
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var ids []string
	for id := range u.open {
		ids = append(ids, id)
	}
	return fmt.Errorf("%d jobs are not over after %v: %v", len(ids), duration, ids[:min(5, len(ids))])
}

// Check asks every controller about every job that is over, and about jobs that nobody
// submitted: all must say the same.
func (u *Users) Check() {
	u.mu.Lock()
	final := maps.Clone(u.final)
	u.mu.Unlock()
	ask := func(i int, id string) (int, string) {
		for range 50 {
			if status, body, err := u.client.GetTimeout(nil, "http://"+u.w.Public(i)+"/v2/runs/"+id, 3*time.Second); err == nil && status < 429 {
				var v view
				_ = json.Unmarshal(body, &v)
				return status, v.Stance
			}
			time.Sleep(100 * time.Millisecond)
		}
		return 0, ""
	}
	for i := range u.w.cfg.Controllers {
		for id, want := range final {
			if status, stance := ask(i, id); status != 200 || stance != want {
				u.w.Break("controller %d says %d %q of %s, its user was told %q", i, status, stance, id, want)
			}
		}
		for _, id := range []string{"req-999999", "req-888888"} {
			if status, _ := ask(i, id); status != 404 {
				u.w.Break("invented: controller %d says %d of %s", i, status, id)
			}
		}
	}
}

// Final counts the jobs by their final answer; refused is how many requests had to be repeated.
func (u *Users) Final() (byAnswer map[string]int, refused int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	byAnswer = map[string]int{}
	for _, a := range u.final {
		byAnswer[a]++
	}
	return byAnswer, u.refuse
}
