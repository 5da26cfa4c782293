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
	// Machines bounds what the cloud gives out.
	Machines int
	// Pools are the licence pools of the licence server, by name.
	Pools map[string]int
	// Speed is how many times faster tasks run than their owners estimate.
	Speed float64
	// Uneven lets the tasks of a job run between a quarter and twice as long as estimated.
	Uneven bool
	// Step is how often time passes for machines and holds.
	Step time.Duration
	// Stored is what the state service holds from the start, by key.
	Stored map[string]json.RawMessage
	// Linger is how long it counts a holder that it hears no more.
	Linger time.Duration
	// StateAddrs are the addresses, one for each controller, of a state service that another process plays; nil: this
	// world plays it.
	StateAddrs []string
	// Limits is what each controller may use of its machine.
	Limits config.ControllerLimits
}

func or[T comparable](given, otherwise T) T {
	var zero T
	if given == zero {
		return otherwise
	}
	return given
}

func (c *Config) defaults() {
	c.Controllers = or(c.Controllers, 3)
	c.Machines = or(c.Machines, 20)
	c.Linger = or(c.Linger, 4*time.Second)
	c.Speed = or(c.Speed, 1)
	c.Step = or(c.Step, 10*time.Millisecond)
	if c.Zones == nil {
		c.Zones = []string{"a", "b"}
	}
	if c.Types == nil {
		c.Types = []capacity.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, Mem: 128, CacheGB: 100, FetchGB: 10, Price: 4, Spot: 1.5, BootS: 1, Zones: c.Zones}}
	}
	if c.Teams == nil {
		c.Teams = []config.Team{{Name: "red", CPUs: 40}, {Name: "blue", CPUs: 40, CPUsMax: 120}}
	}
	c.Workers = or(c.Workers, config.Workers{HeartbeatIntervalS: 0.5, LeaseS: 6, GangWaitS: 10, GangPeerS: 2, CancelS: 20})
	c.State = or(c.State, config.State{RPS: 2000, WriteRPS: 600, ValueKB: 32, TxnOps: 40})
	c.Cloud = or(c.Cloud, config.Cloud{RPS: 20, ListLagS: 0.5})
	cores, mem, sockets := 1.0, 512.0, 4096
	c.Limits = or(c.Limits, config.ControllerLimits{Cores: &cores, MemMB: &mem, Sockets: &sockets})
}

// World is what is played.
type World struct {
	cfg    Config
	ground ground
	sim    *Sim          // the ground, if it is a simulation
	stop   chan struct{} // closed at the end
	done   sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	broken   []string
	settings []config.Settings

	svc     *state.Service
	changed []func() // who waits for the next change of a key
	reqs    bucket
	writes  bucket
	usual   config.State // its limits at the start
	down    bool
	fate    func(controller int, txn store.Txn) Fate
	cut     []bool // by controller: the state service refuses it
	stuck   []bool // by controller: its watches aren't answered, everything else is
	// loseWatches: a watch that comes in is never answered.
	loseWatches bool

	machines []*Machine
	byName   map[string]*Machine
	claims   map[string][]string
	cloudOut bool

	boots    bootTrouble
	mistaken map[string]bool // jobs that fail wherever they run
	copied   copying
	delays   delays
	onTold   []func()
	answers  answers
	kept     []keptCopy // reports whose copies wait for the next leader

	specs map[string]*jobs.Spec
	told  map[string]time.Duration // cancelled
	tasks map[string]*progress     // by task name

	interactive map[string]*InteractiveSession

	// Licences is the licence server.
	Licences *LicenceServer
	stats    Stats
	spent    float64                  // for machines that are gone
	began    []time.Duration          // when tasks started
	led      []time.Duration          // when the lead passed
	known    map[string]time.Duration // jobs, since when
	waits    map[string]time.Duration // from there to a job's first start
}

// Stats counts what happened.
type Stats struct {
	Starts, Done, Crashed, MachinesKilled, Hung, LeaseEnds, LateOrders, ServerEnds int
	// Of controllers, in a simulation.
	Kills, Freezes, Drains int
	// OneWay counts machines that were deaf or mute, Copies late copies, Reborn machines that were back at once, Severed
	// controllers cut off from some of their counterparts.
	OneWay, Copies, Reborn, Severed int
	// Vain counts the launches sent to machines that were deaf.
	Vain int
	// Again counts the tasks that began once more after they were done.
	Again int
	// LateWrites counts the transactions that got no answer and were carried out late, LostAnswers those carried out at once
	// whose answer was lost.
	LateWrites, LostAnswers int
	// Reports counts those that were sent, ReportBytes and AnswerBytes the bodies of reports and of their answers.
	Reports                  int
	ReportBytes, AnswerBytes uint64
	// StateRequests counts what the state service was asked, StateWrites the changes carried out or tried, StateRefused
	// what it refused for its rates.
	StateRequests, StateWrites, StateRefused int
	// Kept counts copies of reports that were kept for a new leader and delivered as its term began, or once it had acted.
	Kept int
	// CloseLooks counts what users looked at closely, CalledOff jobs that they called off as they ran or ended, Odd their odd
	// requests, and Refused those of them that were refused for good.
	CloseLooks, CalledOff, Odd, Refused int
	// AfterCancel counts the tasks that started after their user was told that the job is cancelled, AfterCancelDirect those of
	// them that were launched by a direct command; LatestAfterCancel is how long after it the latest of them did.
	AfterCancel, AfterCancelDirect int
	LatestAfterCancel              time.Duration
	// LongestCancelled is how long a task stayed on a machine at most after its user was told that it is cancelled.
	LongestCancelled time.Duration
}

// progress is what is kept of a task outside its machine.
type progress struct {
	done  bool
	saved float64 // seconds of work
}

// New starts a world without machines and controllers, in real time and on loopback.
func New(cfg Config) (*World, error) { return start(cfg, newLoopback()) }

func start(cfg Config, on ground) (*World, error) {
	cfg.defaults()
	w := &World{
		cfg: cfg, ground: on, stop: make(chan struct{}), rng: rand.New(rand.NewPCG(cfg.Seed, 7)),
		svc: state.New(), cut: make([]bool, cfg.Controllers), stuck: make([]bool, cfg.Controllers),
		byName: map[string]*Machine{}, claims: map[string][]string{}, specs: map[string]*jobs.Spec{},
		mistaken: map[string]bool{}, told: map[string]time.Duration{}, tasks: map[string]*progress{}, interactive: map[string]*InteractiveSession{},
		known: map[string]time.Duration{}, waits: map[string]time.Duration{},
	}
	w.delays.rng = rand.New(rand.NewPCG(cfg.Seed, 17))
	w.answers = answers{jobs: map[string]*told{}, asked: map[string]bool{}, looks: looks{rng: rand.New(rand.NewPCG(cfg.Seed, 19))}}
	w.usual = cfg.State
	w.reqs, w.writes = bucket{rate: cfg.State.RPS}, bucket{rate: cfg.State.WriteRPS}
	for _, k := range slices.Sorted(maps.Keys(cfg.Stored)) { // each has a revision of its own
		w.svc.Apply([]store.Op{{Put: k, Value: cfg.Stored[k]}})
	}
	w.Licences = newLicenceServer(w, cfg.Pools, cfg.Linger)
	cloud, err := on.listen("cloud", "", at(w.cloud))
	if err != nil {
		return nil, err
	}
	if w.Licences.Addr, err = on.listen("licences", "", at(w.Licences.answer)); err != nil {
		return nil, err
	}
	for i := range cfg.Controllers {
		svc, err := w.stateAddr(i)
		if err != nil {
			return nil, err
		}
		public, back, err := on.addresses(i)
		if err != nil {
			return nil, fmt.Errorf("no free port: %w", err)
		}
		s := config.Settings{
			Node: fmt.Sprintf("node-%d", i), Zone: cfg.Zones[i%len(cfg.Zones)], PublicAddr: public, PeerAddr: back,
			Services: config.Services{Cloud: cloud, State: svc},
		}
		s.Params = config.Params{
			Zones: cfg.Zones, Teams: cfg.Teams, Workers: cfg.Workers, State: cfg.State, Cloud: cfg.Cloud,
			Limits: cfg.Limits, SkewMS: 100,
		}
		w.settings = append(w.settings, s)
	}
	for i := range w.settings {
		for k, o := range w.settings {
			if k != i {
				w.settings[i].Peers = append(w.settings[i].Peers, config.Peer{Node: o.Node, Zone: o.Zone, Addr: o.PeerAddr})
			}
		}
	}
	on.after(cfg.Step, w.pass)
	return w, nil
}

// stateAddr is where a controller finds the state service.
func (w *World) stateAddr(controller int) (string, error) {
	if w.cfg.StateAddrs != nil {
		return w.cfg.StateAddrs[controller], nil
	}
	return w.ground.listen(fmt.Sprintf("state-%d", controller), "", func(q request, reply answer) { w.state(controller, q, reply) })
}

// StateAddr is where a controller finds the state service, by its settings.
func (w *World) StateAddr(controller int) string { return w.settings[controller].Services.State }

// Boot rents machines of the first type, spread over its zones, as if they had been up before the world's start.
func (w *World) Boot(n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	machineType := w.cfg.Types[0]
	machineType.BootS = 0
	for i := range n {
		if _, err := w.boot(w.now(), machineType, machineType.Zones[i%len(machineType.Zones)], false); err != nil {
			return err
		}
	}
	return nil
}

// at makes a handler of one that answers at once.
func at(f func(request) (int, any)) handler {
	return func(q request, reply answer) { reply(f(q)) }
}

// Ports for controllers are looked for below those that the system gives to sockets without one. A port that was free when
// it was looked for was once given to one of a thousand machines before its controller listened there.
const (
	lowestPort  = 12_000
	portRange   = 20_000
	mostLookups = 200
)

// freePort finds a loopback address that nobody listens on now.
func freePort() (string, error) {
	for range mostLookups {
		addr := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portRange))
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port among %d from %d on", portRange, lowestPort)
}

// Settings is the platform's file of a controller, as JSON.
func (w *World) Settings(i int) []byte {
	raw, _ := json.Marshal(w.settings[i])
	return raw
}

// Controllers is how many there are.
func (w *World) Controllers() int { return w.cfg.Controllers }

// Public is a controller's address for users.
func (w *World) Public(i int) string { return w.settings[i].PublicAddr }

// Close ends the world and everything in it.
func (w *World) Close() {
	close(w.stop)
	w.done.Wait()
	w.ground.close()
}

// Broken lists the rules that did not hold.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// Stats tells what has happened so far.
func (w *World) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Picture is what the world looks like at one moment.
type Picture struct {
	Machines           int     // up
	CPUs, GPUs         float64 // of machines that are up
	UsedCPUs, UsedGPUs float64 // of tasks on machines
	Running            int     // tasks on machines
	Cost               float64 // of all machines so far, from their renting on
}

// Look takes a picture.
func (w *World) Look() (p Picture) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	p.Cost = w.spent
	for _, m := range w.machines {
		if m.dead {
			continue
		}
		p.Cost += m.cost(now)
		if now < m.boots {
			continue
		}
		p.Machines++
		p.CPUs, p.GPUs = p.CPUs+m.typ.CPUs, p.GPUs+m.typ.GPUs
		for _, k := range m.tasks {
			if k.counted {
				p.Running++
				p.UsedCPUs, p.UsedGPUs = p.UsedCPUs+k.spec.CPUs, p.UsedGPUs+k.spec.GPUs
			}
		}
	}
	return p
}

// Starts lists when tasks started.
func (w *World) Starts() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.began)
}

// Led lists when the lead passed, the first time included.
func (w *World) Led() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.led)
}

// FirstStart is when a job's first task started, after it was known; false: none has.
func (w *World) FirstStart(id string) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	duration, ok := w.waits[id]
	return duration, ok
}

// Now is the world's time, from its start.
func (w *World) Now() time.Duration { return w.now() }

// Gap is the longest time without any start between two moments.
func (w *World) Gap(from, to time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, gap := from, time.Duration(0)
	for _, t := range w.began {
		if t >= from && t <= to {
			gap, last = max(gap, t-last), t
		}
	}
	return max(gap, to-last)
}

// Waits lists how long the jobs of a class waited for their first start.
func (w *World) Waits(class string) (ds []time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, duration := range w.waits {
		if w.specs[id].Class == class {
			ds = append(ds, duration)
		}
	}
	return ds
}

func (w *World) fail(format string, a ...any) {
	if len(w.broken) < 100 {
		w.broken = append(w.broken, fmt.Sprintf("%.2f s: ", w.now().Seconds())+fmt.Sprintf(format, a...))
	}
}

func (w *World) now() time.Duration { return w.ground.now() }

// pass lets a step of time pass.
func (w *World) pass() {
	w.mu.Lock()
	now := w.now()
	w.expireHolds(now)
	w.Licences.expire(now)
	for _, m := range w.machines {
		w.live(now, m)
	}
	w.mu.Unlock()
	w.ground.after(w.cfg.Step, w.pass)
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
