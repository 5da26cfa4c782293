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

// delivery is what becomes of a request.
type delivery uint8

const (
	carriedOut    delivery = iota // and answered
	requestLost                   // never carried out, not answered
	answerLost                    // carried out, not answered
	requestDenied                 // answered with 400, as what is too large is
)

// stateClient is a controller whose requests to a simulated state service wait until the test delivers them.
type stateClient struct {
	*controller
	service *state.Service
	client  *store.Client
	queue   []func(delivery)
	sent    []string // the paths of all requests
}

func newStateClient(t testing.TB) *stateClient {
	t.Helper()
	s := &stateClient{controller: newController(t), service: state.New()}
	s.client = store.New(
		"",
		s,
		func() time.Duration { return s.now },
		store.Share{RPS: 1e6, WriteRPS: 1e6, BurstSeconds: 0.8},
		store.Limits{MaxOps: 64, MaxValueBytes: 32 << 10},
	)
	return s
}

// Send implements httpio.Sender.
func (s *stateClient) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	s.sent = append(s.sent, request.Path)
	s.queue = append(s.queue, func(how delivery) {
		switch how {
		case requestLost:
			done(httpio.Response{Err: httpio.ErrBusy})
		case requestDenied:
			done(httpio.Response{Status: http.StatusBadRequest})
		case answerLost:
			s.service.Serve(request)
			done(httpio.Response{Err: httpio.ErrBusy})
		default:
			done(s.service.Serve(request))
		}
	})
}

// deliver delivers the request that has waited longest.
func (s *stateClient) deliver(how delivery) {
	s.t.Helper()
	if len(s.queue) == 0 {
		s.t.Fatal("no request was sent")
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	next(how)
}

// deliverAll carries out all requests, those made meanwhile included.
func (s *stateClient) deliverAll() {
	s.t.Helper()
	for len(s.queue) > 0 {
		s.deliver(carriedOut)
	}
}

// store stores a job's record, as another controller does.
func (s *stateClient) store(state jobs.State, spec *jobs.Spec) {
	record := jobs.EncodeRecord(state, 0, spec.Tasks, spec)
	s.service.Apply([]store.Op{{Put: jobs.RecordKey(spec.ID), Value: record}})
}

// storeAndRead stores a job's record, and has this controller read it.
func (s *stateClient) storeAndRead(state jobs.State, spec *jobs.Spec) *jobs.Job {
	s.t.Helper()
	s.store(state, spec)
	s.onJobRecord(s.now, s.service.Keys[jobs.RecordKey(spec.ID)])
	return s.table.Get(spec.ID)
}

// archive stores a job's answer in place of its record, as another controller does.
func (s *stateClient) archive(number int, final jobs.State) {
	id := jobID(number)
	answer := archive.Encode(archive.Answer{State: final, Tasks: 1})
	s.service.Apply([]store.Op{{Delete: jobs.RecordKey(id)}, {Put: archive.Key(id), Value: answer}})
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
