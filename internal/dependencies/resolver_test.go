package dependencies

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// resolverTrial is a resolver in front of a simulated state service.
type resolverTrial struct {
	*stateClient
	resolver *Resolver
}

func newResolverTrial(t *testing.T) *resolverTrial {
	t.Helper()
	s := &resolverTrial{stateClient: newStateClient(t)}
	reader := archive.NewReader(s.client, 64)
	s.resolver = NewResolver(s.graph, ResolverEnv{
		CanRead: func() bool { return true },
		Locate: func(id string, done func(archive.Location, error)) {
			reader.Locate(id, store.NormalPriority, done)
		},
		OnJobRecord: s.onJobRecord,
		Now:         func() time.Duration { return s.now },
	})
	return s
}

// search has the resolver search once.
func (s *resolverTrial) search() {
	s.now += resolveInterval
	s.resolver.Tick(s.now)
}

// A job that is unknown for one search only isn't read: the watch brings most records.
func TestResolverLeavesNewUnknownJobsToTheWatch(t *testing.T) {
	s := newResolverTrial(t)
	s.storeAndRead(jobs.Pending, newSpec(2, 1))
	s.search()
	s.storeAndRead(jobs.Pending, newSpec(1))
	s.search()
	if len(s.sent) != 0 {
		t.Errorf("requests %v", s.sent)
	}
}

// A job's record is read first and its answer second; the answer releases its successor or dooms it.
func TestResolverReadsRecordThenAnswer(t *testing.T) {
	for final, want := range map[jobs.State]State{jobs.Done: Released, jobs.Cancelled: Doomed} {
		s := newResolverTrial(t)
		s.archive(1, final)
		s.storeAndRead(jobs.Pending, newSpec(2, 1))
		s.search()
		s.search()
		s.deliverAll()
		wantSent := []string{"/keys/" + jobs.RecordKey(jobID(1)), "/keys/" + archive.Key(jobID(1))}
		if !slices.Equal(s.sent, wantSent) {
			t.Errorf("requests %v", s.sent)
		}
		if got := s.graph.State(jobID(2)); got != want {
			t.Errorf("after %v: %v, want %v", final, got, want)
		}
	}
}

// A job that is moved to the archive between the two reads is found; so is one whose record was there all along.
func TestResolverFindsJobWhereverItIs(t *testing.T) {
	s := newResolverTrial(t)
	s.storeAndRead(jobs.Pending, newSpec(3, 1, 2))
	s.store(jobs.Done, newSpec(1))
	s.search()
	s.search()
	s.deliver(carriedOut) // job 1's record exists
	s.deliver(carriedOut) // job 2's doesn't
	s.archive(2, jobs.Done)
	s.deliverAll()
	if s.graph.State(jobID(1)) != Done || s.graph.State(jobID(2)) != Done || !slices.Equal(s.released, []string{jobID(3)}) {
		t.Errorf("job 1 %v, job 2 %v, released %v", s.graph.State(jobID(1)), s.graph.State(jobID(2)), s.released)
	}
}

// A read that failed is repeated at a later search, never twice at a time.
func TestResolverRepeatsFailedReads(t *testing.T) {
	s := newResolverTrial(t)
	s.archive(1, jobs.Done)
	s.storeAndRead(jobs.Pending, newSpec(2, 1))
	s.search()
	s.search()
	s.search()
	if len(s.sent) != 1 {
		t.Fatalf("requests %v", s.sent)
	}
	s.deliver(requestLost)
	s.search()
	s.deliver(carriedOut)
	s.deliver(requestLost)
	s.search()
	s.deliverAll()
	if s.graph.State(jobID(2)) != Released {
		t.Errorf("%v after %v", s.graph.State(jobID(2)), s.sent)
	}
}

// No more reads are under way at a time than maxResolveReads, and none beyond the budget.
func TestResolverBoundsItsReads(t *testing.T) {
	for _, budget := range []int{100, 3} {
		s := newResolverTrial(t)
		s.resolver.env.CanRead = func() bool { return len(s.sent) < budget }
		s.storeAndRead(jobs.Pending, newSpec(50, numbers(1, 40)...))
		for range 5 {
			s.search()
		}
		if len(s.sent) != min(budget, maxResolveReads) {
			t.Errorf("%d reads", len(s.sent))
		}
	}
}

// All of many archived jobs are found in the end.
func TestResolverFindsManyJobs(t *testing.T) {
	s := newResolverTrial(t)
	for _, number := range numbers(1, 40) {
		s.archive(number, jobs.Done)
	}
	s.storeAndRead(jobs.Pending, newSpec(50, numbers(1, 40)...))
	for range 20 {
		s.search()
		s.deliverAll()
	}
	if s.graph.State(jobID(50)) != Released {
		t.Errorf("%v, %d unknown", s.graph.State(jobID(50)), len(s.unknown()))
	}
}

// Jobs whose answers can't be read hold up no other.
func TestResolverPassesUnreadableAnswers(t *testing.T) {
	s := newResolverTrial(t)
	for _, number := range numbers(1, 10) {
		unreadable := store.Op{Put: archive.Key(jobID(number)), Value: json.RawMessage(`{"v":9,"stance":"done"}`)}
		s.service.Apply([]store.Op{unreadable})
	}
	s.archive(11, jobs.Done)
	s.storeAndRead(jobs.Pending, newSpec(20, numbers(1, 10)...))
	s.storeAndRead(jobs.Pending, newSpec(21, 11))
	for range 10 {
		s.search()
		s.deliverAll()
	}
	if s.graph.State(jobID(21)) != Released {
		t.Errorf("%v after %d requests", s.graph.State(jobID(21)), len(s.sent))
	}
}
