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
	// conditionOverhead is what one condition takes beside its key, in bytes.
	conditionOverhead = 40
)

const (
	// queryTxnInterval is the minimum time between two transactions, so that each checks many queries.
	queryTxnInterval = 40 * time.Millisecond
	// queryTxnBackoff is the delay after the budget for requests was used up.
	queryTxnBackoff = 50 * time.Millisecond
	// maxDeferredQueries is how many queries may wait while the budget is used up.
	maxDeferredQueries = 200
)

// statusQuery is a lookup that waits to be checked against the state service.
type statusQuery struct {
	lookup
	version uint64 // of the job's record in the job table when it was checked, 0: none
}

// txnBytes is an upper bound of what the query takes in a transaction.
func (q statusQuery) txnBytes() int {
	return len(jobs.RecordKey(q.id)) + len(archive.Key(q.id)) + conditionsPerQuery*conditionOverhead
}

// Query replies with a job's state and counts. A state that can still change is checked against the state service,
// many jobs in one transaction without changes.
func (s *Service) Query(now time.Duration, id string, reply func(Reply)) {
	if settled, ok := s.replyWithoutRead(id, true); ok {
		reply(settled)
		return
	}
	s.enqueueQuery(now, statusQuery{lookup: lookup{id: id, withCounts: true, absent: noSuchJob, reply: reply}})
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

// checkQueries checks the waiting queries in one transaction, as far as they fit and one is due.
func (s *Service) checkQueries(now time.Duration) {
	if s.queryInFlight || len(s.queries) == 0 || now < s.nextQueryTxn {
		return
	}
	// Queries have a share of their own: a flood of them must leave requests for submissions and cancellations.
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

// deferQueries backs off while the budget for requests is used up, and refuses a long queue.
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

// dequeueQueries takes the queries that fit in one transaction off the queue, with that transaction: it holds if
// the job table is up to date on each of them. Queries about the same job share their conditions.
func (s *Service) dequeueQueries() ([]statusQuery, store.Txn) {
	var batch []statusQuery
	txn := store.Txn{}
	inTxn := map[string]bool{}
	size := 0
	maxConditions := store.ConditionsPerOp * s.limits().MaxOps
	for _, query := range s.queries {
		size += query.txnBytes()
		if len(txn.If)+conditionsPerQuery > maxConditions || size > maxTxnBytes {
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

// appendConditions adds the query's conditions: the record still has the version that was known, or neither record
// nor archived answer exists.
func (q statusQuery) appendConditions(conditions []store.Condition) []store.Condition {
	conditions = append(conditions, store.Condition{Key: jobs.RecordKey(q.id), Version: q.version})
	if q.version == 0 {
		conditions = append(conditions, archive.Absent(q.id))
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

// replyToQuery replies to a query that was checked. Its job table entry was the newest version unless one of the
// query's keys failed; what has been learnt since is newer still.
func (s *Service) replyToQuery(query statusQuery, failed map[string]bool) {
	recordFailed := failed[jobs.RecordKey(query.id)]
	archiveFailed := failed[archive.Key(query.id)]
	upToDate := !recordFailed && !archiveFailed
	job := s.Jobs.Get(query.id)
	switch {
	case job != nil && (upToDate || job.State.Terminal()):
		s.replyWithJob(job, query.withCounts, query.reply)
	case upToDate && query.version == 0:
		query.reply(noSuchJob) // neither its record nor its archived answer existed, at one moment
	case !recordFailed && query.version == 0:
		// Its archived answer existed and its record didn't: one read is enough.
		s.replyFromArchive(query.lookup)
	default:
		// The record has changed, or the job was archived and left the job table during the check.
		s.readAndReply(query.lookup)
	}
}
