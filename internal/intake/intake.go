// Package intake answers users: submissions, queries, aborts and the health check. It
// runs on the event loop; http.go brings the requests in.
package intake

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Reply is an answer to a user.
type Reply struct {
	Status     int
	Body       any
	RetryAfter int // seconds, 0: none
}

// view is a job as told to users.
type view struct {
	ID      string `json:"name_id"`
	Stance  string `json:"stance"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

type fault struct {
	Error string `json:"error"`
}

// Refuse is an answer that says why not; 429 and 503 carry Retry-After.
func Refuse(status int, why string) Reply { return refuse(status, why) }

func refuse(status int, why string) Reply {
	r := Reply{Status: status, Body: fault{why}}
	if status == 429 || status == 503 {
		r.RetryAfter = 1
	}
	return r
}

// Bounds of the queues.
const (
	maxSubmits = 400
	maxChecks  = 2000
)

// submitOverhead is more than what a submission takes in a transaction beside its record: its key and conditions.
const submitOverhead = 180

// Bounds of one transaction that checks what is known of jobs: a job that isn't known here takes two conditions, one
// on its record and one on its archived answer.
const (
	condsPerCheck = 2
	condsPerOp    = 4 // conditions that the state service takes for each change that it takes
	mostChecked   = 300
)

// Verdict says whether a job can ever run.
type Verdict struct {
	OK    bool
	Known bool // false: it can't be told yet
	// Open says that a no may become a yes, or was one: another controller, or this one a
	// while ago, may have accepted the job.
	Open bool
	Why  string
}

// Admission decides whether a job can ever run.
type Admission func(*jobs.Spec) Verdict

// Env is what intake needs of its surroundings.
type Env struct {
	Store *store.Client
	Book  *jobs.Book
	// Archive finds the answers of jobs that ended long ago.
	Archive *archive.Reader
	Admit   Admission
	// Ready tells whether the job table was read in full.
	Ready func() bool
	// Counts gives what is displayed of a pending job.
	Counts func(*jobs.Job) (done, running int)
	// Learned hands on a record that was written or read here.
	Learned func(now time.Duration, it store.Item)
	// Guard is the condition that every write from here carries besides its own: the cluster's level is what this
	// controller knows it to be. Fit tells whether this release may act at that level; nil: there are no levels.
	Guard func() store.Cond
	Fit   func() bool
	// TxnOps bounds a transaction.
	TxnOps int
	// MaxTasks bounds the unfinished tasks of all jobs, which a leader keeps in memory;
	// MaxBytes the submissions that wait to be stored; MaxValue what can be stored of one.
	MaxTasks, MaxBytes, MaxValue int
}

type submit struct {
	spec  *jobs.Spec
	raw   []byte
	reply func(Reply)
}

type check struct {
	id      string
	version uint64
	reply   func(Reply)
	submit  bool // a repeated submission asks: the answer carries no counts
}

// Intake is the event-loop side.
type Intake struct {
	Env
	submits    []submit
	bytes      int // of the records in submits
	submitting bool
	checks     []check
	checking   bool
	nextCheck  time.Duration
	draining   bool
}

// Drain refuses submissions from now on; what was taken is answered.
func (n *Intake) Drain() { n.draining = true }

// Resume takes submissions again.
func (n *Intake) Resume() { n.draining = false }

// Busy tells whether users wait for an answer.
func (n *Intake) Busy() bool {
	return n.submitting || n.checking || len(n.submits)+len(n.checks) > 0
}

// New makes an intake.
func New(env Env) *Intake { return &Intake{Env: env} }

// stateLost tells that the state service has not answered for so long that asking it
// again would only hold the user back.
func (n *Intake) stateLost(now time.Duration) bool { return now-n.Store.LastOK() > 3*time.Second }

func (n *Intake) show(j *jobs.Job, full bool) Reply {
	v := view{ID: j.ID, Stance: j.Stance.String()}
	done, running := j.DoneN, 0
	if j.Stance == jobs.Pending {
		done, running = n.Counts(j)
		if running > 0 {
			v.Stance = "running"
		}
	}
	if full {
		v.Done, v.Running = &done, &running
	}
	return Reply{Status: 200, Body: v}
}

// fit refuses everybody where this release is behind the cluster's: what it would say or write could be wrong.
func (n *Intake) fit(reply func(Reply)) bool {
	if n.Fit == nil || n.Fit() {
		return true
	}
	reply(refuse(503, "this controller's release is behind the cluster's: ask another"))
	return false
}

// guarded are a write's conditions with the level's.
func (n *Intake) guarded(cs ...store.Cond) []store.Cond {
	if n.Guard == nil {
		return cs
	}
	return append(cs, n.Guard())
}

// Submit takes a parsed submission.
func (n *Intake) Submit(now time.Duration, s *jobs.Spec, reply func(Reply)) {
	if n.draining {
		reply(refuse(503, "this controller is being drained: ask another"))
		return
	}
	if !n.fit(reply) {
		return
	}
	if !n.Ready() {
		reply(refuse(503, "still reading the jobs"))
		return
	}
	if j := n.Book.Get(s.ID); j != nil {
		if j.Stance.Terminal() {
			reply(n.show(j, false))
			return
		}
		n.queueCheck(now, check{id: s.ID, reply: reply, submit: true})
		return
	}
	if a, ok := n.Archive.Known(s.ID); ok {
		reply(showArchived(s.ID, a, false))
		return
	}
	switch v := n.Admit(s); {
	case !v.Known:
		reply(refuse(503, v.Why))
		return
	case !v.OK:
		// A count of licences falls, or a machine type comes, while this job's record is on its way here
		// from the controller that took it; or the job was accepted under other settings and is archived. Only a
		// read tells a refusal from a repetition.
		if n.stateLost(now) || !n.Store.Room(0, store.Ordinary) {
			reply(refuse(503, "the state service does not answer"))
			return
		}
		n.reread(s.ID, reply, false, refuse(422, v.Why))
		return
	}
	if n.stateLost(now) {
		reply(refuse(503, "the state service does not answer"))
		return
	}
	raw := jobs.EncodeRecord(jobs.Pending, n.Book.WallMS(now), s.Tasks, s)
	if len(raw) > n.MaxValue {
		reply(refuse(422, "the job's description is larger than what can be stored of a job"))
		return
	}
	// Every job is taken for itself; together they must fit the leader's memory.
	if live := n.Book.LiveTasks(); live > 0 && live+s.Tasks > n.MaxTasks {
		reply(refuse(429, "too many unfinished tasks"))
		return
	}
	n.enqueue(now, submit{s, raw, reply})
}

// enqueue lets a submission wait to be stored, if there is room.
func (n *Intake) enqueue(now time.Duration, s submit) {
	if len(n.submits) >= maxSubmits || n.bytes+len(s.raw) > n.MaxBytes {
		s.reply(refuse(429, "too many submissions"))
		return
	}
	n.submits, n.bytes = append(n.submits, s), n.bytes+len(s.raw)
	n.flush(now)
}

// flush writes all waiting submissions in one transaction; those that come meanwhile form
// the next.
func (n *Intake) flush(now time.Duration) {
	if n.submitting || len(n.submits) == 0 {
		return
	}
	size, k := 200, 0
	seen := map[string]bool{}
	for k < len(n.submits) && k < n.TxnOps {
		s := n.submits[k]
		if size += len(s.raw) + submitOverhead; size > 60<<10 || seen[s.spec.ID] {
			break
		}
		seen[s.spec.ID] = true
		k++
	}
	if !n.Store.Room(k, store.Ordinary) {
		if k = 1; !n.Store.Room(k, store.Ordinary) {
			for _, s := range n.submits {
				s.reply(refuse(429, "the state service is at its limit"))
			}
			n.submits, n.bytes = nil, 0
			return
		}
	}
	batch := append([]submit(nil), n.submits[:k]...)
	n.submits = n.submits[k:]
	t := store.Txn{}
	for _, s := range batch {
		n.bytes -= len(s.raw)
		key := jobs.RecordKey(s.spec.ID)
		// Should this land after the job was accepted elsewhere, has ended and was archived, it makes nothing.
		t.If = append(t.If, store.Cond{Key: key}, archive.Absent(s.spec.ID))
		t.Then = append(t.Then, store.Op{Put: key, Value: s.raw})
	}
	t.If = n.guarded(t.If...)
	n.submitting = true
	n.Store.Txn(t, store.Ordinary, func(r store.Result) {
		n.submitting = false
		n.submitted(n.Store.Now(), batch, r)
		n.flush(n.Store.Now())
	})
}

func (n *Intake) submitted(now time.Duration, batch []submit, r store.Result) {
	failed := map[string]bool{}
	for _, k := range r.Failed {
		failed[k] = true
	}
	for _, s := range batch {
		key := jobs.RecordKey(s.spec.ID)
		switch r.Outcome {
		case store.Committed:
			n.Learned(now, store.Item{Key: key, Value: s.raw, Version: r.Revision})
			n.accepted(s)
		case store.Conflict:
			if failed[key] || failed[archive.Key(s.spec.ID)] {
				n.reread(s.spec.ID, s.reply, false, notStored)
			} else if n.Guard != nil && failed[n.Guard().Key] {
				s.reply(refuse(503, "the cluster's level has just changed"))
			} else {
				n.enqueue(now, s)
			}
		case store.Indeterminate:
			// It may have been stored: only a read can tell. If it was not, it may yet
			// be; then the user's retry finds it.
			n.reread(s.spec.ID, s.reply, false, notStored)
		default:
			s.reply(refuse(503, "the state service did not take the job"))
		}
	}
}

// accepted answers a submission whose record is durable. Others may have read the record, users may have cancelled the
// job, and it may even be over, before the answer of the state service came: the newest that is known goes out.
func (n *Intake) accepted(s submit) {
	switch j := n.Book.Get(s.spec.ID); {
	case j == nil:
		n.reread(s.spec.ID, s.reply, false, notStored)
	case j.Stance.Terminal():
		s.reply(n.show(j, false))
	default:
		s.reply(Reply{Status: 201, Body: view{ID: s.spec.ID, Stance: "pending"}})
	}
}

// Query answers what has become of a job. What can still change is checked against the
// state service, many jobs in one transaction without changes.
func (n *Intake) Query(now time.Duration, id string, reply func(Reply)) {
	if !jobs.ValidID(id) {
		reply(refuse(404, "no such job"))
		return
	}
	if !n.fit(reply) {
		return
	}
	if !n.Ready() {
		reply(refuse(503, "still reading the jobs"))
		return
	}
	if r, ok := n.final(id, true); ok {
		reply(r)
		return
	}
	n.queueCheck(now, check{id: id, reply: reply})
}

func (n *Intake) queueCheck(now time.Duration, c check) {
	if n.stateLost(now) {
		c.reply(refuse(503, "the state service does not answer"))
		return
	}
	if len(n.checks) >= maxChecks {
		c.reply(refuse(429, "too many queries"))
		return
	}
	n.checks = append(n.checks, c)
	n.check(now)
}

// Tick sends a check that was spaced out.
func (n *Intake) Tick(now time.Duration) { n.check(now) }

func (n *Intake) check(now time.Duration) {
	if n.checking || len(n.checks) == 0 || now < n.nextCheck {
		return
	}
	// A flood of questions once took all that there was, and submissions and cancellations were refused beside it.
	if !n.Store.Room(0, store.Query) {
		if len(n.checks) > 200 {
			for _, c := range n.checks {
				c.reply(refuse(503, "the state service is at its limit"))
			}
			n.checks = nil
		}
		n.nextCheck = now + 50*time.Millisecond
		return
	}
	var batch []check
	seen := map[string]bool{}
	t := store.Txn{}
	k := 0
	for ; k < len(n.checks) && len(t.If)+condsPerCheck <= condsPerOp*n.TxnOps && len(seen) < mostChecked; k++ {
		c := n.checks[k]
		c.version = 0
		if j := n.Book.Get(c.id); j != nil {
			c.version = j.Version
		}
		if !seen[c.id] {
			seen[c.id] = true
			t.If = append(t.If, store.Cond{Key: jobs.RecordKey(c.id), Version: c.version})
			if c.version == 0 {
				t.If = append(t.If, archive.Absent(c.id))
			}
		}
		batch = append(batch, c)
	}
	n.checks = n.checks[k:]
	n.checking = true
	n.nextCheck = now + 40*time.Millisecond
	n.Store.Txn(t, store.Query, func(r store.Result) {
		n.checking = false
		n.checked(batch, r)
		n.check(n.Store.Now())
	})
}

func (n *Intake) checked(batch []check, r store.Result) {
	failed := map[string]bool{}
	for _, k := range r.Failed {
		failed[k] = true
	}
	if r.Outcome != store.Committed && r.Outcome != store.Conflict {
		slog.Debug("queries not checked", "n", len(batch), "outcome", r.Outcome.String())
		for _, c := range batch {
			c.reply(refuse(503, "the state service does not answer"))
		}
		return
	}
	for _, c := range batch {
		j := n.Book.Get(c.id)
		switch {
		case !failed[jobs.RecordKey(c.id)] && !failed[archive.Key(c.id)]:
			// Our version was the newest when the check ran. What has been learnt since
			// is newer still.
			switch {
			case j != nil:
				c.reply(n.show(j, !c.submit))
			case c.version == 0:
				c.reply(noSuchJob) // neither its record nor its answer was there, at one moment
			default:
				n.again(c) // it has ended and left the table meanwhile
			}
		case j != nil && j.Stance.Terminal():
			c.reply(n.show(j, !c.submit))
		case !failed[jobs.RecordKey(c.id)] && c.version == 0:
			// Its answer was there, and its record wasn't: one read tells it.
			n.archived(c.id, c.reply, !c.submit, n.absentFor(c))
		default:
			n.again(c)
		}
	}
}

// absentFor answers a question about a job that has neither record nor answer.
func (n *Intake) absentFor(c check) Reply {
	if c.submit {
		return notStored
	}
	return noSuchJob
}

// again answers a question by reading, where a check has not settled it.
func (n *Intake) again(c check) {
	n.reread(c.id, c.reply, !c.submit, n.absentFor(c))
}

// Abort cancels a job. The answer is given once that is durable.
func (n *Intake) Abort(now time.Duration, id string, reply func(Reply)) {
	n.AbortBy(now, nil, id, reply)
}

// AbortBy cancels a job for a user, who must be one of its team; nil is anybody.
func (n *Intake) AbortBy(now time.Duration, w *access.Who, id string, reply func(Reply)) {
	if !jobs.ValidID(id) {
		reply(refuse(404, "no such job"))
		return
	}
	if !n.fit(reply) {
		return
	}
	if !n.Ready() {
		reply(refuse(503, "still reading the jobs"))
		return
	}
	if r, ok := n.final(id, false); ok {
		reply(r)
		return
	}
	if n.stateLost(now) {
		reply(refuse(503, "the state service does not answer"))
		return
	}
	n.abort(w, id, reply, 4)
}

func (n *Intake) abort(w *access.Who, id string, reply func(Reply), tries int) {
	j := n.Book.Get(id)
	if j != nil && j.Stance.Terminal() {
		reply(n.show(j, false))
		return
	}
	if j != nil && w != nil && !w.May(j.Spec.Team) {
		reply(refuse(403, w.Name+" may not cancel jobs of team "+j.Spec.Team))
		return
	}
	again := func() {
		n.Store.Get(jobs.RecordKey(id), store.Ordinary, func(it store.Item, err error) {
			switch {
			case err != nil || tries == 0:
				reply(refuse(503, "the state service does not answer"))
			case it.Version == 0:
				n.abortArchived(w, id, reply, tries)
			default:
				n.Learned(n.Store.Now(), it)
				if n.Book.Unread(id) {
					reply(unreadable)
					return
				}
				n.abort(w, id, reply, tries-1)
			}
		})
	}
	if j == nil {
		again()
		return
	}
	key := jobs.RecordKey(id)
	raw := jobs.EncodeRecord(jobs.Cancelled, n.Book.WallMS(j.At), j.N, j.Spec)
	n.Store.Txn(store.Txn{If: n.guarded(store.Cond{Key: key, Version: j.Version}), Then: []store.Op{{Put: key, Value: raw}}},
		store.Ordinary, func(r store.Result) {
			switch r.Outcome {
			case store.Committed:
				n.Learned(n.Store.Now(), store.Item{Key: key, Value: raw, Version: r.Revision})
				if r, ok := n.final(id, false); ok {
					reply(r)
					return
				}
				n.reread(id, reply, false, notStored) // archived before this answer came
			case store.Conflict, store.Indeterminate:
				if tries == 0 {
					reply(refuse(503, "the job keeps changing"))
					return
				}
				again()
			default:
				reply(refuse(503, "the state service did not take it"))
			}
		})
}
