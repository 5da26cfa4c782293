package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/store"
)

// This file handles the outcome of the write in flight. After a conflict or an indeterminate outcome every key of
// the write is read again, the pages first, before anything else is written. The next write of the same keys changes
// their versions, so the earlier transaction fails on its conditions if it arrives after that write.

// rereadRetryInterval is the delay before a failed read is repeated.
const rereadRetryInterval = 300 * time.Millisecond

// handleOutcome handles the outcome of a write. The pages come first in mutations.
func (f *Fleet) handleOutcome(mutations []mutation, result store.Result) {
	now := f.Now()
	if result.Outcome == store.Committed {
		f.writer.state = writerIdle
		for _, change := range mutations {
			f.confirmWrite(now, change, result.Revision)
		}
		f.FlushWrites(now)
		return
	}
	if f.hints.lastShard < len(f.hints.dirtyShards) {
		f.hints.dirtyShards[f.hints.lastShard] = true
	}
	slog.Debug("write failed",
		"outcome", result.Outcome.String(),
		"failed_keys", result.FailedKeys,
		"mutations", len(mutations),
		"term", f.Term)
	if result.Outcome == store.NotApplied || result.Outcome == store.LeaseExpired {
		f.writer.state = writerIdle
		for _, change := range mutations {
			f.revertWrite(now, change)
		}
		return
	}
	f.writer.state = writerResolving
	f.rereadPages(mutations, nil)
}

// rereadPages reads the pages of a write one after the other, resolves them together and continues with the write's
// other keys. items are the pages read so far.
func (f *Fleet) rereadPages(mutations []mutation, items []store.Item) {
	next := len(items)
	if next < len(mutations) && mutations[next].kind == writePage {
		f.reread(mutations[next].key, func(item store.Item) { f.rereadPages(mutations, append(items, item)) })
		return
	}
	if len(items) > 0 && !f.resolvePages(mutations, items) {
		f.rereadPages(mutations, nil) // the write was applied between two of the reads: read all pages again
		return
	}
	f.rereadKeys(mutations[next:])
}

// rereadKeys reads and resolves the keys of a write other than its pages, one after the other, and makes the writer
// idle.
func (f *Fleet) rereadKeys(mutations []mutation) {
	for len(mutations) > 0 && resolvedWithPage(&mutations[0]) {
		mutations = mutations[1:]
	}
	if len(mutations) == 0 {
		f.writer.state = writerIdle
		return
	}
	f.reread(mutations[0].key, func(item store.Item) {
		f.resolveKey(mutations[0], item)
		f.rereadKeys(mutations[1:])
	})
}

// resolvedWithPage returns whether a mutation needs no read of its own once its page is resolved.
func resolvedWithPage(change *mutation) bool {
	return change.kind == writeSegmentInPage || (change.kind == moveSegmentToPage && change.segment.Version == 0)
}

// reread reads a key, repeats the read while it fails, and passes the item to done.
func (f *Fleet) reread(key string, done func(store.Item)) {
	f.ReadKey(key, func(item store.Item, err error) {
		if err != nil {
			f.writer.retry = func(time.Duration) { f.reread(key, done) }
			f.writer.retryAt = f.Now() + rereadRetryInterval
			return
		}
		done(item)
	})
}

// resolveKey resolves a mutation by the item read from its key, which is not a page.
func (f *Fleet) resolveKey(change mutation, item store.Item) {
	now := f.Now()
	switch change.kind {
	case moveSegmentToPage:
		// The move was not applied. An earlier write may have deleted the segment's own key.
		change.segment.Version = item.Version
	case writeJobRecord:
		change.job.FinalWriteInFlight = false
		if item.Version != 0 {
			f.OnJobRecord(now, item)
		}
	default:
		if item.Version != change.segment.Version && string(item.Value) == string(change.value) {
			f.confirmWrite(now, change, item.Version)
			return
		}
		change.segment.CreateIndeterminate = change.segment.CreateIndeterminate || change.segment.Version == 0
		change.segment.Version = item.Version
		change.segment.AddIndeterminate(change.snapshot)
		f.revertWrite(now, change)
	}
}

// resolvePages resolves a write's pages, which come first in mutations, and the plan segments in them. items are the
// stored pages as read. It returns false, and changes nothing, if the write was applied between two of the reads.
func (f *Fleet) resolvePages(mutations []mutation, items []store.Item) bool {
	appliedPages := 0
	for i, item := range items {
		if item.Version != mutations[i].page.Version && string(item.Value) == string(mutations[i].value) {
			appliedPages++
		}
	}
	applied := appliedPages > 0
	if applied && appliedPages != len(items) {
		return false
	}
	now := f.Now()
	for i, item := range items {
		write := *mutations[i].page
		switch {
		case applied:
			f.writer.pages.Commit(write, item.Version)
		case item.Version == write.Version:
			f.writer.pages.MarkIndeterminate(write)
		default:
			// An earlier write of the page, with an indeterminate outcome, has been applied.
			f.writer.pages.Reload(write, item.Version, f.pageEntries(item))
		}
	}
	for _, change := range mutations {
		switch {
		case !change.inPage():
		case applied:
			f.confirmWrite(now, change, 0)
		default:
			change.segment.AddIndeterminate(change.snapshot)
			f.revertWrite(now, change)
		}
	}
	return true
}

// pageEntries returns the entries of a stored page that belong to jobs in memory.
func (f *Fleet) pageEntries(item store.Item) (entries []pages.Entry) {
	stored, err := pages.Decode(jobs.PlanPagePrefix, item.Key, item.Value, item.Version)
	if err != nil {
		slog.Error("plan page unreadable", "key", item.Key, "error", err, "term", f.Term)
		return nil
	}
	for name, raw := range stored.Values {
		if job, segment := f.segmentByName(name); segment != nil {
			entries = append(entries, pages.Entry{Ref: planRef(job, segment), Name: name, Value: raw})
		}
	}
	return entries
}

// segmentByName returns the plan segment with a name, and its job. Both are nil if the segment is not in memory.
func (f *Fleet) segmentByName(name string) (*jobs.Job, *jobs.PlanSegment) {
	id, number, ok := splitSegmentName(name)
	job := f.Jobs.Get(id)
	if !ok || job == nil || number >= len(job.Segments) {
		return nil, nil
	}
	return job, job.Segments[number]
}

// confirmWrite records that a mutation is durable. version is the new version of its key.
func (f *Fleet) confirmWrite(now time.Duration, change mutation, version uint64) {
	f.writer.planBecameDurable = true
	switch change.kind {
	case writePage:
		f.writer.pages.Commit(*change.page, version)
	case writeJobRecord:
		f.OnJobRecord(now, store.Item{Key: change.key, Value: change.value, Version: version})
	default:
		change.segment.DurableMachines = change.snapshot
		change.segment.InFlight = nil
		change.segment.Indeterminate = nil
		change.segment.Version = version
		if change.inPage() {
			change.segment.Version = 0 // the segment has no key of its own any more
		}
	}
}

// revertWrite marks the job or plan segment of a mutation to be written again.
func (f *Fleet) revertWrite(now time.Duration, change mutation) {
	switch change.kind {
	case writePage:
	case writeJobRecord:
		change.job.FinalWriteInFlight = false
	default:
		change.segment.InFlight = nil
		if !change.segment.Dirty {
			change.segment.Dirty = true
			change.segment.DirtySince = now
		}
		change.segment.Urgent = true
	}
}
