package api

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Bounds of one transaction that checks status queries. A job that isn't in the job table takes two conditions, one
// on its record and one on its archived answer.
const (
	conditionsPerQuery = 2
	// conditionOverheadBytes is the size of a condition without its key.
	conditionOverheadBytes = 40
)

const (
	// queryTxnInterval is the minimum time between two of these transactions, so that each checks many queries.
	queryTxnInterval = 40 * time.Millisecond
	// queryTxnBackoff is the delay of the next check while the request budget is exhausted.
	queryTxnBackoff = 50 * time.Millisecond
	// maxDeferredQueries is how many queries may wait while the request budget is exhausted.
	maxDeferredQueries = 200
)

// statusQuery is a lookup that waits to be checked against the state service.
type statusQuery struct {
	lookup
	version uint64 // version of the record in the job table when the check was sent; 0: no record
}

// txnBytes returns an upper bound of the query's size in a transaction.
func (q statusQuery) txnBytes() int {
	return len(jobs.RecordKey(q.id)) + len(archive.Key(q.id)) + conditionsPerQuery*conditionOverheadBytes
}

// Query replies with a job's state and the counts of its tasks. A state that can still change is checked with the
// state service. One transaction without writes checks many jobs.
func (s *Service) Query(now time.Duration, id string, reply func(Reply)) {
	if immediate, ok := s.replyWithoutRead(id, true); ok {
		reply(immediate)
		return
	}
	s.enqueueQuery(now, statusQuery{lookup: lookup{id: id, withCounts: true, replyIfAbsent: noSuchJob, reply: reply}})
}

// enqueueQuery queues a query to be checked, or refuses it if the queue is full.
func (s *Service) enqueueQuery(now time.Duration, query statusQuery) {
	if s.stateServiceSilent(now) {
		query.reply(stateServiceUnavailable)
		return
	}
	if len(s.queries) >= maxWaitingQueries {
		query.reply(Refuse(TooManyRequests, "too many queries"))
		return
	}
	s.queries = append(s.queries, query)
	s.checkQueries(now)
}

// checkQueries checks the waiting queries in one transaction, as many as fit in it. It does nothing while such a
// transaction is in flight or before nextQueryTxn.
func (s *Service) checkQueries(now time.Duration) {
	if s.queryInFlight || len(s.queries) == 0 || now < s.nextQueryTxn {
		return
	}
	// QueryPriority leaves a reserve of the request budget to submissions and cancellations, however many status
	// queries arrive.
	if !s.Store.CanWrite(0, store.QueryPriority) {
		s.deferQueries(now)
		return
	}
	batch, txn := s.dequeueQueries()
	s.queryInFlight = true
	s.nextQueryTxn = now + queryTxnInterval
	s.Store.Txn(txn, store.QueryPriority, func(result store.Result) {
		s.queryInFlight = false
		s.replyToQueries(batch, result)
		s.checkQueries(s.Store.Now())
	})
}

// deferQueries delays the next check because the request budget is exhausted. If more than maxDeferredQueries wait,
// it refuses them all.
func (s *Service) deferQueries(now time.Duration) {
	s.nextQueryTxn = now + queryTxnBackoff
	if len(s.queries) <= maxDeferredQueries {
		return
	}
	for _, query := range s.queries {
		query.reply(stateServiceOverloaded)
	}
	s.queries = nil
}

// dequeueQueries removes the queries that fit in one transaction from the queue and returns them with the
// transaction. The transaction commits only if the job table is up to date for each of them. Queries about the same job
// share their conditions.
func (s *Service) dequeueQueries() ([]statusQuery, store.Txn) {
	var batch []statusQuery
	txn := store.Txn{}
	inTxn := map[string]bool{}
	totalBytes := 0
	maxConditions := store.ConditionsPerOp * s.limits().MaxOps
	for _, query := range s.queries {
		totalBytes += query.txnBytes()
		if len(txn.If)+conditionsPerQuery > maxConditions || totalBytes > maxTxnBytes {
			break
		}
		if job := s.Jobs.Get(query.id); job != nil {
			query.version = job.Version
		}
		if !inTxn[query.id] {
			inTxn[query.id] = true
			txn.If = query.appendConditions(txn.If)
		}
		batch = append(batch, query)
	}
	s.queries = s.queries[len(batch):]
	return batch, txn
}

// appendConditions appends the query's conditions. The record must have the version of the job table; if the job
// isn't in the job table, neither its record nor its archived answer may exist.
func (q statusQuery) appendConditions(conditions []store.Condition) []store.Condition {
	conditions = append(conditions, store.Condition{Key: jobs.RecordKey(q.id), Version: q.version})
	if q.version == 0 {
		conditions = append(conditions, archive.AbsentCondition(q.id))
	}
	return conditions
}

// replyToQueries replies to the queries of a transaction.
func (s *Service) replyToQueries(batch []statusQuery, result store.Result) {
	if result.Outcome != store.Committed && result.Outcome != store.Conflict {
		slog.Debug("status queries not checked", "queries", len(batch), "outcome", result.Outcome.String())
		for _, query := range batch {
			query.reply(stateServiceUnavailable)
		}
		return
	}
	failed := failedKeys(result)
	for _, query := range batch {
		s.replyToQuery(query, failed)
	}
}

// replyToQuery replies to a query that was checked. If no condition on the query's keys failed, the job table was up
// to date at the check; any later change of the job table is newer still.
func (s *Service) replyToQuery(query statusQuery, failed map[string]bool) {
	recordFailed := failed[jobs.RecordKey(query.id)]
	archiveFailed := failed[archive.Key(query.id)]
	upToDate := !recordFailed && !archiveFailed
	job := s.Jobs.Get(query.id)
	switch {
	case job != nil && (upToDate || job.State.Terminal()):
		s.replyWithJob(job, query.withCounts, query.reply)
	case upToDate && query.version == 0:
		query.reply(noSuchJob) // neither the record nor the archived answer existed at the check
	case !recordFailed && query.version == 0:
		// The archived answer existed and the record didn't: reading the archived answer is enough.
		s.replyFromArchive(query.lookup)
	default:
		// The record has changed, or the job was archived and left the job table during the check.
		s.readAndReply(query.lookup)
	}
}
