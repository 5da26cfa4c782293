package fleet

import (
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
)

// mutationKind is the kind of change that a mutation makes in the state service.
type mutationKind uint8

const (
	writeJobRecord     mutationKind = iota // the record of a job that becomes done
	writeSegmentKey                        // a plan segment in a key of its own
	writeSegmentInPage                     // a plan segment whose value is in a page of the same transaction
	moveSegmentToPage                      // like writeSegmentInPage, and the segment's own key is deleted
	writePage                              // a page of plan segments
)

// mutation is one change that a transaction makes.
type mutation struct {
	kind     mutationKind
	key      string
	value    []byte
	job      *jobs.Job         // nil for a page
	segment  *jobs.PlanSegment // nil for a page or a job record
	snapshot []int32           // the machines of the segment's tasks, as encoded in value
	page     *pages.PageWrite  // nil unless the mutation is a page
}

// inPage returns whether the value of a plan segment is in a page of the same transaction.
func (m *mutation) inPage() bool { return m.kind == writeSegmentInPage || m.kind == moveSegmentToPage }

// Estimated sizes of an encoded transaction and its parts, in bytes.
const (
	maxTxnBytes            = 60 << 10 // limit of a whole transaction
	txnOverheadBytes       = 2000     // the transaction without its operations
	operationOverheadBytes = 100      // an operation without its key and value
	minOperationBytes      = 64       // the part of operationOverheadBytes that has to be free to add an operation
)

// writeBatch collects the changes of one transaction, within the limits of the state service and the write budget.
type writeBatch struct {
	fleet      *Fleet
	mutations  []mutation
	operations int          // number of operations, without writes of pages
	bytes      int          // estimated size of the transaction, without its pages
	pages      *pages.Batch // nil while plans are not stored in pages: every segment has a key of its own
}

// newWriteBatch returns a batch that contains only the pages of writes whose outcome is indeterminate.
func (f *Fleet) newWriteBatch() *writeBatch {
	batch := &writeBatch{fleet: f, bytes: txnOverheadBytes}
	if f.PlansInPages() {
		f.writer.pages.SetLimit(f.pageLimit())
		batch.pages = f.writer.pages.Begin(f.maxOps())
	}
	return batch
}

// fitsIndeterminatePages returns whether one transaction can hold all pages of writes whose outcome is indeterminate.
func (b *writeBatch) fitsIndeterminatePages() bool {
	return b.pages == nil || b.pages.Fits(b.fleet.maxOps())
}

// hasRoomFor returns whether n more operations are within the limits.
func (b *writeBatch) hasRoomFor(n int) bool {
	total := b.operations + n
	if b.pages != nil {
		pageCount, _ := b.pages.Size()
		total += pageCount
	}
	return total <= b.fleet.maxOps() && b.fleet.CanWrite(total)
}

// size returns the estimated size of the transaction in bytes.
func (b *writeBatch) size() int {
	if b.pages == nil {
		return b.bytes
	}
	_, maxPageBytes := b.pages.Size()
	return b.bytes + maxPageBytes
}

// addKey adds a mutation that writes a key of its own. It returns false, and adds nothing, when the batch is full.
func (b *writeBatch) addKey(change mutation) bool {
	needed := len(change.value) + len(change.key) + minOperationBytes
	if !b.hasRoomFor(1) || b.size()+needed > maxTxnBytes {
		return false
	}
	b.mutations = append(b.mutations, change)
	b.countOperation(change.key, len(change.value))
	return true
}

// countOperation adds an operation to the batch's totals. Its key is counted twice, since the condition repeats it.
func (b *writeBatch) countOperation(key string, valueBytes int) {
	b.operations++
	b.bytes += valueBytes + 2*len(key) + operationOverheadBytes
}

// addSegment adds a plan segment, to a page if plans are stored in pages. It returns false, and adds nothing, when the
// batch is full.
func (b *writeBatch) addSegment(job *jobs.Job, segment *jobs.PlanSegment) bool {
	fleet := b.fleet
	key := job.PlanKey(segment.Number)
	machineName := func(index int32) string { return fleet.machines[index].Name }
	raw, snapshot, ok := job.EncodeSegmentWithin(segment, fleet.Term, machineName, fleet.valueLimit()-len(key))
	if !ok {
		// The tasks are on more machines than a value can name: the segment is written once some tasks have ended.
		return true
	}
	change := mutation{kind: writeSegmentKey, job: job, segment: segment, snapshot: snapshot, key: key, value: raw}
	if b.pages == nil || segment.CreateIndeterminate {
		return b.addKey(change)
	}
	change.kind = writeSegmentInPage
	if segment.Version != 0 {
		change.kind = moveSegmentToPage
	}
	return b.addToPage(change)
}

// addToPage adds a plan segment to a page. It returns false, and adds nothing, when the batch is full.
func (b *writeBatch) addToPage(change mutation) bool {
	deletions := 0
	if change.kind == moveSegmentToPage {
		deletions = 1
	}
	maxPages, _ := b.pages.Size()
	if b.hasRoomFor(deletions + 1) {
		maxPages++
	} else if !b.hasRoomFor(deletions) {
		return false
	}
	entry := pages.Entry{
		Ref:   planRef(change.job, change.segment),
		Name:  change.job.PlanName(change.segment.Number),
		Value: change.value,
	}
	if !b.pages.Add(entry, maxPages, maxTxnBytes-b.bytes-txnOverheadBytes) {
		return false
	}
	if change.kind == moveSegmentToPage {
		b.countOperation(change.key, 0)
	}
	b.mutations = append(b.mutations, change)
	return true
}

// pageMutations returns the writes of the batch's pages.
func (b *writeBatch) pageMutations() []mutation {
	if b.pages == nil {
		return nil
	}
	var mutations []mutation
	for _, write := range b.pages.Writes() {
		mutations = append(mutations, mutation{
			kind:  writePage,
			key:   pages.Key(jobs.PlanPagePrefix, write.Number),
			value: write.Value,
			page:  &write,
		})
	}
	return mutations
}
