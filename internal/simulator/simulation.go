// Package simulator simulates the environment of the controllers according to the published protocols: the state
// service, the cloud, machines with their workers, a licence server, a load balancer and users. It injects faults on
// command, from a script or from a seed. It checks the protocol's rules against the true state of the machines, and
// Violations lists the rules that were broken. The simulator makes no decision for a controller and shares no state
// with one.
//
// Tests, the development cluster (harewalk dev) and the experiments of package lab use the package. NewRealTime
// simulates in real time on loopback sockets, for controllers that run as separate processes (Cluster).
// NewVirtualTime also runs the controllers, on one goroutine in virtual time: hours are simulated in seconds, and the
// same seed gives the same run.
//
// A Simulation belongs to no event loop: one mutex guards all of its state.
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

// Simulation is one simulated environment of a cluster of controllers. Its methods are safe for concurrent use in
// real time. In virtual time all calls must come from one goroutine.
type Simulation struct {
	cfg           Config
	env           environment
	virtual       *virtualTime   // the same object as env in virtual time, nil in real time
	closing       chan struct{}  // closed by Close
	sessionAgents sync.WaitGroup // running agents of interactive sessions (real time only); Close waits for them
	settings      []config.Settings

	mu         sync.Mutex // guards the fields below
	rng        *rand.Rand
	violations []string
	stats      Stats

	state   stateServer
	cloud   cloud
	records jobRecords
	users   userAnswers
	faults  messageFaults
	// Licences is the licence server.
	Licences *LicenceServer
}

// jobRecords records the jobs and tasks independently of the machines on which tasks run.
type jobRecords struct {
	specs       map[string]*jobs.Spec          // by job ID
	sessions    map[string]*InteractiveSession // by job ID
	progress    map[string]*progress           // by task name
	submittedAt map[string]time.Duration       // time of a job's submission, by job ID
	startDelays map[string]time.Duration       // time from a job's submission to the start of its first task, by job
	startTimes  []time.Duration                // start times of all tasks, in order
	cancelledAt map[string]time.Duration       // time at which a user received the job's cancellation, by job
	pipelines   pipelineRecords
	// repeatedWrites are the keys that repeated transactions have changed.
	repeatedWrites []string
}

// progress is the part of a task's state that outlives its machine.
type progress struct {
	done         bool
	savedSeconds float64 // seconds of work saved in the newest checkpoint
}

// Sequence numbers of the random generators. Each concern draws from its own generator, so that enabling one concern
// doesn't change the numbers that the others draw.
const (
	simulationStream   = 7
	userStream         = 11
	virtualTimeStream  = 13
	delayStream        = 17
	userBehaviorStream = 19
	repeatStream       = 23
)

// NewRealTime starts a simulation in real time on loopback sockets, without machines. The controllers are started
// through NewCluster. The caller must close the simulation.
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
		records: jobRecords{
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
			behavior:        userBehavior{rng: rand.New(rand.NewPCG(cfg.Seed, userBehaviorStream))},
		},
		faults: messageFaults{
			failingJobs: map[string]bool{},
			delays:      delays{rng: rand.New(rand.NewPCG(cfg.Seed, delayStream))},
			repeated:    repeatedCommands{rng: rand.New(rand.NewPCG(cfg.Seed, repeatStream))},
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
	for _, key := range slices.Sorted(maps.Keys(cfg.InitialKeys)) { // each key gets its own revision
		server.service.Apply([]store.Op{{Put: key, Value: cfg.InitialKeys[key]}})
	}
	return server
}

// listen opens the addresses of all services and builds the controllers' settings.
func (sim *Simulation) listen() error {
	cloudAddr, err := sim.env.listen("cloud", "", func(request httpRequest, reply replyFunc) {
		status, body := sim.serveCloud(request)
		sim.repeatCloudRequest(request, status)
		reply(status, body)
	})
	if err != nil {
		return err
	}
	sim.Licences.Addr, err = sim.env.listen("licences", "", synchronousHandler(sim.Licences.serve))
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

// controllerSettings returns a controller's settings without its peers. It returns an error if an address can't be
// opened.
func (sim *Simulation) controllerSettings(controller int, cloudAddr string) (config.Settings, error) {
	stateAddr, err := sim.listenState(controller)
	if err != nil {
		return config.Settings{}, err
	}
	public, peer, err := sim.env.controllerAddrs(controller)
	if err != nil {
		return config.Settings{}, fmt.Errorf("no free port: %w", err)
	}
	cfg := &sim.cfg
	settings := config.Settings{
		Node:       fmt.Sprintf("node-%d", controller),
		Zone:       cfg.Zones[controller%len(cfg.Zones)],
		PublicAddr: public,
		PeerAddr:   peer,
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

// BootMachines rents n machines of the first type, spread over its zones, without a boot time. It returns an error if
// a machine's address can't be opened.
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

// synchronousHandler returns a handler that replies with the result of serve before it returns.
func synchronousHandler(serve func(httpRequest) (int, any)) handlerFunc {
	return func(request httpRequest, reply replyFunc) { reply(serve(request)) }
}

// SettingsJSON returns the content of the platform's settings file for a controller.
func (sim *Simulation) SettingsJSON(controller int) []byte {
	raw, _ := json.Marshal(sim.settings[controller])
	return raw
}

// Controllers returns the number of controllers, including those that aren't running.
func (sim *Simulation) Controllers() int { return sim.cfg.Controllers }

// UserAddr returns the address at which a controller serves users and workers.
func (sim *Simulation) UserAddr(controller int) string { return sim.settings[controller].PublicAddr }

// nodeNames returns the controllers' node names, by controller number.
func (sim *Simulation) nodeNames() (names []string) {
	for _, settings := range sim.settings {
		names = append(names, settings.Node)
	}
	return names
}

// Close stops the simulation, its session agents and its servers.
func (sim *Simulation) Close() {
	close(sim.closing)
	sim.sessionAgents.Wait()
	sim.env.close()
}

// Now returns the time since the simulation's start.
func (sim *Simulation) Now() time.Duration { return sim.now() }

func (sim *Simulation) now() time.Duration { return sim.env.now() }

// After calls f after the duration, unless the simulation has been closed by then.
func (sim *Simulation) After(duration time.Duration, f func()) { sim.env.schedule(duration, f) }

// tick advances leases, licence checkouts and machines to the current time, and schedules the next tick.
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

// maxViolations is the number of violations that are recorded; later ones are dropped.
const maxViolations = 100

// Violations returns the recorded rule violations in chronological order, each with its time.
func (sim *Simulation) Violations() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return append([]string(nil), sim.violations...)
}

// ReportViolation records a rule violation that a simulated user observed.
func (sim *Simulation) ReportViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.recordViolation(format, args...)
}

// recordViolation records a rule violation. The caller holds the mutex.
func (sim *Simulation) recordViolation(format string, args ...any) {
	if len(sim.violations) < maxViolations {
		at := fmt.Sprintf("%.2f s: ", sim.now().Seconds())
		sim.violations = append(sim.violations, at+fmt.Sprintf(format, args...))
	}
}
