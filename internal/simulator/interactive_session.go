package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/sessions"
)

const (
	sessionsPath = "/v2/sessions"
	// agentReportInterval is the time between two reports of an agent.
	agentReportInterval = 300 * time.Millisecond
	// sessionRetry is the delay between two attempts of a request to the leader; maxSessionRetry is the total time for
	// all attempts.
	sessionRetry    = 100 * time.Millisecond
	maxSessionRetry = time.Minute
)

// Causes of a failed save.
const (
	saveFailedDisk = "disk full"
	saveFailedCell = "a cell runs"
)

// InteractiveSession simulates an interactive session in real time, with its user and its agent. Work is counted in
// steps; saved steps survive the loss of the machine.
type InteractiveSession struct {
	Spec *jobs.Spec
	User string

	simulation *Simulation
	userToken  string
	agentToken string

	// The simulation's mutex guards the fields below.
	savedSteps   map[string]int // by checkpoint
	savesFail    bool
	saveDuration time.Duration
	closed       bool // the user has requested the session's end
	reclaims     int  // number of times that controllers stopped the session to reclaim its machine
	resumes      int  // number of times that the session resumed from a checkpoint

	sessionProcess
}

// sessionProcess is the state of the session's current process.
type sessionProcess struct {
	attempt    uint64
	steps      int // steps of work done
	stepsSaved int // steps in the newest checkpoint
	lastInput  time.Duration
	cellStart  time.Duration
	cellEnd    time.Duration

	frozen      bool   // the process accepts no input
	fresh       bool   // the process hasn't been thawed since its start
	resumedFrom string // checkpoint from which the process resumed, "" for none

	orderedSave         *sessions.CheckpointResult // newest ordered save, nil for none
	saveDoneAt          time.Duration              // end of the save in progress; 0: no save is in progress
	unorderedCheckpoint string                     // newest checkpoint that was saved without an order
	recordedCheckpoint  string                     // checkpoint that the controllers have recorded
}

// NewInteractiveSession returns a session of a user. The session isn't open yet.
func (sim *Simulation) NewInteractiveSession(spec *jobs.Spec, user string) *InteractiveSession {
	session := &InteractiveSession{
		Spec:       spec,
		User:       user,
		simulation: sim,
		userToken:  "user-" + spec.ID,
		agentToken: "agent-" + spec.ID,
		savedSteps: map[string]int{},
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.records.specs[spec.ID] = spec
	sim.records.sessions[spec.ID] = session
	return session
}

// processStarted starts a new process and its agent when the session's task begins to run. The agent stops when the
// process or the simulation ends.
func (s *InteractiveSession) processStarted(now time.Duration, task *workerTask) {
	s.resetProcess(now, task.attempt)
	s.simulation.sessionAgents.Add(1)
	go s.runAgent(task)
}

// resetProcess replaces the process by a new one, which stays frozen until an order thaws it.
func (s *InteractiveSession) resetProcess(now time.Duration, attempt uint64) {
	s.attempt = attempt
	s.steps = 0
	s.stepsSaved = 0
	s.lastInput = now
	s.cellEnd = 0
	s.frozen = true
	s.fresh = true
	s.resumedFrom = ""
	s.orderedSave = nil
	s.unorderedCheckpoint = ""
	s.recordedCheckpoint = ""
}

// processHalted checks the halt of the process by its worker. Unless its user closed the session, the halt is a
// reclaim by the controllers, which must not interrupt a cell or lose work. Before the cloud reclaims the machine,
// the process saves its work itself.
func (s *InteractiveSession) processHalted(now time.Duration, machine *Machine) {
	if s.closed {
		return
	}
	if machine.noticeAt > 0 {
		s.saveBeforeReclaim()
		return
	}
	if now < s.cellEnd {
		s.simulation.recordViolation("reclaim: %s was stopped during a cell", s.Spec.ID)
	}
	if s.steps != s.stepsSaved || !s.frozen {
		s.simulation.recordViolation("reclaim: %s was stopped with %d steps, %d saved, frozen %v",
			s.Spec.ID, s.steps, s.stepsSaved, s.frozen)
	}
	s.reclaims++
}

// saveBeforeReclaim saves the process's work when the process is stopped because the cloud reclaims its machine.
func (s *InteractiveSession) saveBeforeReclaim() {
	if s.fresh {
		return
	}
	s.unorderedCheckpoint = fmt.Sprintf("%s-%d-end", s.Spec.ID, s.attempt)
	s.frozen = true
	s.orderedSave = nil
	s.savedSteps[s.unorderedCheckpoint] = s.steps
	s.stepsSaved = s.steps
}

// redirectToLeader is the body of an answer that names the leader's address.
type redirectToLeader struct {
	Leader string `json:"leader"`
}

// leaderIn returns the leader's address from the body of an answer, "" if there is none.
func leaderIn(body []byte) string {
	var redirected redirectToLeader
	_ = json.Unmarshal(body, &redirected)
	return redirected.Leader
}

// runAgent sends the agent's reports to the leader until the process or the simulation has ended.
func (s *InteractiveSession) runAgent(task *workerTask) {
	sim := s.simulation
	defer sim.sessionAgents.Done()
	client := newUserClient()
	defer client.CloseIdleConnections()
	to := sim.UserAddr(0)
	for seq := uint64(1); ; seq++ {
		sim.mu.Lock()
		if task.state == taskExited || s.attempt != task.attempt || !sim.onMachine(task) {
			sim.mu.Unlock()
			return
		}
		raw, _ := json.Marshal(s.report(sim.now(), seq))
		sim.mu.Unlock()
		status, body := send(client, to, sessionsPath+"/"+s.Spec.ID+"/report", s.agentToken, raw)
		switch status {
		case http.StatusOK:
			s.reportAnswered(task, body)
		case http.StatusMisdirectedRequest:
			if leader := leaderIn(body); leader != "" {
				to = leader
			}
		default:
			to = sim.UserAddr(int(seq) % sim.cfg.Controllers)
		}
		select {
		case <-sim.closing:
			return
		case <-time.After(agentReportInterval):
		}
	}
}

func (s *InteractiveSession) reportAnswered(task *workerTask, body []byte) {
	var order sessions.HeartbeatResponse
	if json.Unmarshal(body, &order) != nil {
		return
	}
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.applyOrder(s.simulation.now(), task, order)
}

// onMachine reports whether a task is on a machine that hasn't ended.
func (sim *Simulation) onMachine(task *workerTask) bool {
	for _, machine := range sim.cloud.machines {
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

// report returns the agent's next report.
func (s *InteractiveSession) report(now time.Duration, seq uint64) sessions.Heartbeat {
	if s.orderedSave != nil && s.saveDoneAt > 0 && now >= s.saveDoneAt {
		s.finishSave()
	}
	report := sessions.Heartbeat{
		Attempt:     s.attempt,
		Seq:         seq,
		SinceInputS: (now - s.lastInput).Seconds(),
		UnsavedMB:   float64(s.steps - s.stepsSaved),
		Frozen:      s.frozen,
		ResumedFrom: s.resumedFrom,
		Fresh:       s.fresh,
	}
	if s.saveDoneAt == 0 && s.orderedSave != nil {
		save := *s.orderedSave
		report.Checkpoint = &save
	}
	if report.Checkpoint == nil && s.unorderedCheckpoint != s.recordedCheckpoint && s.unorderedCheckpoint != "" {
		report.Checkpoint = &sessions.CheckpointResult{OK: true, Ref: s.unorderedCheckpoint}
	}
	if now < s.cellEnd {
		report.CellRunning = true
		report.CellRunningS = (now - s.cellStart).Seconds()
		report.CPU = 1
	}
	return report
}

// finishSave ends the save in progress, with success or failure.
func (s *InteractiveSession) finishSave() {
	s.saveDoneAt = 0
	if s.savesFail {
		s.orderedSave.Cause = saveFailedDisk
		return
	}
	checkpoint := fmt.Sprintf("%s-%d-%d", s.Spec.ID, s.attempt, s.orderedSave.Order)
	s.savedSteps[checkpoint] = s.steps
	s.stepsSaved = s.steps
	s.orderedSave.OK = true
	s.orderedSave.Ref = checkpoint
}

// applyOrder executes the orders in the answer to a report: resuming, thawing and saving.
func (s *InteractiveSession) applyOrder(now time.Duration, task *workerTask, order sessions.HeartbeatResponse) {
	if task.attempt != s.attempt {
		return
	}
	s.recordedCheckpoint = order.CheckpointRef
	if order.ResumeFrom != "" && order.ResumeFrom != s.resumedFrom {
		s.steps = s.savedSteps[order.ResumeFrom]
		s.stepsSaved = s.steps
		s.resumedFrom = order.ResumeFrom
		s.resumes++
	}
	if order.Thaw {
		s.frozen = false
		s.fresh = false
		s.orderedSave = nil
		s.saveDoneAt = 0
	}
	if order.CheckpointOrder != 0 && (s.orderedSave == nil || s.orderedSave.Order != order.CheckpointOrder) {
		s.beginSave(now, order.CheckpointOrder)
	}
}

// beginSave begins an ordered save. The save fails immediately while a cell runs.
func (s *InteractiveSession) beginSave(now time.Duration, order uint64) {
	s.orderedSave = &sessions.CheckpointResult{Order: order}
	if now < s.cellEnd {
		s.orderedSave.Cause = saveFailedCell
		return
	}
	s.frozen = true
	s.saveDoneAt = now + max(s.saveDuration, 1)
}

// Input simulates an input of the user, which is one step of work. It returns false if no process accepts input.
func (s *InteractiveSession) Input() bool {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	if s.frozen || !s.running() {
		return false
	}
	s.lastInput = s.simulation.now()
	s.steps++
	return true
}

// running reports whether the session's process is running on a machine.
func (s *InteractiveSession) running() bool {
	for _, machine := range s.simulation.cloud.machines {
		for _, task := range machine.tasks {
			if !machine.dead && task.spec == s.Spec && task.attempt == s.attempt && task.state == taskRunning {
				return true
			}
		}
	}
	return false
}

// RunCell runs a cell for the duration. It returns false if no process accepts input.
func (s *InteractiveSession) RunCell(duration time.Duration) bool {
	if !s.Input() {
		return false
	}
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.cellStart = s.simulation.now()
	s.cellEnd = s.cellStart + duration
	return true
}

// SetSaveBehavior sets whether saves fail, and how long a save takes.
func (s *InteractiveSession) SetSaveBehavior(fail bool, duration time.Duration) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	s.savesFail = fail
	s.saveDuration = duration
}

// Progress returns the number of steps that are done and not lost, and whether the process accepts input.
func (s *InteractiveSession) Progress() (steps int, usable bool) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	return s.steps, s.running() && !s.frozen
}

// Counts returns the number of times that the session was reclaimed and resumed.
func (s *InteractiveSession) Counts() (reclaims, resumes int) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	return s.reclaims, s.resumes
}

// ReclaimMachine gives the session's machine notice that the cloud reclaims it after the given time. It returns false
// if the session isn't running on a machine.
func (s *InteractiveSession) ReclaimMachine(after time.Duration) bool {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	for _, machine := range s.simulation.cloud.machines {
		for _, task := range machine.tasks {
			if !machine.dead && task.spec == s.Spec && task.state == taskRunning {
				machine.noticeAt = s.simulation.now() + after
				return true
			}
		}
	}
	return false
}

// Open opens the session, and returns the status of the answer, 0 for no answer.
func (s *InteractiveSession) Open() int {
	status, _ := s.requestLeader("", s.userToken, s.openRequest())
	return status
}

// openRequest returns the body of the request that opens the session.
func (s *InteractiveSession) openRequest() []byte {
	body := struct {
		*jobs.WireSpec
		User        string `json:"user"`
		TokenDigest string `json:"token_sha256"`
		AgentDigest string `json:"agent_sha256"`
	}{(*jobs.WireSpec)(s.Spec), s.User, sessions.TokenDigest(s.userToken), sessions.TokenDigest(s.agentToken)}
	raw, _ := json.Marshal(body)
	return raw
}

// Attach attaches a client of the user to the session, and returns the answer; status 0 stands for no answer.
func (s *InteractiveSession) Attach() (status int, view sessions.View) {
	return s.requestLeader("/"+s.Spec.ID+"/attach", s.userToken, emptyBody)
}

// KeepAlive renews a client's attachment through the first controller, and returns the status of the answer, 0 for no
// answer.
func (s *InteractiveSession) KeepAlive(attachment uint64) int {
	body := fmt.Appendf(nil, `{"attachment":%d}`, attachment)
	status, _ := s.requestOnce(s.simulation.UserAddr(0), "/"+s.Spec.ID+"/keep", s.userToken, body)
	return status
}

// Close closes the session permanently, and returns the status of the answer, 0 for no answer.
func (s *InteractiveSession) Close() int {
	s.simulation.mu.Lock()
	s.closed = true
	s.simulation.mu.Unlock()
	status, _ := s.requestLeader("/"+s.Spec.ID+"/close", s.userToken, emptyBody)
	if status == http.StatusOK {
		s.simulation.ConfirmCancelled(s.Spec.ID)
	}
	return status
}

// View returns the session's view that is served without a token.
func (s *InteractiveSession) View() sessions.View {
	_, view := s.requestLeader("/"+s.Spec.ID, "", nil)
	return view
}

// requestLeader sends a request and retries until a leader answers, for up to a minute; status 0 stands for no answer.
func (s *InteractiveSession) requestLeader(path, token string, body []byte) (status int, view sessions.View) {
	to := s.simulation.UserAddr(0)
	end := time.Now().Add(maxSessionRetry)
	for i := 0; time.Now().Before(end); i++ {
		status, raw := s.requestOnce(to, path, token, body)
		switch status {
		case http.StatusMisdirectedRequest:
			if leader := leaderIn(raw); leader != "" && leader != to {
				to = leader
				continue
			}
		case 0, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			_ = json.Unmarshal(raw, &view)
			return status, view
		}
		time.Sleep(sessionRetry)
		to = s.simulation.UserAddr(i % s.simulation.cfg.Controllers)
	}
	return 0, sessions.View{}
}

func (s *InteractiveSession) requestOnce(to, path, token string, body []byte) (status int, answer []byte) {
	client := newUserClient()
	defer client.CloseIdleConnections()
	return send(client, to, sessionsPath+path, token, body)
}
