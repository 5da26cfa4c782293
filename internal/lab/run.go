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
	// samples is how often the use of machines is sampled over a run's duration.
	samples = 240
	// loadShare is the part of a run's progress that is its duration; the rest is for the last jobs.
	loadShare = 0.9
	// drainStep is how often a run checks whether the last jobs are over.
	drainStep = 10 * time.Second
	// minMessageDelay is the shortest mean delay of a message.
	minMessageDelay = 100 * time.Microsecond
)

// Progress is called with the part of all runs that is done, from 0 to 1. Calls don't overlap.
type Progress func(done float64)

// UseClock is called with the simulated clock of a run before the run starts.
type UseClock func(now func() time.Duration)

// Run plays every configuration with every seed, so many runs at a time (less than 1: one a core), and summarizes them.
// Progress and useClock may be nil; with a useClock, parallel must be 1.
func (s *Scenario) Run(parallel int, progress Progress, useClock UseClock) (*Result, error) {
	if parallel < 1 {
		parallel = runtime.GOMAXPROCS(0)
	}
	all := newRunSet(s, progress)
	free := make(chan struct{}, parallel)
	var running sync.WaitGroup
	for repetition := range s.Repetitions {
		for config := range s.Configs {
			index := repetition*len(s.Configs) + config
			running.Add(1)
			free <- struct{}{}
			go func() {
				defer running.Done()
				defer func() { <-free }()
				report := func(part float64) { all.report(index, part) }
				played, err := s.play(s.Configs[config], s.Seed+uint64(repetition), useClock, report)
				all.add(config, repetition, played, err)
			}()
		}
	}
	running.Wait()
	if all.err != nil {
		return nil, all.err
	}
	return s.summarize(all.runs), nil
}

// runSet collects runs that are played side by side.
type runSet struct {
	scenario *Scenario
	progress Progress // nil: none

	mu   sync.Mutex
	runs [][]*run  // by configuration and repetition
	done []float64 // part of each run that is done
	err  error     // the first of a run
}

func newRunSet(scenario *Scenario, progress Progress) *runSet {
	set := &runSet{
		scenario: scenario,
		progress: progress,
		runs:     make([][]*run, len(scenario.Configs)),
		done:     make([]float64, len(scenario.Configs)*scenario.Repetitions),
	}
	for config := range set.runs {
		set.runs[config] = make([]*run, scenario.Repetitions)
	}
	return set
}

// report notes how much of one run is done, and reports the progress of all.
func (r *runSet) report(index int, part float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[index] = part
	if r.progress == nil {
		return
	}
	sum := 0.0
	for _, done := range r.done {
		sum += done
	}
	r.progress(sum / float64(len(r.done)))
}

// add adds a run that has ended, or its error.
func (r *runSet) add(config, repetition int, played *run, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[config][repetition] = played
	if err != nil && r.err == nil {
		seed := r.scenario.Seed + uint64(repetition)
		r.err = fmt.Errorf("config %q, seed %d: %w", r.scenario.Configs[config].Name, seed, err)
	}
}

// run is what was observed in one run.
type run struct {
	seed          uint64
	users         []*user
	utilization   []simulator.Utilization // samples over the duration
	starts        []time.Duration         // times at which tasks started, in order
	leaderChanges []time.Duration
	requests      []request
	stats         simulator.Stats
	broken        []string // rules of the protocol
	end           time.Duration
}

// request is one request of a user: when it was sent, and whether it was served.
type request struct {
	at     time.Duration
	served bool
}

// play plays one run.
func (s *Scenario) play(variant Config, seed uint64, useClock UseClock, progress Progress) (*run, error) {
	sim, err := simulator.NewVirtualTime(s.simulation(variant, seed), variant.adjust)
	if err != nil {
		return nil, err
	}
	defer sim.Close()
	if useClock != nil {
		useClock(sim.Now)
	}
	arrivals, err := s.arrivals(seed)
	if err != nil {
		return nil, err
	}
	script, err := s.script()
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
	observed.finish(sim)
	progress(1)
	return observed, nil
}

// advance lets the simulated time pass: the duration, with samples of the use of machines, and then up to DrainS until
// the last jobs are over.
func (s *Scenario) advance(sim *simulator.Simulation, balancer *loadBalancer, progress Progress) {
	observed := balancer.run
	duration := jobs.Seconds(s.DurationS)
	for i := range samples {
		sim.Advance(duration / samples)
		observed.utilization = append(observed.utilization, sim.Utilization())
		progress(float64(i) / samples * loadShare)
	}
	drain := jobs.Seconds(s.DrainS)
	for waited := time.Duration(0); waited < drain && balancer.openJobs > 0; waited += drainStep {
		sim.Advance(drainStep)
	}
}

// finish takes over what the simulation has recorded.
func (r *run) finish(sim *simulator.Simulation) {
	r.leaderChanges = sim.LeaderChanges()
	r.starts = sim.StartTimes()
	r.stats = sim.Stats()
	r.broken = sim.Violations()
	r.end = sim.Now()
	for _, user := range r.users {
		user.startDelay, user.hasStarted = sim.FirstStart(user.spec.ID)
	}
}

func (n *Network) apply(sim *simulator.Simulation) {
	mean := time.Duration(n.MeanMS * float64(time.Millisecond))
	sim.SetNetwork(max(mean, minMessageDelay), n.Lost, n.Late, jobs.Seconds(n.LateS))
}
