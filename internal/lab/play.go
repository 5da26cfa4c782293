package lab

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/harewalk/harewalk/internal/simulator"
)

// Progress is told how far the runs are, from 0 to 1 in all; nil for nobody.
type Progress func(done float64)

// Run plays every configuration with every seed, several at a time, and sums up. Where it plays one
// at a time, clock is told each run's simulated clock at its start; nil for nobody.
func (s *Scenario) Run(parallel int, progress Progress, clock func(now func() time.Duration)) (*Result, error) {
	type slot struct{ config, rep int }
	var slots []slot
	for r := range s.Repetitions {
		for c := range s.Configs {
			slots = append(slots, slot{c, r})
		}
	}
	if parallel < 1 {
		parallel = runtime.GOMAXPROCS(0)
	}
	runs := make([][]*run, len(s.Configs))
	for c := range runs {
		runs[c] = make([]*run, s.Repetitions)
	}
	var (
		mu     sync.Mutex
		first  error
		done   = make([]float64, len(slots))
		wg     sync.WaitGroup
		tokens = make(chan struct{}, parallel)
	)
	for i, sl := range slots {
		wg.Add(1)
		tokens <- struct{}{}
		go func() {
			defer func() { <-tokens; wg.Done() }()
			r, err := s.play(s.Configs[sl.config], s.Seed+uint64(sl.rep), clock, func(part float64) {
				mu.Lock()
				defer mu.Unlock()
				done[i] = part
				if progress != nil {
					sum := 0.0
					for _, d := range done {
						sum += d
					}
					progress(sum / float64(len(done)))
				}
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil && first == nil {
				first = fmt.Errorf("config %q, seed %d: %w", s.Configs[sl.config].Name, s.Seed+uint64(sl.rep), err)
			}
			runs[sl.config][sl.rep] = r
		}()
	}
	wg.Wait()
	if first != nil {
		return nil, first
	}
	return s.sum(runs), nil
}

// samples is how often the use of the machines is measured in a run.
const samples = 240

// run is what was seen of one run.
type run struct {
	seed        uint64
	users       []*user
	utilization []simulator.Utilization
	starts      []time.Duration
	leads       []time.Duration // when the lead passed
	answers     []answered
	stats       simulator.Stats
	broken      []string
	end         time.Duration
}

// answered is one request of a user: when it was made, and whether it was served.
type answered struct {
	at     time.Duration
	served bool
}

// play plays one run.
func (s *Scenario) play(c Config, seed uint64, clock func(func() time.Duration), progress Progress) (*run, error) {
	sim, err := simulator.NewVirtualTime(s.platform(c, seed), c.settings)
	if err != nil {
		return nil, err
	}
	defer sim.Close()
	if clock != nil {
		clock(sim.Now)
	}
	all, err := s.arrivals(seed)
	if err != nil {
		return nil, err
	}
	script, err := s.script()
	if err != nil {
		return nil, err
	}
	if n := s.Network; n != nil {
		mean := time.Duration(n.MeanMS * float64(time.Millisecond))
		sim.SetNetwork(max(mean, 100*time.Microsecond), n.Lost, n.Late, time.Duration(n.LateS*float64(time.Second)))
	}
	r := &run{seed: seed}
	load := &generator{w: sim, rng: rand.New(rand.NewPCG(seed, 17)), run: r}
	load.balance()
	sim.Play(script, func(simulator.Fault) {})
	for _, a := range all {
		u := &user{generator: load, arrival: a}
		r.users = append(r.users, u)
		sim.After(a.at, u.arrive)
	}
	length := time.Duration(s.DurationS * float64(time.Second))
	for i := range samples {
		sim.Advance(length / samples)
		r.utilization = append(r.utilization, sim.Utilization())
		progress(float64(i) / samples * 0.9)
	}
	for late := time.Duration(0); late < time.Duration(s.DrainS*float64(time.Second)) && load.open > 0; late += 10 * time.Second {
		sim.Advance(10 * time.Second)
	}
	r.leads = sim.LeaderChanges()
	r.starts, r.stats, r.broken, r.end = sim.StartTimes(), sim.Stats(), sim.Violations(), sim.Now()
	for _, u := range r.users {
		if duration, ok := sim.FirstStart(u.spec.ID); ok {
			u.started, u.hasStarted = duration, true
		}
	}
	progress(1)
	return r, nil
}

// generator are the users of a run, behind a load balancer. They watch that no answer contradicts another.
type generator struct {
	w     *simulator.Simulation
	rng   *rand.Rand
	run   *run
	open  int   // jobs submitted and not over
	fails []int // health checks that a controller failed in a row
}

// The load balancer asks every second, and sends nobody to a controller that failed twice in a row.
const (
	healthEvery = time.Second
	healthFails = 2
)

func (c *generator) balance() {
	c.fails = make([]int, c.w.Controllers())
	for i := range c.fails {
		var check func()
		check = func() {
			c.w.Request(i, "GET", "/up", nil, func(status int, _ []byte) {
				if c.fails[i]++; status == 200 {
					c.fails[i] = 0
				}
			})
			c.w.After(healthEvery, check)
		}
		check()
	}
}

// some is a controller for the next request.
func (c *generator) some() int {
	var in []int
	for i, n := range c.fails {
		if n < healthFails {
			in = append(in, i)
		}
	}
	if in == nil {
		return c.rng.IntN(len(c.fails))
	}
	return in[c.rng.IntN(len(in))]
}

// user submits one job and follows it to its end.
type user struct {
	arrival
	generator *generator
	body      []byte

	accepted   time.Duration // after its arrival; 0: not yet
	started    time.Duration
	hasStarted bool
	over       time.Duration // when the user learnt of its end, after its arrival
	refused    bool
	heard      simulator.History
	asked      bool // for its end
}

// ask sends a request through the load balancer, and notes whether it was served.
func (c *generator) ask(method, path string, body []byte, then func(status int, state string)) {
	at := c.w.Now()
	c.w.Request(c.some(), method, path, body, func(status int, raw []byte) {
		c.run.answers = append(c.run.answers, answered{at, status > 0 && status < 429})
		var v struct {
			Stance string `json:"stance"`
		}
		_ = json.Unmarshal(raw, &v)
		then(status, v.Stance)
	})
}

// later calls f after about a time.
func (c *generator) later(duration time.Duration, f func()) {
	c.w.After(time.Duration((0.75+0.5*c.rng.Float64())*float64(duration)), f)
}

func (u *user) since() time.Duration { return u.generator.w.Now() - u.at }

func (u *user) arrive() {
	u.body, _ = json.Marshal(u.spec)
	u.generator.w.AddJob(u.spec)
	u.generator.open++
	u.submit()
	if u.cancel > 0 {
		u.generator.w.After(u.cancel, u.abort)
	}
}

func (u *user) submit() {
	u.generator.ask("POST", "/v2/runs", u.body, func(status int, _ string) {
		switch status {
		case 200, 201:
			u.accepted, u.body = max(1, u.since()), nil
			u.heard = simulator.History{ID: u.spec.ID, Tasks: u.spec.Tasks}
			u.generator.later(2*time.Second, u.poll)
		case 400, 422:
			u.refused = true
			u.generator.open--
		default:
			u.generator.later(time.Second, u.submit)
		}
	})
}

func (u *user) abort() {
	if u.accepted == 0 || u.over > 0 {
		return
	}
	u.asked = true
	u.generator.ask("POST", "/v2/runs/"+u.spec.ID+"/abort", []byte("{}"), func(status int, state string) {
		switch {
		case status != 200:
			u.generator.later(time.Second, u.abort)
		case state == "cancelled":
			u.generator.w.ConfirmCancelled(u.spec.ID)
		}
	})
}

// poll asks for the job until it is over, and twice more after that.
func (u *user) poll() {
	u.generator.ask("GET", "/v2/runs/"+u.spec.ID, nil, func(status int, state string) {
		u.generator.w.CheckAnswer(&u.heard, status, state, u.asked)
		if status == 404 {
			return
		}
		if u.heard.FinalAnswers == 1 && u.over == 0 {
			u.over = u.since()
			u.generator.open--
		}
		if u.heard.FinalAnswers < 3 {
			u.generator.later(max(2*time.Second, min(u.since()/10, 30*time.Second)), u.poll)
		}
	})
}
