package jobs

// minRemoved is the number of removed jobs that the queue may list however short it is.
const minRemoved = 64

// endedQueue lists terminal jobs in the order in which this controller learned of their ends. Jobs that were
// removed from the table stay listed until they are at least half of the queue; so removing one costs constant time
// on average.
type endedQueue struct {
	jobs    []*Job
	removed int // of the listed jobs, how many were removed from the table
}

func (q *endedQueue) add(job *Job) { q.jobs = append(q.jobs, job) }

// markRemoved counts a listed job that is being removed from the table.
func (q *endedQueue) markRemoved() {
	q.removed++
	if q.removed < minRemoved || q.removed < len(q.jobs)/2 {
		return
	}
	q.compact()
}

func (q *endedQueue) compact() {
	kept := make([]*Job, 0, len(q.jobs)-q.removed)
	for _, job := range q.jobs {
		if !job.removed {
			kept = append(kept, job)
		}
	}
	q.jobs = kept
	q.removed = 0
}
