package simulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// footprint measures what controllers keep in memory and read when they start.
type footprint struct {
	jobs         int        // jobs accepted so far
	keys         int        // stored keys under the prefix that every controller watches
	jobsInMemory int        // jobs in a controller's memory, the maximum over all controllers
	requests     int        // requests to the state service around a controller's start, the maximum over all controllers
	heap         [3]float64 // heap that each controller uses, in MB
}

// heapMB returns the heap in use after garbage collection, in MB.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// manyJobs is a cluster that receives a large number of small jobs while faults are injected.
type manyJobs struct {
	*Simulation
	t        *testing.T
	rng      *rand.Rand
	accepted []string // ids of the accepted jobs
	pending  int      // number of submitted jobs that are not accepted yet
}

// submit submits a job, again every second until it is accepted.
func (m *manyJobs) submit(n int) {
	spec := arraySpec(fmt.Sprintf("req-%07d", n), "c", teamInTurn(n))
	spec.Tasks = 1 + n%2
	spec.ImageGB = 0.1
	spec.EstimateS = 0.5 + m.rng.Float64()
	m.RecordSubmission(spec)
	body, _ := json.Marshal(spec)
	m.pending++
	var again func()
	again = func() {
		m.Request(m.rng.IntN(3), "POST", "/v2/runs", body, func(status int, _ []byte) {
			if status == 200 || status == 201 {
				m.accepted = append(m.accepted, spec.ID)
				m.pending--
				return
			}
			m.After(time.Second, again)
		})
	}
	again()
}

// injectFaults injects a random fault, which ends by itself.
func (m *manyJobs) injectFaults() {
	i := m.rng.IntN(3)
	switch m.rng.IntN(6) {
	case 0:
		m.KillController(i)
		m.After(3*time.Second, func() { m.StartController(i) })
	case 1:
		m.FreezeController(i, time.Duration(1+m.rng.IntN(9))*time.Second)
	case 2:
		m.SetStateOutage(true)
		m.After(time.Duration(1+m.rng.IntN(8))*time.Second, func() { m.SetStateOutage(false) })
	case 3:
		m.RefuseController(i, true)
		m.After(6*time.Second, func() { m.RefuseController(i, false) })
	case 4:
		m.CompactHistory()
	case 5:
		m.DrainController(i, func() { m.StartController(i) })
	}
}

// endFaults starts all controllers, and waits until all jobs are accepted and archived, ten minutes at most.
func (m *manyJobs) endFaults() {
	m.startControllers()
	for end := m.Now() + 10*time.Minute; m.Now() < end && (m.pending > 0 || m.CountKeys(jobs.RecordPrefix) > 0); {
		m.Advance(time.Second)
	}
	m.Advance(10 * time.Second)
}

// measure measures what controllers keep in memory and how many requests a start takes. It kills and restarts each
// controller in turn.
func (m *manyJobs) measure() footprint {
	measured := footprint{jobs: len(m.accepted), keys: m.CountKeys("h/")}
	for i, controller := range m.virtual.controllers {
		if controller.process == nil {
			m.t.Fatalf("controller %d doesn't run, want all running", i)
		}
		measured.jobsInMemory = max(measured.jobsInMemory, controller.process.JobsInMemory())
	}
	for i := range m.virtual.controllers {
		heapBefore := heapMB()
		m.KillController(i)
		m.Advance(endedControllerTTL)
		measured.heap[i] = heapBefore - heapMB()
		m.Advance(8 * time.Second) // its lease expires, and another controller leads
		requestsBefore := m.Stats().StateRequests
		m.StartController(i)
		m.Advance(5 * time.Second)
		measured.requests = max(measured.requests, m.Stats().StateRequests-requestsBefore)
	}
	return measured
}

// endedControllerTTL is how long scheduled events of an ended controller remain, which keep the controller in memory.
const endedControllerTTL = 2 * time.Minute

// TestManyJobs submits a large number of jobs, which run, end and are archived while controllers, the state service and
// watches fail. The numbers of jobs in controllers' memory, of watched keys and of requests at a start must not grow
// between a tenth of the jobs and all, and every controller must answer for every job in the end. HAREWALK_LONG runs
// 220,000 jobs, a day at the planned size, and also compares each controller's heap.
func TestManyJobs(t *testing.T) {
	n, checkStep := 3000, 1
	if os.Getenv("HAREWALK_LONG") != "" {
		n = 220_000
	}
	sim, err := NewVirtualTime(Config{
		Seed:         411,
		MaxMachines:  16,
		TickInterval: 50 * time.Millisecond,
		State:        config.State{RPS: 6000, WriteRPS: 900, ValueKB: 8, TxnOps: 24},
		Teams:        []config.Team{{Name: "red"}, {Name: "blue"}},
	},
		func(settings *config.Settings) error {
			return settings.ParseOperator("o.hcl", []byte("archive {\n retain_s = 5\n}\n"))
		})
	if err != nil {
		t.Fatal(err)
	}
	m := &manyJobs{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(411, 47))}
	m.Advance(10 * time.Second)
	var footprints []footprint
	const interval = 25 * time.Millisecond
	for i := range n {
		m.submit(i)
		m.Advance(interval)
		if i%1200 == 600 {
			m.injectFaults()
		}
		if i == n/10 || i == n-1 {
			m.endFaults()
			measured := m.measure()
			t.Logf(
				"after %d jobs: %d keys watched, %d jobs in memory, %d requests around a start, controllers use %.2f MB of heap",
				measured.jobs,
				measured.keys,
				measured.jobsInMemory,
				measured.requests,
				measured.heap,
			)
			footprints = append(footprints, measured)
		}
	}
	first, last := footprints[0], footprints[1]
	if last.jobs != n || last.keys > first.keys+2 || last.jobsInMemory > first.jobsInMemory+2 ||
		float64(last.requests) > 1.1*float64(first.requests)+20 {
		t.Errorf("footprint grows with the number of jobs: first %+v, last %+v", first, last)
	}
	if n > 100_000 {
		for i := range last.heap {
			if last.heap[i] > 1.1*first.heap[i]+0.5 {
				t.Errorf(
					"controller %d: heap %.2f MB after %d jobs, want about the %.2f MB after %d jobs",
					i,
					last.heap[i],
					last.jobs,
					first.heap[i],
					first.jobs,
				)
			}
		}
	}
	m.checkAnswersEverywhere(checkStep)
	reportViolations(t, m.Simulation)
	s := m.Stats()
	t.Logf(
		"%d jobs in %v of simulated time, %d task starts; %d controllers killed, %d frozen, %d drained",
		n,
		m.Now(),
		s.TaskStarts,
		s.ControllersKilled,
		s.ControllersFrozen,
		s.ControllersDrained,
	)
}

// checkAnswersEverywhere queries every controller about every step-th job. Each answer must be that the job is done.
func (m *manyJobs) checkAnswersEverywhere(step int) {
	m.t.Helper()
	correct, wrong := 0, 0
	for i := range m.virtual.controllers {
		for k := 0; k < len(m.accepted); k += step {
			id, tries := m.accepted[k], 0
			var query func()
			query = func() {
				m.Request(i, "GET", "/v2/runs/"+id, nil, func(status int, raw []byte) {
					switch {
					case status == 200 && jobStateIn(raw) == "done":
						correct++
					case status == 503 || status == 429 || status == 0:
						if tries++; tries < 100 {
							m.After(time.Second, query)
							return
						}
						fallthrough
					default:
						if wrong++; wrong < 10 {
							m.t.Errorf("controller %d: got %d %s for job %s, want 200 and state done", i, status, raw, id)
						}
					}
				})
			}
			query()
			m.Advance(2 * time.Millisecond)
		}
	}
	m.Advance(2 * time.Minute)
	if want := 3 * ((len(m.accepted) + step - 1) / step); correct != want {
		m.t.Errorf("%d correct answers, want %d", correct, want)
	}
	m.t.Logf("%d correct answers", correct)
}
