package jobs

// jobsPerBlock is the number of consecutive indices in one block.
const jobsPerBlock = 256

// jobBlocks maps dense indices to jobs. An index is never reused, so a stale index of a removed job never refers to
// another job. A block is freed when all its indices were assigned and its last job is removed; its nil pointer stays.
type jobBlocks struct {
	blocks []*jobBlock
	next   Index
}

// jobBlock holds the jobs of jobsPerBlock consecutive indices.
type jobBlock struct {
	jobs  [jobsPerBlock]*Job
	count int // number of jobs that are not nil
}

// add assigns the next index to a job and stores the job under it.
func (b *jobBlocks) add(job *Job) {
	job.Index = b.next
	b.next++
	if int(job.Index)/jobsPerBlock == len(b.blocks) {
		b.blocks = append(b.blocks, &jobBlock{})
	}
	block := b.blocks[job.Index/jobsPerBlock]
	block.jobs[job.Index%jobsPerBlock] = job
	block.count++
}

// at returns the job with an index, or nil if the job was removed or the index was never assigned.
func (b *jobBlocks) at(index Index) *Job {
	if index < 0 || index >= b.next {
		return nil
	}
	block := b.blocks[index/jobsPerBlock]
	if block == nil {
		return nil
	}
	return block.jobs[index%jobsPerBlock]
}

// remove deletes a job. The job must be present.
func (b *jobBlocks) remove(job *Job) {
	blockIndex := int(job.Index) / jobsPerBlock
	block := b.blocks[blockIndex]
	block.jobs[job.Index%jobsPerBlock] = nil
	block.count--
	fullyAssigned := int(b.next) >= (blockIndex+1)*jobsPerBlock
	if fullyAssigned && block.count == 0 {
		b.blocks[blockIndex] = nil
	}
}

// forEach calls visit for every job in ascending order of index. visit may remove the job that it receives.
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
