package dependencies

import (
	"net/http"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// deliveryMode tells whether a request is processed and whether its response arrives.
type deliveryMode uint8

const (
	processed       deliveryMode = iota // processed and answered
	requestLost                         // not processed, so there is no response
	responseLost                        // processed, but the response is lost
	requestRejected                     // answered with status 400, as an oversized request is
)

// stateClient is a controller with a simulated state service. Its requests are queued until the test delivers them.
type stateClient struct {
	*controller
	service *state.Service
	client  *store.Client
	queue   []func(deliveryMode) // undelivered requests, oldest first
	sent    []string             // paths of all requests
}

func newStateClient(t testing.TB) *stateClient {
	t.Helper()
	s := &stateClient{controller: newController(t), service: state.New()}
	s.client = store.New(
		"",
		s,
		func() time.Duration { return s.now },
		store.RateShare{RPS: 1e6, WriteRPS: 1e6, BurstSeconds: 0.8},
		store.TxnLimits{MaxOps: 64, MaxValueBytes: 32 << 10},
	)
	return s
}

// Send implements httpio.Sender.
func (s *stateClient) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	s.sent = append(s.sent, request.Path)
	s.queue = append(s.queue, func(mode deliveryMode) {
		switch mode {
		case requestLost:
			done(httpio.Response{Err: httpio.ErrBusy})
		case requestRejected:
			done(httpio.Response{Status: http.StatusBadRequest})
		case responseLost:
			s.service.Serve(request)
			done(httpio.Response{Err: httpio.ErrBusy})
		default:
			done(s.service.Serve(request))
		}
	})
}

// deliver delivers the oldest queued request.
func (s *stateClient) deliver(mode deliveryMode) {
	s.t.Helper()
	if len(s.queue) == 0 {
		s.t.Fatal("no request is queued")
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	next(mode)
}

// deliverAll processes all queued requests, including those sent while it runs.
func (s *stateClient) deliverAll() {
	s.t.Helper()
	for len(s.queue) > 0 {
		s.deliver(processed)
	}
}

// store writes a job's record at the state service, as another controller does.
func (s *stateClient) store(state jobs.State, spec *jobs.Spec) {
	record := jobs.EncodeRecord(state, 0, spec.Tasks, spec)
	s.service.Apply([]store.Op{{Put: jobs.RecordKey(spec.ID), Value: record}})
}

// storeAndRead writes a job's record at the state service and has this controller read it.
func (s *stateClient) storeAndRead(state jobs.State, spec *jobs.Spec) *jobs.Job {
	s.t.Helper()
	s.store(state, spec)
	s.onJobRecord(s.now, s.service.Keys[jobs.RecordKey(spec.ID)])
	return s.table.Get(spec.ID)
}

// archive replaces a job's record with its archive entry at the state service, as another controller does.
func (s *stateClient) archive(number int, final jobs.State) {
	id := jobID(number)
	entry := archive.Encode(archive.Entry{State: final, Tasks: 1})
	s.service.Apply([]store.Op{{Delete: jobs.RecordKey(id)}, {Put: archive.Key(id), Value: entry}})
}

// onJobRecord applies a record that was read or written.
func (s *stateClient) onJobRecord(_ time.Duration, item store.Item) {
	s.t.Helper()
	s.read(jobs.IDOfKey(item.Key), item.Value, item.Version)
}

// get reads one key.
func (s *stateClient) get(key string, done func(store.Item, error)) {
	s.client.Get(key, store.NormalPriority, done)
}

// stored returns the state in a job's stored record.
func (s *stateClient) stored(number int) jobs.State {
	s.t.Helper()
	item := s.service.Keys[jobs.RecordKey(jobID(number))]
	job, _, err := jobs.NewTable(0).Apply(jobID(number), item.Value, item.Version)
	if err != nil {
		s.t.Fatal(err)
	}
	return job.State
}
