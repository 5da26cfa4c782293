package simulator

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// shortTimers are workers under which cancel_s leaves little more than the rule's inequality needs: what outlives
// it is seen.
var shortTimers = config.Workers{HeartbeatIntervalS: 0.5, LeaseS: 6, GangWaitS: 10, GangPeerS: 2, CancelS: 11.5}

// faultRun is one run of the search: faults of a script that overlap, over jobs that are submitted, cancelled and
// asked about throughout. The same values give the same run.
type faultRun struct {
	seed   uint64
	jobs   int
	script []string
}

func (m faultRun) String() string {
	return fmt.Sprintf("HAREWALK_MEETING='%d|%d|%s'", m.seed, m.jobs, strings.Join(m.script, "|"))
}

// errNoFaultRun is returned for a text that describes no run of faults.
var errNoFaultRun = errors.New("no run of faults")

// parseFaultRun reads what String wrote.
func parseFaultRun(s string) (m faultRun, err error) {
	fs := strings.Split(s, "|")
	if len(fs) < 2 {
		return m, fmt.Errorf("%w: %q", errNoFaultRun, s)
	}
	if m.seed, err = strconv.ParseUint(fs[0], 10, 64); err == nil {
		m.jobs, err = strconv.Atoi(fs[1])
	}
	m.script = fs[2:]
	return m, err
}

// drawFaultRun draws two faults that overlap: the second begins before, at or after the first's beginning or end,
// by about a controller's or worker's lease, cancel_s or a step of a failover, and lasts about as long as one of
// them.
func drawFaultRun(a, b string, seed uint64) faultRun {
	rng := rand.New(rand.NewPCG(seed, uint64(len(a))<<8|uint64(len(b))))
	scale := []float64{0.1, 0.5, 2, 2.5, shortTimers.LeaseS, shortTimers.CancelS, shortTimers.CancelS * 1.25}
	draw := func() time.Duration {
		return jobs.Seconds(scale[rng.IntN(len(scale))] * (0.8 + 0.4*rng.Float64())).Truncate(time.Millisecond)
	}
	line := func(at time.Duration, word string, duration time.Duration) string {
		if word == "flap-zone" {
			duration /= 2 * flapCount // it lasts that many times as long as its argument
		}
		s := at.String() + " " + word
		for _, arg := range faultKinds[word].args {
			switch arg {
			case 'n':
				s += " " + strconv.Itoa(rng.IntN(3))
			case 'c':
				s += " " + strconv.Itoa(1+rng.IntN(8))
			case 'z':
				s += " " + zoneNames()[rng.IntN(3)]
			default:
				s += " " + max(50*time.Millisecond, duration).String()
			}
		}
		return s
	}
	first, long := 12*time.Second, draw()
	second := first + []time.Duration{0, long}[rng.IntN(2)] + time.Duration(rng.IntN(3)-1)*draw()
	return faultRun{seed, 40, []string{line(first, a, long), line(max(4*time.Second, second), b, draw())}}
}

// play plays a run. It returns the rules that were broken, and how long a cancelled task stayed at most.
func (m faultRun) play() (wrong []string, longest time.Duration) {
	cfg := shortTimersConfig(m.seed, 10)
	cfg.LicencePools = map[string]int{"transcribe": 12}
	cfg.Teams = []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}}
	sim, err := NewVirtualTime(cfg, readChaosPools)
	if err != nil {
		return []string{err.Error()}, 0
	}
	script, err := ParseScript(strings.NewReader(strings.Join(m.script, "\n")))
	if err != nil {
		return []string{err.Error()}, 0
	}
	sim.Play(script, func(Fault) {})
	pollers := sim.Balance().JobPollers()
	users := m.scheduleUsers(sim, pollers)
	sim.watchActingLeaders()
	// The last fault has ended by then.
	faultsEnd := 12*time.Second + 4*jobs.Seconds(shortTimers.CancelS*1.5)
	sim.Advance(faultsEnd)
	sim.startControllers()
	sim.advanceUntilOver(users, 3*time.Minute, 2*time.Second)
	wrong = append(sim.Violations(), openJobs(users)...)
	for _, n := range sim.nodeNames() {
		if sim.StoredItem("h/c/n/"+n).Version == 0 {
			wrong = append(wrong, n+" is there and has no member key")
		}
	}
	if gap, job := pollers.LongestUnanswered(faultsEnd, sim.Now()); gap >= 75*time.Second {
		wrong = append(wrong, fmt.Sprintf("no query of %s was answered for %v", job, gap))
	}
	return wrong, sim.Stats().LongestRunAfterCancel
}

// scheduleUsers draws the run's jobs and the times at which they are submitted and some cancelled. Each is polled
// from its acceptance on.
func (m faultRun) scheduleUsers(sim *Simulation, pollers *JobPollers) []*testUser {
	rng := rand.New(rand.NewPCG(m.seed, 51))
	users := make([]*testUser, 0, m.jobs)
	for i := range m.jobs {
		spec := drawJob(rng, i+1)
		spec.EstimateS = 2 + 18*rng.Float64()
		spec.Tasks = min(spec.Tasks, 4)
		user := &testUser{simulation: sim, rng: rand.New(rand.NewPCG(m.seed, uint64(100+i))), spec: spec}
		users = append(users, user)
		at := time.Duration(3000+rng.IntN(30000)) * time.Millisecond
		sim.After(at, user.submit)
		if rng.IntN(5) < 2 {
			sim.After(at+time.Duration(rng.IntN(20000))*time.Millisecond, user.cancel)
		}
		sim.After(at, func() { user.pollOnceAccepted(pollers) })
	}
	return users
}

// pollOnceAccepted lets pollers follow a user's job as soon as its submission is accepted.
func (u *testUser) pollOnceAccepted(pollers *JobPollers) {
	if u.isAccepted() {
		pollers.Follow(u.spec.ID, nil)
		return
	}
	u.simulation.After(time.Second, func() { u.pollOnceAccepted(pollers) })
}

// openJobs describes the jobs that have no final state yet.
func openJobs(users []*testUser) []string {
	var open []string
	for _, user := range users {
		if len(user.finalStates) == 0 {
			open = append(open, fmt.Sprintf("%s is not over (status %d)", user.spec.ID, user.status))
		}
	}
	return open
}

// shorten finds a smaller run that fails as well: with one fault, with fewer jobs.
func (m faultRun) shorten() faultRun {
	fails := func(n faultRun) bool { wrong, _ := n.play(); return len(wrong) > 0 }
	for i := range m.script {
		if n := (faultRun{m.seed, m.jobs, slices.Delete(slices.Clone(m.script), i, i+1)}); fails(n) {
			return n.shorten()
		}
	}
	for _, jobs := range []int{m.jobs / 4, m.jobs / 2, m.jobs * 3 / 4} {
		if n := (faultRun{m.seed, jobs, m.script}); jobs > 0 && fails(n) {
			return n.shorten()
		}
	}
	return m
}

// selectFaultRuns returns the runs of all pairs of the scripts' faults, or of a fixed share of them. HAREWALK_PAIRS
// sets the number of seeds for each of all pairs, HAREWALK_PAIRS_FROM the first seed.
func selectFaultRuns() []faultRun {
	seeds, share, first := 1, 12, 0
	if s := os.Getenv("HAREWALK_PAIRS"); s != "" {
		seeds, _ = strconv.Atoi(s)
		share = 1
	}
	if s := os.Getenv("HAREWALK_PAIRS_FROM"); s != "" {
		first, _ = strconv.Atoi(s)
	}
	words := slices.Sorted(maps.Keys(faultKinds))
	var runs []faultRun
	n := 0
	for i, a := range words {
		for _, b := range words[i:] {
			for k := range seeds {
				if n++; n%share == 0 {
					runs = append(runs, drawFaultRun(a, b, uint64(1000*n+first+k)))
				}
			}
		}
	}
	return runs
}

// maxShortenedRuns bounds how many failing runs are shortened, which takes many runs each.
const maxShortenedRuns = 3

// faultRunResults collects the results of runs that are played at the same time.
type faultRunResults struct {
	t       *testing.T
	mu      sync.Mutex
	longest time.Duration // a cancelled task stayed at most
	failed  int
}

// play plays a run, reports what went wrong in it, and shortens it if it is one of the first to fail.
func (r *faultRunResults) play(run faultRun) {
	wrong, stayed := run.play()
	if r.add(run, wrong, stayed) {
		r.t.Logf("%v, shortened: %v", run, run.shorten())
	}
}

// add counts a run's result and returns true if the run should be shortened.
func (r *faultRunResults) add(run faultRun, wrong []string, stayed time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longest = max(r.longest, stayed)
	if len(wrong) == 0 {
		return false
	}
	r.failed++
	r.t.Errorf("%v: %s", run, strings.Join(wrong[:min(3, len(wrong))], "; "))
	return r.failed <= maxShortenedRuns
}

// repeatFaultRun plays the run that HAREWALK_MEETING describes.
func repeatFaultRun(t *testing.T, description string) {
	t.Helper()
	run, err := parseFaultRun(description)
	if err != nil {
		t.Fatal(err)
	}
	wrong, longest := run.play()
	t.Logf("%v: cancelled tasks stayed %v at most", run, longest)
	for _, w := range wrong {
		t.Error(w)
	}
}

// TestPairsOfFaults runs every pair of the scripts' faults at overlapping times: no rule breaks, every job ends,
// and no job's queries stay unanswered afterwards. HAREWALK_PAIRS=20 runs all pairs with 20 seeds each; otherwise a
// fixed share of the pairs runs. A failing run is shortened, and HAREWALK_MEETING repeats it.
func TestPairsOfFaults(t *testing.T) {
	if description := os.Getenv("HAREWALK_MEETING"); description != "" {
		repeatFaultRun(t, description)
		return
	}
	runs := selectFaultRuns()
	results := &faultRunResults{t: t}
	work := make(chan faultRun)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for run := range work {
				results.play(run)
			}
		})
	}
	for _, run := range runs {
		work <- run
	}
	close(work)
	workers.Wait()
	t.Logf(
		"%d runs of %d faults, %d failed; cancelled tasks stayed %v at most, of %v",
		len(runs),
		len(faultKinds),
		results.failed,
		results.longest,
		jobs.Seconds(shortTimers.CancelS),
	)
	if len(runs) < 40 || results.longest == 0 {
		t.Error("hardly anything overlapped")
	}
}
