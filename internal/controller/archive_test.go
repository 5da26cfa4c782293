package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// A response to a read of a job's record that arrives after the job has ended and was archived must not restore the
// job: its tasks would be started again.
func TestLateReadDoesNotRestoreArchivedJob(t *testing.T) {
	c, service, advance := newWatchingController(t)
	spec := newSpec("req-000001")
	key := jobs.RecordKey(spec.ID)
	pending := jobs.EncodeRecord(jobs.Pending, 0, 1, spec)
	service.Apply([]store.Op{{Put: key, Value: pending}})
	read := service.Keys[key]
	advance(time.Second)
	if c.jobs.Get(spec.ID) == nil {
		t.Fatal("pending job is not in the table")
	}
	service.Apply([]store.Op{{Put: key, Value: jobs.EncodeRecord(jobs.Done, 0, 1, nil)}})
	service.Apply([]store.Op{{Delete: key}})
	advance(time.Second)
	if c.jobs.Get(spec.ID) != nil || c.jobs.Len() != 0 {
		t.Fatal("archived job is in the table, want it removed")
	}
	if c.handleJobRead(c.loop.Now(), read); c.jobs.Get(spec.ID) != nil {
		t.Error("archived job is in the table after a late read, want it removed")
	}
	// A record that is newer than the watched keys is applied.
	newerKey := jobs.RecordKey("req-000002")
	service.Apply([]store.Op{{Put: newerKey, Value: pending}})
	if c.handleJobRead(c.loop.Now(), service.Keys[newerKey]); c.jobs.Get("req-000002") == nil {
		t.Error("job whose record is newer than the watched keys is not in the table")
	}
}

// A controller whose watch position was lost lists all keys again. Jobs archived in the meantime must be removed
// from its table, and all other jobs must stay.
func TestResyncRemovesArchivedJobs(t *testing.T) {
	c, service, advance := newWatchingController(t)
	spec := newSpec("req-000001")
	for _, id := range []string{"req-000001", "req-000002", "req-000003"} {
		service.Apply([]store.Op{{Put: jobs.RecordKey(id), Value: jobs.EncodeRecord(jobs.Pending, 0, 1, spec)}})
	}
	advance(time.Second)
	service.Apply([]store.Op{{Delete: jobs.RecordKey("req-000002")}})
	service.CompactedRevision = service.Revision + 1
	advance(time.Second)
	advance(time.Second)
	if c.jobs.Get("req-000002") != nil {
		t.Error("archived job is in the table, want it removed")
	}
	if c.jobs.Get("req-000001") == nil || c.jobs.Get("req-000003") == nil || c.jobs.Len() != 2 {
		t.Errorf("%d jobs in the table, want req-000001 and req-000003", c.jobs.Len())
	}
	if c.jobs.LiveTasks() != 2 {
		t.Errorf("%d live tasks, want 2", c.jobs.LiveTasks())
	}
}

// The job table frees the memory of removed jobs, and never assigns a removed job's index to another job.
func TestJobTableFreesArchivedJobs(t *testing.T) {
	const rounds, live = 3000, 40
	table := jobs.NewTable(0)
	pending := jobs.EncodeRecord(jobs.Pending, 0, 1, newSpec("x"))
	done := jobs.EncodeRecord(jobs.Done, 0, 1, nil)
	usedIndexes := map[jobs.Index]bool{}
	version := uint64(0)
	idOf := func(round int) string { return fmt.Sprintf("req-%06d", round) }
	for round := range rounds {
		version++
		job, _, err := table.Apply(idOf(round), pending, version)
		if err != nil || usedIndexes[job.Index] {
			t.Fatalf("job %d: error %v, index used before: %v; want no error and a new index",
				round, err, usedIndexes[job.Index])
		}
		usedIndexes[job.Index] = true
		if round < live {
			continue
		}
		endedID := idOf(round - live)
		version++
		_, _, _ = table.Apply(endedID, done, version)
		version++
		index := table.Get(endedID).Index
		table.Archive(endedID, version)
		if table.ByIndex(index) != nil {
			t.Fatal("a removed job's index finds a job, want nil")
		}
	}
	count, ended := 0, 0
	table.ForEach(func(*jobs.Job) { count++ })
	table.ForEachEnded(time.Hour, func(*jobs.Job) bool { ended++; return true })
	if count != live || table.Len() != live || table.LiveTasks() != live || ended != 0 {
		t.Errorf("%d jobs, %d by id, %d live tasks, %d ended jobs; want %d of each and no ended jobs",
			count, table.Len(), table.LiveTasks(), ended, live)
	}
}

// A job whose session has a stored record must not be archived, even if no other state of the job is left: the
// session would lose its job permanently.
func TestJobOfStoredSessionIsNotArchived(t *testing.T) {
	c, _, _ := newWatchingController(t)
	c.term.sessions = sessions.New(sessions.Env{
		Policies: &sessions.Policies{},
		Jobs:     c.jobs,
		Wall:     func(time.Duration) time.Time { return time.Unix(0, 0) },
	}, 1)
	c.term.sessions.Load(0, []store.Item{{
		Key:     sessions.Key("req-000001"),
		Value:   []byte(`{"user":"u","team":"t"}`),
		Version: 3,
	}})
	if c.isArchivable(&jobs.Job{ID: "req-000001", State: jobs.Done}) {
		t.Error("job of a stored session is archivable, want not archivable")
	}
}
