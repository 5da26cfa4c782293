// Package api answers users: submissions, queries, aborts and the health check. It
// runs on the event loop; http.go brings the requests in.
package api

import (
	"time"

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

// Bounds of the queues, for a fleet of some 4,000 machines: a burst of that size is shed by the bytes that wait
// (Env.MaxBytes) and by the state service's rate, not by a count.
const (
	maxSubmits = 4096
	maxChecks  = 4096
)

// AdmissionResult says whether a job can ever run.
type AdmissionResult struct {
	OK    bool
	Known bool // false: it can't be told yet
	// Open says that a no may become a yes, or was one: another controller, or this one a
	// while ago, may have accepted the job.
	Open bool
	Why  string
}

// AdmitFunc decides whether a job can ever run.
type AdmitFunc func(*jobs.Spec) AdmissionResult

// Env is what intake needs of its surroundings.
type Env struct {
	Store *store.Client
	Jobs  *jobs.Table
	// Archive finds the answers of jobs that ended long ago.
	Archive *archive.Reader
	Admit   AdmitFunc
	// Ready tells whether the job table was read in full.
	Ready func() bool
	// Counts gives what is displayed of a pending job.
	Counts func(*jobs.Job) (done, running int)
	// OnJobRecord hands on a record that was written or read here.
	OnJobRecord func(now time.Duration, item store.Item)
	// LevelCondition is the condition that every write from here carries besides its own: the cluster's level is what this
	// controller knows it to be. Fit tells whether this release may act at that level; nil: there are no levels.
	LevelCondition func() store.Condition
	Compatible     func() bool
	// TxnOps bounds a transaction. Limits is what one may hold now, which may be less; nil: it is TxnOps and MaxValue.
	TxnOps int
	Limits func() store.Limits
	// MaxTasks bounds the unfinished tasks of all jobs, which a leader keeps in memory;
	// MaxBytes the submissions that wait to be stored; MaxValue what can be stored of one.
	MaxTasks, MaxBytes, MaxValue int
}

// Service is the event-loop side.
type Service struct {
	Env
	submissions    []pendingSubmission
	bytes          int // of the records in submits
	submitInFlight bool
	queries        []statusQuery
	queryInFlight  bool
	nextCheck      time.Duration
	draining       bool
	promised       time.Duration // when the last refused submission was told to come back
}

// limits is what a transaction may hold now.
func (n *Service) limits() store.Limits {
	l := store.Limits{MaxOps: n.TxnOps, MaxValueBytes: n.MaxValue}
	if n.Limits != nil {
		now := n.Limits()
		l = store.Limits{MaxOps: min(l.MaxOps, now.MaxOps), MaxValueBytes: min(l.MaxValueBytes, now.MaxValueBytes)}
	}
	return l
}

// Drain refuses submissions from now on; what was taken is answered.
func (n *Service) Drain() { n.draining = true }

// Resume takes submissions again.
func (n *Service) Resume() { n.draining = false }

// Busy tells whether users wait for an answer.
func (n *Service) Busy() bool {
	return n.submitInFlight || n.queryInFlight || len(n.submissions)+len(n.queries) > 0
}

// New makes an intake.
func New(env Env) *Service { return &Service{Env: env} }

// stateLost tells that the state service has not answered for so long that asking it
// again would only hold the user back.
func (n *Service) stateLost(now time.Duration) bool { return now-n.Store.LastSuccess() > 3*time.Second }

func (n *Service) show(job *jobs.Job, full bool) Reply {
	v := view{ID: job.ID, Stance: job.State.String()}
	done, running := job.FinishedTasks, 0
	if job.State == jobs.Pending {
		done, running = n.Counts(job)
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
func (n *Service) fit(reply func(Reply)) bool {
	if n.Compatible == nil || n.Compatible() {
		return true
	}
	reply(Refuse(Unavailable, "this controller's release is behind the cluster's: ask another"))
	return false
}

// guarded are a write's conditions with the level's.
func (n *Service) guarded(cs ...store.Condition) []store.Condition {
	if n.LevelCondition == nil {
		return cs
	}
	return append(cs, n.LevelCondition())
}

// Tick sends a check that was spaced out.
func (n *Service) Tick(now time.Duration) { n.check(now) }
