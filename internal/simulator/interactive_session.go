package simulator

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/sessions"
)

// InteractiveSession is an interactive session as its user and its agent see it: the stand-in for both.
// Work is counted in steps; what was saved outlives the machine.
type InteractiveSession struct {
	Spec       *jobs.Spec
	User       string
	userToken  string // the user's
	agentToken string // its agent's

	simulation *Simulation
	savedSteps map[string]int

	// Of the process that runs now.
	attempt                       uint64
	steps                         int
	stepsSaved                    int
	cellEnd                       time.Duration
	cellStart                     time.Duration
	lastInput                     time.Duration
	frozen                        bool
	resumedFrom                   string
	fresh                         bool
	ownCheckpoint, keptCheckpoint string // saves of its own: the newest, and what the controllers keep
	save                          *sessions.Save
	saveDoneAt                    time.Duration // a save under way is done then
	savesFail                     bool          // saves fail
	saveDuration                  time.Duration // saves take so long
	closed                        bool
	Reclaims                      int // times the session was stopped with its work saved
	Resumes                       int
}

// InteractiveSession makes a session for a user, as yet unopened.
func (w *Simulation) InteractiveSession(spec *jobs.Spec, user string) *InteractiveSession {
	session := &InteractiveSession{Spec: spec, User: user, simulation: w, userToken: "user-" + spec.ID, agentToken: "agent-" + spec.ID, savedSteps: map[string]int{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[spec.ID] = spec
	w.sessions[spec.ID] = session
	return session
}

// processStarted is when a session's task runs: a new process, whose agent reports.
func (n *InteractiveSession) processStarted(now time.Duration, task *workerTask) {
	n.reset(now, task.attempt)
	n.simulation.sessionAgents.Add(1)
	go n.runAgent(task)
}

// reset makes the process a new one, frozen until it was told what to resume.
func (n *InteractiveSession) reset(now time.Duration, attempt uint64) {
	n.attempt, n.steps, n.stepsSaved = attempt, 0, 0
	n.frozen, n.fresh, n.resumedFrom = true, true, ""
	n.lastInput, n.cellEnd = now, 0
	n.save, n.ownCheckpoint, n.keptCheckpoint = nil, "", ""
}

// processHalted is when its worker stops it, outside a close: that must be a reclaim, and a reclaim must
// not end what runs or lose what was done.
func (n *InteractiveSession) processHalted(now time.Duration, machine *Machine) {
	if n.closed {
		return
	}
	if machine.noticeAt > 0 {
		// Its machine is taken: it saves what it can while it is being stopped.
		if !n.fresh {
			n.ownCheckpoint, n.frozen, n.save = fmt.Sprintf("%s-%d-end", n.Spec.ID, n.attempt), true, nil
			n.savedSteps[n.ownCheckpoint], n.stepsSaved = n.steps, n.steps
		}
		return
	}
	if now < n.cellEnd {
		n.simulation.violate("reclaim: %s was stopped while a cell runs", n.Spec.ID)
	}
	if n.steps != n.stepsSaved || !n.frozen {
		n.simulation.violate("reclaim: %s was stopped with %d steps, %d saved, frozen %v", n.Spec.ID, n.steps, n.stepsSaved, n.frozen)
	}
	n.Reclaims++
}

// runAgent is the agent: it reports until its process is gone.
func (n *InteractiveSession) runAgent(task *workerTask) {
	sim := n.simulation
	defer sim.sessionAgents.Done()
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	defer client.CloseIdleConnections()
	to := sim.UserAddr(0)
	every := 300 * time.Millisecond
	for seq := uint64(1); ; seq++ {
		sim.mu.Lock()
		if task.state == taskExited || n.attempt != task.attempt || !sim.onMachine(task) {
			sim.mu.Unlock()
			return
		}
		r := n.report(sim.now(), seq)
		sim.mu.Unlock()
		raw, _ := json.Marshal(r)
		status, body := send(client, to, "/v2/sessions/"+n.Spec.ID+"/report", n.agentToken, raw)
		switch status {
		case 200:
			var o sessions.Order
			if json.Unmarshal(body, &o) == nil {
				sim.mu.Lock()
				n.applyOrder(sim.now(), task, r, o)
				sim.mu.Unlock()
			}
		case 421:
			var l struct {
				Leader string `json:"leader"`
			}
			if json.Unmarshal(body, &l) == nil && l.Leader != "" {
				to = l.Leader
			}
		default:
			to = sim.UserAddr(int(seq) % sim.cfg.Controllers)
		}
		select {
		case <-sim.closing:
			return
		case <-time.After(every):
		}
	}
}

// onMachine tells whether a task is still on a machine that lives.
func (w *Simulation) onMachine(task *workerTask) bool {
	for _, machine := range w.machines {
		if machine.dead {
			continue
		}
		for _, other := range machine.tasks {
			if other == task {
				return true
			}
		}
	}
	return false
}

func (n *InteractiveSession) report(now time.Duration, seq uint64) sessions.Report {
	if n.save != nil && n.saveDoneAt > 0 && now >= n.saveDoneAt {
		n.saveDoneAt = 0
		ref := fmt.Sprintf("%s-%d-%d", n.Spec.ID, n.attempt, n.save.Order)
		if n.savesFail {
			n.save.Why = "disk full"
		} else {
			n.savedSteps[ref], n.stepsSaved = n.steps, n.steps
			n.save.OK, n.save.Ref = true, ref
		}
	}
	r := sessions.Report{Attempt: n.attempt, Seq: seq, InputS: (now - n.lastInput).Seconds(), Unsaved: float64(n.steps - n.stepsSaved), Frozen: n.frozen, Resumed: n.resumedFrom, Fresh: n.fresh}
	if n.saveDoneAt == 0 && n.save != nil {
		s := *n.save
		r.Save = &s
	}
	if r.Save == nil && n.ownCheckpoint != n.keptCheckpoint && n.ownCheckpoint != "" {
		r.Save = &sessions.Save{OK: true, Ref: n.ownCheckpoint}
	}
	if now < n.cellEnd {
		r.Cell, r.CellS, r.CPU = true, (now - n.cellStart).Seconds(), 1
	}
	return r
}

// applyOrder takes the answer to a report.
func (n *InteractiveSession) applyOrder(now time.Duration, task *workerTask, r sessions.Report, o sessions.Order) {
	if task.attempt != n.attempt {
		return
	}
	n.keptCheckpoint = o.Kept
	if o.Resume != "" && o.Resume != n.resumedFrom {
		n.steps, n.stepsSaved, n.resumedFrom = n.savedSteps[o.Resume], n.savedSteps[o.Resume], o.Resume
		n.Resumes++
	}
	if o.Thaw {
		n.frozen, n.fresh, n.save, n.saveDoneAt = false, false, nil, 0
	}
	if o.Save != 0 && (n.save == nil || n.save.Order != o.Save) {
		n.save = &sessions.Save{Order: o.Save}
		if now < n.cellEnd {
			n.save.Why = "a cell runs"
			return
		}
		n.frozen, n.saveDoneAt = true, now+max(n.saveDuration, 1)
	}
}

// Input is a user's input, one step of work; false if the process is gone or frozen.
func (n *InteractiveSession) Input() bool {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	if n.frozen || !n.running() {
		return false
	}
	n.lastInput = n.simulation.now()
	n.steps++
	return true
}

func (n *InteractiveSession) running() bool {
	for _, machine := range n.simulation.machines {
		for _, task := range machine.tasks {
			if !machine.dead && task.spec == n.Spec && task.attempt == n.attempt && task.state == taskRunning {
				return true
			}
		}
	}
	return false
}

// RunCell runs a cell for a time.
func (n *InteractiveSession) RunCell(duration time.Duration) bool {
	if !n.Input() {
		return false
	}
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	n.cellStart, n.cellEnd = n.simulation.now(), n.simulation.now()+duration
	return true
}

// SetSaveBehavior lets saves fail, or take a time.
func (n *InteractiveSession) SetSaveBehavior(failing bool, slow time.Duration) {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	n.savesFail, n.saveDuration = failing, slow
}

// Progress is how many steps are done and not lost, and whether the process takes input.
func (n *InteractiveSession) Progress() (steps int, usable bool) {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	return n.steps, n.running() && !n.frozen
}

// Counts tells how often it was reclaimed and resumed.
func (n *InteractiveSession) Counts() (reclaims, resumes int) {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	return n.Reclaims, n.Resumes
}

// ReclaimMachine announces that the cloud takes the machine back on which the session runs.
func (n *InteractiveSession) ReclaimMachine(duration time.Duration) bool {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	for _, machine := range n.simulation.machines {
		for _, task := range machine.tasks {
			if !machine.dead && task.spec == n.Spec && task.state == taskRunning {
				machine.noticeAt = n.simulation.now() + duration
				return true
			}
		}
	}
	return false
}

// Open opens the session; it returns the status.
func (n *InteractiveSession) Open() int {
	status, _ := n.requestLeader("", n.userToken, n.openRequest())
	return status
}

// openRequest is the body of the request that opens the session.
func (n *InteractiveSession) openRequest() []byte {
	body := struct {
		*jobs.Spec
		User  string `json:"user"`
		Token string `json:"token_sha256"`
		Agent string `json:"agent_sha256"`
	}{n.Spec, n.User, sessions.Digest(n.userToken), sessions.Digest(n.agentToken)}
	raw, _ := json.Marshal(body)
	return raw
}

// Attach is the user's return.
func (n *InteractiveSession) Attach() (int, sessions.View) {
	return n.requestLeader("/"+n.Spec.ID+"/attach", n.userToken, []byte("{}"))
}

// KeepAlive is a client's sign of life.
func (n *InteractiveSession) KeepAlive(attachment uint64) int {
	status, _ := n.requestOnce(n.simulation.UserAddr(0), "/"+n.Spec.ID+"/keep", n.userToken, []byte(fmt.Sprintf(`{"attachment":%d}`, attachment)))
	return status
}

// Close ends the session for good.
func (n *InteractiveSession) Close() int {
	n.simulation.mu.Lock()
	n.closed = true
	n.simulation.mu.Unlock()
	status, _ := n.requestLeader("/"+n.Spec.ID+"/close", n.userToken, []byte("{}"))
	if status == 200 {
		n.simulation.ConfirmCancelled(n.Spec.ID)
	}
	return status
}

// View is the session as any user sees it.
func (n *InteractiveSession) View() sessions.View {
	_, v := n.requestLeader("/"+n.Spec.ID, "", nil)
	return v
}

// requestLeader asks until it is answered by a leader, for up to a minute.
func (n *InteractiveSession) requestLeader(path, token string, body []byte) (int, sessions.View) {
	to := n.simulation.UserAddr(0)
	for i, end := 0, time.Now().Add(time.Minute); time.Now().Before(end); i++ {
		status, raw := n.requestOnce(to, path, token, body)
		switch {
		case status == 421:
			var l struct {
				Leader string `json:"leader"`
			}
			if _ = json.Unmarshal(raw, &l); l.Leader != "" && l.Leader != to {
				to = l.Leader
				continue
			}
		case status != 0 && status != 503 && status != 429:
			var v sessions.View
			_ = json.Unmarshal(raw, &v)
			return status, v
		}
		time.Sleep(100 * time.Millisecond)
		to = n.simulation.UserAddr(i % n.simulation.cfg.Controllers)
	}
	return 0, sessions.View{}
}

func (n *InteractiveSession) requestOnce(to, path, token string, body []byte) (int, []byte) {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	defer client.CloseIdleConnections()
	return send(client, to, "/v2/sessions"+path, token, body)
}

// send sends a request, with a token if there is one; status 0: no answer within 4 s.
func send(c *fasthttp.Client, to, path, token string, body []byte) (int, []byte) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.SetRequestURI("http://" + to + path)
	if body != nil {
		q.Header.SetMethod("POST")
		q.Header.SetContentType("application/json")
		q.SetBody(body)
	}
	if token != "" {
		q.Header.Set("Authorization", "Bearer "+token)
	}
	if c.DoTimeout(q, p, 4*time.Second) != nil {
		return 0, nil
	}
	defer func() { fasthttp.ReleaseRequest(q); fasthttp.ReleaseResponse(p) }()
	return p.StatusCode(), append([]byte(nil), p.Body()...)
}
