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
	// A controller that fails maxFailedChecks health checks in a row gets no requests until it passes one.
	healthCheckInterval = time.Second
	maxFailedChecks     = 2

	// balancerStream is the stream of the load balancer's random numbers.
	balancerStream = 17

	userRetryDelay  = time.Second
	minPollInterval = 2 * time.Second
	maxPollInterval = 30 * time.Second
	// pollAgeDivisor sets the interval between two polls: this part of the job's age, within the bounds above.
	pollAgeDivisor = 10
	// finalPolls is how often a user sees a job's end: the later responses must not differ from the first.
	finalPolls = 3
)

// Delays are drawn from minJitter to minJitter + jitterRange of their length.
const (
	minJitter   = 0.75
	jitterRange = 0.5
)

// loadBalancer sends the requests of a run's users to controllers that pass its health checks. It records whether they
// were served. It belongs to the simulation's single goroutine.
type loadBalancer struct {
	sim          *simulator.Simulation
	rng          *rand.Rand
	run          *run
	openJobs     int   // submitted and not over
	failedChecks []int // in a row, by controller
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

// checkHealth checks a controller now, and again after each interval.
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

// pick draws a controller for the next request, any one where none is healthy.
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

// send sends a request to a controller and calls handle with the response; status 0: there was none.
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

// after calls a function after about the given delay.
func (b *loadBalancer) after(delay time.Duration, call func()) {
	jittered := (minJitter + jitterRange*b.rng.Float64()) * float64(delay)
	b.sim.After(time.Duration(jittered), call)
}

// user submits one job, may cancel it, and polls it until it is over. The simulation checks that no response
// contradicts an earlier one.
type user struct {
	arrival
	balancer *loadBalancer
	body     []byte // of the submission, until it is accepted

	// Times after the arrival; 0: not yet.
	acceptDelay time.Duration
	startDelay  time.Duration
	endDelay    time.Duration // until the user saw that the job is over

	hasStarted      bool
	isRefused       bool
	history         simulator.AnswerHistory
	cancelRequested bool
}

func (u *user) sinceArrival() time.Duration { return u.balancer.sim.Now() - u.at }

func (u *user) path() string { return "/v2/runs/" + u.spec.ID }

func (u *user) arrive() {
	u.body, _ = json.Marshal(u.spec)
	u.balancer.sim.RecordSubmission(u.spec)
	u.balancer.openJobs++
	u.submit()
	if u.cancel > 0 {
		u.balancer.sim.After(u.cancel, u.requestCancel)
	}
}

// submit submits the job, again until it is accepted or refused.
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

// requestCancel cancels the job, if it is accepted and not over, again until a controller responds.
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

// poll requests the job's state, again until its end was seen finalPolls times.
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
