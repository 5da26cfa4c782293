package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// workerSettings, stateSettings and cloudSettings are parts of the platform's settings.
type (
	workerSettings struct {
		ReportS   float64 `json:"report_s"`
		LeaseS    float64 `json:"lease_s"`
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
		CancelS   float64 `json:"cancel_s"`
	}
	stateSettings struct {
		RPS      float64 `json:"rps"`
		WriteRPS float64 `json:"write_rps"`
		ValueKB  float64 `json:"value_kb"`
		TxnOps   int     `json:"txn_ops"`
	}
	cloudSettings struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	}
	team struct {
		Name    string  `json:"name"`
		CPUs    float64 `json:"cpus"`
		CPUsMax float64 `json:"cpus_max"`
		GPUs    float64 `json:"gpus"`
		GPUsMax float64 `json:"gpus_max"`
	}
)

// params is the part "params" of the platform's settings.
type params struct {
	Nodes   int            `json:"nodes"`
	Zones   []string       `json:"zones"`
	Teams   []team         `json:"teams"`
	Workers workerSettings `json:"workers"`
	State   stateSettings  `json:"state"`
	Cloud   cloudSettings  `json:"cloud"`
	Limits  map[string]any `json:"machine_limits"`
	SkewMS  float64        `json:"skew_ms"`
}

// job is a submission with the run time of its tasks, which only the workers know.
type job struct {
	ID          string   `json:"name_id"`
	Class       string   `json:"breed"`
	Team        string   `json:"warren"`
	Kind        string   `json:"gait"`
	Urgency     string   `json:"urgency"`
	Tasks       int      `json:"hops"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"accelerators"`
	MemoryGB    float64  `json:"memory_gb"`
	Image       string   `json:"pelt"`
	ImageGB     float64  `json:"size_gb"`
	Types       []string `json:"builds"`
	Zone        *string  `json:"meadow"`
	OneZone     bool     `json:"same_place"`
	Spread      bool     `json:"apart"`
	Spot        bool     `json:"stray"`
	EstimateS   float64  `json:"stride_s"`
	CheckpointS float64  `json:"rest_s"`
	SaveS       float64  `json:"stash_s"`
	DeadlineS   *float64 `json:"dusk_s"`

	runS float64
}

// gangKey identifies one attempt of a gang.
type gangKey struct {
	job string
	try uint64
}

// platform is the stand-in for the cloud, its machines and their workers. It knows which tasks run where.
type platform struct {
	settings params
	types    []machineType
	nodes    []*node
	record   *recorder
	// isExhausted tells that the cloud has no machines left to rent out. It is set before the controllers start.
	isExhausted bool

	mu       sync.Mutex
	machines []*machine
	claims   map[string][]string
	jobs     map[string]*job
	gangs    map[gangKey]map[*task]bool // gang tasks that have their image and have not exited
	running  map[string]int             // tasks of a job that have begun to run
	done     map[string]map[string]bool // done tasks by job
	longest  int                        // longest line that a worker received, in bytes
	tooLong  int                        // number of lines and bodies beyond the limit
}

func newPlatform(settings params, types []machineType, record *recorder) *platform {
	return &platform{
		settings: settings,
		types:    types,
		record:   record,
		claims:   map[string][]string{},
		jobs:     map[string]*job{},
		gangs:    map[gangKey]map[*task]bool{},
		running:  map[string]int{},
		done:     map[string]map[string]bool{},
	}
}

// listen opens a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	return listener
}

// serve serves a handler on a free loopback port and returns its address.
func serve(handler http.Handler) string {
	listener := listen()
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// addMachine adds a machine that was rented some time ago and is up after boot.
func (p *platform) addMachine(kind, zone string, spot bool, rentedAgo, boot time.Duration) *machine {
	m := &machine{
		platform: p,
		kind:     p.typeNamed(kind),
		zone:     zone,
		spot:     spot,
		rentedAt: time.Now().Add(-rentedAgo),
		upAt:     time.Now().Add(boot - rentedAgo),
		stopped:  make(chan struct{}),
		listener: listen(),
		session:  1,
		images:   map[string]bool{},
	}
	m.addr = m.listener.Addr().String()
	p.mu.Lock()
	m.name = fmt.Sprintf("i-%06d", len(p.machines)+1)
	p.machines = append(p.machines, m)
	p.mu.Unlock()
	go m.run()
	return m
}

// addRunningMachine adds a machine that was rented long ago and is up.
func (p *platform) addRunningMachine(kind, zone string) *machine {
	return p.addMachine(kind, zone, false, time.Hour, 0)
}

// kill stops a machine with all that is on it; the cloud notices later.
func (p *platform) kill(m *machine) {
	p.record.printf("TROUBLE: machine %s (%s, %s) stops with all that is on it", m.name, m.kind.Name, m.zone)
	p.mu.Lock()
	m.diedAt = time.Now()
	p.mu.Unlock()
	m.stop()
}

// submitted returns a job that a user has submitted, or nil.
func (p *platform) submitted(id string) *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[id]
}

func (p *platform) joinGang(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := gangKey{t.spec.ID, t.Try}
	if p.gangs[key] == nil {
		p.gangs[key] = map[*task]bool{}
	}
	p.gangs[key][t] = true
}

func (p *platform) leaveGang(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.spec != nil {
		delete(p.gangs[gangKey{t.spec.ID, t.Try}], t)
	}
}

func (p *platform) gangSize(t *task) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.gangs[gangKey{t.spec.ID, t.Try}])
}

// taskStarted records that a task has its image: it is on its machine from now on.
func (p *platform) taskStarted(m *machine, t *task) {
	p.record.event("%s (%s, %s): %s try %d starts", m.name, m.kind.Name, m.zone, t.Task, t.Try)
}

// taskRuns records that a task runs.
func (p *platform) taskRuns(m *machine, t *task) {
	p.mu.Lock()
	p.running[t.spec.ID]++
	p.mu.Unlock()
	p.record.event("%s: %s try %d runs", m.name, t.Task, t.Try)
}

func (p *platform) taskDone(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done[t.spec.ID] == nil {
		p.done[t.spec.ID] = map[string]bool{}
	}
	p.done[t.spec.ID][t.Task] = true
}

// counts returns how many tasks of a job have begun to run, and how many are done.
func (p *platform) counts(id string) (ran, done int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[id], len(p.done[id])
}

// checkLine records the length of a line that a worker received.
func (p *platform) checkLine(m *machine, line []byte) {
	p.mu.Lock()
	p.longest = max(p.longest, len(line))
	if len(line) > maxLine {
		p.tooLong++
	}
	p.mu.Unlock()
	if len(line) > maxLine {
		p.record.printf("%s receives a line of %d bytes, the limit is %d: it can't be read", m.name, len(line), maxLine)
	}
}

// freeMachines returns the names of the machines of a type that are up and have no task.
func (p *platform) freeMachines(kind string) []string {
	p.mu.Lock()
	machines := append([]*machine(nil), p.machines...)
	p.mu.Unlock()
	var free []string
	for _, m := range machines {
		m.mu.Lock()
		isFree := m.kind.Name == kind && !m.isStopped() && time.Now().After(m.upAt) && m.session == 1
		for _, t := range m.tasks {
			isFree = isFree && t.State == "exited"
		}
		m.mu.Unlock()
		if isFree {
			free = append(free, m.name+" in "+m.zone)
		}
	}
	return free
}

// recorder writes record.txt.
type recorder struct {
	started time.Time
	quiet   bool // events of single tasks are left out

	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fatal(err)
	}
	return &recorder{started: time.Now(), file: file}
}

// printf writes a line with the time since the start.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.2f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	if !strings.HasPrefix(format, "  ") {
		_, _ = os.Stdout.WriteString(line)
	}
}

// event writes a line about a single task, unless the recorder is quiet.
func (r *recorder) event(format string, args ...any) {
	if !r.quiet {
		r.printf("  "+format, args...)
	}
}

// scratchDir is the temporary folder of the case; "" before it exists.
var scratchDir string

// fatal ends the program: the case could not run.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	stopNodes()
	if scratchDir != "" {
		_ = os.RemoveAll(scratchDir)
	}
	os.Exit(exitCouldNotRun)
}
