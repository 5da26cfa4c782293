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
	callTimeout      = 5 * time.Second        // timeout of one request
	maxRetryTime     = time.Minute            // total time for the attempts of a submission or a cancellation
	submitRetry      = 300 * time.Millisecond // time between two attempts of a submission or a cancellation
	followInterval   = 400 * time.Millisecond // time between two status queries of a job
	finalAnswers     = 3                      // number of final answers after which a job is no longer polled
	checkTimeout     = 3 * time.Second        // timeout of one query of Users.Check
	checkRetry       = 100 * time.Millisecond // time between two attempts of such a query
	maxCheckAttempts = 50
	maxListedJobs    = 5 // maximum number of jobs that an error text lists
)

// Users simulates the users in a real-time simulation: they submit jobs, poll them until they end, and check that the
// answers are consistent. Its methods are safe for concurrent use.
type Users struct {
	simulation *Simulation
	client     *fasthttp.Client
	pollers    sync.WaitGroup // one goroutine for each accepted job, until the job or the simulation ends

	mu              sync.Mutex // guards the fields below
	rng             *rand.Rand
	finalStates     map[string]string // final states of the accepted jobs that have ended, by job
	openJobs        map[string]bool   // accepted jobs that haven't ended
	cancelRequested map[string]bool   // jobs that a user asked to cancel
	retries         int               // number of submissions that were repeated
}

// NewUsers returns simulated users without jobs. The seed determines the order in which they choose controllers.
func (sim *Simulation) NewUsers(seed uint64) *Users {
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

// call sends a request to a randomly drawn controller; status 0 stands for no answer.
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

// Submit submits a job and retries for up to a minute. If the job is accepted, it is polled until the job or the
// simulation ends. Submit returns the status by which the job was accepted or rejected, 0 if there was none.
func (u *Users) Submit(spec *jobs.Spec) int {
	u.simulation.RecordSubmission(spec)
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

// Cancel requests a job's cancellation and retries for up to a minute. It returns the job's state in the answer, ""
// without an answer.
func (u *Users) Cancel(job string) string {
	u.mu.Lock()
	u.cancelRequested[job] = true
	u.mu.Unlock()
	u.simulation.recordCancelRequest(userRequest{job: job, cancels: true})
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

// follow polls a job until it has ended, and then a few more times to check that its final state doesn't change.
func (u *Users) follow(spec *jobs.Spec) {
	defer u.pollers.Done()
	history := AnswerHistory{ID: spec.ID, Tasks: spec.Tasks}
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

// AnswerHistory summarizes the answers that one user received about a job.
type AnswerHistory struct {
	ID           string
	Tasks        int
	Final        string // final state received: "done", "cancelled", or "" for none yet
	FinalAnswers int    // number of answers with a final state
}

// CheckAnswer adds an answer to a history and records the rules that the answer breaks. An accepted job must not be
// lost, and its final state must not change. A job is done only if its tasks are, and it is cancelled only after a
// user requested the cancellation of the job or of one of its predecessors.
func (sim *Simulation) CheckAnswer(history *AnswerHistory, status int, state string, cancelRequested bool) {
	switch {
	case status == http.StatusNotFound:
		sim.ReportViolation("forgotten: %s is answered 404 after it was accepted", history.ID)
		return
	case status != http.StatusOK:
		return
	case history.Final != "" && state != history.Final:
		sim.ReportViolation("went_back: the final state of %s changed from %s to %s", history.ID, history.Final, state)
	}
	sim.checkDirectAnswer(history.ID, state)
	if !isFinal(state) {
		return
	}
	if history.Final == "" && state == stateDone && !sim.AllDone(history.ID, history.Tasks) {
		sim.ReportViolation("not_done: %s is answered as done with unfinished tasks", history.ID)
	}
	if state == stateCancelled && !cancelRequested && !sim.MayBeCancelled(history.ID) {
		sim.ReportViolation("went_back: %s is answered as cancelled without a cancellation request", history.ID)
	}
	history.Final = state
	history.FinalAnswers++
}

// OpenJobsError is returned when accepted jobs haven't ended within a time limit.
type OpenJobsError struct {
	Jobs  []string // in no particular order
	Limit time.Duration
}

// Error implements error.
func (e *OpenJobsError) Error() string {
	listed := e.Jobs[:min(maxListedJobs, len(e.Jobs))]
	return fmt.Sprintf("%d accepted jobs have not ended after %v: %v", len(e.Jobs), e.Limit, listed)
}

// Wait waits until all accepted jobs have ended. It returns an *OpenJobsError after the time limit.
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
	var unfinished []string
	for job := range u.openJobs {
		unfinished = append(unfinished, job)
	}
	return &OpenJobsError{Jobs: unfinished, Limit: limit}
}

// Check queries every controller about every job that has ended, and about two ids that were never submitted. It
// records the answers that differ from those that the jobs' users received.
func (u *Users) Check() {
	u.mu.Lock()
	finalStates := maps.Clone(u.finalStates)
	u.mu.Unlock()
	for i := range u.simulation.cfg.Controllers {
		for job, want := range finalStates {
			if status, state := u.query(i, job); status != http.StatusOK || state != want {
				u.simulation.ReportViolation("controller %d answers %d %q about %s, whose user received %q",
					i, status, state, job, want)
			}
		}
		for _, job := range []string{"req-999999", "req-888888"} {
			if status, _ := u.query(i, job); status != http.StatusNotFound {
				u.simulation.ReportViolation("invented: controller %d answers %d about %s, which was never submitted",
					i, status, job)
			}
		}
	}
}

// query queries one controller about a job and retries until it gets an answer; status 0 stands for no answer.
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

// Results returns the number of ended jobs by final state, and the number of submissions that were repeated.
func (u *Users) Results() (byState map[string]int, retries int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	byState = map[string]int{}
	for _, state := range u.finalStates {
		byState[state]++
	}
	return byState, u.retries
}
