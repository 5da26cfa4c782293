package lab

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

const (
	// A controller that fails maxFailedChecks consecutive health checks gets no requests until it passes a check.
	healthCheckInterval = time.Second
	maxFailedChecks     = 2

	// balancerStream is the random number stream of the load balancer.
	balancerStream = 17

	userRetryDelay  = time.Second
	minPollInterval = 2 * time.Second
	maxPollInterval = 30 * time.Second
	// pollAgeDivisor sets the interval between two polls: the job's age divided by pollAgeDivisor, but at least
	// minPollInterval and at most maxPollInterval.
	pollAgeDivisor = 10
	// finalPolls is the number of responses with the final state that a user polls for. The simulation checks that the
	// later responses don't differ from the first.
	finalPolls = 3
)

// Bounds of a random delay, as factors of its nominal length: minJitter and minJitter + jitterRange.
const (
	minJitter   = 0.75
	jitterRange = 0.5
)

// loadBalancer sends the requests of a run's users to controllers that pass its health checks, and records whether
// each request was served. It must be used from the simulation's single goroutine only.
type loadBalancer struct {
	sim          *simulator.Simulation
	rng          *rand.Rand
	run          *run
	openJobs     int   // jobs that arrived and have neither ended nor been refused
	failedChecks []int // consecutive failed health checks, by controller
}

func newLoadBalancer(sim *simulator.Simulation, observed *run, seed uint64) *loadBalancer {
	return &loadBalancer{
		sim:          sim,
		rng:          rand.New(rand.NewPCG(seed, balancerStream)),
		run:          observed,
		failedChecks: make([]int, sim.Controllers()),
	}
}

func (b *loadBalancer) startHealthChecks() {
	for controller := range b.failedChecks {
		b.checkHealth(controller)
	}
}

// checkHealth checks a controller now and then every healthCheckInterval.
func (b *loadBalancer) checkHealth(controller int) {
	b.sim.Request(controller, http.MethodGet, "/up", nil, func(status int, _ []byte) {
		if status == http.StatusOK {
			b.failedChecks[controller] = 0
		} else {
			b.failedChecks[controller]++
		}
	})
	b.sim.After(healthCheckInterval, func() { b.checkHealth(controller) })
}

// pick returns a random healthy controller, or a random one of all controllers if none is healthy.
func (b *loadBalancer) pick() int {
	var healthy []int
	for controller, failed := range b.failedChecks {
		if failed < maxFailedChecks {
			healthy = append(healthy, controller)
		}
	}
	if healthy == nil {
		return b.rng.IntN(len(b.failedChecks))
	}
	return healthy[b.rng.IntN(len(healthy))]
}

// send sends a request to a controller and calls handle with the response. The status is 0 if there was no response.
func (b *loadBalancer) send(method, path string, body []byte, handle func(status int, jobState string)) {
	at := b.sim.Now()
	b.sim.Request(b.pick(), method, path, body, func(status int, raw []byte) {
		isServed := status > 0 && status < http.StatusTooManyRequests
		b.run.requests = append(b.run.requests, request{at: at, served: isServed})
		var job struct {
			State string `json:"stance"`
		}
		_ = json.Unmarshal(raw, &job)
		handle(status, job.State)
	})
}

// after calls a function after the delay with random jitter.
func (b *loadBalancer) after(delay time.Duration, callback func()) {
	jittered := (minJitter + jitterRange*b.rng.Float64()) * float64(delay)
	b.sim.After(time.Duration(jittered), callback)
}

// user submits one job, may cancel the job, and polls its state until it ends. The simulation checks that no response
// contradicts an earlier one.
type user struct {
	arrival
	balancer *loadBalancer
	body     []byte // body of the submission; nil after the job was accepted

	// Durations since the job's arrival; 0: the event hasn't happened.
	acceptDelay time.Duration
	startDelay  time.Duration
	endDelay    time.Duration // delay until the first response with a final state

	hasStarted      bool
	isRefused       bool
	history         simulator.AnswerHistory
	cancelRequested bool
}

func (u *user) sinceArrival() time.Duration { return u.balancer.sim.Now() - u.at }

func (u *user) path() string { return "/v2/runs/" + u.spec.ID }

// arrive submits the user's job and schedules its cancellation if the job is to be cancelled.
func (u *user) arrive() {
	u.body, _ = json.Marshal(u.spec)
	u.balancer.sim.RecordSubmission(u.spec)
	u.balancer.openJobs++
	u.submit()
	if u.cancelDelay > 0 {
		u.balancer.sim.After(u.cancelDelay, u.requestCancel)
	}
}

// submit submits the job and retries until the job is accepted or refused.
func (u *user) submit() {
	u.balancer.send(http.MethodPost, "/v2/runs", u.body, func(status int, _ string) {
		switch status {
		case http.StatusOK, http.StatusCreated:
			u.acceptDelay = max(1, u.sinceArrival())
			u.body = nil
			u.history = simulator.AnswerHistory{ID: u.spec.ID, Tasks: u.spec.Tasks}
			u.balancer.after(minPollInterval, u.poll)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.isRefused = true
			u.balancer.openJobs--
		default:
			u.balancer.after(userRetryDelay, u.submit)
		}
	})
}

// requestCancel cancels the job and retries until a controller responds. It does nothing if the job is not yet
// accepted or has ended.
func (u *user) requestCancel() {
	if u.acceptDelay == 0 || u.endDelay > 0 {
		return
	}
	u.cancelRequested = true
	u.balancer.send(http.MethodPost, u.path()+"/abort", []byte("{}"), func(status int, jobState string) {
		switch {
		case status != http.StatusOK:
			u.balancer.after(userRetryDelay, u.requestCancel)
		case jobState == jobs.Cancelled.String():
			u.balancer.sim.ConfirmCancelled(u.spec.ID)
		}
	})
}

// poll requests the job's state repeatedly, until finalPolls responses had a final state.
func (u *user) poll() {
	u.balancer.send(http.MethodGet, u.path(), nil, func(status int, jobState string) {
		u.balancer.sim.CheckAnswer(&u.history, status, jobState, u.cancelRequested)
		if status == http.StatusNotFound {
			return
		}
		if u.history.FinalAnswers == 1 && u.endDelay == 0 {
			u.endDelay = u.sinceArrival()
			u.balancer.openJobs--
		}
		if u.history.FinalAnswers < finalPolls {
			interval := max(minPollInterval, min(u.sinceArrival()/pollAgeDivisor, maxPollInterval))
			u.balancer.after(interval, u.poll)
		}
	})
}
