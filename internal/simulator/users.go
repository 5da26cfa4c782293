package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	callTimeout      = 5 * time.Second
	maxRetryTime     = time.Minute // of a submission or a cancellation
	submitRetry      = 300 * time.Millisecond
	followInterval   = 400 * time.Millisecond
	finalAnswers     = 3 // after which a job is no longer followed
	checkTimeout     = 3 * time.Second
	checkRetry       = 100 * time.Millisecond
	maxCheckAttempts = 50
	maxListedJobs    = 5 // in an error
)

// Users submit jobs in real time, follow them to their end, and check that no answer contradicts another. Its
// methods are safe for concurrent use.
type Users struct {
	simulation *Simulation
	client     *fasthttp.Client
	pollers    sync.WaitGroup // a goroutine for each accepted job, until its end or the simulation's

	mu              sync.Mutex // guards all that follows
	rng             *rand.Rand
	finalStates     map[string]string // by accepted job that ended
	openJobs        map[string]bool   // accepted, not ended
	cancelRequested map[string]bool
	retries         int
}

// Users returns users that have submitted nothing yet.
func (sim *Simulation) Users(seed uint64) *Users {
	return &Users{
		simulation:      sim,
		client:          newUserClient(),
		rng:             rand.New(rand.NewPCG(seed, userStream)),
		finalStates:     map[string]string{},
		openJobs:        map[string]bool{},
		cancelRequested: map[string]bool{},
	}
}

func (u *Users) anyController() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.simulation.UserAddr(u.rng.IntN(u.simulation.cfg.Controllers))
}

// call sends a request to any controller; status 0 stands for no answer.
func (u *Users) call(method, path string, body []byte) (status int, view jobView) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + u.anyController() + path)
	request.Header.SetMethod(method)
	request.SetConnectionClose()
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if u.client.DoTimeout(request, response, callTimeout) != nil {
		return 0, jobView{}
	}
	_ = json.Unmarshal(response.Body(), &view)
	return response.StatusCode(), view
}

// Submit submits a job, again for up to a minute, and then follows it until it has ended or the simulation has. It
// returns the first final status of the submission, 0 if there was none.
func (u *Users) Submit(spec *jobs.Spec) int {
	u.simulation.AddJob(spec)
	body, _ := json.Marshal(spec)
	for end := time.Now().Add(maxRetryTime); time.Now().Before(end); time.Sleep(submitRetry) {
		status, _ := u.call(http.MethodPost, runsPath, body)
		switch status {
		case http.StatusOK, http.StatusCreated:
			u.accepted(spec)
			return status
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return status
		}
		u.mu.Lock()
		u.retries++
		u.mu.Unlock()
	}
	return 0
}

func (u *Users) accepted(spec *jobs.Spec) {
	u.mu.Lock()
	u.openJobs[spec.ID] = true
	u.mu.Unlock()
	u.pollers.Add(1)
	go u.follow(spec)
}

// Cancel asks for a job's cancellation, again for up to a minute. It returns the job's state in the answer, "" if
// there was none.
func (u *Users) Cancel(job string) string {
	u.mu.Lock()
	u.cancelRequested[job] = true
	u.mu.Unlock()
	u.simulation.noteCancelRequest(userRequest{job: job, cancels: true})
	for end := time.Now().Add(maxRetryTime); time.Now().Before(end); time.Sleep(submitRetry) {
		status, view := u.call(http.MethodPost, runsPath+"/"+job+abortSuffix, emptyBody)
		if status != http.StatusOK {
			continue
		}
		if view.State == stateCancelled {
			u.simulation.ConfirmCancelled(job)
		}
		return view.State
	}
	return ""
}

// follow polls a job until it has ended, and some times more: its final state has to stay.
func (u *Users) follow(spec *jobs.Spec) {
	defer u.pollers.Done()
	history := History{ID: spec.ID, Tasks: spec.Tasks}
	for {
		select {
		case <-u.simulation.closing:
			return
		case <-time.After(followInterval):
		}
		status, view := u.call(http.MethodGet, runsPath+"/"+spec.ID, nil)
		u.mu.Lock()
		cancelRequested := u.cancelRequested[spec.ID]
		u.mu.Unlock()
		u.simulation.CheckAnswer(&history, status, view.State, cancelRequested)
		if status == http.StatusNotFound {
			return
		}
		if history.FinalAnswers == finalAnswers {
			u.mu.Lock()
			u.finalStates[spec.ID] = history.Final
			delete(u.openJobs, spec.ID)
			u.mu.Unlock()
			return
		}
	}
}

// History is the answers that one user received about a job.
type History struct {
	ID           string
	Tasks        int
	Final        string // "done" or "cancelled", once it was received
	FinalAnswers int    // how often it was
}

// CheckAnswer adds an answer to a history and records the rules that don't hold by it: an accepted job isn't
// forgotten, a final state never changes, a job is only done when its tasks are, and only cancelled when somebody
// asked to cancel it or a job before it.
func (sim *Simulation) CheckAnswer(history *History, status int, state string, cancelRequested bool) {
	switch {
	case status == http.StatusNotFound:
		sim.ReportViolation("forgotten: %s", history.ID)
		return
	case status != http.StatusOK:
		return
	case history.Final != "" && state != history.Final:
		sim.ReportViolation("went_back: %s was %s and is %s", history.ID, history.Final, state)
	}
	sim.checkDirectAnswer(history.ID, state)
	if !isFinal(state) {
		return
	}
	if history.Final == "" && state == stateDone && !sim.AllDone(history.ID, history.Tasks) {
		sim.ReportViolation("not_done: %s is called done", history.ID)
	}
	if state == stateCancelled && !cancelRequested && !sim.MayBeCancelled(history.ID) {
		sim.ReportViolation("went_back: %s is called cancelled, and nobody asked for it", history.ID)
	}
	history.Final = state
	history.FinalAnswers++
}

// OpenJobsError is returned when accepted jobs haven't ended within a time limit.
type OpenJobsError struct {
	Jobs  []string // in no order
	Limit time.Duration
}

// Error implements error.
func (e *OpenJobsError) Error() string {
	listed := e.Jobs[:min(maxListedJobs, len(e.Jobs))]
	return fmt.Sprintf("%d jobs are not over after %v: %v", len(e.Jobs), e.Limit, listed)
}

// Wait waits until all accepted jobs have ended. After a time limit it returns an *OpenJobsError.
func (u *Users) Wait(limit time.Duration) error {
	done := make(chan struct{})
	go func() {
		u.pollers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(limit):
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var open []string
	for job := range u.openJobs {
		open = append(open, job)
	}
	return &OpenJobsError{Jobs: open, Limit: limit}
}

// Check queries every controller about every job that has ended, and about jobs that nobody submitted, and records
// the answers that differ from what their users received.
func (u *Users) Check() {
	u.mu.Lock()
	finalStates := maps.Clone(u.finalStates)
	u.mu.Unlock()
	for i := range u.simulation.cfg.Controllers {
		for job, want := range finalStates {
			if status, state := u.query(i, job); status != http.StatusOK || state != want {
				u.simulation.ReportViolation("controller %d answers %d %q about %s, its user received %q",
					i, status, state, job, want)
			}
		}
		for _, job := range []string{"req-999999", "req-888888"} {
			if status, _ := u.query(i, job); status != http.StatusNotFound {
				u.simulation.ReportViolation("invented: controller %d answers %d about %s", i, status, job)
			}
		}
	}
}

// query asks one controller about a job until it is answered; status 0 stands for no answer.
func (u *Users) query(controller int, job string) (status int, state string) {
	target := "http://" + u.simulation.UserAddr(controller) + runsPath + "/" + job
	for range maxCheckAttempts {
		status, body, err := u.client.GetTimeout(nil, target, checkTimeout)
		if err == nil && status < http.StatusTooManyRequests {
			return status, jobStateIn(body)
		}
		time.Sleep(checkRetry)
	}
	return 0, ""
}

// Results counts the ended jobs by their final state, and the requests that had to be repeated.
func (u *Users) Results() (byState map[string]int, retries int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	byState = map[string]int{}
	for _, state := range u.finalStates {
		byState[state]++
	}
	return byState, u.retries
}
