package api

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// Teams with a fixed admission decision: testService admits jobs of admittedTeam, leaves those of undecidedTeam
// undecided, and rejects those of rejectedTeam and of every other team.
const (
	admittedTeam  = "t"
	undecidedTeam = "unknown yet"
	rejectedTeam  = "short of licences"
)

// testService is one controller's Service with a simulated state service. Requests to the state service are queued
// until the test delivers them.
type testService struct {
	*Service
	state           *state.Service
	loseResponses   bool                 // responses to transactions are lost after the transactions were applied
	dropRequests    bool                 // requests are lost before the state service receives them
	beforeResponse  func()               // called once, between the next request and its response
	onRequest       func(httpio.Request) // called with each request; nil for none
	pendingRequests []func()
}

// Send implements httpio.Sender.
func (s *testService) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	if s.onRequest != nil {
		s.onRequest(request)
	}
	s.pendingRequests = append(s.pendingRequests, func() { s.deliver(request, done) })
}

func (s *testService) deliver(request httpio.Request, done func(httpio.Response)) {
	if s.dropRequests {
		done(httpio.Response{Err: httpio.ErrBusy})
		return
	}
	response := s.state.Serve(request)
	if s.loseResponses && request.Path == "/txn" {
		response = httpio.Response{Err: httpio.ErrBusy}
	}
	if before := s.beforeResponse; before != nil {
		s.beforeResponse = nil
		before()
	}
	done(response)
}

// deliverNext delivers the oldest pending request, and advances the time by the pause between two transactions of
// status queries.
func (s *testService) deliverNext() {
	next := s.pendingRequests[0]
	s.pendingRequests = s.pendingRequests[1:]
	next()
	s.state.Now += 50 * time.Millisecond
	s.Tick(s.state.Now)
}

// deliverAll delivers all pending requests, including those that are sent during the call.
func (s *testService) deliverAll() {
	for len(s.pendingRequests) > 0 {
		s.deliverNext()
	}
}

func newTestService(stateService *state.Service) *testService {
	s := &testService{state: stateService}
	client := store.New(
		"",
		s,
		func() time.Duration { return stateService.Now },
		store.RateShare{RPS: 1e6, WriteRPS: 1e6, BurstSeconds: 0.8},
		store.TxnLimits{MaxOps: 24, MaxValueBytes: 32 << 10},
	)
	table := jobs.NewTable(0)
	s.Service = New(Env{
		Store:          client,
		Jobs:           table,
		Archive:        archive.NewReader(client, 8),
		Ready:          func() bool { return true },
		MaxTxnOps:      24,
		MaxTasks:       3000,
		MaxQueuedBytes: 1 << 20,
		MaxRecordBytes: 8 << 10,
		Admit: func(spec *jobs.Spec) AdmissionResult {
			return AdmissionResult{
				OK:      spec.Team == admittedTeam,
				Decided: spec.Team != undecidedTeam,
				Reason:  "team",
			}
		},
		Counts: func(job *jobs.Job) (int, int) { return job.FinishedTasks, job.ReportedRunning },
		OnJobRecord: func(_ time.Duration, item store.Item) {
			_, _, _ = table.Apply(strings.TrimPrefix(item.Key, jobs.RecordPrefix), item.Value, item.Version)
		},
	})
	return s
}

// archiveElsewhere archives a job at the state service, as another controller does.
func (s *testService) archiveElsewhere(id string, entry archive.Entry) {
	s.state.Apply([]store.Op{{Delete: jobs.RecordKey(id)}, {Put: archive.Key(id), Value: archive.Encode(entry)}})
}

// ignoreRecords makes the Service ignore the records that it reads and writes, as if the watch had already delivered
// newer versions.
func (s *testService) ignoreRecords() {
	s.OnJobRecord = func(time.Duration, store.Item) {}
}

// storedVersion returns the version of a job's record at the state service, 0 if there is none.
func (s *testService) storedVersion(id string) uint64 {
	return s.state.Keys[jobs.RecordKey(id)].Version
}

// expectOneReply makes a request, delivers all requests to the state service that follow from it, and fails the test
// unless there is exactly one reply.
func (s *testService) expectOneReply(t *testing.T, request func(reply func(Reply))) Reply {
	t.Helper()
	var replies []Reply
	request(func(reply Reply) { replies = append(replies, reply) })
	s.deliverAll()
	if len(replies) != 1 {
		t.Fatalf("got %d replies, want 1", len(replies))
	}
	return replies[0]
}

func (s *testService) submit(t *testing.T, spec *jobs.Spec) Reply {
	t.Helper()
	return s.expectOneReply(t, func(reply func(Reply)) { s.Submit(s.state.Now, spec, reply) })
}

func (s *testService) query(t *testing.T, id string) Reply {
	t.Helper()
	return s.expectOneReply(t, func(reply func(Reply)) { s.Query(s.state.Now, id, reply) })
}

func (s *testService) cancel(t *testing.T, id string) Reply {
	t.Helper()
	return s.expectOneReply(t, func(reply func(Reply)) { s.Cancel(s.state.Now, nil, id, reply) })
}

func jobID(n int) string { return fmt.Sprintf("req-%06d", n) }

func newSpec(n int) *jobs.Spec {
	return &jobs.Spec{
		ID:       jobID(n),
		Class:    "c",
		Team:     admittedTeam,
		Kind:     jobs.Array,
		Priority: "standard",
		Tasks:    3,
		CPUs:     1,
		Image:    "i",
	}
}

// stateInReply returns the job's state in the body of a reply.
func stateInReply(reply Reply) string {
	raw, _ := json.Marshal(reply.Body)
	var body struct {
		State string `json:"stance"`
	}
	_ = json.Unmarshal(raw, &body)
	return body.State
}
