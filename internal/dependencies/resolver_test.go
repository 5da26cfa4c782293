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

// resolverTest is a resolver that reads from a simulated state service.
type resolverTest struct {
	*stateClient
	resolver *Resolver
}

func newResolverTest(t *testing.T) *resolverTest {
	t.Helper()
	s := &resolverTest{stateClient: newStateClient(t)}
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

// search advances the clock by resolveInterval and calls Tick, which starts one search.
func (s *resolverTest) search() {
	s.now += resolveInterval
	s.resolver.Tick(s.now)
}

// A job that was Unknown at only one search isn't read, because the watch delivers most records.
func TestResolverDoesNotReadNewUnknownJobs(t *testing.T) {
	s := newResolverTest(t)
	s.storeAndRead(jobs.Pending, newSpec(2, 1))
	s.search()
	s.storeAndRead(jobs.Pending, newSpec(1))
	s.search()
	if len(s.sent) != 0 {
		t.Errorf("requests %v, want none", s.sent)
	}
}

// A job's record is read first and its archive entry second. The entry's state decides whether the successor becomes
// Released or CancelPending.
func TestResolverReadsRecordThenArchiveEntry(t *testing.T) {
	for final, want := range map[jobs.State]State{jobs.Done: Released, jobs.Cancelled: CancelPending} {
		s := newResolverTest(t)
		s.archive(1, final)
		s.storeAndRead(jobs.Pending, newSpec(2, 1))
		s.search()
		s.search()
		s.deliverAll()
		wantSent := []string{"/keys/" + jobs.RecordKey(jobID(1)), "/keys/" + archive.Key(jobID(1))}
		if !slices.Equal(s.sent, wantSent) {
			t.Errorf("requests %v, want the record and then the archive entry", s.sent)
		}
		if got := s.graph.State(jobID(2)); got != want {
			t.Errorf("predecessor %v: successor is %v, want %v", final, got, want)
		}
	}
}

// A job that is moved to the archive between the two reads is found, and a job whose record exists is found by the
// first read.
func TestResolverFindsJobMovedBetweenReads(t *testing.T) {
	s := newResolverTest(t)
	s.storeAndRead(jobs.Pending, newSpec(3, 1, 2))
	s.store(jobs.Done, newSpec(1))
	s.search()
	s.search()
	s.deliver(processed) // read of job 1's record, which exists
	s.deliver(processed) // read of job 2's record, which doesn't exist
	s.archive(2, jobs.Done)
	s.deliverAll()
	if s.graph.State(jobID(1)) != Done || s.graph.State(jobID(2)) != Done || !slices.Equal(s.released, []string{jobID(3)}) {
		t.Errorf("job 1 is %v, job 2 is %v, want both done; released jobs %v, want job 3",
			s.graph.State(jobID(1)), s.graph.State(jobID(2)), s.released)
	}
}

// A failed read is repeated at a later search. A job has at most one read in flight.
func TestResolverRetriesFailedReads(t *testing.T) {
	s := newResolverTest(t)
	s.archive(1, jobs.Done)
	s.storeAndRead(jobs.Pending, newSpec(2, 1))
	s.search()
	s.search()
	s.search()
	if len(s.sent) != 1 {
		t.Fatalf("requests %v after three searches, want one", s.sent)
	}
	s.deliver(requestLost)
	s.search()
	s.deliver(processed)
	s.deliver(requestLost)
	s.search()
	s.deliverAll()
	if s.graph.State(jobID(2)) != Released {
		t.Errorf("job 2 is %v after requests %v, want released", s.graph.State(jobID(2)), s.sent)
	}
}

// At most maxResolveReads reads are in flight, and CanRead is obeyed.
func TestResolverLimitsReads(t *testing.T) {
	for _, budget := range []int{100, 3} {
		s := newResolverTest(t)
		s.resolver.env.CanRead = func() bool { return len(s.sent) < budget }
		s.storeAndRead(jobs.Pending, newSpec(50, numbers(1, 40)...))
		for range 5 {
			s.search()
		}
		if len(s.sent) != min(budget, maxResolveReads) {
			t.Errorf("%d reads, want the smaller of the budget and maxResolveReads", len(s.sent))
		}
	}
}

// The states of 40 archived predecessors are found, more than the reads of one search.
func TestResolverFindsManyJobs(t *testing.T) {
	s := newResolverTest(t)
	for _, number := range numbers(1, 40) {
		s.archive(number, jobs.Done)
	}
	s.storeAndRead(jobs.Pending, newSpec(50, numbers(1, 40)...))
	for range 20 {
		s.search()
		s.deliverAll()
	}
	if s.graph.State(jobID(50)) != Released {
		t.Errorf("job 50 is %v with %d unknown predecessors, want released", s.graph.State(jobID(50)), len(s.unknown()))
	}
}

// Unreadable archive entries don't prevent the reads of other jobs.
func TestUnreadableArchiveEntriesDoNotBlockResolver(t *testing.T) {
	s := newResolverTest(t)
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
		t.Errorf("job 21 is %v after %d requests, want released", s.graph.State(jobID(21)), len(s.sent))
	}
}
