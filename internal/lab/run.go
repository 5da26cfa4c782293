package lab

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

const (
	// sampleCount is the number of samples of the machines' utilization over a run's duration.
	sampleCount = 240
	// arrivalProgressShare is the share of a run's progress that its duration accounts for; the rest is the drain
	// time.
	arrivalProgressShare = 0.9
	// drainCheckInterval is the interval at which a run checks during the drain time whether all jobs have ended.
	drainCheckInterval = 10 * time.Second
	// minMessageDelay is the shortest mean delay of a message.
	minMessageDelay = 100 * time.Microsecond
)

// Progress is called with the completed fraction of all runs, from 0 to 1. Calls don't overlap.
type Progress func(done float64)

// ClockFunc is called with the simulated clock of each run before the run starts.
type ClockFunc func(now func() time.Duration)

// Run plays every configuration with every seed and summarizes the runs. It plays up to parallel runs at a time, or
// one per processor core if parallel is below 1. Both functions may be nil; with a useClock, parallel must be 1.
func (s *Scenario) Run(parallel int, progress Progress, useClock ClockFunc) (*Result, error) {
	if parallel < 1 {
		parallel = runtime.GOMAXPROCS(0)
	}
	set := newRunSet(s, progress)
	slots := make(chan struct{}, parallel)
	var running sync.WaitGroup
	for repetition := range s.Repetitions {
		for config := range s.Configs {
			index := repetition*len(s.Configs) + config
			running.Add(1)
			slots <- struct{}{}
			go func() {
				defer running.Done()
				defer func() { <-slots }()
				report := func(fraction float64) { set.report(index, fraction) }
				played, err := s.play(s.Configs[config], s.Seed+uint64(repetition), useClock, report)
				set.add(config, repetition, played, err)
			}()
		}
	}
	running.Wait()
	if set.err != nil {
		return nil, set.err
	}
	return s.summarize(set.runs), nil
}

// runSet collects the results of runs that are played concurrently.
type runSet struct {
	scenario *Scenario
	progress Progress // nil: progress isn't reported

	mu        sync.Mutex
	runs      [][]*run  // runs by configuration and repetition; nil: not finished, or failed
	fractions []float64 // completed fraction of each run
	err       error     // error of the first run that failed; nil: none has failed
}

func newRunSet(scenario *Scenario, progress Progress) *runSet {
	set := &runSet{
		scenario:  scenario,
		progress:  progress,
		runs:      make([][]*run, len(scenario.Configs)),
		fractions: make([]float64, len(scenario.Configs)*scenario.Repetitions),
	}
	for config := range set.runs {
		set.runs[config] = make([]*run, scenario.Repetitions)
	}
	return set
}

// report records the completed fraction of one run and reports the mean over all runs.
func (r *runSet) report(index int, fraction float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fractions[index] = fraction
	if r.progress == nil {
		return
	}
	sum := 0.0
	for _, completed := range r.fractions {
		sum += completed
	}
	r.progress(sum / float64(len(r.fractions)))
}

// add records a finished run, or the error of a run that failed.
func (r *runSet) add(config, repetition int, played *run, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[config][repetition] = played
	if err != nil && r.err == nil {
		seed := r.scenario.Seed + uint64(repetition)
		r.err = fmt.Errorf("config %q, seed %d: %w", r.scenario.Configs[config].Name, seed, err)
	}
}

// run holds the observations of one run.
type run struct {
	seed          uint64
	users         []*user
	utilization   []simulator.Utilization // samples over the run's duration
	starts        []time.Duration         // times of task starts, ascending
	leaderChanges []time.Duration
	requests      []request
	stats         simulator.Stats
	violations    []string // violations of the protocol's rules
	end           time.Duration
}

// request is one request of a user: the time at which it was sent, and whether it was served.
type request struct {
	at     time.Duration
	served bool
}

// play runs one configuration with one seed.
func (s *Scenario) play(variant Config, seed uint64, useClock ClockFunc, progress Progress) (*run, error) {
	sim, err := simulator.NewVirtualTime(s.simulation(variant, seed), variant.adjust)
	if err != nil {
		return nil, err
	}
	defer sim.Close()
	if useClock != nil {
		useClock(sim.Now)
	}
	arrivals, err := s.drawArrivals(seed)
	if err != nil {
		return nil, err
	}
	script, err := s.faultScript()
	if err != nil {
		return nil, err
	}
	if s.Network != nil {
		s.Network.apply(sim)
	}
	observed := &run{seed: seed}
	balancer := newLoadBalancer(sim, observed, seed)
	balancer.startHealthChecks()
	sim.Play(script, func(simulator.Fault) {})
	for _, arrival := range arrivals {
		user := &user{arrival: arrival, balancer: balancer}
		observed.users = append(observed.users, user)
		sim.After(arrival.at, user.arrive)
	}
	s.advance(sim, balancer, progress)
	observed.collectOutcome(sim)
	progress(1)
	return observed, nil
}

// advance advances the simulated time by the run's duration and samples the machines' utilization. Then it advances
// the time until all jobs have ended, by at most DrainS.
func (s *Scenario) advance(sim *simulator.Simulation, balancer *loadBalancer, progress Progress) {
	observed := balancer.run
	duration := jobs.Seconds(s.DurationS)
	for i := range sampleCount {
		sim.Advance(duration / sampleCount)
		observed.utilization = append(observed.utilization, sim.Utilization())
		progress(float64(i) / sampleCount * arrivalProgressShare)
	}
	drain := jobs.Seconds(s.DrainS)
	for waited := time.Duration(0); waited < drain && balancer.openJobs > 0; waited += drainCheckInterval {
		sim.Advance(drainCheckInterval)
	}
}

// collectOutcome copies the records of the simulation into the run.
func (r *run) collectOutcome(sim *simulator.Simulation) {
	r.leaderChanges = sim.LeaderChanges()
	r.starts = sim.StartTimes()
	r.stats = sim.Stats()
	r.violations = sim.Violations()
	r.end = sim.Now()
	for _, user := range r.users {
		user.startDelay, user.hasStarted = sim.FirstStart(user.spec.ID)
	}
}

// apply configures the simulated network.
func (n *Network) apply(sim *simulator.Simulation) {
	mean := time.Duration(n.MeanMS * float64(time.Millisecond))
	sim.SetNetwork(max(mean, minMessageDelay), n.Lost, n.Late, jobs.Seconds(n.LateS))
}
