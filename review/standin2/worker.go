package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one attempt at a task on a machine.
type attempt struct {
	task    string
	try     uint64
	state   string
	cause   string
	saved   bool
	spec    *jobSpec
	w       *worker
	onSite  bool // it has its image
	crashes bool // it fails instead of ending

	ready   time.Time // when the image is there, or the task is alone, or it is done, or it has saved
	started time.Time
	base    float64 // progress at the start
}

// worker is one machine with its worker.
type worker struct {
	world *world
	nodes func() map[string]string // addresses of the controllers by name
	name  string
	addr  string
	build string
	zone  string
	spot  bool

	mu         sync.Mutex
	run, tally uint64
	mark       uint64
	noticeAt   time.Time
	leaseFrom  time.Time // when the last answered report was sent, or the session began
	attempts   []*attempt
	images     map[string]time.Time // when each image is there
	dead       bool
	hungUntil  time.Time
	wasHung    bool
	hungFrom   time.Time
	mute, deaf bool
	changed    chan struct{}
	listener   net.Listener
	client     *http.Client
	// lateReport returns how late a second copy of a report is sent, and lateOrders that of a direct request; 0: none.
	lateReport, lateOrders func() time.Duration
}

func newWorker(w *world, nodes func() map[string]string, name, build, zone string, spot bool) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &worker{
		world: w, nodes: nodes, name: name, addr: listener.Addr().String(), build: build, zone: zone, spot: spot,
		run: 1, leaseFrom: time.Now(), images: map[string]time.Time{}, changed: make(chan struct{}, 1), listener: listener,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/orders", m.serveOrders)
	mux.HandleFunc("/status", m.serveStatus)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go m.tickLoop()
	go m.reportLoop()
	return m, nil
}

type taskReport struct {
	Task  string `json:"hop"`
	Try   uint64 `json:"try"`
	State string `json:"stance"`
	Cause string `json:"cause,omitempty"`
	Saved bool   `json:"kept,omitempty"`
}

type report struct {
	Machine string       `json:"den"`
	Addr    string       `json:"address"`
	Build   string       `json:"build"`
	Zone    string       `json:"meadow"`
	Spot    bool         `json:"stray"`
	Run     uint64       `json:"run"`
	Tally   uint64       `json:"tally"`
	Mark    uint64       `json:"mark"`
	Notice  *float64     `json:"warning_s"`
	Tasks   []taskReport `json:"hops"`
}

type command struct {
	Op    string  `json:"call"`
	Task  string  `json:"hop"`
	Try   uint64  `json:"try"`
	Grace float64 `json:"mercy_s"`
}

type commandBody struct {
	Mark  *uint64   `json:"mark"`
	Run   *uint64   `json:"run"`
	Calls []command `json:"calls"`
}

// report returns the worker's report. The caller holds the mutex.
func (m *worker) report() report {
	m.tally++
	r := report{m.name, m.addr, m.build, m.zone, m.spot, m.run, m.tally, m.mark, nil, []taskReport{}}
	if !m.noticeAt.IsZero() {
		left := time.Until(m.noticeAt).Seconds()
		r.Notice = &left
	}
	for _, a := range m.attempts {
		r.Tasks = append(r.Tasks, taskReport{a.task, a.try, a.state, a.cause, a.saved})
	}
	return r
}

func (m *worker) change() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// hang freezes the machine for a time.
func (m *worker) hang(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hungUntil = time.Now().Add(d)
	m.hungFrom = time.Now()
	m.wasHung = true
	m.world.rec.logf("machine %s hangs for %v", m.name, d)
}

func (m *worker) isHung() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wasHung
}

// awaitAwake waits until the machine is not frozen, and returns false if it is gone.
func (m *worker) awaitAwake() bool {
	for {
		m.mu.Lock()
		hung, dead := m.wasHung, m.dead
		m.mu.Unlock()
		if dead {
			return false
		}
		if !hung {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// die stops the machine with all that is on it.
func (m *worker) die(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		return
	}
	m.dead = true
	m.world.rec.logf("machine %s is gone: %s", m.name, why)
	for _, a := range m.attempts {
		m.drop(a, "machine gone")
	}
	m.attempts = nil
	_ = m.listener.Close()
}

// drop takes an attempt off the machine.
func (m *worker) drop(a *attempt, why string) {
	if a.onSite {
		a.onSite = false
		m.world.leave(a.task, m, why)
	}
	if a.spec != nil && a.spec.Kind == "gang" {
		m.world.leaveGang(a)
	}
}

func (m *worker) tickLoop() {
	for range time.Tick(20 * time.Millisecond) {
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		now := time.Now()
		if m.wasHung {
			if now.Before(m.hungUntil) {
				m.mu.Unlock()
				continue
			}
			m.wasHung = false
			pause := now.Sub(m.hungFrom)
			for _, a := range m.attempts {
				a.ready = a.ready.Add(pause)
				a.started = a.started.Add(pause)
			}
		}
		if now.Sub(m.leaseFrom) > seconds(m.world.timing.leaseS) {
			m.world.rec.logf("lease of %s expired, session %d", m.name, m.run+1)
			for _, a := range m.attempts {
				m.drop(a, "lease expired")
			}
			m.attempts = nil
			m.run++
			m.leaseFrom = now
			m.change()
		}
		for _, a := range m.attempts {
			m.advance(now, a)
		}
		m.mu.Unlock()
	}
}

func (m *worker) exit(a *attempt, cause string, saved bool) {
	if a.state == "exited" {
		return
	}
	if cause == "done" {
		m.world.markDone(a.task)
	}
	a.state = "exited"
	a.cause = cause
	a.saved = saved
	m.drop(a, cause)
	m.change()
}

// advance moves an attempt on.
func (m *worker) advance(now time.Time, a *attempt) {
	switch a.state {
	case "pulling":
		if now.Before(a.ready) {
			return
		}
		a.onSite = true
		m.world.enter(a.task, a.try, m)
		m.change()
		switch {
		case m.world.isDone(a.task):
			m.exit(a, "done", false)
		case a.spec.Kind == "gang" && a.spec.Tasks > 1:
			a.state = "gathering"
			a.ready = now.Add(seconds(m.world.timing.gangWaitS))
			m.world.gather(a)
		default:
			m.begin(now, a)
		}
	case "gathering":
		if m.world.gangStarted(a) {
			m.begin(now, a)
			m.change()
		} else if now.After(a.ready) {
			m.exit(a, "alone", false)
		}
	case "running":
		if a.spec.Kind == "gang" && a.spec.Tasks > 1 && m.world.gangBroken(a) {
			m.exit(a, "peers", false)
			return
		}
		if now.After(a.ready) {
			if a.spec.fails || a.crashes {
				m.exit(a, "error", false)
			} else if a.spec.Kind != "daemon" {
				m.exit(a, "done", false)
			}
		}
	case "flushing":
		if now.After(a.ready) {
			m.exit(a, "halted", true)
		}
	}
}

func (m *worker) progressKey(a *attempt) string {
	if a.spec.Kind == "gang" {
		return a.spec.ID
	}
	return a.task
}

func (m *worker) begin(now time.Time, a *attempt) {
	a.state = "running"
	a.started = now
	m.world.mu.Lock()
	a.base = m.world.progress[m.progressKey(a)]
	m.world.mu.Unlock()
	left := max(0.05, a.spec.runS-a.base)
	if a.spec.fails {
		left = 0.5
	}
	if a.spec.crash > 0 && m.world.startsOf(a.task) == 1 {
		left = a.spec.crash
		a.crashes = true
	}
	a.ready = now.Add(seconds(left))
}

func (m *worker) saveProgress(now time.Time, a *attempt) {
	progress := a.base + now.Sub(a.started).Seconds()
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.world.progress[m.progressKey(a)] = max(progress, m.world.progress[m.progressKey(a)])
}

func (m *worker) find(task string, try uint64) *attempt {
	for _, a := range m.attempts {
		if a.task == task && a.try == try {
			return a
		}
	}
	return nil
}

// execute carries out commands in order. The caller holds the mutex.
func (m *worker) execute(calls []command) {
	now := time.Now()
	for _, c := range calls {
		a := m.find(c.Task, c.Try)
		switch c.Op {
		case "launch":
			if a == nil {
				m.launch(now, c)
			}
		case "halt":
			if a != nil && a.state != "exited" {
				m.halt(now, a, c.Grace)
			}
		case "forget":
			if a != nil && a.state == "exited" {
				for i := range m.attempts {
					if m.attempts[i] == a {
						m.attempts = append(m.attempts[:i], m.attempts[i+1:]...)
						break
					}
				}
			}
		default:
			m.world.rec.breakRule("unknown command %q to %s", c.Op, m.name)
		}
	}
	if len(calls) > 0 {
		m.change()
	}
}

func (m *worker) launch(now time.Time, c command) {
	a := &attempt{task: c.Task, try: c.Try, state: "exited", w: m}
	m.attempts = append(m.attempts, a)
	spec := m.world.findJob(c.Task)
	if spec == nil {
		a.cause = "no_such"
		return
	}
	a.spec = spec
	cpus, gpus, memory := spec.CPUs, spec.GPUs, spec.MemoryGB
	for _, other := range m.attempts {
		if other == a || other.state == "exited" {
			continue
		}
		if other.task == c.Task {
			a.cause = "in_use"
			return
		}
		cpus += other.spec.CPUs
		gpus += other.spec.GPUs
		memory += other.spec.MemoryGB
	}
	size := m.world.types[m.build]
	if cpus > size.CPUs+1e-6 || gpus > size.GPUs+1e-6 || memory > size.MemoryGB+1e-6 {
		a.cause = "full"
		m.world.rec.logf("full: %s on %s", c.Task, m.name)
		return
	}
	a.state = "pulling"
	ready, ok := m.images[spec.Image]
	if !ok {
		ready = now.Add(seconds(spec.ImageGB / size.FetchGB))
		m.images[spec.Image] = ready
	}
	if ready.Before(now) {
		ready = now
	}
	a.ready = ready
}

func (m *worker) halt(now time.Time, a *attempt, grace float64) {
	canSave := a.state == "running" && a.spec.RestS > 0 && grace >= a.spec.SaveS
	switch {
	case a.state == "flushing":
		if grace == 0 {
			m.exit(a, "halted", false)
		}
	case canSave:
		m.saveProgress(now, a)
		a.state = "flushing"
		a.ready = now.Add(seconds(a.spec.SaveS))
		m.change()
	default:
		if a.state == "running" && a.spec.RestS > 0 {
			m.world.keepCheckpoint(a, now)
		}
		m.exit(a, "halted", false)
	}
}

func (m *worker) serveOrders(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !m.awaitAwake() {
		hangUp(w)
		return
	}
	m.mu.Lock()
	if m.deaf || m.dead {
		m.mu.Unlock()
		time.Sleep(5 * time.Second)
		hangUp(w)
		return
	}
	defer m.mu.Unlock()
	var orders commandBody
	if json.Unmarshal(body, &orders) != nil || orders.Mark == nil || orders.Run == nil {
		m.world.rec.breakRule("bad orders to %s: %s", m.name, body)
		sendJSON(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	status := http.StatusOK
	if *orders.Mark < m.mark || *orders.Run != m.run {
		status = http.StatusConflict
	} else {
		m.mark = *orders.Mark
		m.execute(orders.Calls)
		if m.lateOrders != nil {
			if late := m.lateOrders(); late > 0 {
				time.AfterFunc(late, func() { m.repeatOrders(orders) })
			}
		}
	}
	sendJSON(w, status, m.report())
}

// repeatOrders carries out a direct request once more, if its token and session still match.
func (m *worker) repeatOrders(orders commandBody) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead || m.wasHung || *orders.Mark < m.mark || *orders.Run != m.run {
		return
	}
	m.mark = *orders.Mark
	m.execute(orders.Calls)
	m.tally++
}

func (m *worker) serveStatus(w http.ResponseWriter, _ *http.Request) {
	if !m.awaitAwake() {
		hangUp(w)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sendJSON(w, http.StatusOK, m.report())
}

// reportLoop reports to one controller at a time.
func (m *worker) reportLoop() {
	names := []string{}
	for name := range m.nodes() {
		names = append(names, name)
	}
	at := names[m.world.rng.intn(len(names))]
	lastSent := time.Time{}
	redirected := time.Duration(-1)
	for {
		interval := seconds(m.world.timing.reportS * (0.75 + 0.5*m.world.rng.float()))
		switch {
		case lastSent.IsZero():
		case redirected >= 0:
			time.Sleep(redirected)
		default:
			timer := time.NewTimer(time.Until(lastSent.Add(interval)))
			select {
			case <-timer.C:
			case <-m.changed:
				timer.Stop()
				time.Sleep(time.Until(lastSent.Add(500 * time.Millisecond)))
			}
		}
		redirected = -1
		if !m.awaitAwake() {
			return
		}
		status, keeper, sent := m.sendReport(at)
		lastSent = sent
		switch {
		case status == http.StatusOK:
		case status == http.StatusMisdirectedRequest && keeper != at && m.nodes()[keeper] != "":
			at = keeper
			redirected = seconds(0.5 * m.world.rng.float())
		default:
			for i, name := range names {
				if name == at {
					at = names[(i+1)%len(names)]
					break
				}
			}
			redirected = time.Second
		}
	}
}

func (m *worker) sendReport(at string) (status int, keeper string, sent time.Time) {
	m.mu.Lock()
	select {
	case <-m.changed:
	default:
	}
	mute := m.mute
	body, _ := json.Marshal(m.report())
	run := m.run
	sent = time.Now()
	late := time.Duration(0)
	if m.lateReport != nil {
		late = m.lateReport()
	}
	m.mu.Unlock()
	if len(body) > 64<<10 {
		m.world.rec.breakRule("report of %s has %d bytes", m.name, len(body))
	}
	if mute {
		time.Sleep(100 * time.Millisecond)
		return 0, "", sent
	}
	if late > 0 {
		time.AfterFunc(late, func() {
			for _, addr := range m.nodes() {
				resp, err := m.client.Post("http://"+addr+"/checkin", "application/json", bytes.NewReader(body))
				if err == nil {
					_ = resp.Body.Close()
				}
			}
		})
	}
	resp, err := m.client.Post("http://"+m.nodes()[at]+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, "", sent
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || !m.awaitAwake() || time.Since(sent) > 4*time.Second {
		return 0, "", sent
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		var redirect struct {
			Keeper string `json:"keeper"`
		}
		_ = json.Unmarshal(raw, &redirect)
		return resp.StatusCode, redirect.Keeper, sent
	case http.StatusOK:
		var answer commandBody
		if len(raw) > 64<<10 || json.Unmarshal(raw, &answer) != nil {
			m.world.rec.breakRule("bad answer to %s: %d bytes", m.name, len(raw))
			return 0, "", sent
		}
		if m.deaf {
			return 0, "", sent
		}
		if m.run != run || m.dead || answer.Mark == nil || *answer.Mark < m.mark {
			return resp.StatusCode, "", sent
		}
		if *answer.Mark > m.mark {
			m.change()
		}
		m.mark = *answer.Mark
		m.leaseFrom = sent
		m.execute(answer.Calls)
	}
	return resp.StatusCode, "", sent
}

func gangKey(a *attempt) string { return fmt.Sprintf("%s#%d", a.spec.ID, a.try) }

// gather adds a task to its gang, which starts once it is complete.
func (w *world) gather(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(a)]
	if g == nil {
		g = &gang{tasks: map[string]*attempt{}}
		w.gangs[gangKey(a)] = g
	}
	g.tasks[a.task] = a
	if len(g.tasks) == a.spec.Tasks {
		g.started = true
	}
}

func (w *world) gangStarted(a *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(a)]
	return g != nil && g.started
}

// gangBroken reports whether a running gang has lost a task.
func (w *world) gangBroken(a *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(a)]
	if g == nil || len(g.tasks) == a.spec.Tasks {
		return false
	}
	for i := range a.spec.Tasks {
		if w.done[fmt.Sprintf("%s/%d", a.spec.ID, i)] {
			return false // it completes with the others
		}
	}
	return true
}

func (w *world) leaveGang(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(a)]
	if g != nil && g.tasks[a.task] == a {
		delete(g.tasks, a.task)
	}
}

// keepCheckpoint keeps the progress of the last checkpoint.
func (w *world) keepCheckpoint(a *attempt, now time.Time) {
	progress := a.base + now.Sub(a.started).Seconds()
	w.mu.Lock()
	defer w.mu.Unlock()
	key := a.w.progressKey(a)
	w.progress[key] = max(w.progress[key], math.Floor(progress/a.spec.RestS)*a.spec.RestS)
}

func (w *world) startsOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[task]
}
