// Package api serves the HTTP API: submissions, status queries and cancellations of jobs, the health check,
// workers' heartbeats, and requests that only the leader can answer.
//
// Service owns the submissions and status queries that wait for the state service. It runs on the controller's
// event loop and is never called from another goroutine; Routes bring requests there from connection goroutines.
// The package schedules nothing and owns no job: it writes and reads job records, and passes each to
// Env.OnJobRecord, which updates the job table. Heartbeats and leader requests are passed on to the controller
// unchanged. The controller creates one Service and one or two servers when it starts.
package api

import (
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Bounds of the queues for a fleet of about 4,000 machines. A burst of that size is limited by the bytes that wait
// (Env.MaxQueuedBytes) and by the state service's rate, not by a count.
const (
	maxWaitingSubmissions = 4096
	maxWaitingQueries     = 4096
)

const (
	// maxTxnBytes bounds the size of the records or conditions in one transaction. The state service accepts 64 KiB.
	maxTxnBytes = 60 << 10
	// stateServiceTimeout is the time without a successful request to the state service after which no users'
	// requests are sent to it.
	stateServiceTimeout = 3 * time.Second
)

// AdmissionResult is the decision whether a job can ever run.
type AdmissionResult struct {
	OK      bool
	Decided bool // false if the decision isn't possible yet
	// Reason tells the user why the job is rejected or not decided on.
	Reason string
}

// AdmitFunc decides whether a job can ever run.
type AdmitFunc func(*jobs.Spec) AdmissionResult

// Env holds the parts of the controller that a Service uses. Fields are required unless their comment allows nil.
type Env struct {
	Store *store.Client
	Jobs  *jobs.Table
	// Archive reads the answers of archived jobs, which ended long ago.
	Archive *archive.Reader
	Admit   AdmitFunc
	// Ready reports whether the job table has been loaded completely.
	Ready func() bool
	// Counts returns how many tasks of a pending job are shown as done and as running.
	Counts func(*jobs.Job) (done, running int)
	// OnJobRecord receives each record that the Service has written or read.
	OnJobRecord func(now time.Duration, item store.Item)
	// LevelCondition returns the condition that the cluster's level hasn't changed. It is added to the conditions of
	// every write. Nil if there are no levels.
	LevelCondition func() store.Condition
	// Compatible reports whether this release may act at the cluster's level. Nil if there are no levels.
	Compatible func() bool
	// MaxTxnOps is the maximum number of operations of a transaction.
	MaxTxnOps int
	// Limits returns the current limits of a transaction, which may be lower than MaxTxnOps and MaxRecordBytes. Nil if
	// they are never lower.
	Limits func() store.TxnLimits
	// MaxTasks bounds the total number of unfinished tasks and predecessors of all jobs, which a leader keeps in
	// memory.
	MaxTasks int
	// MaxQueuedBytes bounds the total size of the records of the submissions that wait to be stored, in bytes.
	MaxQueuedBytes int
	// MaxRecordBytes bounds the size of the record of one job, in bytes.
	MaxRecordBytes int

	// DependencyEdges returns the total number of predecessors of all unfinished jobs, which every controller keeps in
	// memory. MaxTasks bounds the sum of these and the tasks. Nil if no job has predecessors.
	DependencyEdges func() int
	// AcceptsDependencies reports whether jobs with predecessors may be stored. Nil if they may never be stored.
	AcceptsDependencies func() bool
	// CanReportBlocked reports whether this controller may reply that a blocked job is pending. It may not if another
	// controller could have reported the cancellation of a job before it to a user some time ago, and this controller
	// hasn't received the cancellation yet. Nil if it always may.
	CanReportBlocked func(now time.Duration, id string) bool
}

// Service handles requests about jobs, on the event loop.
type Service struct {
	Env
	draining bool

	submissions     []pendingSubmission
	submissionBytes int                 // total size of the records in submissions
	batchInFlight   []pendingSubmission // submissions whose transaction is in flight; nil if there is none
	lastRetryAt     time.Duration       // time at which the client of the last refused submission may retry

	queries       []statusQuery
	queryInFlight bool          // whether a transaction that checks status queries is in flight
	nextQueryTxn  time.Duration // earliest time of the next transaction that checks status queries
}

// New returns a Service without pending requests.
func New(env Env) *Service { return &Service{Env: env} }

// Drain makes the Service refuse new submissions. Submissions that are already queued are still stored and answered.
func (s *Service) Drain() { s.draining = true }

// Resume makes the Service accept submissions again after Drain.
func (s *Service) Resume() { s.draining = false }

// Busy reports whether any submission or status query waits for a reply.
func (s *Service) Busy() bool {
	return s.batchInFlight != nil || s.queryInFlight || len(s.submissions)+len(s.queries) > 0
}

// Tick checks status queries whose transaction was deferred.
func (s *Service) Tick(now time.Duration) { s.checkQueries(now) }

// limits returns the current limits of a transaction.
func (s *Service) limits() store.TxnLimits {
	limits := store.TxnLimits{MaxOps: s.MaxTxnOps, MaxValueBytes: s.MaxRecordBytes}
	if s.Limits == nil {
		return limits
	}
	current := s.Limits()
	return store.TxnLimits{
		MaxOps:        min(limits.MaxOps, current.MaxOps),
		MaxValueBytes: min(limits.MaxValueBytes, current.MaxValueBytes),
	}
}

// stateServiceSilent reports whether the last success of the state service is so long ago that a request to it would
// only delay the user's reply.
func (s *Service) stateServiceSilent(now time.Duration) bool {
	return now-s.Store.LastSuccess() > stateServiceTimeout
}

// refuseUnlessReady returns the refusal of every request while this controller can't serve any. Either its release is
// older than the cluster's, so that its reads and writes could be wrong, or its job table is incomplete.
func (s *Service) refuseUnlessReady() (refusal Reply, refused bool) {
	if s.Compatible != nil && !s.Compatible() {
		return releaseTooOld, true
	}
	if !s.Ready() {
		return jobsNotLoaded, true
	}
	return Reply{}, false
}

// withLevelCondition returns a write's conditions with the condition on the cluster's level added.
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
