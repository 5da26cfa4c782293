package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/sessions"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// directSender carries requests to a stand-in for the state service, which answers at once.
type directSender struct{ svc *state.Service }

func (d directSender) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	done(d.svc.Serve(request))
}

// newFollowingController is a controller that follows a state service's keys, and a clock for both.
func newFollowingController(t *testing.T) (c *Controller, svc *state.Service, advance func(time.Duration)) {
	t.Helper()
	raw := []byte(`{"node":"n0","public_addr":"a:80","back":"a:81","services":{"cloud":"c:1","state":"s:1"},
	 "params":{"workers":{"report_s":1,"lease_s":6,"gang_wait_s":10,"gang_peer_s":2,"cancel_s":20},
	 "state":{"rps":1000,"write_rps":1000,"value_kb":8,"txn_ops":24},"cloud":{"rps":5,"list_lag_s":1}}}`)
	settings, err := config.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	svc = state.New()
	now := time.Duration(0)
	c = build(settings, Environment{Now: func() time.Duration { return now }, Sender: func(int) httpio.Sender { return directSender{svc} }})
	advance = func(duration time.Duration) {
		now += duration
		svc.Now = now
		c.watchCache.Tick(now)
	}
	advance(time.Second)
	return c, svc, advance
}

// An answer to a read comes after the followed keys have shown that the job ended and was archived: it must not let the
// job live again, with its tasks to be started.
func TestLateReadOfAnArchivedJob(t *testing.T) {
	c, svc, advance := newFollowingController(t)
	spec := &jobs.Spec{ID: "req-000001", Class: "c", Team: "t", Kind: jobs.Array, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	key := jobs.RecordKey(spec.ID)
	svc.Apply([]store.Op{{Put: key, Value: jobs.EncodeRecord(jobs.Pending, 0, 1, spec)}})
	read := svc.Keys[key]
	advance(time.Second)
	if c.jobs.Get(spec.ID) == nil {
		t.Fatal("the job isn't known")
	}
	svc.Apply([]store.Op{{Put: key, Value: jobs.EncodeRecord(jobs.Done, 0, 1, nil)}})
	svc.Apply([]store.Op{{Delete: key}})
	advance(time.Second)
	if c.jobs.Get(spec.ID) != nil || c.jobs.Len() != 0 {
		t.Fatal("an archived job is in the table")
	}
	if c.handleJobRead(c.loop.Now(), read); c.jobs.Get(spec.ID) != nil {
		t.Error("a late answer let an archived job live again")
	}
	// What is newer than the followed keys is news.
	svc.Apply([]store.Op{{Put: jobs.RecordKey("req-000002"), Value: jobs.EncodeRecord(jobs.Pending, 0, 1, spec)}})
	if c.handleJobRead(c.loop.Now(), svc.Keys[jobs.RecordKey("req-000002")]); c.jobs.Get("req-000002") == nil {
		t.Error("a job that was read before the followed keys showed it is not known")
	}
}

// A controller whose position was lost reads all keys again: jobs that were archived meanwhile leave its table, others stay.
func TestArchivedWhilePositionLost(t *testing.T) {
	c, svc, advance := newFollowingController(t)
	spec := &jobs.Spec{ID: "req-000001", Class: "c", Team: "t", Kind: jobs.Array, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	for _, id := range []string{"req-000001", "req-000002", "req-000003"} {
		svc.Apply([]store.Op{{Put: jobs.RecordKey(id), Value: jobs.EncodeRecord(jobs.Pending, 0, 1, spec)}})
	}
	advance(time.Second)
	svc.Apply([]store.Op{{Delete: jobs.RecordKey("req-000002")}})
	svc.Gone = svc.Rev + 1
	advance(time.Second)
	advance(time.Second)
	if c.jobs.Get("req-000002") != nil || c.jobs.Get("req-000001") == nil || c.jobs.Get("req-000003") == nil || c.jobs.Len() != 2 {
		t.Errorf("%d jobs are known", c.jobs.Len())
	}
	if c.jobs.LiveTasks() != 2 {
		t.Errorf("%d tasks count as live", c.jobs.LiveTasks())
	}
}

// The table gives back what jobs took that have left it, and never gives an index to a second job.
func TestTableIsBoundedByWhatLives(t *testing.T) {
	book := jobs.NewTable(0)
	spec := &jobs.Spec{ID: "x", Class: "c", Team: "t", Kind: jobs.Array, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	pending, done := jobs.EncodeRecord(jobs.Pending, 0, 1, spec), jobs.EncodeRecord(jobs.Done, 0, 1, nil)
	seen := map[jobs.Index]bool{}
	version := uint64(0)
	const rounds, live = 3000, 40
	ids := func(i int) string { return fmt.Sprintf("req-%06d", i) }
	for i := range rounds {
		version++
		job, _, err := book.Apply(ids(i), pending, version)
		if err != nil || seen[job.Index] {
			t.Fatalf("job %d: %v, an index that was another's: %v", i, err, seen[job.Index])
		}
		seen[job.Index] = true
		if old := i - live; old >= 0 {
			version++
			_, _, _ = book.Apply(ids(old), done, version)
			version++
			jobIndex := book.Get(ids(old)).Index
			book.Archive(ids(old), version)
			if book.ByIndex(jobIndex) != nil {
				t.Fatal("an index of a job that has left finds one")
			}
		}
	}
	n, ended := 0, 0
	book.ForEach(func(*jobs.Job) { n++ })
	book.ForEachEnded(time.Hour, func(*jobs.Job) bool { ended++; return true })
	if n != live || book.Len() != live || book.LiveTasks() != live || ended != 0 {
		t.Errorf("%d jobs, %d by id, %d live tasks, %d ended, and %d are live", n, book.Len(), book.LiveTasks(), ended, live)
	}
}

// A job whose session is still recorded isn't archived, whatever else is over: the session would be nobody's for ever.
func TestSessionKeepsItsJob(t *testing.T) {
	c, _, _ := newFollowingController(t)
	c.term.sessions = sessions.New(sessions.Env{Policies: &sessions.Policies{}, Jobs: c.jobs, Wall: func(time.Duration) time.Time { return time.Unix(0, 0) }}, 1)
	c.term.sessions.Load(0, []store.Item{{Key: sessions.Key("req-000001"), Value: []byte(`{"user":"u","team":"t"}`), Version: 3}})
	if c.isArchivable(&jobs.Job{ID: "req-000001", State: jobs.Done}) {
		t.Error("the job of a session that is recorded may be archived")
	}
}
