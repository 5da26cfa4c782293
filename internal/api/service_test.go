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

// desk is one controller's intake before the stand-in; the test delivers answers.
type desk struct {
	*Service
	svc   *state.Service
	lose  bool                 // answers are lost after the request was carried out
	drop  bool                 // requests are lost
	late  func()               // what happens once the next request was carried out, before its answer comes
	look  func(httpio.Request) // is shown each request, unless it is nil
	queue []func()
}

func (d *desk) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	if d.look != nil {
		d.look(request)
	}
	d.queue = append(d.queue, func() {
		if d.drop {
			done(httpio.Response{Err: httpio.ErrBusy})
			return
		}
		res := d.svc.Serve(request)
		if d.lose && request.Path == "/txn" {
			res = httpio.Response{Err: httpio.ErrBusy}
		}
		if f := d.late; f != nil {
			d.late = nil
			f()
		}
		done(res)
	})
}

func (d *desk) run() {
	for len(d.queue) > 0 {
		f := d.queue[0]
		d.queue = d.queue[1:]
		f()
		d.svc.Now += 50 * time.Millisecond
		d.Tick(d.svc.Now)
	}
}

func newDesk(svc *state.Service) *desk {
	d := &desk{svc: svc}
	st := store.New("", d, func() time.Duration { return svc.Now }, store.Share{RPS: 1e6, WriteRPS: 1e6, BurstS: 0.8}, store.Limits{MaxOps: 24, MaxValueBytes: 32 << 10})
	book := jobs.NewTable(0)
	d.Service = New(Env{
		Store: st, Jobs: book, Archive: archive.NewReader(st, 8), Ready: func() bool { return true }, TxnOps: 24, MaxTasks: 3000, MaxBytes: 1 << 20, MaxValue: 8 << 10,
		Admit: func(spec *jobs.Spec) AdmissionResult {
			return AdmissionResult{OK: spec.Team == "t", Known: spec.Team != "unknown yet", Open: spec.Team == "short of seats", Why: "team"}
		},
		Counts: func(job *jobs.Job) (int, int) { return job.FinishedTasks, job.ReportedRunning },
		OnJobRecord: func(_ time.Duration, item store.Item) {
			_, _, _ = book.Apply(strings.TrimPrefix(item.Key, jobs.Prefix), item.Value, item.Version)
		},
	})
	return d
}

func job(n int) *jobs.Spec {
	return &jobs.Spec{ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: "t", Kind: jobs.Array, Priority: "standard", Tasks: 3, CPUs: 1, Image: "i"}
}

// ask collects one answer and fails if there is none or more than one.
func (d *desk) ask(t *testing.T, f func(reply func(Reply))) Reply {
	t.Helper()
	var got []Reply
	f(func(r Reply) { got = append(got, r) })
	d.run()
	if len(got) != 1 {
		t.Fatalf("%d answers", len(got))
	}
	return got[0]
}

func (d *desk) submit(t *testing.T, spec *jobs.Spec) Reply {
	t.Helper()
	return d.ask(t, func(r func(Reply)) { d.Submit(d.svc.Now, spec, r) })
}

func (d *desk) query(t *testing.T, id string) Reply {
	t.Helper()
	return d.ask(t, func(r func(Reply)) { d.Query(d.svc.Now, id, r) })
}

func (d *desk) abort(t *testing.T, id string) Reply {
	t.Helper()
	return d.ask(t, func(r func(Reply)) { d.Abort(d.svc.Now, id, r) })
}

func stance(r Reply) string {
	b, _ := json.Marshal(r.Body)
	var v struct {
		Stance string `json:"stance"`
	}
	_ = json.Unmarshal(b, &v)
	return v.Stance
}

func TestSubmitQueryAbort(t *testing.T) {
	svc := state.New()
	a, b := newDesk(svc), newDesk(svc)
	if r := a.submit(t, job(1)); r.Status != 201 {
		t.Fatalf("submit: %+v", r)
	}
	if r := a.submit(t, job(1)); r.Status != 200 || stance(r) != "pending" {
		t.Fatalf("the same again: %+v", r)
	}
	// Another controller has not heard of the job yet and must not say 404.
	if r := b.query(t, "req-000001"); r.Status != 200 {
		t.Fatalf("another controller: %+v", r)
	}
	if r := newDesk(svc).submit(t, job(1)); r.Status != 200 {
		t.Fatalf("retry elsewhere: %+v", r)
	}
	if r := a.query(t, "req-000002"); r.Status != 404 {
		t.Fatalf("unknown: %+v", r)
	}
	if r := b.abort(t, "req-000001"); r.Status != 200 || stance(r) != "cancelled" {
		t.Fatalf("abort: %+v", r)
	}
	// The first controller still believes it is pending: it must ask.
	if r := a.query(t, "req-000001"); stance(r) != "cancelled" {
		t.Fatalf("an older answer: %+v", r)
	}
	if r := a.abort(t, "req-000001"); stance(r) != "cancelled" {
		t.Fatalf("abort again: %+v", r)
	}
	if r := a.abort(t, "req-000009"); r.Status != 404 {
		t.Fatalf("abort of an unknown job: %+v", r)
	}
	bad := job(3)
	bad.Team = "other"
	if r := a.submit(t, bad); r.Status != 422 {
		t.Fatalf("unknown team: %+v", r)
	}
	bad.Team = "unknown yet"
	if r := a.submit(t, bad); r.Status != 503 || r.RetryAfter == 0 {
		t.Fatalf("undecided: %+v", r)
	}
}

// Between a submission's being stored and its answer others have read it, and its user has cancelled it through them: the newest
// that is known here goes out.
func TestNewestGoesOut(t *testing.T) {
	svc := state.New()
	a, b := newDesk(svc), newDesk(svc)
	a.late = func() {
		if r := b.abort(t, "req-000001"); stance(r) != "cancelled" {
			t.Fatalf("abort elsewhere: %+v", r)
		}
		item := svc.Keys[jobs.RecordKey("req-000001")]
		a.OnJobRecord(svc.Now, store.Item{Key: item.Key, Value: item.Value, Version: item.Version}) // it is followed
	}
	if r := a.submit(t, job(1)); r.Status != 200 || stance(r) != "cancelled" {
		t.Errorf("its submission is answered %+v", r)
	}
}

// What a leader can't keep in memory, or the state service can't store, is refused at once:
// twenty arrays of the largest size would have ended every leader one after the other.
func TestSizesAreBounded(t *testing.T) {
	svc := state.New()
	d := newDesk(svc)
	large := func(n, tasks int) *jobs.Spec {
		spec := job(n)
		spec.Tasks = tasks
		return spec
	}
	if r := d.submit(t, large(1, 100_000)); r.Status != 201 {
		t.Fatalf("one job alone: %+v", r)
	}
	if r := d.submit(t, large(2, 1)); r.Status != 429 || r.RetryAfter == 0 {
		t.Fatalf("beyond the bound: %+v", r)
	}
	if r := d.submit(t, large(1, 100_000)); r.Status != 200 {
		t.Fatalf("the first again: %+v", r)
	}
	d.abort(t, "req-000001")
	for i, want := range []int{201, 201, 429} {
		if r := d.submit(t, large(3+i, 1500)); r.Status != want {
			t.Fatalf("job %d after the abort: %+v", i, r)
		}
	}
	wide := job(9)
	wide.Class = strings.Repeat("c", 9<<10)
	if r := newDesk(state.New()).submit(t, wide); r.Status != 422 {
		t.Fatalf("more than a value holds: %+v", r)
	}
	n := map[int]int{}
	e := newDesk(state.New())
	e.MaxBytes = 20 * len(jobs.EncodeRecord(jobs.Pending, 0, 3, job(1)))
	for i := range 100 {
		e.Submit(0, job(i), func(r Reply) { n[r.Status]++ })
	}
	if e.run(); n[201] < 20 || n[201] > 22 || n[201]+n[429] != 100 || e.bytes != 0 {
		t.Fatalf("answers %v, %d bytes left", n, e.bytes)
	}
}

// What is refused today for lack of seats may have been accepted yesterday, or an instant ago by
// another controller: only a fresh read says no.
func TestSeatsRefusedOnlyAfterARead(t *testing.T) {
	svc := state.New()
	d := newDesk(svc)
	spec := job(1)
	spec.Team = "short of seats"
	if r := d.submit(t, spec); r.Status != 422 {
		t.Fatalf("never accepted: %+v", r)
	}
	svc.Serve(httpio.Request{Method: "POST", Path: "/txn", Body: []byte(fmt.Sprintf(`{"if":[],"apply":[{"set":%q,"data":%s}]}`,
		jobs.RecordKey(spec.ID), jobs.EncodeRecord(jobs.Pending, 0, spec.Tasks, spec)))})
	if r := d.submit(t, spec); r.Status != 200 || stance(r) != "pending" {
		t.Fatalf("accepted by another controller: %+v", r)
	}
	svc.Down = true
	if r := newDesk(svc).submit(t, spec); r.Status != 503 {
		t.Fatalf("nobody can tell: %+v", r)
	}
}

// Operators' commands need their token, or come from the controller's own machine where none is
// set.
func TestOperatorsToken(t *testing.T) {
	for _, c := range []struct {
		token, header, from string
		may                 bool
	}{
		{"", "", "127.0.0.1", true},
		{"", "", "10.0.0.7", false},
		{"", "x", "10.0.0.7", false},
		{"", "", "", false},
		{"secret-secret-secret", "secret-secret-secret", "10.0.0.7", true},
		{"secret-secret-secret", "", "127.0.0.1", false},
		{"secret-secret-secret", "secret-secret-secreT", "127.0.0.1", false},
	} {
		if ok, why := (&LeaderAPI{Token: c.token}).may(c.header, c.from); ok != c.may || ok == (why != "") {
			t.Errorf("%+v: %v, %q", c, ok, why)
		}
	}
}

// A lost answer is resolved by a read: 201 and 200 are said only of what is stored.
func TestOpenOutcomes(t *testing.T) {
	svc := state.New()
	d := newDesk(svc)
	d.lose = true
	if r := d.submit(t, job(1)); r.Status != 200 || svc.Keys[jobs.RecordKey("req-000001")].Version == 0 {
		t.Fatalf("stored, answer lost: %+v", r)
	}
	if r := d.abort(t, "req-000001"); stance(r) != "cancelled" {
		t.Fatalf("cancelled, answer lost: %+v", r)
	}
	d.lose, d.drop = false, true
	if r := d.submit(t, job(2)); r.Status != 503 || r.RetryAfter == 0 {
		t.Fatalf("nothing gets through: %+v", r)
	}
}

// In an outage what can't be decided is refused at once; final states are still told.
func TestOutage(t *testing.T) {
	svc := state.New()
	d := newDesk(svc)
	d.submit(t, job(1))
	d.submit(t, job(2))
	d.abort(t, "req-000002")
	svc.Down = true
	for name, r := range map[string]Reply{
		"submit": d.submit(t, job(3)), "query": d.query(t, "req-000001"), "unknown": d.query(t, "req-000077"), "abort": d.abort(t, "req-000001"),
	} {
		if r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%s in an outage: %+v", name, r)
		}
	}
	if r := d.query(t, "req-000002"); stance(r) != "cancelled" {
		t.Errorf("final state in an outage: %+v", r)
	}
	svc.Now += 10 * time.Second
	sent := len(d.queue)
	d.Submit(svc.Now, job(4), func(r Reply) {
		if r.Status != 503 {
			t.Errorf("after 10 s of silence: %+v", r)
		}
	})
	if len(d.queue) != sent {
		t.Error("asked a service that has been silent for 10 s and held the user back")
	}
}

// The queue is bounded, and everybody gets an answer.
func TestFloodIsShed(t *testing.T) {
	svc := state.New()
	d := newDesk(svc)
	d.MaxBytes = 16 << 20 // the count binds first
	n := map[int]int{}
	for i := range 3 * maxSubmits {
		d.Submit(svc.Now, job(i), func(r Reply) { n[r.Status]++ })
	}
	d.run()
	if n[201]+n[429] != 3*maxSubmits || n[201] < maxSubmits || n[429] == 0 {
		t.Fatalf("answers %v", n)
	}
	if len(svc.Keys) != n[201] {
		t.Fatalf("%d stored, %d accepted", len(svc.Keys), n[201])
	}
}

// Answers are counted by what they were to whom; a server without a counter counts nothing.
func TestAnswersAreCounted(t *testing.T) {
	var k ResponseCounter
	for _, s := range []int{200, 201, 404, 422, 429, 503, 503} {
		k.user(s)
	}
	for _, s := range []int{200, 421, 503} {
		k.worker(s)
	}
	if got := k.Read(); got != (ResponseCounts{Served: 4, Busy: 1, Unable: 2, Reports: 1, Void: 2}) {
		t.Fatalf("%+v", got)
	}
	var none *ResponseCounter
	none.user(200)
	none.worker(200)
}
