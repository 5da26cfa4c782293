package jobs

// blockJobs is the number of consecutive indices that share one allocation.
const blockJobs = 256

// jobBlocks finds jobs by dense index. An index is never used twice, so whoever still holds the index of a job that
// was removed never gets another job for it. A block is freed when its last job was removed; one nil pointer stays.
type jobBlocks struct {
	blocks []*jobBlock
	next   Index
}

// jobBlock holds the jobs of blockJobs consecutive indices.
type jobBlock struct {
	jobs  [blockJobs]*Job
	count int // of the jobs that are not nil
}

// add assigns the next index to a job and stores the job under it.
func (b *jobBlocks) add(job *Job) {
	job.Index = b.next
	b.next++
	if int(job.Index)/blockJobs == len(b.blocks) {
		b.blocks = append(b.blocks, &jobBlock{})
	}
	block := b.blocks[job.Index/blockJobs]
	block.jobs[job.Index%blockJobs] = job
	block.count++
}

// at returns the job of an index, nil if it was removed or never was.
func (b *jobBlocks) at(index Index) *Job {
	if index < 0 || index >= b.next {
		return nil
	}
	block := b.blocks[index/blockJobs]
	if block == nil {
		return nil
	}
	return block.jobs[index%blockJobs]
}

// remove deletes a job that was added.
func (b *jobBlocks) remove(job *Job) {
	number := int(job.Index) / blockJobs
	block := b.blocks[number]
	block.jobs[job.Index%blockJobs] = nil
	block.count--
	assignedAll := int(b.next) >= (number+1)*blockJobs
	if assignedAll && block.count == 0 {
		b.blocks[number] = nil
	}
}

// forEach calls visit for every job in the order of their indices; visit may remove the job.
func (b *jobBlocks) forEach(visit func(*Job)) {
	for _, block := range b.blocks {
		if block == nil {
			continue
		}
		for _, job := range block.jobs {
			if job != nil {
				visit(job)
			}
		}
	}
}
