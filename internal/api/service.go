// Package api serves the HTTP API: submissions, status queries and cancellations of jobs, the health check,
// workers' heartbeats, and requests that only the leader can answer.
//
// Service owns the submissions and status queries that wait for the state service. It runs on the controller's
// event loop and is never called from another goroutine; Routes bring requests there from connection goroutines.
// The package schedules nothing and owns no job: it writes and reads job records, and hands each to
// Env.OnJobRecord, which updates the job table. Heartbeats and leader requests are passed on to the controller
// unchanged. The controller makes one Service and one or two servers at its start.
package api

import (
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Bounds of the queues, for a fleet of some 4,000 machines: a burst of that size is shed by the bytes that wait
// (Env.MaxBytes) and by the state service's rate, not by a count.
const (
	maxWaitingSubmissions = 4096
	maxWaitingQueries     = 4096
)

const (
	// maxTxnBytes bounds the records or conditions that one transaction carries. The state service takes 64 KiB.
	maxTxnBytes = 60 << 10
	// stateServiceTimeout is the silence after which no request goes to the state service on a user's behalf.
	stateServiceTimeout = 3 * time.Second
)

// AdmissionResult is the decision whether a job can ever run.
type AdmissionResult struct {
	OK    bool
	Known bool // false: not decided yet
	// Reason is why the job is rejected or not decided on, for its user.
	Reason string
}

// AdmitFunc decides whether a job can ever run.
type AdmitFunc func(*jobs.Spec) AdmissionResult

// Env holds what a Service uses of the controller. Fields are required unless their comment allows nil.
type Env struct {
	Store *store.Client
	Jobs  *jobs.Table
	// Archive reads the answers of jobs that ended long ago.
	Archive *archive.Reader
	Admit   AdmitFunc
	// Ready reports whether the job table was read in full.
	Ready func() bool
	// Counts returns how many tasks of a pending job are shown as done and as running.
	Counts func(*jobs.Job) (done, running int)
	// OnJobRecord receives each record that was written or read here.
	OnJobRecord func(now time.Duration, item store.Item)
	// LevelCondition returns a condition that every write carries besides its own: the cluster's level hasn't
	// changed. Nil if there are no levels.
	LevelCondition func() store.Condition
	// Compatible reports whether this release may act at the cluster's level. Nil if there are no levels.
	Compatible func() bool
	// TxnOps is the maximum number of operations of a transaction.
	TxnOps int
	// Limits returns the present limits of a transaction, which may be lower than TxnOps and MaxValue. Nil if they
	// never are.
	Limits func() store.Limits
	// MaxTasks bounds the unfinished tasks and the predecessors of all jobs, which a leader keeps in memory.
	MaxTasks int
	// MaxBytes bounds the records of the submissions that wait to be stored, in bytes.
	MaxBytes int
	// MaxValue bounds the record of one job, in bytes.
	MaxValue int

	// Dependencies returns how many predecessors all unfinished jobs have together, which every controller keeps in
	// memory; MaxTasks bounds them with the tasks. Nil if no job has any.
	Dependencies func() int
	// AcceptsDependencies reports whether jobs with predecessors may be stored. Nil if they never may.
	AcceptsDependencies func() bool
	// IsBlockedCertain reports whether this controller may answer that a blocked job waits: no cancellation of a job
	// before it can have been told to a user for long without being known here. Nil if it always may.
	IsBlockedCertain func(now time.Duration, id string) bool
}

// Service answers requests about jobs, on the event loop.
type Service struct {
	Env
	draining bool

	submissions     []pendingSubmission
	submissionBytes int                 // of the records in submissions
	batchInFlight   []pendingSubmission // whose transaction is in flight; nil if there is none
	lastRetryAt     time.Duration       // when the submission that was refused last may be sent again

	queries       []statusQuery
	queryInFlight bool
	nextQueryTxn  time.Duration // no status queries are checked before
}

// New returns a Service without requests.
func New(env Env) *Service { return &Service{Env: env} }

// Drain refuses submissions from now on; those that were taken are still stored and answered.
func (s *Service) Drain() { s.draining = true }

// Resume ends a drain.
func (s *Service) Resume() { s.draining = false }

// Busy reports whether any submission or status query waits for an answer.
func (s *Service) Busy() bool {
	return s.batchInFlight != nil || s.queryInFlight || len(s.submissions)+len(s.queries) > 0
}

// Tick checks status queries whose transaction was deferred.
func (s *Service) Tick(now time.Duration) { s.checkQueries(now) }

// limits returns the present limits of a transaction.
func (s *Service) limits() store.Limits {
	limits := store.Limits{MaxOps: s.TxnOps, MaxValueBytes: s.MaxValue}
	if s.Limits == nil {
		return limits
	}
	present := s.Limits()
	return store.Limits{
		MaxOps:        min(limits.MaxOps, present.MaxOps),
		MaxValueBytes: min(limits.MaxValueBytes, present.MaxValueBytes),
	}
}

// stateServiceSilent reports whether the state service has been silent for so long that a request to it would only
// delay the user's answer.
func (s *Service) stateServiceSilent(now time.Duration) bool {
	return now-s.Store.LastSuccess() > stateServiceTimeout
}

// refuseUnlessReady returns the refusal of every request while this controller can't answer any: its release is
// behind the cluster's, so that its reads and writes could be wrong, or its job table is incomplete.
func (s *Service) refuseUnlessReady() (refusal Reply, refused bool) {
	if s.Compatible != nil && !s.Compatible() {
		return releaseTooOld, true
	}
	if !s.Ready() {
		return jobsNotLoaded, true
	}
	return Reply{}, false
}

// withLevelCondition adds the condition on the cluster's level to those of a write.
func (s *Service) withLevelCondition(conditions ...store.Condition) []store.Condition {
	if s.LevelCondition == nil {
		return conditions
	}
	return append(conditions, s.LevelCondition())
}

// failedKeys returns the keys whose conditions didn't hold in a transaction.
func failedKeys(result store.Result) map[string]bool {
	failed := make(map[string]bool, len(result.FailedKeys))
	for _, key := range result.FailedKeys {
		failed[key] = true
	}
	return failed
}
