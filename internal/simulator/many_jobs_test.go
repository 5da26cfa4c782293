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

// footprint is what controllers keep in memory and read at a start.
type footprint struct {
	jobs     int // accepted so far
	records  int // that every controller follows
	known    int // jobs in the memory of the controller that knows most
	requests int // to the state service, until a controller that starts can serve
	heap     [3]float64
}

// heapMB is what is in use after everything that can be given back was.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// manyJobs is a cluster that is given a great number of small jobs while it fails again and again.
type manyJobs struct {
	*Simulation
	t        *testing.T
	rng      *rand.Rand
	accepted []string
	open     int
}

// submit hands a job in until it is accepted.
func (m *manyJobs) submit(n int) {
	spec := arraySpec(fmt.Sprintf("req-%07d", n), "c", teamInTurn(n))
	spec.Tasks = 1 + n%2
	spec.ImageGB = 0.1
	spec.EstimateS = 0.5 + m.rng.Float64()
	m.AddJob(spec)
	body, _ := json.Marshal(spec)
	m.open++
	var again func()
	again = func() {
		m.Request(m.rng.IntN(3), "POST", "/v2/runs", body, func(status int, _ []byte) {
			if status == 200 || status == 201 {
				m.accepted = append(m.accepted, spec.ID)
				m.open--
				return
			}
			m.After(time.Second, again)
		})
	}
	again()
}

// injectFaults injects a fault, and ends it.
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

// endFaults ends all faults and waits until all jobs that are done are archived.
func (m *manyJobs) endFaults() {
	m.startControllers()
	for end := m.Now() + 10*time.Minute; m.Now() < end && (m.open > 0 || m.CountKeys(jobs.Prefix) > 0); {
		m.Advance(time.Second)
	}
	m.Advance(10 * time.Second)
}

// measure measures what controllers keep in memory and what a start takes: each is killed and started again in turn.
func (m *manyJobs) measure() footprint {
	h := footprint{jobs: len(m.accepted), records: m.CountKeys("h/")}
	for i, controller := range m.virtual.controllers {
		if controller.process == nil {
			m.t.Fatalf("controller %d doesn't run", i)
		}
		h.known = max(h.known, controller.process.JobsInMemory())
	}
	for i := range m.virtual.controllers {
		before := heapMB()
		m.KillController(i)
		m.Advance(eventsOfEnded)
		h.heap[i] = before - heapMB()
		m.Advance(8 * time.Second) // its lease expires, another leads
		asked := m.Stats().StateRequests
		m.StartController(i)
		m.Advance(5 * time.Second)
		h.requests = max(h.requests, m.Stats().StateRequests-asked)
	}
	return h
}

// eventsOfEnded is how long events that were planned for an ended controller are kept; they keep it in memory.
const eventsOfEnded = 2 * time.Minute

// TestManyJobs lets a great many jobs be accepted, run, end and be archived while controllers, the state service
// and watches fail throughout: what controllers keep, watch and read at their start is the same after a tenth of
// the jobs as after all, and every accepted job has its answer at every controller in the end. HAREWALK_LONG runs
// 220,000 jobs, a day at the planned size, and compares the heap of each controller too.
func TestManyJobs(t *testing.T) {
	n, checked := 3000, 1
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
			return settings.ReadOperator("o.hcl", []byte("archive {\n retain_s = 5\n}\n"))
		})
	if err != nil {
		t.Fatal(err)
	}
	m := &manyJobs{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(411, 47))}
	m.Advance(10 * time.Second)
	var seen []footprint
	const every = 25 * time.Millisecond
	for i := range n {
		m.submit(i)
		m.Advance(every)
		if i%1200 == 600 {
			m.injectFaults()
		}
		if i == n/10 || i == n-1 {
			m.endFaults()
			h := m.measure()
			t.Logf(
				"after %d jobs: %d keys followed, %d jobs in memory, %d requests around a start, controllers use %.2f MB",
				h.jobs,
				h.records,
				h.known,
				h.requests,
				h.heap,
			)
			seen = append(seen, h)
		}
	}
	few, all := seen[0], seen[1]
	if all.jobs != n || all.records > few.records+2 || all.known > few.known+2 ||
		float64(all.requests) > 1.1*float64(few.requests)+20 {
		t.Errorf("what is kept grows with the number of jobs: %+v, %+v", few, all)
	}
	if n > 100_000 {
		for i := range all.heap {
			if all.heap[i] > 1.1*few.heap[i]+0.5 {
				t.Errorf(
					"controller %d uses %.2f MB after %d jobs, %.2f after %d",
					i,
					all.heap[i],
					all.jobs,
					few.heap[i],
					few.jobs,
				)
			}
		}
	}
	m.checkAnswersEverywhere(checked)
	reportViolations(t, m.Simulation)
	s := m.Stats()
	t.Logf(
		"%d jobs over %v simulated, %d starts; %d controllers killed, %d frozen, %d drained",
		n,
		m.Now(),
		s.TaskStarts,
		s.ControllersKilled,
		s.ControllersFrozen,
		s.ControllersDrained,
	)
}

// checkAnswersEverywhere asks every controller about every step-th job: each has one answer, done.
func (m *manyJobs) checkAnswersEverywhere(step int) {
	m.t.Helper()
	right, wrong := 0, 0
	for i := range m.virtual.controllers {
		for k := 0; k < len(m.accepted); k += step {
			id, tries := m.accepted[k], 0
			var ask func()
			ask = func() {
				m.Request(i, "GET", "/v2/runs/"+id, nil, func(status int, raw []byte) {
					switch {
					case status == 200 && jobStateIn(raw) == "done":
						right++
					case status == 503 || status == 429 || status == 0:
						if tries++; tries < 100 {
							m.After(time.Second, ask)
							return
						}
						fallthrough
					default:
						if wrong++; wrong < 10 {
							m.t.Errorf("controller %d answers %d %s about %s", i, status, raw, id)
						}
					}
				})
			}
			ask()
			m.Advance(2 * time.Millisecond)
		}
	}
	m.Advance(2 * time.Minute)
	if want := 3 * ((len(m.accepted) + step - 1) / step); right != want {
		m.t.Errorf("%d right answers of %d", right, want)
	}
	m.t.Logf("%d right answers", right)
}
