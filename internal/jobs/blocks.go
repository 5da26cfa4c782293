package jobs

import "time"

// shardJobs is how many consecutive indices share one allocation of the table.
const shardJobs = 256

// shardedJobs finds jobs by index. Indices only grow, so that whoever still holds the index of a job that has left never
// takes another for it; a shard is freed when the last of its jobs has left. What remains of it is one pointer.
type shardedJobs struct {
	shards []*shard
	next   Index
}

type shard struct {
	jobs [shardJobs]*Job
	n    int
}

// add gives a job its index.
func (t *shardedJobs) add(job *Job) {
	job.Index = t.next
	t.next++
	if int(job.Index)/shardJobs == len(t.shards) {
		t.shards = append(t.shards, &shard{})
	}
	s := t.shards[job.Index/shardJobs]
	s.jobs[job.Index%shardJobs] = job
	s.n++
}

func (t *shardedJobs) at(i Index) *Job {
	if i < 0 || i >= t.next {
		return nil
	}
	s := t.shards[i/shardJobs]
	if s == nil {
		return nil
	}
	return s.jobs[i%shardJobs]
}

// remove takes a job out.
func (t *shardedJobs) remove(job *Job) {
	i := int(job.Index)
	s := t.shards[i/shardJobs]
	s.jobs[i%shardJobs] = nil
	s.n--
	if full := int(t.next) >= (i/shardJobs+1)*shardJobs; full && s.n == 0 {
		t.shards[i/shardJobs] = nil
	}
}

// all calls f for every job in the order of their indices; f may remove it.
func (t *shardedJobs) all(f func(*Job)) {
	for _, s := range t.shards {
		if s == nil {
			continue
		}
		for _, job := range s.jobs {
			if job != nil {
				f(job)
			}
		}
	}
}

// endedQueue lists terminal jobs in the order in which this controller learnt of their ends. Those that have left
// the table are dropped now and then.
type endedQueue struct {
	jobs []*Job
	left int // of the jobs listed, how many have left the table
}

func (q *endedQueue) add(job *Job) { q.jobs = append(q.jobs, job) }

// leastEnded is how many jobs that have left the queue may list whatever its length.
const leastEnded = 64

// leave notes that a listed job has left the table.
func (q *endedQueue) leave() {
	if q.left++; q.left < leastEnded || q.left < len(q.jobs)/2 {
		return
	}
	kept := make([]*Job, 0, len(q.jobs)-q.left)
	for _, job := range q.jobs {
		if !job.gone {
			kept = append(kept, job)
		}
	}
	q.jobs, q.left = kept, 0
}

// ForEachEnded calls f for each terminal job whose end was learnt by a time, the earliest first, until it returns false.
func (b *Table) ForEachEnded(by time.Duration, f func(*Job) bool) {
	for _, job := range b.ended.jobs {
		if job.EndedAt > by {
			return
		}
		if !job.gone && !job.Archived && !f(job) {
			return
		}
	}
}

// Archive takes over that a job's record has left the followed keys, at a version of its key. The job leaves the table
// at once, or with the end of the term if its planner still holds something of it.
func (b *Table) Archive(id string, version uint64) {
	delete(b.unread, id)
	job := b.Get(id)
	if job == nil || version <= job.Version {
		return
	}
	b.archive(job)
}

// Retain takes a new reading of all records, complete up to a version: jobs that were known by then and are not among
// them have been archived meanwhile.
func (b *Table) Retain(version uint64, present func(id string) bool) {
	b.ForEach(func(job *Job) {
		if job.Version <= version && !present(job.ID) {
			b.archive(job)
		}
	})
}

func (b *Table) archive(job *Job) {
	if job.Tasks == nil {
		b.remove(job)
		return
	}
	// Nobody but the leader archives, and only what it holds nothing of: another controller leads by now, and this
	// one's picture is behind. Nothing more is planned or started of it here.
	job.Archived, job.Quarantined = true, true
}

// remove takes a job out of the table.
func (b *Table) remove(job *Job) {
	if _, live := b.live[job.Index]; live {
		delete(b.live, job.Index)
		b.tasks -= job.TaskCount
	} else {
		b.ended.leave()
	}
	job.gone = true
	delete(b.byID, job.ID)
	b.table.remove(job)
}
