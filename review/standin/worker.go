package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of a worker that the protocol sets.
const (
	reportTimeout  = 4 * time.Second
	retryDelay     = time.Second
	minReportDelay = 500 * time.Millisecond
	workerTick     = 20 * time.Millisecond
	// maxLine is the longest line that a worker may receive and the largest request body that it may send or receive.
	maxLine = 64 << 10
)

// hop is a task on a machine as a worker reports it.
type hop struct {
	Task  string `json:"hop"`
	Try   uint64 `json:"try"`
	State string `json:"stance"`
	Cause string `json:"cause,omitempty"`
	Kept  bool   `json:"kept,omitempty"`
}

// report is the body of a worker's report.
type report struct {
	Machine string   `json:"den"`
	Addr    string   `json:"address"`
	Type    string   `json:"build"`
	Zone    string   `json:"meadow"`
	Spot    bool     `json:"stray"`
	Session uint64   `json:"run"`
	Seq     uint64   `json:"tally"`
	Token   uint64   `json:"mark"`
	Notice  *float64 `json:"warning_s"`
	Tasks   []hop    `json:"hops"`
}

// call is a command to a worker.
type call struct {
	Op    string  `json:"call"`
	Task  string  `json:"hop"`
	Try   uint64  `json:"try"`
	Grace float64 `json:"mercy_s"`
}

// orders is the body of a controller's answer to a report, or of direct commands.
type orders struct {
	Token   *uint64 `json:"mark"`
	Session *uint64 `json:"run"`
	Calls   []call  `json:"calls"`
}

// task is a task on a machine.
type task struct {
	hop
	spec     *job
	readyAt  time.Time // when the image is there
	onSince  time.Time // when the image was there; zero before
	runSince time.Time // when the task began to run; zero before
}

// machine is a rented machine with its worker.
type machine struct {
	platform *platform
	name     string
	addr     string
	kind     machineType
	zone     string
	spot     bool
	rentedAt time.Time
	upAt     time.Time

	// The platform's mutex guards the following fields.
	diedAt     time.Time // when the machine stopped of its own accord
	returnedAt time.Time

	stopped  chan struct{} // closed when the machine is gone
	stopOnce sync.Once
	listener net.Listener

	mu           sync.Mutex // guards the fields below
	session, seq uint64
	token        uint64
	leaseFrom    time.Time
	tasks        []*task
	images       map[string]bool
	changedAt    time.Time // last change that a report has to show
}

// stop ends the machine and everything on it.
func (m *machine) stop() {
	m.stopOnce.Do(func() {
		close(m.stopped)
		_ = m.listener.Close()
		m.mu.Lock()
		m.dropTasks()
		m.mu.Unlock()
	})
}

func (m *machine) isStopped() bool {
	select {
	case <-m.stopped:
		return true
	default:
		return false
	}
}

// run boots the machine, then reports and advances the tasks until the machine is gone.
func (m *machine) run() {
	select {
	case <-m.stopped:
		return
	case <-time.After(time.Until(m.upAt)):
	}
	m.mu.Lock()
	m.leaseFrom = time.Now()
	m.mu.Unlock()
	go func() { _ = http.Serve(m.listener, http.HandlerFunc(m.serveOrders)) }()
	go m.reportLoop()
	for !m.isStopped() {
		m.advance()
		time.Sleep(workerTick)
	}
}

// reportLoop sends reports, one at a time, to one controller at a time.
func (m *machine) reportLoop() {
	node := rand.IntN(len(m.platform.nodes))
	client := &http.Client{Timeout: reportTimeout}
	interval := m.platform.settings.Workers.ReportS
	for !m.isStopped() {
		sentAt := time.Now()
		next, delay := m.report(client, node)
		if next == node && delay == 0 {
			regular := sentAt.Add(seconds(interval * (0.75 + 0.5*rand.Float64())))
			m.awaitReport(sentAt, regular)
			continue
		}
		node = next
		time.Sleep(delay)
	}
}

// awaitReport waits until the next report is due: at its regular time, or after a change.
func (m *machine) awaitReport(sentAt, regular time.Time) {
	for !m.isStopped() && time.Now().Before(regular) {
		m.mu.Lock()
		isChanged := m.changedAt.After(sentAt)
		m.mu.Unlock()
		if isChanged && time.Since(sentAt) > minReportDelay {
			return
		}
		time.Sleep(workerTick)
	}
}

// report sends one report. It returns the controller to which the next one goes, and the delay before it; a delay of 0
// and the same controller stand for an answer 200.
func (m *machine) report(client *http.Client, node int) (next int, delay time.Duration) {
	other := (node + 1) % len(m.platform.nodes)
	sentAt := time.Now()
	m.mu.Lock()
	m.expireLease()
	body, session := m.encodeReport(), m.session
	m.mu.Unlock()
	if len(body) > maxLine {
		m.platform.record.printf("%s can't report its tasks: the body would have %d bytes", m.name, len(body))
		return other, retryDelay
	}
	answer, err := client.Post("http://"+m.platform.nodes[node].public+"/checkin", "application/json",
		bytes.NewReader(body))
	if err != nil {
		return other, retryDelay
	}
	raw, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil || time.Since(sentAt) > reportTimeout {
		return other, retryDelay
	}
	switch answer.StatusCode {
	case http.StatusOK:
		if !m.accept(sentAt, session, raw) {
			return other, retryDelay
		}
		return node, 0
	case http.StatusMisdirectedRequest:
		var redirect struct {
			Keeper string `json:"keeper"`
		}
		_ = json.Unmarshal(raw, &redirect)
		for i, n := range m.platform.nodes {
			if n.name == redirect.Keeper && i != node {
				return i, time.Duration(rand.Int64N(int64(minReportDelay)))
			}
		}
	}
	return other, retryDelay
}

// encodeReport returns the body of the next report. The caller holds the mutex.
func (m *machine) encodeReport() []byte {
	m.seq++
	r := report{
		Machine: m.name, Addr: m.addr, Type: m.kind.Name, Zone: m.zone, Spot: m.spot,
		Session: m.session, Seq: m.seq, Token: m.token, Tasks: []hop{},
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.hop)
	}
	raw, _ := json.Marshal(r)
	return raw
}

// accept applies an answer 200 and reports whether the worker could read it. A line beyond the protocol's limit can't
// be read: it counts as no answer.
func (m *machine) accept(sentAt time.Time, session uint64, raw []byte) bool {
	m.platform.checkLine(m, raw)
	var answer orders
	if len(raw) > maxLine || json.Unmarshal(raw, &answer) != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != session || answer.Token == nil || *answer.Token < m.token {
		return true // dropped: no command is executed, and the lease is not renewed
	}
	m.raiseToken(*answer.Token)
	m.leaseFrom = sentAt
	m.execute(answer.Calls)
	return true
}

func (m *machine) raiseToken(token uint64) {
	if token > m.token {
		m.token = token
		m.changedAt = time.Now()
	}
}

// serveOrders serves direct commands and the machine's status.
func (m *machine) serveOrders(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || m.isStopped() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLease()
	if r.URL.Path == "/status" {
		writeJSON(w, http.StatusOK, m.encodeReport())
		return
	}
	m.platform.checkLine(m, raw)
	var direct orders
	if len(raw) > maxLine || json.Unmarshal(raw, &direct) != nil || direct.Token == nil || direct.Session == nil {
		writeJSON(w, http.StatusBadRequest, []byte("{}"))
		return
	}
	if *direct.Token < m.token || *direct.Session != m.session {
		writeJSON(w, http.StatusConflict, m.encodeReport())
		return
	}
	m.raiseToken(*direct.Token)
	m.execute(direct.Calls)
	writeJSON(w, http.StatusOK, m.encodeReport())
}

// expireLease ends the worker's session if its lease has run out. The caller holds the mutex.
func (m *machine) expireLease() {
	if time.Since(m.leaseFrom) <= seconds(m.platform.settings.Workers.LeaseS) {
		return
	}
	m.platform.record.printf("%s: lease expired, kills %d tasks, session %d begins", m.name, len(m.tasks), m.session+1)
	m.dropTasks()
	m.session++
	m.leaseFrom = time.Now()
	m.changedAt = time.Now()
}

// dropTasks kills all tasks. The caller holds the mutex.
func (m *machine) dropTasks() {
	for _, t := range m.tasks {
		m.platform.leaveGang(t)
	}
	m.tasks = nil
}

// execute executes commands in order. The caller holds the mutex.
func (m *machine) execute(calls []call) {
	for _, c := range calls {
		i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == c.Task && t.Try == c.Try })
		switch {
		case c.Op == "launch" && i < 0:
			m.launch(c)
		case c.Op == "halt" && i >= 0 && m.tasks[i].State != "exited":
			m.exit(m.tasks[i], "halted")
		case c.Op == "forget" && i >= 0 && m.tasks[i].State == "exited":
			m.tasks = slices.Delete(m.tasks, i, i+1)
		default:
			continue
		}
		m.changedAt = time.Now()
	}
}

// launch adds a task, which exits at once if it can't run here. The caller holds the mutex.
func (m *machine) launch(c call) {
	name, _, _ := strings.Cut(c.Task, "/")
	t := &task{hop: hop{Task: c.Task, Try: c.Try, State: "pulling"}, spec: m.platform.submitted(name)}
	m.tasks = append(m.tasks, t)
	m.platform.record.event("%s (%s, %s): launch %s try %d", m.name, m.kind.Name, m.zone, c.Task, c.Try)
	if t.spec == nil {
		m.exit(t, "no_such")
		return
	}
	cpus, gpus, memory := m.kind.CPUs, m.kind.GPUs, m.kind.MemoryGB
	for _, other := range m.tasks {
		if other.State == "exited" {
			continue
		}
		if other != t && other.Task == t.Task {
			m.exit(t, "in_use")
			return
		}
		cpus, gpus, memory = cpus-other.spec.CPUs, gpus-other.spec.GPUs, memory-other.spec.MemoryGB
	}
	if cpus < -1e-6 || gpus < -1e-6 || memory < -1e-6 {
		m.exit(t, "full")
		return
	}
	t.readyAt = time.Now()
	if !m.images[t.spec.Image] {
		t.readyAt = t.readyAt.Add(seconds(t.spec.ImageGB / m.kind.FetchGB))
	}
}

// exit ends a task. The caller holds the mutex.
func (m *machine) exit(t *task, cause string) {
	t.State, t.Cause = "exited", cause
	m.changedAt = time.Now()
	m.platform.record.event("%s: %s try %d exits: %s", m.name, t.Task, t.Try, cause)
	m.platform.leaveGang(t)
}

// advance applies the passing of time to the machine's tasks.
func (m *machine) advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLease()
	for _, t := range m.tasks {
		before := t.State
		switch t.State {
		case "pulling":
			m.finishPull(t)
		case "gathering":
			m.gather(t)
		case "running":
			m.finishRun(t)
		}
		if t.State != before {
			m.changedAt = time.Now()
		}
	}
}

// finishPull starts a task whose image is there; a task of a gang waits for the others.
func (m *machine) finishPull(t *task) {
	if time.Now().Before(t.readyAt) {
		return
	}
	m.images[t.spec.Image] = true
	t.onSince = time.Now()
	m.platform.taskStarted(m, t)
	if t.spec.Kind != "gang" {
		m.begin(t)
		return
	}
	t.State = "gathering"
	m.platform.joinGang(t)
}

func (m *machine) begin(t *task) {
	t.State = "running"
	t.runSince = time.Now()
	m.platform.taskRuns(m, t)
}

// gather starts a gang's task once the gang is complete; after gang_wait_s it exits.
func (m *machine) gather(t *task) {
	switch {
	case m.platform.gangSize(t) == t.spec.Tasks:
		m.begin(t)
	case time.Since(t.onSince) > seconds(m.platform.settings.Workers.GangWaitS):
		m.exit(t, "alone")
	}
}

// finishRun ends a task that has run for its time. The tasks of a gang complete together, and a task whose gang has lost
// another one exits.
func (m *machine) finishRun(t *task) {
	if t.spec.Kind == "gang" && m.platform.gangSize(t) < t.spec.Tasks {
		if _, done := m.platform.counts(t.spec.ID); done == 0 {
			m.exit(t, "peers")
			return
		}
		m.platform.taskDone(t)
		m.exit(t, "done")
		return
	}
	if t.spec.Kind != "daemon" && time.Since(t.runSince) > seconds(t.spec.runS) {
		m.platform.taskDone(t)
		m.exit(t, "done")
	}
}
