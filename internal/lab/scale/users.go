package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

const (
	// maxRecordedMS is the longest duration that a histogram records, in milliseconds.
	maxRecordedMS   = 10 * 60 * 1000
	histogramDigits = 3
	millisPerSecond = 1000

	requestTimeout   = 5 * time.Second
	submitRetryDelay = 500 * time.Millisecond
	maxConnections   = 4096 // connections from all users to one controller

	// backlogFactor is the ratio of the tasks of open jobs to the task slots. It is above 1, so that tasks always
	// wait.
	backlogFactor = 1.3
	minOpenJobs   = 2
	// imageCount is the number of different images that the jobs use.
	imageCount = 20
)

// users simulates users who keep a number of jobs open. Each user submits a job, polls it until it is done, and then
// submits the next job.
type users struct {
	sim          *simulator.Simulation
	client       *fasthttp.Client
	step         Step
	pollInterval time.Duration

	mu            sync.Mutex
	rng           *rand.Rand
	lastJobNumber int                      // number of the last job that was created
	ended         int                      // number of jobs that a user saw done
	refused       int                      // number of submissions that were not accepted
	measuredFrom  time.Time                // start of the measurement; zero: not started
	acceptDelays  map[string]time.Duration // times from submission to acceptance of measured jobs, by job ID
	accepts       histogram
}

// histogram records durations in milliseconds.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRecordedMS, histogramDigits)}
}

func (h histogram) record(duration time.Duration) {
	_ = h.RecordValue(max(1, duration.Milliseconds()))
}

// seconds returns the quantile at a percentage, in seconds.
func (h histogram) seconds(percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / millisPerSecond
}

func newUsers(sim *simulator.Simulation, step Step, pollInterval time.Duration) *users {
	return &users{
		sim:          sim,
		step:         step,
		pollInterval: pollInterval,
		rng:          rand.New(rand.NewPCG(1, 2)),
		acceptDelays: map[string]time.Duration{},
		accepts:      newHistogram(),
		client: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
			MaxConnsPerHost:           maxConnections,
		},
	}
}

// openJobs returns the number of open jobs that keeps all machines of the step busy and a backlog of tasks waiting.
func (s Step) openJobs() int {
	tasks := backlogFactor * float64(s.taskSlots())
	return max(minOpenJobs, int(tasks/float64(s.TasksPerJob))+1)
}

// start starts the users. Their starts are spread over a time so that their jobs don't all end together. The users
// stop when the context ends.
func (u *users) start(ctx context.Context, spread time.Duration) {
	count := u.step.openJobs()
	for i := range count {
		go func() {
			sleep(ctx, spread*time.Duration(i)/time.Duration(count))
			for ctx.Err() == nil {
				u.runJob(ctx)
			}
		}()
	}
}

// nextSpec creates the specification of the next job to submit.
func (u *users) nextSpec() *jobs.Spec {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastJobNumber++
	return &jobs.Spec{
		ID:        fmt.Sprintf("req-%08d", u.lastJobNumber),
		Class:     "hollow",
		Team:      teamName(u.lastJobNumber % u.step.Teams),
		Kind:      jobs.Array,
		Priority:  "standard",
		Tasks:     u.step.TasksPerJob,
		CPUs:      1,
		MemoryGB:  1,
		Image:     fmt.Sprintf("image-%d", u.lastJobNumber%imageCount),
		ImageGB:   1,
		EstimateS: u.step.TaskS * (0.5 + u.rng.Float64()),
	}
}

// runJob submits a job and polls its state until the job is done or the context ends.
func (u *users) runJob(ctx context.Context) {
	spec := u.nextSpec()
	u.sim.RecordSubmission(spec)
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // can't happen: the specification comes from nextSpec
	}
	submitted := time.Now()
	if !u.submit(ctx, body) {
		return
	}
	u.noteAccepted(spec.ID, submitted)
	for ctx.Err() == nil {
		sleep(ctx, u.pollInterval)
		status, state := u.send(http.MethodGet, "/v2/runs/"+spec.ID, nil)
		if status == http.StatusOK && state == jobs.Done.String() {
			u.noteEnded()
			return
		}
	}
}

// submit submits a job and retries until the job is accepted. It returns false if the context ends first.
func (u *users) submit(ctx context.Context, body []byte) bool {
	for ctx.Err() == nil {
		status, _ := u.send(http.MethodPost, "/v2/runs", body)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		u.noteRefused()
		sleep(ctx, submitRetryDelay)
	}
	return false
}

// noteAccepted records the time to acceptance of a job that was submitted during the measurement.
func (u *users) noteAccepted(id string, submitted time.Time) {
	delay := time.Since(submitted)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.measuredFrom.IsZero() || !submitted.After(u.measuredFrom) {
		return
	}
	u.accepts.record(delay)
	u.acceptDelays[id] = delay
}

func (u *users) noteEnded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended++
}

func (u *users) noteRefused() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refused++
}

// send sends a request to a random controller. The status is 0 if there was no response.
func (u *users) send(method, path string, body []byte) (status int, jobState string) {
	u.mu.Lock()
	address := u.sim.UserAddr(u.rng.IntN(u.step.Controllers))
	u.mu.Unlock()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if u.client.DoTimeout(req, resp, requestTimeout) != nil {
		return 0, ""
	}
	var job struct {
		State string `json:"stance"`
	}
	_ = json.Unmarshal(resp.Body(), &job)
	return resp.StatusCode(), job.State
}

// userCounts holds the counts of ended jobs and of refused submissions.
type userCounts struct{ ended, refused int }

func (u *users) counts() userCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return userCounts{ended: u.ended, refused: u.refused}
}

// startMeasuring starts the measurement. The times of jobs that are submitted later are recorded.
func (u *users) startMeasuring() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.measuredFrom = time.Now()
}

// userTimes holds the times of measured jobs: accepts from submission to acceptance, waits from acceptance to the
// first start.
type userTimes struct{ accepts, waits histogram }

// times returns the times of the jobs that have been measured so far.
func (u *users) times() userTimes {
	u.mu.Lock()
	acceptDelays := maps.Clone(u.acceptDelays)
	accepts := histogram{hdrhistogram.Import(u.accepts.Export())}
	u.mu.Unlock()
	waits := newHistogram()
	for id, acceptDelay := range acceptDelays {
		if startDelay, ok := u.sim.FirstStart(id); ok {
			waits.record(startDelay - acceptDelay)
		}
	}
	return userTimes{accepts: accepts, waits: waits}
}
