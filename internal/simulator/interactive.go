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
	Spec  *jobs.Spec
	User  string
	token string // the user's
	agent string // its agent's

	w     *World
	saves map[string]int

	// Of the process that runs now.
	attempt   uint64
	work      int
	saved     int
	cellTill  time.Duration
	cellFrom  time.Duration
	input     time.Duration
	frozen    bool
	resumed   string
	fresh     bool
	own, kept string // saves of its own: the newest, and what the controllers keep
	save      *sessions.CheckpointResult
	saveTill  time.Duration // a save under way is done then
	failing   bool          // saves fail
	slow      time.Duration // saves take so long
	closed    bool
	Reclaims  int // times the session was stopped with its work saved
	Resumes   int
}

// InteractiveSession makes a session for a user, as yet unopened.
func (w *World) InteractiveSession(spec *jobs.Spec, user string) *InteractiveSession {
	n := &InteractiveSession{Spec: spec, User: user, w: w, token: "user-" + spec.ID, agent: "agent-" + spec.ID, saves: map[string]int{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[spec.ID] = spec
	w.interactive[spec.ID] = n
	return n
}

// begins is when a session's task runs: a new process, whose agent reports.
func (n *InteractiveSession) begins(now time.Duration, k *task) {
	n.reset(now, k.attempt)
	n.w.done.Add(1)
	go n.talk(k)
}

// reset makes the process a new one, frozen until it was told what to resume.
func (n *InteractiveSession) reset(now time.Duration, attempt uint64) {
	n.attempt, n.work, n.saved = attempt, 0, 0
	n.frozen, n.fresh, n.resumed = true, true, ""
	n.input, n.cellTill = now, 0
	n.save, n.own, n.kept = nil, "", ""
}

// halted is when its worker stops it, outside a close: that must be a reclaim, and a reclaim must
// not end what runs or lose what was done.
func (n *InteractiveSession) halted(now time.Duration, m *Machine) {
	if n.closed {
		return
	}
	if m.noticeAt > 0 {
		// Its machine is taken: it saves what it can while it is being stopped.
		if !n.fresh {
			n.own, n.frozen, n.save = fmt.Sprintf("%s-%d-end", n.Spec.ID, n.attempt), true, nil
			n.saves[n.own], n.saved = n.work, n.work
		}
		return
	}
	if now < n.cellTill {
		n.w.fail("reclaim: %s was stopped while a cell runs", n.Spec.ID)
	}
	if n.work != n.saved || !n.frozen {
		n.w.fail("reclaim: %s was stopped with %d steps, %d saved, frozen %v", n.Spec.ID, n.work, n.saved, n.frozen)
	}
	n.Reclaims++
}

// talk is the agent: it reports until its process is gone.
func (n *InteractiveSession) talk(k *task) {
	w := n.w
	defer w.done.Done()
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	defer client.CloseIdleConnections()
	to := w.Public(0)
	every := 300 * time.Millisecond
	for seq := uint64(1); ; seq++ {
		w.mu.Lock()
		if k.state == exited || n.attempt != k.attempt || !w.has(k) {
			w.mu.Unlock()
			return
		}
		r := n.report(w.now(), seq)
		w.mu.Unlock()
		raw, _ := json.Marshal(r)
		status, body := send(client, to, "/v2/sessions/"+n.Spec.ID+"/report", n.agent, raw)
		switch status {
		case 200:
			var o sessions.HeartbeatResponse
			if json.Unmarshal(body, &o) == nil {
				w.mu.Lock()
				n.told(w.now(), k, r, o)
				w.mu.Unlock()
			}
		case 421:
			var l struct {
				Leader string `json:"leader"`
			}
			if json.Unmarshal(body, &l) == nil && l.Leader != "" {
				to = l.Leader
			}
		default:
			to = w.Public(int(seq) % w.cfg.Controllers)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(every):
		}
	}
}

// has tells whether a task is still on a machine that lives.
func (w *World) has(k *task) bool {
	for _, m := range w.machines {
		if m.dead {
			continue
		}
		for _, x := range m.tasks {
			if x == k {
				return true
			}
		}
	}
	return false
}

func (n *InteractiveSession) report(now time.Duration, seq uint64) sessions.Heartbeat {
	if n.save != nil && n.saveTill > 0 && now >= n.saveTill {
		n.saveTill = 0
		ref := fmt.Sprintf("%s-%d-%d", n.Spec.ID, n.attempt, n.save.Order)
		if n.failing {
			n.save.Cause = "disk full"
		} else {
			n.saves[ref], n.saved = n.work, n.work
			n.save.OK, n.save.Ref = true, ref
		}
	}
	r := sessions.Heartbeat{Attempt: n.attempt, Seq: seq, SinceInputS: (now - n.input).Seconds(), UnsavedMB: float64(n.work - n.saved), Frozen: n.frozen, ResumedFrom: n.resumed, Fresh: n.fresh}
	if n.saveTill == 0 && n.save != nil {
		s := *n.save
		r.Checkpoint = &s
	}
	if r.Checkpoint == nil && n.own != n.kept && n.own != "" {
		r.Checkpoint = &sessions.CheckpointResult{OK: true, Ref: n.own}
	}
	if now < n.cellTill {
		r.CellRunning, r.CellRunningS, r.CPU = true, (now - n.cellFrom).Seconds(), 1
	}
	return r
}

// told takes the answer to a report.
func (n *InteractiveSession) told(now time.Duration, k *task, r sessions.Heartbeat, o sessions.HeartbeatResponse) {
	if k.attempt != n.attempt {
		return
	}
	n.kept = o.CheckpointRef
	if o.ResumeFrom != "" && o.ResumeFrom != n.resumed {
		n.work, n.saved, n.resumed = n.saves[o.ResumeFrom], n.saves[o.ResumeFrom], o.ResumeFrom
		n.Resumes++
	}
	if o.Thaw {
		n.frozen, n.fresh, n.save, n.saveTill = false, false, nil, 0
	}
	if o.CheckpointOrder != 0 && (n.save == nil || n.save.Order != o.CheckpointOrder) {
		n.save = &sessions.CheckpointResult{Order: o.CheckpointOrder}
		if now < n.cellTill {
			n.save.Cause = "a cell runs"
			return
		}
		n.frozen, n.saveTill = true, now+max(n.slow, 1)
	}
}

// Use is a user's input, one step of work; false if the process is gone or frozen.
func (n *InteractiveSession) Use() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.frozen || !n.running() {
		return false
	}
	n.input = n.w.now()
	n.work++
	return true
}

func (n *InteractiveSession) running() bool {
	for _, m := range n.w.machines {
		for _, k := range m.tasks {
			if !m.dead && k.spec == n.Spec && k.attempt == n.attempt && k.state == running {
				return true
			}
		}
	}
	return false
}

// Cell runs a cell for a time.
func (n *InteractiveSession) Cell(duration time.Duration) bool {
	if !n.Use() {
		return false
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.cellFrom, n.cellTill = n.w.now(), n.w.now()+duration
	return true
}

// Saves lets saves fail, or take a time.
func (n *InteractiveSession) Saves(failing bool, slow time.Duration) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.failing, n.slow = failing, slow
}

// Work is how many steps are done and not lost, and whether the process takes input.
func (n *InteractiveSession) Work() (steps int, usable bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.work, n.running() && !n.frozen
}

// Counts tells how often it was reclaimed and resumed.
func (n *InteractiveSession) Counts() (reclaims, resumes int) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.Reclaims, n.Resumes
}

// NoticeMachine announces that the cloud takes the machine back on which the session runs.
func (n *InteractiveSession) NoticeMachine(duration time.Duration) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for _, m := range n.w.machines {
		for _, k := range m.tasks {
			if !m.dead && k.spec == n.Spec && k.state == running {
				m.noticeAt = n.w.now() + duration
				return true
			}
		}
	}
	return false
}

// Open opens the session; it returns the status.
func (n *InteractiveSession) Open() int {
	status, _ := n.ask("", n.token, n.opening())
	return status
}

// opening is the body of the request that opens the session.
func (n *InteractiveSession) opening() []byte {
	body := struct {
		*jobs.WireSpec
		User  string `json:"user"`
		Token string `json:"token_sha256"`
		Agent string `json:"agent_sha256"`
	}{(*jobs.WireSpec)(n.Spec), n.User, sessions.TokenDigest(n.token), sessions.TokenDigest(n.agent)}
	raw, _ := json.Marshal(body)
	return raw
}

// Attach is the user's return.
func (n *InteractiveSession) Attach() (int, sessions.View) {
	return n.ask("/"+n.Spec.ID+"/attach", n.token, []byte("{}"))
}

// Keep is a client's sign of life.
func (n *InteractiveSession) Keep(attachment uint64) int {
	status, _ := n.once(n.w.Public(0), "/"+n.Spec.ID+"/keep", n.token, []byte(fmt.Sprintf(`{"attachment":%d}`, attachment)))
	return status
}

// Close ends the session for good.
func (n *InteractiveSession) Close() int {
	n.w.mu.Lock()
	n.closed = true
	n.w.mu.Unlock()
	status, _ := n.ask("/"+n.Spec.ID+"/close", n.token, []byte("{}"))
	if status == 200 {
		n.w.Cancelled(n.Spec.ID)
	}
	return status
}

// Show is the session as any user sees it.
func (n *InteractiveSession) Show() sessions.View {
	_, v := n.ask("/"+n.Spec.ID, "", nil)
	return v
}

// ask asks until it is answered by a leader, for up to a minute.
func (n *InteractiveSession) ask(path, token string, body []byte) (int, sessions.View) {
	to := n.w.Public(0)
	for i, end := 0, time.Now().Add(time.Minute); time.Now().Before(end); i++ {
		status, raw := n.once(to, path, token, body)
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
		to = n.w.Public(i % n.w.cfg.Controllers)
	}
	return 0, sessions.View{}
}

func (n *InteractiveSession) once(to, path, token string, body []byte) (int, []byte) {
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
