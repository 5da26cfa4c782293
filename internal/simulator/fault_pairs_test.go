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

// shortTimers are worker settings whose cancel_s is only little above the minimum that the settings accept, so that
// tests notice tasks that outlive it.
var shortTimers = config.Workers{HeartbeatIntervalS: 0.5, LeaseS: 6, GangWaitS: 10, GangPeerS: 2, CancelS: 11.5}

// faultRun is one run of the search for faults that break a rule: overlapping faults of a script, while jobs are
// submitted, cancelled and queried. Equal values give identical runs.
type faultRun struct {
	seed   uint64
	jobs   int
	script []string
}

func (m faultRun) String() string {
	return fmt.Sprintf("HAREWALK_MEETING='%d|%d|%s'", m.seed, m.jobs, strings.Join(m.script, "|"))
}

// errNoFaultRun is returned by parseFaultRun for a text without a seed and a number of jobs.
var errNoFaultRun = errors.New("not a fault run of the form SEED|JOBS|FAULT|FAULT")

// parseFaultRun parses the text between the quotes of faultRun.String.
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

// drawFaultRun draws a run of two faults. The second begins before, at or after the beginning or end of the first.
// The offset and both durations are about a controller's or worker's lease, cancel_s or a step of a failover.
func drawFaultRun(a, b string, seed uint64) faultRun {
	rng := rand.New(rand.NewPCG(seed, uint64(len(a))<<8|uint64(len(b))))
	scales := []float64{0.1, 0.5, 2, 2.5, shortTimers.LeaseS, shortTimers.CancelS, shortTimers.CancelS * 1.25}
	draw := func() time.Duration {
		return jobs.Seconds(scales[rng.IntN(len(scales))] * (0.8 + 0.4*rng.Float64())).Truncate(time.Millisecond)
	}
	line := func(at time.Duration, fault string, duration time.Duration) string {
		if fault == "flap-zone" {
			duration /= 2 * flapCount // flap-zone lasts 2*flapCount times as long as its argument
		}
		s := at.String() + " " + fault
		for _, arg := range faultKinds[fault].args {
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
	first, firstDuration := 12*time.Second, draw()
	second := first + []time.Duration{0, firstDuration}[rng.IntN(2)] + time.Duration(rng.IntN(3)-1)*draw()
	return faultRun{seed, 40, []string{line(first, a, firstDuration), line(max(4*time.Second, second), b, draw())}}
}

// play plays a run. It returns the failures, and the longest time that a task ran after its job's cancellation.
func (m faultRun) play() (failures []string, longest time.Duration) {
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
	pollers := sim.NewBalancer().NewJobPollers()
	users := m.scheduleUsers(sim, pollers)
	sim.watchActingLeaders()
	// All faults have ended by faultsEnd.
	faultsEnd := 12*time.Second + 4*jobs.Seconds(shortTimers.CancelS*1.5)
	sim.Advance(faultsEnd)
	sim.startControllers()
	sim.advanceUntilOver(users, 3*time.Minute, 2*time.Second)
	failures = append(sim.Violations(), unfinishedJobs(users)...)
	for _, n := range sim.nodeNames() {
		if sim.StoredItem("h/c/n/"+n).Version == 0 {
			failures = append(failures, n+" runs without a member key")
		}
	}
	if gap, job := pollers.LongestUnanswered(faultsEnd, sim.Now()); gap >= 75*time.Second {
		failures = append(failures, fmt.Sprintf("queries of %s unanswered for %v, want less than 75s", job, gap))
	}
	return failures, sim.Stats().LongestRunAfterCancel
}

// scheduleUsers draws the run's jobs and the times of their submissions and of some cancellations. Each job is polled
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

// unfinishedJobs describes the jobs that have no final state yet.
func unfinishedJobs(users []*testUser) []string {
	var unfinished []string
	for _, user := range users {
		if len(user.finalStates) == 0 {
			unfinished = append(
				unfinished,
				fmt.Sprintf("%s has no final state (last status of its submission: %d)", user.spec.ID, user.status),
			)
		}
	}
	return unfinished
}

// shorten returns a smaller run that also fails, with fewer faults or jobs, or the run itself if there is none.
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

// selectFaultRuns returns one run for a fixed twelfth of the pairs of the scripts' faults. If HAREWALK_PAIRS is set, it
// returns runs of all pairs, with that number of seeds each. HAREWALK_PAIRS_FROM sets the first seed. HAREWALK_PAIRS_OF
// selects the pairs that contain the fault with this name.
func selectFaultRuns() []faultRun {
	seeds, share, first := 1, 12, 0
	if s := os.Getenv("HAREWALK_PAIRS"); s != "" {
		seeds, _ = strconv.Atoi(s)
		share = 1
	}
	if s := os.Getenv("HAREWALK_PAIRS_FROM"); s != "" {
		first, _ = strconv.Atoi(s)
	}
	selected := os.Getenv("HAREWALK_PAIRS_OF")
	faultNames := slices.Sorted(maps.Keys(faultKinds))
	var runs []faultRun
	pair := 0
	for i, a := range faultNames {
		for _, b := range faultNames[i:] {
			for seed := range seeds {
				pair++
				isSelected := selected == "" || selected == a || selected == b
				if isSelected && pair%share == 0 {
					runs = append(runs, drawFaultRun(a, b, uint64(1000*pair+first+seed)))
				}
			}
		}
	}
	return runs
}

// maxShortenedRuns limits how many failing runs are shortened, because shortening one takes many further runs.
const maxShortenedRuns = 3

// faultRunResults collects the results of runs that are played concurrently.
type faultRunResults struct {
	t       *testing.T
	mu      sync.Mutex
	longest time.Duration // longest time that a task ran after its job's cancellation
	failed  int           // number of failed runs
}

// play plays a run, reports its failures, and shortens the run if it is one of the first maxShortenedRuns that fail.
func (r *faultRunResults) play(run faultRun) {
	failures, ranFor := run.play()
	if r.add(run, failures, ranFor) {
		r.t.Logf("%v, shortened: %v", run, run.shorten())
	}
}

// add records a run's result and reports whether the run should be shortened.
func (r *faultRunResults) add(run faultRun, failures []string, ranFor time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longest = max(r.longest, ranFor)
	if len(failures) == 0 {
		return false
	}
	r.failed++
	r.t.Errorf("%v: %s", run, strings.Join(failures[:min(3, len(failures))], "; "))
	return r.failed <= maxShortenedRuns
}

// repeatFaultRun plays the run that HAREWALK_MEETING describes.
func repeatFaultRun(t *testing.T, description string) {
	t.Helper()
	run, err := parseFaultRun(description)
	if err != nil {
		t.Fatal(err)
	}
	failures, longest := run.play()
	t.Logf("%v: longest run after a cancellation %v", run, longest)
	for _, failure := range failures {
		t.Error(failure)
	}
}

// TestPairsOfFaults runs pairs of the scripts' faults at overlapping times. No rule may break, every job must end, and
// no job's queries may stay unanswered afterwards. A fixed share of the pairs runs; HAREWALK_PAIRS=20 runs all pairs
// with 20 seeds each. A failing run is shortened. HAREWALK_MEETING, set as the failure prints it, repeats a run.
func TestPairsOfFaults(t *testing.T) {
	if description := os.Getenv("HAREWALK_MEETING"); description != "" {
		repeatFaultRun(t, description)
		return
	}
	runs := selectFaultRuns()
	results := &faultRunResults{t: t}
	queue := make(chan faultRun)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for run := range queue {
				results.play(run)
			}
		})
	}
	for _, run := range runs {
		queue <- run
	}
	close(queue)
	workers.Wait()
	t.Logf(
		"%d runs of pairs of %d faults, %d failed; longest run after a cancellation %v, of %v allowed",
		len(runs),
		len(faultKinds),
		results.failed,
		results.longest,
		jobs.Seconds(shortTimers.CancelS),
	)
	if len(runs) < 40 || results.longest == 0 {
		t.Error("want at least 40 runs and a task that ran after its cancellation (counts above)")
	}
}
