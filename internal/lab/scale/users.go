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
	// maxRecordedMS bounds the times of a histogram, which holds them in milliseconds.
	maxRecordedMS   = 10 * 60 * 1000
	histogramDigits = 3
	millisPerSecond = 1000

	requestTimeout   = 5 * time.Second
	submitRetryDelay = 500 * time.Millisecond
	maxConnections   = 4096 // of the users to a controller

	// backlogFactor is by how much the tasks of open jobs exceed the task slots, so that work always waits.
	backlogFactor = 1.3
	minOpenJobs   = 2
	// imageCount is how many images the jobs use.
	imageCount = 20
)

// users keep a number of jobs open: each user submits a job, polls it until it is done, and submits the next one.
type users struct {
	sim          *simulator.Simulation
	client       *fasthttp.Client
	step         Step
	pollInterval time.Duration

	mu           sync.Mutex
	rng          *rand.Rand
	lastJob      int // number of the last job
	ended        int // jobs
	refused      int // submissions
	measuredFrom time.Time
	acceptDelays map[string]time.Duration // of measured jobs, from submission to acceptance
	accepts      histogram
}

// histogram holds times in milliseconds.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRecordedMS, histogramDigits)}
}

func (h histogram) record(duration time.Duration) {
	_ = h.RecordValue(max(1, duration.Milliseconds()))
}

// seconds returns a quantile in seconds.
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

// openJobs returns how many jobs keep all machines of a step busy, with work that waits.
func (s Step) openJobs() int {
	tasks := backlogFactor * float64(s.taskSlots())
	return max(minOpenJobs, int(tasks/float64(s.TasksPerJob))+1)
}

// start starts the users, spread over a time so that their jobs don't end together. They end with the context.
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

// nextSpec returns the next job to submit.
func (u *users) nextSpec() *jobs.Spec {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastJob++
	return &jobs.Spec{
		ID:        fmt.Sprintf("req-%08d", u.lastJob),
		Class:     "hollow",
		Team:      teamName(u.lastJob % u.step.Teams),
		Kind:      jobs.Array,
		Priority:  "standard",
		Tasks:     u.step.TasksPerJob,
		CPUs:      1,
		MemoryGB:  1,
		Image:     fmt.Sprintf("image-%d", u.lastJob%imageCount),
		ImageGB:   1,
		EstimateS: u.step.TaskS * (0.5 + u.rng.Float64()),
	}
}

// runJob submits a job and polls it until it is done, or until the context ends.
func (u *users) runJob(ctx context.Context) {
	spec := u.nextSpec()
	u.sim.RecordSubmission(spec)
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a job of this package's own making
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

// submit submits a job until it is accepted. It returns false if the context ended before.
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

// send sends a request to a random controller; status 0: there was no response.
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

// userCounts is what users have counted so far.
type userCounts struct{ ended, refused int }

func (u *users) counts() userCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return userCounts{ended: u.ended, refused: u.refused}
}

// startMeasuring measures the times of jobs that are submitted from now on.
func (u *users) startMeasuring() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.measuredFrom = time.Now()
}

// userTimes are the times of measured jobs: from submission to acceptance, and from there to the first start.
type userTimes struct{ accepts, waits histogram }

// times returns the times of the jobs that were measured so far.
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
