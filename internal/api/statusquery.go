package api

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// Bounds of one transaction that checks what is known of jobs: a job that isn't known here takes two conditions, one
// on its record and one on its archived answer.
const (
	condsPerCheck = 2
	// checkBytes is what the conditions of one transaction may take, and condBytes what one takes beside its key. The
	// state service takes 64 KiB altogether.
	checkBytes = 60 << 10
	condBytes  = 40
)

// checkSize is the most that a question about a job takes in a transaction.
func checkSize(id string) int {
	return len(jobs.RecordKey(id)) + len(archive.Key(id)) + condsPerCheck*condBytes
}

type statusQuery struct {
	id      string
	version uint64
	reply   func(Reply)
	submit  bool // a repeated submission asks: the answer carries no counts
}

// Query answers what has become of a job. What can still change is checked against the
// state service, many jobs in one transaction without changes.
func (n *Service) Query(now time.Duration, id string, reply func(Reply)) {
	if n.settled(id, true, reply) {
		return
	}
	n.queueCheck(now, statusQuery{id: id, reply: reply})
}

func (n *Service) queueCheck(now time.Duration, c statusQuery) {
	if n.stateLost(now) {
		c.reply(noStateReply)
		return
	}
	if len(n.queries) >= maxChecks {
		c.reply(Refuse(TooManyRequests, "too many queries"))
		return
	}
	n.queries = append(n.queries, c)
	n.check(now)
}

func (n *Service) check(now time.Duration) {
	if n.queryInFlight || len(n.queries) == 0 || now < n.nextCheck {
		return
	}
	// A flood of questions once took all that there was, and submissions and cancellations were refused beside it.
	if !n.Store.CanWrite(0, store.QueryPriority) {
		if len(n.queries) > 200 {
			for _, c := range n.queries {
				c.reply(Refuse(Unavailable, "the state service is at its limit"))
			}
			n.queries = nil
		}
		n.nextCheck = now + 50*time.Millisecond
		return
	}
	var batch []statusQuery
	seen := map[string]bool{}
	txn := store.Txn{}
	k, size, most := 0, 0, store.ConditionsPerOp*n.limits().MaxOps
	for ; k < len(n.queries) && len(txn.If)+condsPerCheck <= most; k++ {
		c := n.queries[k]
		if size += checkSize(c.id); size > checkBytes {
			break
		}
		c.version = 0
		if job := n.Jobs.Get(c.id); job != nil {
			c.version = job.Version
		}
		if !seen[c.id] {
			seen[c.id] = true
			txn.If = append(txn.If, store.Condition{Key: jobs.RecordKey(c.id), Version: c.version})
			if c.version == 0 {
				txn.If = append(txn.If, archive.Absent(c.id))
			}
		}
		batch = append(batch, c)
	}
	n.queries = n.queries[k:]
	n.queryInFlight = true
	n.nextCheck = now + 40*time.Millisecond
	n.Store.Txn(txn, store.QueryPriority, func(result store.Result) {
		n.queryInFlight = false
		n.checked(batch, result)
		n.check(n.Store.Now())
	})
}

func (n *Service) checked(batch []statusQuery, result store.Result) {
	failed := map[string]bool{}
	for _, k := range result.FailedKeys {
		failed[k] = true
	}
	if result.Outcome != store.Committed && result.Outcome != store.Conflict {
		slog.Debug("queries not checked", "n", len(batch), "outcome", result.Outcome.String())
		for _, c := range batch {
			c.reply(noStateReply)
		}
		return
	}
	for _, c := range batch {
		job := n.Jobs.Get(c.id)
		switch {
		case !failed[jobs.RecordKey(c.id)] && !failed[archive.Key(c.id)]:
			// Our version was the newest when the check ran. What has been learnt since
			// is newer still.
			switch {
			case job != nil:
				c.reply(n.show(job, !c.submit))
			case c.version == 0:
				c.reply(noSuchJob) // neither its record nor its answer was there, at one moment
			default:
				n.again(c) // it has ended and left the table meanwhile
			}
		case job != nil && job.State.Terminal():
			c.reply(n.show(job, !c.submit))
		case !failed[jobs.RecordKey(c.id)] && c.version == 0:
			// Its answer was there, and its record wasn't: one read tells it.
			n.archived(c.id, c.reply, !c.submit, n.absentFor(c), func(job *jobs.Job) { c.reply(n.show(job, !c.submit)) })
		default:
			n.again(c)
		}
	}
}

// absentFor answers a question about a job that has neither record nor answer.
func (n *Service) absentFor(c statusQuery) Reply {
	if c.submit {
		return notStored
	}
	return noSuchJob
}

// again answers a question by reading, where a check has not settled it.
func (n *Service) again(c statusQuery) {
	n.reread(c.id, c.reply, !c.submit, n.absentFor(c))
}
