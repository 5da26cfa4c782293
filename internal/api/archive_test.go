package api

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// moved lets a job stand in the archive and nowhere else, as after a move by another controller.
func (d *desk) moved(id string, answer archive.Answer) {
	d.svc.Apply([]store.Op{{Delete: jobs.RecordKey(id)}, {Put: archive.Key(id), Value: archive.Encode(answer)}})
}

// An archived job's answer is told to whoever asks, whatever is asked: a question, a repeated submission, a cancellation;
// and a job that nobody submitted is unknown still.
func TestArchivedJobsAreAnswered(t *testing.T) {
	for _, st := range []jobs.State{jobs.Done, jobs.Cancelled} {
		for what, ask := range map[string]func(d *desk) Reply{
			"question":     func(d *desk) Reply { return d.query(t, job(1).ID) },
			"submission":   func(d *desk) Reply { return d.submit(t, job(1)) },
			"cancellation": func(d *desk) Reply { return d.abort(t, job(1).ID) },
		} {
			d := newDesk(state.New())
			d.moved(job(1).ID, archive.Answer{State: st, Tasks: 3, Done: 2})
			for range 2 { // from a read, and from memory
				if r := ask(d); r.Status != 200 || stance(r) != st.String() {
					t.Errorf("%s about a job that was %s: %d %q", what, st, r.Status, stance(r))
				}
			}
			if r := d.query(t, job(2).ID); r.Status != 404 {
				t.Errorf("an unknown job: %d", r.Status)
			}
			if d.svc.Keys[jobs.RecordKey(job(1).ID)].Version != 0 {
				t.Errorf("%s made the job's record again", what)
			}
		}
	}
}

// A job that was accepted and archived is never refused, though one like it could not run here now.
func TestNoRefusalOfAnArchivedJob(t *testing.T) {
	d := newDesk(state.New())
	spec := job(1)
	spec.Team = "a team that the settings no longer name"
	d.moved(spec.ID, archive.Answer{State: jobs.Done, Tasks: 3, Done: 3})
	if r := d.submit(t, spec); r.Status != 200 || stance(r) != "done" {
		t.Errorf("%d %q", r.Status, stance(r))
	}
	spec.ID = job(2).ID
	if r := d.submit(t, spec); r.Status != 422 {
		t.Errorf("a new one: %d", r.Status)
	}
}

// What can't be read is not told: nobody is told that the job is unknown, and it isn't made again.
func TestUnreadableArchivedAnswer(t *testing.T) {
	d := newDesk(state.New())
	d.svc.Apply([]store.Op{{Put: archive.Key(job(1).ID), Value: json.RawMessage(`{"v":9,"stance":"done"}`)}})
	for what, r := range map[string]Reply{"question": d.query(t, job(1).ID), "submission": d.submit(t, job(1)), "cancellation": d.abort(t, job(1).ID)} {
		if r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%s: %d, retry after %d", what, r.Status, r.RetryAfter)
		}
	}
	if d.svc.Keys[jobs.RecordKey(job(1).ID)].Version != 0 {
		t.Error("the job was made again")
	}
}

// A job is moved between the check of a question and the reads that follow: it is found all the same. The job's record is
// there at the check, and gone when it is read.
func TestMovedWhileAsked(t *testing.T) {
	d := newDesk(state.New())
	d.svc.Apply([]store.Op{{Put: jobs.RecordKey(job(1).ID), Value: jobs.EncodeRecord(jobs.Done, 0, 3, nil)}})
	d.late = func() { d.moved(job(1).ID, archive.Answer{State: jobs.Done, Tasks: 3, Done: 3}) }
	if r := d.query(t, job(1).ID); r.Status != 200 || stance(r) != "done" {
		t.Errorf("%d %q", r.Status, stance(r))
	}
}

// A record is read, the job is moved, and the followed keys show that before the answer to the read comes: what was read is
// void, and the answer is told from the archive.
func TestMovedWhileItsRecordIsRead(t *testing.T) {
	d := newDesk(state.New())
	d.svc.Apply([]store.Op{{Put: jobs.RecordKey(job(1).ID), Value: jobs.EncodeRecord(jobs.Done, 0, 3, nil)}})
	d.OnJobRecord = func(time.Duration, store.Item) {} // the followed keys have passed its version
	d.late = func() {                                  // after the check
		d.late = func() { d.moved(job(1).ID, archive.Answer{State: jobs.Done, Tasks: 3, Done: 3}) } // after the read
	}
	if r := d.query(t, job(1).ID); r.Status != 200 || stance(r) != "done" {
		t.Errorf("%d %q", r.Status, stance(r))
	}
}

// A job was accepted, has ended and was archived before the answer to its first write came here: its user is told how it
// ended, as others were.
func TestArchivedBeforeItsSubmissionIsAnswered(t *testing.T) {
	d := newDesk(state.New())
	d.OnJobRecord = func(time.Duration, store.Item) {} // the followed keys have passed its version
	d.late = func() { d.moved(job(1).ID, archive.Answer{State: jobs.Done, Tasks: 3, Done: 3}) }
	if r := d.submit(t, job(1)); r.Status != 200 || stance(r) != "done" {
		t.Errorf("%d %q", r.Status, stance(r))
	}
}
