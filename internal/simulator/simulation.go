// Package simulator stands in for everything around the controllers, by the published protocols: the state service,
// the cloud, machines with their workers, a licence server, a load balancer and users. It injects faults on
// command, from a script or from a seed, and checks the rules of the protocol against the true state of the
// machines; Violations lists those that didn't hold. It never decides anything for a controller and shares no state
// with one.
//
// Tests, the development cluster (harewalk dev) and the experiments of package lab use it. NewRealTime serves on
// real time and loopback sockets, for controllers in processes of their own (Cluster). NewVirtualTime runs the
// controllers too, on one goroutine in virtual time, in which hours pass in seconds and the same seed gives the
// same run.
//
// A Simulation belongs to no event loop: one mutex guards all of it.
package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// Simulation is one simulated surroundings of a cluster of controllers. Its methods are safe for concurrent use in
// real time; in virtual time all calls come from one goroutine.
type Simulation struct {
	cfg           Config
	env           environment
	virtual       *virtualTime   // env, in virtual time; nil in real time
	closing       chan struct{}  // closed by Close
	sessionAgents sync.WaitGroup // agents of interactive sessions, in real time; Close waits for them
	settings      []config.Settings

	mu         sync.Mutex // guards all that follows
	rng        *rand.Rand
	violations []string
	stats      Stats

	state  stateServer
	cloud  cloud
	work   workRecords
	users  userAnswers
	faults messageFaults
	// Licences is the licence server.
	Licences *LicenceServer
}

// workRecords is what is recorded of jobs and tasks beside what is on machines.
type workRecords struct {
	specs       map[string]*jobs.Spec
	sessions    map[string]*InteractiveSession
	progress    map[string]*progress     // by task name
	submittedAt map[string]time.Duration // by job
	startDelays map[string]time.Duration // by job: from its submission to its first task's start
	startTimes  []time.Duration          // of all tasks
	cancelledAt map[string]time.Duration // by job: when a user received the confirmation
	pipelines   pipelineRecords
}

// progress is what outlives a task's machine.
type progress struct {
	done         bool
	savedSeconds float64 // work in the newest checkpoint
}

// Sequence numbers of the random generators: each concern draws from its own, so that switching one on doesn't change
// what the others draw.
const (
	simulationStream  = 7
	userStream        = 11
	virtualTimeStream = 13
	delayStream       = 17
	userHabitStream   = 19
)

// NewRealTime starts a simulation on real time and loopback sockets, without machines. Its controllers are started
// with NewCluster. The caller closes it.
func NewRealTime(cfg Config) (*Simulation, error) {
	return newSimulation(cfg, newRealTimeEnvironment())
}

func newSimulation(cfg Config, env environment) (*Simulation, error) {
	cfg.setDefaults()
	sim := &Simulation{
		cfg:     cfg,
		env:     env,
		closing: make(chan struct{}),
		rng:     rand.New(rand.NewPCG(cfg.Seed, simulationStream)),
		state:   newStateServer(cfg),
		cloud: cloud{
			machineByName: map[string]*Machine{},
			claims:        map[string][]string{},
		},
		work: workRecords{
			specs:       map[string]*jobs.Spec{},
			sessions:    map[string]*InteractiveSession{},
			progress:    map[string]*progress{},
			submittedAt: map[string]time.Duration{},
			startDelays: map[string]time.Duration{},
			cancelledAt: map[string]time.Duration{},
			pipelines:   newPipelineRecords(),
		},
		users: userAnswers{
			jobs:            map[string]*jobAnswers{},
			cancelRequested: map[string]bool{},
			habits:          userHabits{rng: rand.New(rand.NewPCG(cfg.Seed, userHabitStream))},
		},
		faults: messageFaults{
			failingJobs: map[string]bool{},
			delays:      delays{rng: rand.New(rand.NewPCG(cfg.Seed, delayStream))},
		},
	}
	sim.Licences = newLicenceServer(sim, cfg.LicencePools, cfg.LicenceTimeout)
	if err := sim.listen(); err != nil {
		return nil, err
	}
	env.schedule(cfg.TickInterval, sim.tick)
	return sim, nil
}

func newStateServer(cfg Config) stateServer {
	server := stateServer{
		service:        state.New(),
		requestLimit:   rateLimit{rate: cfg.State.RPS},
		writeLimit:     rateLimit{rate: cfg.State.WriteRPS},
		initialLimits:  cfg.State,
		refused:        make([]bool, cfg.Controllers),
		watchesStalled: make([]bool, cfg.Controllers),
	}
	for _, key := range slices.Sorted(maps.Keys(cfg.InitialKeys)) { // each has a revision of its own
		server.service.Apply([]store.Op{{Put: key, Value: cfg.InitialKeys[key]}})
	}
	return server
}

// listen opens the addresses of all services and fills in the controllers' settings.
func (sim *Simulation) listen() error {
	cloudAddr, err := sim.env.listen("cloud", "", immediate(sim.serveCloud))
	if err != nil {
		return err
	}
	sim.Licences.Addr, err = sim.env.listen("licences", "", immediate(sim.Licences.serve))
	if err != nil {
		return err
	}
	for i := range sim.cfg.Controllers {
		settings, err := sim.controllerSettings(i, cloudAddr)
		if err != nil {
			return err
		}
		sim.settings = append(sim.settings, settings)
	}
	for i := range sim.settings {
		sim.settings[i].Peers = sim.peersOf(i)
	}
	return nil
}

// controllerSettings are a controller's settings without its peers.
func (sim *Simulation) controllerSettings(controller int, cloudAddr string) (config.Settings, error) {
	stateAddr, err := sim.listenState(controller)
	if err != nil {
		return config.Settings{}, err
	}
	public, back, err := sim.env.controllerAddrs(controller)
	if err != nil {
		return config.Settings{}, fmt.Errorf("no free port: %w", err)
	}
	cfg := &sim.cfg
	settings := config.Settings{
		Node:       fmt.Sprintf("node-%d", controller),
		Zone:       cfg.Zones[controller%len(cfg.Zones)],
		PublicAddr: public,
		PeerAddr:   back,
		Services:   config.Services{Cloud: cloudAddr, State: stateAddr},
	}
	settings.Params = config.Params{
		Zones:   cfg.Zones,
		Teams:   cfg.Teams,
		Workers: cfg.Workers,
		State:   cfg.State,
		Cloud:   cfg.Cloud,
		Limits:  cfg.Limits,
		SkewMS:  100,
	}
	return settings, nil
}

func (sim *Simulation) peersOf(controller int) (peers []config.Peer) {
	for i, other := range sim.settings {
		if i != controller {
			peers = append(peers, config.Peer{Node: other.Node, Zone: other.Zone, Addr: other.PeerAddr})
		}
	}
	return peers
}

// listenState returns the address at which a controller reaches the state service.
func (sim *Simulation) listenState(controller int) (string, error) {
	if sim.cfg.StateAddrs != nil {
		return sim.cfg.StateAddrs[controller], nil
	}
	serve := func(request httpRequest, reply replyFunc) { sim.serveState(controller, request, reply) }
	return sim.env.listen(fmt.Sprintf("state-%d", controller), "", serve)
}

// StateAddr returns the address of the state service in a controller's settings.
func (sim *Simulation) StateAddr(controller int) string {
	return sim.settings[controller].Services.State
}

// BootMachines rents machines of the first type, spread over its zones, that are up at once. It returns an error if a
// machine's address can't be opened.
func (sim *Simulation) BootMachines(n int) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machineType := sim.cfg.Types[0]
	machineType.BootS = 0
	for i := range n {
		zone := machineType.Zones[i%len(machineType.Zones)]
		if _, err := sim.startMachine(sim.now(), machineType, zone, false); err != nil {
			return err
		}
	}
	return nil
}

// immediate makes a handler of a function that returns its answer.
func immediate(serve func(httpRequest) (int, any)) handlerFunc {
	return func(request httpRequest, reply replyFunc) { reply(serve(request)) }
}

// SettingsJSON returns the platform's settings file of a controller.
func (sim *Simulation) SettingsJSON(controller int) []byte {
	raw, _ := json.Marshal(sim.settings[controller])
	return raw
}

// Controllers returns the number of controllers, running or not.
func (sim *Simulation) Controllers() int { return sim.cfg.Controllers }

// UserAddr returns a controller's address for users and workers.
func (sim *Simulation) UserAddr(controller int) string { return sim.settings[controller].PublicAddr }

// nodeNames returns the controllers' names.
func (sim *Simulation) nodeNames() (names []string) {
	for _, settings := range sim.settings {
		names = append(names, settings.Node)
	}
	return names
}

// Close ends the simulation, its agents and its servers.
func (sim *Simulation) Close() {
	close(sim.closing)
	sim.sessionAgents.Wait()
	sim.env.close()
}

// Now returns the time since the simulation's start.
func (sim *Simulation) Now() time.Duration { return sim.now() }

func (sim *Simulation) now() time.Duration { return sim.env.now() }

// After calls f after a time, unless the simulation has been closed.
func (sim *Simulation) After(duration time.Duration, f func()) { sim.env.schedule(duration, f) }

// tick advances leases, licence checkouts and machines, and schedules the next tick.
func (sim *Simulation) tick() {
	sim.mu.Lock()
	now := sim.now()
	sim.expireLeases(now)
	sim.Licences.expire(now)
	for _, machine := range sim.cloud.machines {
		sim.advanceMachine(now, machine)
	}
	sim.mu.Unlock()
	sim.env.schedule(sim.cfg.TickInterval, sim.tick)
}

// maxViolations bounds the violations that are kept: the first ones.
const maxViolations = 100

// Violations lists the rules that did not hold, each with its time, in their order.
func (sim *Simulation) Violations() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return append([]string(nil), sim.violations...)
}

// ReportViolation records that a rule did not hold, as a user observed.
func (sim *Simulation) ReportViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violate(format, args...)
}

// violate records that a rule did not hold. The caller holds the mutex.
func (sim *Simulation) violate(format string, args ...any) {
	if len(sim.violations) < maxViolations {
		at := fmt.Sprintf("%.2f s: ", sim.now().Seconds())
		sim.violations = append(sim.violations, at+fmt.Sprintf(format, args...))
	}
}
