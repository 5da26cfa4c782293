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
	simulation      *Simulation
	client          *fasthttp.Client
	pollers         sync.WaitGroup
	mu              sync.Mutex
	rng             *rand.Rand
	finalStates     map[string]string // the final answer of each accepted job
	openJobs        map[string]bool
	cancelRequested map[string]bool // cancellations
	retries         int
}

// Users makes a crowd of users.
func (w *Simulation) Users(seed uint64) *Users {
	return &Users{
		simulation: w, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		rng: rand.New(rand.NewPCG(seed, 11)), finalStates: map[string]string{}, openJobs: map[string]bool{}, cancelRequested: map[string]bool{},
	}
}

// jobView is a job as users are told of it.
type jobView struct {
	ID    string `json:"name_id"`
	State string `json:"stance"`
}

func jobStateIn(raw []byte) string {
	var v jobView
	_ = json.Unmarshal(raw, &v)
	return v.State
}

func (u *Users) anyController() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.simulation.UserAddr(u.rng.IntN(u.simulation.cfg.Controllers))
}

// call asks a controller; status 0: no answer.
func (u *Users) call(method, path string, body []byte) (int, jobView, []byte) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.SetRequestURI("http://" + u.anyController() + path)
	q.Header.SetMethod(method)
	q.SetConnectionClose()
	if body != nil {
		q.Header.SetContentType("application/json")
		q.SetBody(body)
	}
	if u.client.DoTimeout(q, p, 5*time.Second) != nil {
		return 0, jobView{}, nil
	}
	defer func() { fasthttp.ReleaseRequest(q); fasthttp.ReleaseResponse(p) }()
	var v jobView
	_ = json.Unmarshal(p.Body(), &v)
	return p.StatusCode(), v, append([]byte(nil), p.Body()...)
}

// Submit hands a job in, again for up to a minute, and then follows it until it is over or
// the world's end; it returns the first final status of the submission, 0 if none came.
func (u *Users) Submit(spec *jobs.Spec) int {
	u.simulation.AddJob(spec)
	body, _ := json.Marshal(spec)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		status, _, _ := u.call("POST", "/v2/runs", body)
		switch status {
		case 200, 201:
			u.mu.Lock()
			u.openJobs[spec.ID] = true
			u.mu.Unlock()
			u.pollers.Add(1)
			go u.follow(spec)
			return status
		case 400, 422:
			return status
		}
		u.mu.Lock()
		u.retries++
		u.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
	return 0
}

// Cancel asks for a job's end until an answer comes.
func (u *Users) Cancel(id string) string {
	u.mu.Lock()
	u.cancelRequested[id] = true
	u.mu.Unlock()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if status, v, _ := u.call("POST", "/v2/runs/"+id+"/abort", []byte("{}")); status == 200 {
			if v.State == "cancelled" {
				u.simulation.ConfirmCancelled(id)
			}
			return v.State
		}
	}
	return ""
}

// follow polls until a job is over, and once more later: what was said stays.
func (u *Users) follow(spec *jobs.Spec) {
	defer u.pollers.Done()
	h := History{ID: spec.ID, Tasks: spec.Tasks}
	for {
		select {
		case <-u.simulation.closing:
			return
		case <-time.After(400 * time.Millisecond):
		}
		status, v, _ := u.call("GET", "/v2/runs/"+spec.ID, nil)
		u.mu.Lock()
		asked := u.cancelRequested[spec.ID]
		u.mu.Unlock()
		u.simulation.CheckAnswer(&h, status, v.State, asked)
		if status == 404 {
			return
		}
		if h.FinalAnswers == 3 {
			u.mu.Lock()
			u.finalStates[spec.ID] = h.Final
			delete(u.openJobs, spec.ID)
			u.mu.Unlock()
			return
		}
	}
}

// History is what one user was told of a job.
type History struct {
	ID           string
	Tasks        int
	Final        string // "done" or "cancelled", once it was told
	FinalAnswers int    // how often that was
}

// CheckAnswer adds an answer to a history, and notes the rules that don't hold by it: what was accepted is not
// forgotten, what is final never changes, done is what is done, and cancelled what somebody asked to be.
func (w *Simulation) CheckAnswer(history *History, status int, stance string, asked bool) {
	switch {
	case status == 404:
		w.ReportViolation("forgotten: %s", history.ID)
	case status != 200:
		return
	case history.Final != "" && stance != history.Final:
		w.ReportViolation("went_back: %s was %s and is %s", history.ID, history.Final, stance)
	}
	if status != 200 || (stance != "done" && stance != "cancelled") {
		return
	}
	if history.Final == "" && stance == "done" && !w.AllDone(history.ID, history.Tasks) {
		w.ReportViolation("not_done: %s is called done", history.ID)
	}
	if stance == "cancelled" && !asked && !w.CancelRequested(history.ID) {
		w.ReportViolation("went_back: %s is called cancelled, and nobody asked for it", history.ID)
	}
	history.Final = stance
	history.FinalAnswers++
}

// ReportViolation notes that a rule did not hold, as a user saw it.
func (w *Simulation) ReportViolation(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violate(format, a...)
}

// Wait waits until all accepted jobs are over, and says which are not after a time.
func (u *Users) Wait(duration time.Duration) error {
	done := make(chan struct{})
	go func() { u.pollers.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-time.After(duration):
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var ids []string
	for id := range u.openJobs {
		ids = append(ids, id)
	}
	return fmt.Errorf("%d jobs are not over after %v: %v", len(ids), duration, ids[:min(5, len(ids))])
}

// Check asks every controller about every job that is over, and about jobs that nobody
// submitted: all must say the same.
func (u *Users) Check() {
	u.mu.Lock()
	final := maps.Clone(u.finalStates)
	u.mu.Unlock()
	ask := func(i int, id string) (int, string) {
		for range 50 {
			if status, body, err := u.client.GetTimeout(nil, "http://"+u.simulation.UserAddr(i)+"/v2/runs/"+id, 3*time.Second); err == nil && status < 429 {
				var v jobView
				_ = json.Unmarshal(body, &v)
				return status, v.State
			}
			time.Sleep(100 * time.Millisecond)
		}
		return 0, ""
	}
	for i := range u.simulation.cfg.Controllers {
		for id, want := range final {
			if status, stance := ask(i, id); status != 200 || stance != want {
				u.simulation.ReportViolation("controller %d says %d %q of %s, its user was told %q", i, status, stance, id, want)
			}
		}
		for _, id := range []string{"req-999999", "req-888888"} {
			if status, _ := ask(i, id); status != 404 {
				u.simulation.ReportViolation("invented: controller %d says %d of %s", i, status, id)
			}
		}
	}
}

// Results counts the jobs by their final answer; refused is how many requests had to be repeated.
func (u *Users) Results() (byAnswer map[string]int, refused int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	byAnswer = map[string]int{}
	for _, a := range u.finalStates {
		byAnswer[a]++
	}
	return byAnswer, u.retries
}
