package jobs

// minRemovedToCompact is the number of removed jobs below which the queue is not compacted.
const minRemovedToCompact = 64

// endedQueue lists terminal jobs in the order in which this controller read their terminal records. A job that was
// removed from the table stays listed until removed jobs make up at least half of the queue, so that the amortized cost
// of a removal is constant.
type endedQueue struct {
	jobs    []*Job
	removed int // number of listed jobs that were removed from the table
}

func (q *endedQueue) add(job *Job) { q.jobs = append(q.jobs, job) }

// markRemoved records that a listed job is being removed from the table, and compacts the queue if necessary.
func (q *endedQueue) markRemoved() {
	q.removed++
	if q.removed < minRemovedToCompact || q.removed < len(q.jobs)/2 {
		return
	}
	q.compact()
}

func (q *endedQueue) compact() {
	remaining := make([]*Job, 0, len(q.jobs)-q.removed)
	for _, job := range q.jobs {
		if !job.removed {
			remaining = append(remaining, job)
		}
	}
	q.jobs = remaining
	q.removed = 0
}
