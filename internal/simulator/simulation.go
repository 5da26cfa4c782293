// Package simulator is everything around the controllers, played on loopback by the published
// protocols: the state service, the cloud, machines with their workers, a licence server and a
// load balancer's worth of users. Faults come on command or from a seed. It is for tests, the
// development cluster and experiments; it knows the truth, and Broken says which rule did not
// hold.
//
// A World belongs to no event loop: one mutex guards all of it. It stands on real time and loopback
// sockets, or on a simulation, in which the controllers run too and hours pass in seconds.
package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// Config says what is played. Zero values are replaced by defaults that suit a test.
type Config struct {
	Seed        uint64
	Controllers int
	Zones       []string
	Types       []capacity.MachineType
	Teams       []config.Team
	Workers     config.Workers
	State       config.State
	Cloud       config.Cloud
	// MaxMachines bounds what the cloud gives out.
	MaxMachines int
	// LicencePools are the licence pools of the licence server, by name.
	LicencePools map[string]int
	// Speed is how many times faster tasks run than their owners estimate.
	Speed float64
	// VariedRunTimes lets the tasks of a job run between a quarter and twice as long as estimated.
	VariedRunTimes bool
	// TickInterval is how often time passes for machines and holds.
	TickInterval time.Duration
	// InitialKeys is what the state service holds from the start, by key.
	InitialKeys map[string]json.RawMessage
	// LicenceTimeout is how long it counts a holder that it hears no more.
	LicenceTimeout time.Duration
	// StateAddrs are the addresses, one for each controller, of a state service that another process plays; nil: this
	// world plays it.
	StateAddrs []string
	// Limits is what each controller may use of its machine.
	Limits config.Limits
}

func valueOr[T comparable](given, otherwise T) T {
	var zero T
	if given == zero {
		return otherwise
	}
	return given
}

func (c *Config) defaults() {
	c.Controllers = valueOr(c.Controllers, 3)
	c.MaxMachines = valueOr(c.MaxMachines, 20)
	c.LicenceTimeout = valueOr(c.LicenceTimeout, 4*time.Second)
	c.Speed = valueOr(c.Speed, 1)
	c.TickInterval = valueOr(c.TickInterval, 10*time.Millisecond)
	if c.Zones == nil {
		c.Zones = []string{"a", "b"}
	}
	if c.Types == nil {
		c.Types = []capacity.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, Mem: 128, CacheGB: 100, FetchGB: 10, Price: 4, Spot: 1.5, BootS: 1, Zones: c.Zones}}
	}
	if c.Teams == nil {
		c.Teams = []config.Team{{Name: "red", CPUs: 40}, {Name: "blue", CPUs: 40, CPUsMax: 120}}
	}
	c.Workers = valueOr(c.Workers, config.Workers{ReportS: 0.5, LeaseS: 6, GangWaitS: 10, GangPeerS: 2, CancelS: 20})
	c.State = valueOr(c.State, config.State{RPS: 2000, WriteRPS: 600, ValueKB: 32, TxnOps: 40})
	c.Cloud = valueOr(c.Cloud, config.Cloud{RPS: 20, ListLagS: 0.5})
	cores, mem, sockets := 1.0, 512.0, 4096
	c.Limits = valueOr(c.Limits, config.Limits{Cores: &cores, MemMB: &mem, Sockets: &sockets})
}

// Simulation is what is played.
type Simulation struct {
	cfg           Config
	env           environment
	virtual       *virtualTime  // the ground, if it is a simulation
	closing       chan struct{} // closed at the end
	sessionAgents sync.WaitGroup

	mu         sync.Mutex
	rng        *rand.Rand
	violations []string
	settings   []config.Settings

	stateService   *state.Service
	keyWaiters     []func() // who waits for the next change of a key
	requestLimit   bucket
	writeLimit     bucket
	initialLimits  config.State // its limits at the start
	stateDown      bool
	interceptTxn   func(controller int, txn store.Txn) TxnOutcome
	refused        []bool // by controller: the state service refuses it
	watchesStalled []bool // by controller: its watches aren't answered, everything else is
	// dropWatches: a watch that comes in is never answered.
	dropWatches bool

	machines      []*Machine
	machineByName map[string]*Machine
	claims        map[string][]string
	cloudDown     bool

	bootFault      bootFault
	failingJobs    map[string]bool // jobs that fail wherever they run
	duplication    duplication
	delays         delays
	onCancelled    []func()
	userAnswers    userAnswers
	keptHeartbeats []keptHeartbeat // reports whose copies wait for the next leader

	specs        map[string]*jobs.Spec
	cancelledAt  map[string]time.Duration // cancelled
	taskProgress map[string]*progress     // by task name

	sessions map[string]*InteractiveSession

	// Licences is the licence server.
	Licences            *LicenceServer
	stats               Stats
	costOfEndedMachines float64                  // for machines that are gone
	startTimes          []time.Duration          // when tasks started
	leaderChanges       []time.Duration          // when the lead passed
	submittedAt         map[string]time.Duration // jobs, since when
	startDelays         map[string]time.Duration // from there to a job's first start
}

// Stats counts what happened.
type Stats struct {
	TaskStarts, TasksDone, TasksCrashed, MachinesKilled, MachinesHung, WorkerLeasesExpired, CommandsDelayed, LicenceServerCrashes int
	// Of controllers, in a simulation.
	ControllersKilled, ControllersFrozen, ControllersDrained int
	// OneWayFaults counts machines that were deaf or mute, Copies late copies, Reborn machines that were back at once, Severed
	// controllers cut off from some of their counterparts.
	OneWayFaults, DuplicatesSent, MachinesRestarted, LinksCut int
	// LaunchesLost counts the launches sent to machines that were deaf.
	LaunchesLost int
	// TasksRerun counts the tasks that began once more after they were done.
	TasksRerun int
	// DelayWrites counts the transactions that got no answer and were carried out late, LostAnswers those carried out at once
	// whose answer was lost.
	LateWrites, LostAnswers int
	// Heartbeats counts those that were sent, HeartbeatBytes and HeartbeatAnswerBytes the bodies of reports and of their answers.
	Heartbeats                           int
	HeartbeatBytes, HeartbeatAnswerBytes uint64
	// StateRequests counts what the state service was asked, StateWrites the changes carried out or tried, StateRefused
	// what it refused for its rates.
	StateRequests, StateWrites, StateRefused int
	// HeartbeatsReplayed counts copies of reports that were kept for a new leader and delivered as its term began, or once it had acted.
	HeartbeatsReplayed int
	// PollBursts counts what users looked at closely, JobsCancelled jobs that they called off as they ran or ended, Odd their odd
	// requests, and Refused those of them that were refused for good.
	PollBursts, JobsCancelled, OddRequests, OddRequestsRefused int
	// StartsAfterCancel counts the tasks that started after their user was told that the job is cancelled, DirectStartsAfterCancel those of
	// them that were launched by a direct command; LatestStartAfterCancel is how long after it the latest of them did.
	StartsAfterCancel, DirectStartsAfterCancel int
	LatestStartAfterCancel                     time.Duration
	// LongestRunAfterCancel is how long a task stayed on a machine at most after its user was told that it is cancelled.
	LongestRunAfterCancel time.Duration
}

// progress is what is kept of a task outside its machine.
type progress struct {
	done         bool
	savedSeconds float64 // seconds of work
}

// NewRealTime starts a world without machines and controllers, in real time and on loopback.
func NewRealTime(cfg Config) (*Simulation, error) {
	return newSimulation(cfg, newRealTimeEnvironment())
}

func newSimulation(cfg Config, on environment) (*Simulation, error) {
	cfg.defaults()
	sim := &Simulation{
		cfg: cfg, env: on, closing: make(chan struct{}), rng: rand.New(rand.NewPCG(cfg.Seed, 7)),
		stateService: state.New(), refused: make([]bool, cfg.Controllers), watchesStalled: make([]bool, cfg.Controllers),
		machineByName: map[string]*Machine{}, claims: map[string][]string{}, specs: map[string]*jobs.Spec{},
		failingJobs: map[string]bool{}, cancelledAt: map[string]time.Duration{}, taskProgress: map[string]*progress{}, sessions: map[string]*InteractiveSession{},
		submittedAt: map[string]time.Duration{}, startDelays: map[string]time.Duration{},
	}
	sim.delays.rng = rand.New(rand.NewPCG(cfg.Seed, 17))
	sim.userAnswers = userAnswers{jobs: map[string]*jobAnswers{}, cancelRequested: map[string]bool{}, habits: userHabits{rng: rand.New(rand.NewPCG(cfg.Seed, 19))}}
	sim.initialLimits = cfg.State
	sim.requestLimit, sim.writeLimit = bucket{rate: cfg.State.RPS}, bucket{rate: cfg.State.WriteRPS}
	for _, k := range slices.Sorted(maps.Keys(cfg.InitialKeys)) { // each has a revision of its own
		sim.stateService.Apply([]store.Op{{Put: k, Value: cfg.InitialKeys[k]}})
	}
	sim.Licences = newLicenceServer(sim, cfg.LicencePools, cfg.LicenceTimeout)
	cloud, err := on.listen("cloud", "", immediate(sim.serveCloud))
	if err != nil {
		return nil, err
	}
	if sim.Licences.Addr, err = on.listen("licences", "", immediate(sim.Licences.serve)); err != nil {
		return nil, err
	}
	for i := range cfg.Controllers {
		svc, err := sim.stateAddr(i)
		if err != nil {
			return nil, err
		}
		public, back, err := on.controllerAddrs(i)
		if err != nil {
			return nil, fmt.Errorf("no free port: %w", err)
		}
		s := config.Settings{
			Node: fmt.Sprintf("node-%d", i), Zone: cfg.Zones[i%len(cfg.Zones)], Public: public, Back: back,
			Services: config.Services{Cloud: cloud, State: svc},
		}
		s.Params = config.Params{
			Zones: cfg.Zones, Teams: cfg.Teams, Workers: cfg.Workers, State: cfg.State, Cloud: cfg.Cloud,
			Limits: cfg.Limits, SkewMS: 100,
		}
		sim.settings = append(sim.settings, s)
	}
	for i := range sim.settings {
		for k, o := range sim.settings {
			if k != i {
				sim.settings[i].Peers = append(sim.settings[i].Peers, config.Peer{Node: o.Node, Zone: o.Zone, Addr: o.Back})
			}
		}
	}
	on.schedule(cfg.TickInterval, sim.tick)
	return sim, nil
}

// stateAddr is where a controller finds the state service.
func (w *Simulation) stateAddr(controller int) (string, error) {
	if w.cfg.StateAddrs != nil {
		return w.cfg.StateAddrs[controller], nil
	}
	return w.env.listen(fmt.Sprintf("state-%d", controller), "", func(request httpRequest, reply replyFunc) { w.serveState(controller, request, reply) })
}

// StateAddr is where a controller finds the state service, by its settings.
func (w *Simulation) StateAddr(controller int) string { return w.settings[controller].Services.State }

// BootMachines rents machines of the first type, spread over its zones, as if they had been up before the world's start.
func (w *Simulation) BootMachines(n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	machineType := w.cfg.Types[0]
	machineType.BootS = 0
	for i := range n {
		if _, err := w.startMachine(w.now(), machineType, machineType.Zones[i%len(machineType.Zones)], false); err != nil {
			return err
		}
	}
	return nil
}

// immediate makes a handler of one that answers at once.
func immediate(f func(httpRequest) (int, any)) handlerFunc {
	return func(request httpRequest, reply replyFunc) { reply(f(request)) }
}

// Ports for controllers are looked for below those that the system gives to sockets without one. A port that was free when
// it was looked for was once given to one of a thousand machines before its controller listened there.
const (
	minPort         = 12_000
	portRange       = 20_000
	maxPortAttempts = 200
)

// freePort finds a loopback address that nobody listens on now.
func freePort() (string, error) {
	for range maxPortAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(portRange))
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port among %d from %d on", portRange, minPort)
}

// SettingsJSON is the platform's file of a controller, as JSON.
func (w *Simulation) SettingsJSON(i int) []byte {
	raw, _ := json.Marshal(w.settings[i])
	return raw
}

// Controllers is how many there are.
func (w *Simulation) Controllers() int { return w.cfg.Controllers }

// UserAddr is a controller's address for users.
func (w *Simulation) UserAddr(i int) string { return w.settings[i].Public }

// Close ends the world and everything in it.
func (w *Simulation) Close() {
	close(w.closing)
	w.sessionAgents.Wait()
	w.env.close()
}

// Violations lists the rules that did not hold.
func (w *Simulation) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// Stats tells what has happened so far.
func (w *Simulation) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Utilization is what the world looks like at one moment.
type Utilization struct {
	Machines           int     // up
	CPUs, GPUs         float64 // of machines that are up
	UsedCPUs, UsedGPUs float64 // of tasks on machines
	Running            int     // tasks on machines
	Cost               float64 // of all machines so far, from their renting on
}

// Utilization takes a picture.
func (w *Simulation) Utilization() (p Utilization) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	p.Cost = w.costOfEndedMachines
	for _, machine := range w.machines {
		if machine.dead {
			continue
		}
		p.Cost += machine.cost(now)
		if now < machine.upAt {
			continue
		}
		p.Machines++
		p.CPUs, p.GPUs = p.CPUs+machine.machineType.CPUs, p.GPUs+machine.machineType.GPUs
		for _, task := range machine.tasks {
			if task.counted {
				p.Running++
				p.UsedCPUs, p.UsedGPUs = p.UsedCPUs+task.spec.CPUs, p.UsedGPUs+task.spec.GPUs
			}
		}
	}
	return p
}

// StartTimes lists when tasks started.
func (w *Simulation) StartTimes() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.startTimes)
}

// LeaderChanges lists when the lead passed, the first time included.
func (w *Simulation) LeaderChanges() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.leaderChanges)
}

// FirstStart is when a job's first task started, after it was known; false: none has.
func (w *Simulation) FirstStart(id string) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	duration, ok := w.startDelays[id]
	return duration, ok
}

// Now is the world's time, from its start.
func (w *Simulation) Now() time.Duration { return w.now() }

// LongestStartGap is the longest time without any start between two moments.
func (w *Simulation) LongestStartGap(from, to time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, gap := from, time.Duration(0)
	for _, t := range w.startTimes {
		if t >= from && t <= to {
			gap, last = max(gap, t-last), t
		}
	}
	return max(gap, to-last)
}

// StartDelays lists how long the jobs of a class waited for their first start.
func (w *Simulation) StartDelays(class string) (ds []time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, duration := range w.startDelays {
		if w.specs[id].Class == class {
			ds = append(ds, duration)
		}
	}
	return ds
}

func (w *Simulation) violate(format string, a ...any) {
	if len(w.violations) < 100 {
		w.violations = append(w.violations, fmt.Sprintf("%.2f s: ", w.now().Seconds())+fmt.Sprintf(format, a...))
	}
}

func (w *Simulation) now() time.Duration { return w.env.now() }

// tick lets a step of time pass.
func (w *Simulation) tick() {
	w.mu.Lock()
	now := w.now()
	w.expireLeases(now)
	w.Licences.expire(now)
	for _, machine := range w.machines {
		w.advanceMachine(now, machine)
	}
	w.mu.Unlock()
	w.env.schedule(w.cfg.TickInterval, w.tick)
}

// bucket bounds a rate, with bursts of a second's worth.
type bucket struct {
	rate, level float64
	at          time.Duration
}

func (b *bucket) take(now time.Duration, n float64) bool {
	b.level = max(0, b.level-b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level+n > b.rate {
		return false
	}
	b.level += n
	return true
}
