package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

// users keep a number of jobs under way: whoever sees a job done hands in the next. They count what they were answered.
type users struct {
	w      *simulator.Simulation
	client *fasthttp.Client
	step   Step
	pollS  float64
	wait   sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	next     int
	accepted int
	ended    int
	refused  int
	from     time.Time                // waits and acceptances count from then on
	took     map[string]time.Duration // from submission to acceptance, of jobs that count
	waits    *hdrhistogram.Histogram
	accepts  *hdrhistogram.Histogram
}

// Histograms hold milliseconds.
const (
	mostMS   = 10 * 60 * 1000
	digits   = 3
	retryFor = 500 * time.Millisecond
	askFor   = 5 * time.Second
)

func newUsers(sim *simulator.Simulation, step Step, pollS float64) *users {
	return &users{
		w: sim, step: step, pollS: pollS, took: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(1, 2)),
		client:  &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, MaxConnsPerHost: 4096},
		waits:   hdrhistogram.New(1, mostMS, digits),
		accepts: hdrhistogram.New(1, mostMS, digits),
	}
}

// jobsUnderWay is how many jobs keep all machines of a step busy, and some more, so that work always waits.
func (s Step) jobsUnderWay() int {
	const more = 1.3
	return max(2, int(more*float64(s.Machines*s.TasksPerMachine)/float64(s.TasksPerJob))+1)
}

// start lets the users begin, spread over a time so that their jobs don't end together.
func (u *users) start(ctx context.Context, spread time.Duration) {
	n := u.step.jobsUnderWay()
	for i := range n {
		u.wait.Add(1)
		go func() {
			defer u.wait.Done()
			sleep(ctx, spread*time.Duration(i)/time.Duration(n))
			for ctx.Err() == nil {
				u.one(ctx)
			}
		}()
	}
}

// sleep waits, or less if the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// teamName names a team by its number.
func teamName(i int) string { return fmt.Sprintf("team-%04d", i) }

// spec makes the next job.
func (u *users) spec() *jobs.Spec {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next++
	seconds := u.step.TaskS * (0.5 + u.rng.Float64())
	return &jobs.Spec{
		ID: fmt.Sprintf("req-%08d", u.next), Class: "hollow", Team: teamName(u.next % u.step.Teams), Kind: jobs.Array, Priority: "standard",
		Tasks: u.step.TasksPerJob, CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("image-%d", u.next%images), ImageGB: 1, EstimateS: seconds, Spot: false,
	}
}

// images is how many images the jobs need.
const images = 20

// one hands in a job and follows it to its end.
func (u *users) one(ctx context.Context) {
	spec := u.spec()
	u.w.AddJob(spec)
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a job of this package's own making
	}
	sent := time.Now()
	for {
		if ctx.Err() != nil {
			return
		}
		status, _ := u.ask("POST", "/v2/runs", body)
		if status == 200 || status == 201 {
			break
		}
		u.mu.Lock()
		u.refused++
		u.mu.Unlock()
		sleep(ctx, retryFor)
	}
	took := time.Since(sent)
	u.mu.Lock()
	u.accepted++
	if !u.from.IsZero() && sent.After(u.from) {
		_ = u.accepts.RecordValue(max(1, took.Milliseconds()))
		u.took[spec.ID] = took
	}
	u.mu.Unlock()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(u.pollS*float64(time.Second)))
		if status, stance := u.ask("GET", "/v2/runs/"+spec.ID, nil); status == 200 && stance == "done" {
			u.mu.Lock()
			u.ended++
			u.mu.Unlock()
			return
		}
	}
}

// sumUp takes the waits from acceptance to the first start of all jobs that count and have begun.
func (u *users) sumUp() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, took := range u.took {
		if started, ok := u.w.FirstStart(id); ok {
			_ = u.waits.RecordValue(max(1, (started - took).Milliseconds()))
		}
	}
}

// ask asks some controller; status 0: no answer.
func (u *users) ask(method, path string, body []byte) (status int, stance string) {
	u.mu.Lock()
	to := u.w.UserAddr(u.rng.IntN(u.step.Controllers))
	u.mu.Unlock()
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer func() { fasthttp.ReleaseRequest(q); fasthttp.ReleaseResponse(p) }()
	q.SetRequestURI("http://" + to + path)
	q.Header.SetMethod(method)
	if body != nil {
		q.Header.SetContentType("application/json")
		q.SetBody(body)
	}
	if u.client.DoTimeout(q, p, askFor) != nil {
		return 0, ""
	}
	var v struct {
		Stance string `json:"stance"`
	}
	_ = json.Unmarshal(p.Body(), &v)
	return p.StatusCode(), v.Stance
}

// counted is what users have counted so far.
type counted struct{ accepted, ended, refused int }

func (u *users) counts() counted {
	u.mu.Lock()
	defer u.mu.Unlock()
	return counted{u.accepted, u.ended, u.refused}
}

// measure lets waits and acceptances of jobs handed in from now on count.
func (u *users) measure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.from = time.Now()
}
