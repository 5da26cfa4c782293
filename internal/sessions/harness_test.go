package sessions

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// TestMain sets a fixed seed, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "500")
	_ = flag.Set("rapid.checks", "1200")
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

const (
	id         = "req-000001"
	user       = "kana"
	team       = "t"
	userToken  = "user"
	agentToken = "agent"
)

// fakeAgent is a model of an agent and of its user's work, which is counted in steps.
type fakeAgent struct {
	attempt, seq          uint64
	stepsDone, stepsSaved int           // steps of the user's work
	cellSince             time.Duration // start of the running cell, 0: none
	lastInputAt           time.Duration
	frozen                bool
	checkpoint            *CheckpointResult // result of the last ordered checkpoint
	resumedFrom           string
	fresh                 bool
	agentCheckpoint       string // newest checkpoint that the agent made by itself
	storedCheckpoint      string // checkpoint that the newest response calls stored
}

// harness is a manager with models of a user, an agent, a fleet and a state service, which a test advances.
type harness struct {
	t           fataler
	now         time.Duration
	manager     *Manager
	term        uint64
	jobTable    *jobs.Table
	agent       *fakeAgent // agent of the running attempt, nil: none
	lastAttempt uint64

	store      map[string]store.Item
	revision   uint64
	commits    []func(commitOutcome) // transactions in flight
	lateWrites []func()              // transactions without a response that aren't applied yet

	taskIsStopping    bool
	isSuspended       bool
	isContended       bool
	suspensions       int            // number of calls that suspend the job
	stepsByCheckpoint map[string]int // steps saved in each checkpoint, by its reference
	delayedHeartbeats []Heartbeat
}

// fataler holds the methods of *testing.T, *testing.B and *rapid.T that the harness uses.
type fataler interface {
	Fatalf(string, ...any)
	Helper()
}

// commitOutcome is the simulated outcome of a transaction in flight.
type commitOutcome int

const (
	commitApplied    commitOutcome = iota // applied, and the response arrives
	commitNotApplied                      // not applied, and the response arrives
	commitUnanswered                      // applied, but the response is lost
	commitLost                            // the response is lost, and it may be applied later
)

// storeOutcomes maps each simulated outcome to the outcome that the manager gets.
var storeOutcomes = [...]store.Outcome{
	commitApplied:    store.Committed,
	commitNotApplied: store.NotApplied,
	commitUnanswered: store.Indeterminate,
	commitLost:       store.Indeterminate,
}

// outcome is the outcome of a user's request: no reply yet, created, accepted, or the reason of its refusal.
type outcome string

const (
	noReply  outcome = "no reply"
	created  outcome = "created"
	accepted outcome = "accepted"
)

var (
	forbidden   = outcome(NotAuthorized.String())
	conflict    = outcome(Conflict.String())
	ended       = outcome(Ended.String())
	tooFrequent = outcome(TooFrequent.String())
	unavailable = outcome(Unavailable.String())
)

func outcomeOf(result Result, err error) outcome {
	var refusal *Error
	switch {
	case errors.As(err, &refusal):
		return outcome(refusal.Reason.String())
	case err != nil:
		return outcome("untyped error: " + err.Error())
	case result.Created:
		return created
	default:
		return accepted
	}
}

func newHarness(t fataler, policies *Policies) *harness {
	h := &harness{t: t, store: map[string]store.Item{}, stepsByCheckpoint: map[string]int{}, now: time.Hour}
	h.startTerm(policies)
	return h
}

func mustCompile(t fataler, text string) *Rule {
	t.Helper()
	rule, err := CompileRule(text, "test")
	if err != nil {
		t.Fatalf("%v", err)
	}
	return rule
}

func testPolicies(t fataler) *Policies {
	t.Helper()
	return &Policies{
		Enabled:           true,
		WarningTime:       10 * time.Second,
		CheckpointTimeout: 8 * time.Second,
		HeartbeatTimeout:  20 * time.Second,
		MaxPerUser:        2,
		MaxPerTeam:        3,
		ByTeam:            map[string]*Policy{},
		Default: &Policy{Limits: Limits{
			Rule:           mustCompile(t, "input_s > 30 && cpu < 0.5"),
			IdleLimit:      60 * time.Second,
			ContendedLimit: 5 * time.Second,
			Source:         "default",
		}},
	}
}

// testSpec returns the specification of a session's job.
func testSpec(id, team string) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "c", Team: team, Kind: jobs.Service, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i",
	}
}

// testRequest returns a request of the test's user to open a session.
func testRequest(token string) *Request {
	return &Request{
		Spec:             testSpec(id, team),
		User:             user,
		UserTokenDigest:  TokenDigest(token),
		AgentTokenDigest: TokenDigest(agentToken),
	}
}

// startTerm replaces the manager by that of a new leader, which loads the stored records.
func (h *harness) startTerm(policies *Policies) {
	h.term++
	h.commits = nil
	h.isSuspended = false // the manager of the new term suspends the job again if needed
	h.jobTable = jobs.NewTable(0)
	var items []store.Item
	for key, item := range h.store {
		if strings.HasPrefix(key, Prefix) {
			items = append(items, item)
		} else {
			h.applyJobRecord(key, item)
		}
	}
	var m *Manager
	m = New(Env{
		Policies: policies,
		Jobs:     h.jobTable,
		Now:      func() time.Duration { return h.now },
		Wall:     func(now time.Duration) time.Time { return time.Unix(1_790_000_000, 0).Add(now) },
		Commit: func(txn store.Txn, done func(store.Result)) {
			h.commits = append(h.commits, func(outcome commitOutcome) { h.finishCommit(m, txn, outcome, done) })
		},
		Read: func(key string, done func(store.Item, error)) {
			item := h.store[key]
			item.Key = key
			done(item, nil)
		},
		OnJobRecord: func(_ time.Duration, item store.Item) { h.applyJobRecord(item.Key, item) },
		TaskOf:      func(*jobs.Job) Task { return h.task() },
		Suspend:     func(_ time.Duration, _ *jobs.Job, suspended bool) { h.suspend(suspended) },
		WaitingJobsFor: func(_ time.Duration, holders []*jobs.Job) []string {
			waiting := make([]string, len(holders))
			if h.isContended {
				waiting[0] = "req-000009"
			}
			return waiting
		},
	}, h.term)
	h.manager = m
	m.Load(h.now, items)
}

func (h *harness) applyJobRecord(key string, item store.Item) {
	_, _, _ = h.jobTable.Apply(strings.TrimPrefix(key, jobs.RecordPrefix), item.Value, item.Version)
}

func (h *harness) task() Task {
	if h.agent == nil {
		return Task{}
	}
	return Task{OnMachine: true, Stopping: h.taskIsStopping, Attempt: h.agent.attempt}
}

// finishCommit ends a transaction with an outcome. A transaction of an earlier term is never applied.
func (h *harness) finishCommit(m *Manager, txn store.Txn, outcome commitOutcome, done func(store.Result)) {
	if m != h.manager {
		return
	}
	switch outcome {
	case commitLost:
		h.lateWrites = append(h.lateWrites, func() {
			if m == h.manager {
				h.apply(txn)
			}
		})
	case commitApplied, commitUnanswered:
		failed := h.failedKeys(txn)
		if !h.apply(txn) {
			done(store.Result{Outcome: store.Conflict, FailedKeys: failed})
			return
		}
	}
	done(store.Result{Outcome: storeOutcomes[outcome], Revision: h.revision})
}

// finishCommits ends all transactions in flight, and those that they cause, with an outcome.
func (h *harness) finishCommits(outcome commitOutcome) {
	for len(h.commits) > 0 {
		commit := h.commits[0]
		h.commits = h.commits[1:]
		commit(outcome)
	}
}

// failedKeys returns the keys of a transaction's conditions that don't hold.
func (h *harness) failedKeys(txn store.Txn) []string {
	var keys []string
	for _, condition := range txn.If {
		if h.store[condition.Key].Version != condition.Version {
			keys = append(keys, condition.Key)
		}
	}
	return keys
}

// apply applies a transaction if all its conditions hold, and reports whether they do.
func (h *harness) apply(txn store.Txn) bool {
	if len(h.failedKeys(txn)) > 0 {
		return false
	}
	h.revision++
	for _, op := range txn.Then {
		if op.Delete != "" {
			delete(h.store, op.Delete)
		} else {
			h.store[op.Put] = store.Item{Key: op.Put, Value: op.Value, Version: h.revision}
		}
	}
	return true
}

// applyLateWrites applies the transactions whose responses were lost.
func (h *harness) applyLateWrites() {
	for _, apply := range h.lateWrites {
		apply()
	}
	h.lateWrites = nil
}

// suspend is the fleet's part of Env.Suspend. It checks the main guarantee of the package: a session is stopped only
// when no cell is running and all its work is saved in a durably recorded checkpoint.
func (h *harness) suspend(suspended bool) {
	h.isSuspended = suspended
	if !suspended {
		return
	}
	h.suspensions++
	var record Record
	err := json.Unmarshal(h.store[Key(id)].Value, &record)
	if err != nil || !record.Reclaimed || record.Checkpoint == nil {
		h.t.Fatalf("suspended with the stored record %+v, want it Reclaimed with a checkpoint", record)
	}
	if h.agent == nil {
		return
	}
	agent := *h.agent
	durableSteps := h.stepsByCheckpoint[record.Checkpoint.Ref]
	if !agent.frozen || agent.cellSince > 0 || agent.stepsDone != agent.stepsSaved || agent.stepsDone > durableSteps {
		h.t.Fatalf("suspended with agent %+v and %d durable steps, want it frozen without a cell and with all steps durable",
			agent, durableSteps)
	}
	h.taskIsStopping = true
}

// newHarnessInUse returns a harness with an open session whose agent has sent heartbeats for 2 seconds.
func newHarnessInUse(t fataler) *harness {
	h := newHarness(t, testPolicies(t))
	h.openSession()
	h.startTask()
	h.advanceWithHeartbeats(2 * time.Second)
	return h
}

// cancelJob cancels the session's job in the table of jobs, without closing the session.
func (h *harness) cancelJob() {
	job := h.jobTable.Get(id)
	h.revision++
	_, _, _ = h.jobTable.Apply(id, jobs.EncodeRecord(jobs.Cancelled, 0, 1, job.Spec), h.revision)
}

func (h *harness) openSession() {
	h.t.Helper()
	status := noReply
	h.manager.Open(h.now, testRequest(userToken), func(r Result, err error) { status = outcomeOf(r, err) })
	h.finishCommits(commitApplied)
	if status != created {
		h.t.Fatalf("open: got %s, want created", status)
	}
}

// startTask starts a new attempt of the task. Its agent stays frozen until a response thaws it.
func (h *harness) startTask() {
	h.lastAttempt++
	h.agent = &fakeAgent{attempt: h.lastAttempt, lastInputAt: h.now, frozen: true, fresh: true}
	h.taskIsStopping = false
}

// endTask ends the task and its agent.
func (h *harness) endTask() {
	h.agent = nil
	h.taskIsStopping = false
}

func (h *harness) nextHeartbeat() Heartbeat {
	agent := h.agent
	agent.seq++
	heartbeat := Heartbeat{
		Attempt:     agent.attempt,
		Seq:         agent.seq,
		SinceInputS: (h.now - agent.lastInputAt).Seconds(),
		UnsavedMB:   float64(agent.stepsDone - agent.stepsSaved),
		Frozen:      agent.frozen,
		Checkpoint:  agent.checkpoint,
		ResumedFrom: agent.resumedFrom,
		Fresh:       agent.fresh,
	}
	if agent.checkpoint == nil && agent.agentCheckpoint != agent.storedCheckpoint {
		heartbeat.Checkpoint = &CheckpointResult{OK: true, Ref: agent.agentCheckpoint}
	}
	if agent.cellSince > 0 {
		heartbeat.CellRunning = true
		heartbeat.CellRunningS = (h.now - agent.cellSince).Seconds()
		heartbeat.CPU = 1
	}
	return heartbeat
}

// deliver sends a heartbeat to the manager. The response reaches the agent unless it is lost or the agent has sent
// another heartbeat since.
func (h *harness) deliver(heartbeat Heartbeat, responseIsLost bool) {
	response, err := h.manager.HandleHeartbeat(h.now, id, agentToken, heartbeat)
	agent := h.agent
	if err != nil || responseIsLost || agent == nil {
		return
	}
	if agent.attempt != heartbeat.Attempt || agent.seq != heartbeat.Seq {
		return
	}
	agent.storedCheckpoint = response.CheckpointRef
	if response.ResumeFrom != "" {
		agent.stepsDone = h.stepsByCheckpoint[response.ResumeFrom]
		agent.stepsSaved = agent.stepsDone
		agent.resumedFrom = response.ResumeFrom
	}
	if response.Thaw {
		agent.frozen = false
		agent.fresh = false
		agent.checkpoint = nil
	}
	order := response.CheckpointOrder
	if order != 0 && (agent.checkpoint == nil || agent.checkpoint.Order != order) {
		h.saveAndFreeze(order)
	}
}

// saveAndFreeze executes an ordered checkpoint, which fails while a cell is running.
func (h *harness) saveAndFreeze(order uint64) {
	agent := h.agent
	agent.checkpoint = &CheckpointResult{Order: order}
	if agent.cellSince > 0 {
		agent.checkpoint.Cause = "a cell is running"
		return
	}
	ref := fmt.Sprintf("%d-%d-%d", agent.attempt, order, agent.stepsDone)
	h.stepsByCheckpoint[ref] = agent.stepsDone
	agent.stepsSaved = agent.stepsDone
	agent.frozen = true
	agent.checkpoint.OK = true
	agent.checkpoint.Ref = ref
}

// respondTo sends a heartbeat and returns the response without applying it to the agent.
func (h *harness) respondTo(heartbeat Heartbeat) HeartbeatResponse {
	h.t.Helper()
	response, err := h.manager.HandleHeartbeat(h.now, id, agentToken, heartbeat)
	if err != nil {
		h.t.Fatalf("heartbeat: got error %v, want none", err)
	}
	return response
}

// heartbeatWithoutResponse sends a heartbeat and ignores the response.
func (h *harness) heartbeatWithoutResponse(heartbeat Heartbeat) {
	_, _ = h.manager.HandleHeartbeat(h.now, id, agentToken, heartbeat)
}

// advance moves the clock without heartbeats.
func (h *harness) advance(by time.Duration) {
	for end := h.now + by; h.now < end; {
		h.now = min(end, h.now+500*time.Millisecond)
		h.manager.Tick(h.now)
	}
}

// advanceWithHeartbeats moves the clock while the agent sends heartbeats and all writes are applied.
func (h *harness) advanceWithHeartbeats(by time.Duration) {
	for end := h.now + by; h.now < end; {
		h.advance(time.Second)
		if h.agent != nil {
			h.deliver(h.nextHeartbeat(), false)
		}
		h.finishCommits(commitApplied)
		if h.taskIsStopping {
			h.endTask() // the worker has stopped the task
		}
		if h.agent == nil && !h.isSuspended && h.store[Key(id)].Version != 0 {
			h.startTask()
		}
	}
}

func (h *harness) state() State {
	if s := h.manager.byID[id]; s != nil {
		return s.state
	}
	return Closed
}
