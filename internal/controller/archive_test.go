package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/store"
)

// The answer to a read arrives after the followed keys have shown that the job ended and was archived: it must not
// bring the job back, with its tasks to be started.
func TestLateReadOfAnArchivedJob(t *testing.T) {
	c, service, advance := newFollowingController(t)
	spec := newSpec("req-000001")
	key := jobs.RecordKey(spec.ID)
	pending := jobs.EncodeRecord(jobs.Pending, 0, 1, spec)
	service.Apply([]store.Op{{Put: key, Value: pending}})
	read := service.Keys[key]
	advance(time.Second)
	if c.jobs.Get(spec.ID) == nil {
		t.Fatal("the job is not in the table")
	}
	service.Apply([]store.Op{{Put: key, Value: jobs.EncodeRecord(jobs.Done, 0, 1, nil)}})
	service.Apply([]store.Op{{Delete: key}})
	advance(time.Second)
	if c.jobs.Get(spec.ID) != nil || c.jobs.Len() != 0 {
		t.Fatal("an archived job is in the table")
	}
	if c.handleJobRead(c.loop.Now(), read); c.jobs.Get(spec.ID) != nil {
		t.Error("a late answer brought an archived job back")
	}
	// A record that is newer than the followed keys is applied.
	newerKey := jobs.RecordKey("req-000002")
	service.Apply([]store.Op{{Put: newerKey, Value: pending}})
	if c.handleJobRead(c.loop.Now(), service.Keys[newerKey]); c.jobs.Get("req-000002") == nil {
		t.Error("a job that was read before the followed keys showed it is not in the table")
	}
}

// A controller whose watch position was lost reads all keys again: jobs that were archived meanwhile leave its table,
// others stay.
func TestArchivedWhilePositionLost(t *testing.T) {
	c, service, advance := newFollowingController(t)
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
		t.Error("an archived job is in the table")
	}
	if c.jobs.Get("req-000001") == nil || c.jobs.Get("req-000003") == nil || c.jobs.Len() != 2 {
		t.Errorf("%d jobs are in the table", c.jobs.Len())
	}
	if c.jobs.LiveTasks() != 2 {
		t.Errorf("%d tasks count as live", c.jobs.LiveTasks())
	}
}

// The table frees what jobs used that have left it, and never gives an index to a second job.
func TestTableIsBoundedByWhatLives(t *testing.T) {
	const rounds, live = 3000, 40
	table := jobs.NewTable(0)
	pending := jobs.EncodeRecord(jobs.Pending, 0, 1, newSpec("x"))
	done := jobs.EncodeRecord(jobs.Done, 0, 1, nil)
	seen := map[jobs.Index]bool{}
	version := uint64(0)
	idOf := func(round int) string { return fmt.Sprintf("req-%06d", round) }
	for round := range rounds {
		version++
		job, _, err := table.Apply(idOf(round), pending, version)
		if err != nil || seen[job.Index] {
			t.Fatalf("job %d: %v, an index that was another's: %v", round, err, seen[job.Index])
		}
		seen[job.Index] = true
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
			t.Fatal("an index of a job that has left finds one")
		}
	}
	count, ended := 0, 0
	table.ForEach(func(*jobs.Job) { count++ })
	table.ForEachEnded(time.Hour, func(*jobs.Job) bool { ended++; return true })
	if count != live || table.Len() != live || table.LiveTasks() != live || ended != 0 {
		t.Errorf("%d jobs, %d by id, %d live tasks, %d ended, and %d are live",
			count, table.Len(), table.LiveTasks(), ended, live)
	}
}

// A job whose session is still recorded isn't archived, even if nothing else of it is left: the session would lose its
// job for ever.
func TestSessionKeepsItsJob(t *testing.T) {
	c, _, _ := newFollowingController(t)
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
		t.Error("the job of a session that is recorded may be archived")
	}
}
