package fleet

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/pages"
	"github.com/harewalk/harewalk/internal/store"
)

// This file loads the durable plans at the start of a term.

// LoadPlans loads the durable plans and image hints of earlier terms. A task counts as running on the machine that its
// plan names until a heartbeat at this term's fencing token, or the expiry of the machine's lease, shows otherwise.
// Nothing is planned or started before LoadPlans returns.
func (f *Fleet) LoadPlans(now time.Duration, items []store.Item) {
	for _, item := range items {
		if strings.HasPrefix(item.Key, imageHintsPrefix) {
			f.loadImageHints(item)
		}
	}
	for _, id := range f.Jobs.UnreadableIDs() {
		f.unreadableJobs[id] = true
	}
	f.loadSegments(now, items)
	f.Jobs.ForEachLive(func(job *jobs.Job) {
		if job.Blocked {
			return // HandleJobReleased creates its tasks
		}
		job.CreateTasks()
		f.finishRecoveredGang(now, job)
	})
	f.Jobs.ForEach(func(job *jobs.Job) {
		if job.State.Terminal() && job.Tasks != nil {
			f.writer.endedJobs = append(f.writer.endedJobs, job)
		}
	})
	f.plansLoaded = true
	f.RankJobs(now)
	slog.Info("plans loaded",
		"term", f.Term, "keys", len(items), "newest_version", newestVersion(items), "jobs", len(f.ranking.jobs), "machines", len(f.machines))
}

// newestVersion returns the highest version of the items, 0 if there are none.
func newestVersion(items []store.Item) (newest uint64) {
	for i := range items {
		newest = max(newest, items[i].Version)
	}
	return newest
}

// finishRecoveredGang finishes a gang if its stored plan says that one of its tasks is done.
func (f *Fleet) finishRecoveredGang(now time.Duration, job *jobs.Job) {
	if job.Spec.Kind == jobs.Gang && job.FinishedTasks > 0 {
		f.finishGang(now, job)
	}
}

// loadSegments applies the newest stored value of every plan segment, and quarantines the segments that an unreadable
// page may contain.
func (f *Fleet) loadSegments(now time.Duration, items []store.Item) {
	stored := f.decodePlans(items)
	newest := f.newestSegments(stored.segments)
	f.loadPages(stored.pages, newest)
	loadedVersions := map[*jobs.PlanSegment]uint64{}
	for _, value := range newest {
		if segment := f.loadSegment(now, value); segment != nil {
			loadedVersions[segment] = value.version
		}
	}
	if stored.newestUnreadable > 0 {
		f.quarantineOlder(now, loadedVersions, stored.newestUnreadable)
	}
}

// storedSegment is a stored value of a plan segment, from a page or from a key of its own.
type storedSegment struct {
	name    string
	raw     json.RawMessage
	version uint64 // version of the page or of the segment's own key
	page    int    // number of the page, or ownKey
}

// ownKey is the page number of a storedSegment that has a key of its own.
const ownKey = -1

// storedPlans is the decoded content of all plan keys in the state service.
type storedPlans struct {
	segments         []storedSegment // may have several values of the same segment
	pages            []pages.StoredPage
	newestUnreadable uint64 // version of the newest page that can't be decoded; 0 if there is none
}

// decodePlans decodes the pages among the stored items and lists the plan segments in pages and in keys of their own.
func (f *Fleet) decodePlans(items []store.Item) storedPlans {
	var stored storedPlans
	for _, item := range items {
		if strings.HasPrefix(item.Key, imageHintsPrefix) {
			continue
		}
		if !strings.HasPrefix(item.Key, jobs.PlanPagePrefix) {
			name := strings.TrimPrefix(item.Key, jobs.PlanPrefix)
			stored.segments = append(stored.segments, storedSegment{name, item.Value, item.Version, ownKey})
			continue
		}
		page, err := pages.Decode(jobs.PlanPagePrefix, item.Key, item.Value, item.Version)
		if err != nil {
			f.reportUnreadable(item.Key, item.Value, err)
			f.writer.pages.Reserve(page.Number)
			stored.newestUnreadable = max(stored.newestUnreadable, item.Version)
			continue
		}
		stored.pages = append(stored.pages, page)
		for name, raw := range page.Values {
			stored.segments = append(stored.segments, storedSegment{name, raw, item.Version, page.Number})
		}
	}
	return stored
}

// newestSegments returns the newest value of each plan segment, ordered by name. A segment's own key becomes obsolete
// if it holds an older value.
func (f *Fleet) newestSegments(all []storedSegment) []storedSegment {
	slices.SortFunc(all, func(a, b storedSegment) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(b.version, a.version))
	})
	newest := all[:0]
	for _, value := range all {
		if len(newest) == 0 || newest[len(newest)-1].name != value.name {
			newest = append(newest, value)
			continue
		}
		if value.page == ownKey {
			f.writer.obsoleteKeys = append(f.writer.obsoleteKeys, jobs.PlanPrefix+value.name)
		}
	}
	return newest
}

// loadPages passes the stored pages to the writer, each with its values that are the newest of their segments.
func (f *Fleet) loadPages(storedPages []pages.StoredPage, newest []storedSegment) {
	entries := map[int][]pages.Entry{}
	for i, value := range newest {
		id, number, ok := splitSegmentName(value.name)
		if !ok || value.page == ownKey {
			continue
		}
		ref := pages.Ref{Number: int32(number)}
		switch job := f.Jobs.Get(id); {
		case job != nil:
			ref.Owner = int32(job.Index)
		case f.Jobs.IsUnreadable(id):
			// The plan of a job with an unreadable record is kept when its page is rewritten, under an owner number
			// that no job has.
			ref.Owner = -1 - int32(i)
		default:
			continue
		}
		entries[value.page] = append(entries[value.page], pages.Entry{Ref: ref, Name: value.name, Value: value.raw})
	}
	for _, page := range storedPages {
		f.writer.pages.Load(page.Number, page.Version, entries[page.Number])
	}
}

// loadSegment applies the stored value of a plan segment and returns the segment. If the value belongs to no live or
// cancelled job it returns nil, and the value is obsolete unless the job's record is unreadable.
func (f *Fleet) loadSegment(now time.Duration, value storedSegment) *jobs.PlanSegment {
	id, number, ok := splitSegmentName(value.name)
	job := f.Jobs.Get(id)
	if job == nil && f.Jobs.IsUnreadable(id) {
		return nil
	}
	if !ok || job == nil || job.State == jobs.Done || job.Spec == nil {
		f.discardStoredSegment(value, job, number)
		return nil
	}
	job.CreateTasks()
	if number >= len(job.Segments) {
		f.discardStoredSegment(value, job, number)
		return nil
	}
	segment := job.Segments[number]
	machineIndex := func(name string) int32 { return f.RegisterMachine(now, name).Index }
	machines, finished, err := jobs.DecodeSegment(value.raw, len(segment.DurableMachines), machineIndex)
	if value.page == ownKey {
		segment.Version = value.version
	}
	if err != nil {
		f.reportUnreadable(jobs.PlanPrefix+value.name, value.raw, err)
		f.quarantineSegment(now, job, segment)
		return segment
	}
	for i := range machines {
		taskIndex := segmentTaskIndex(segment, i)
		switch {
		case finished[i]:
			segment.DurableMachines[i] = jobs.DurablyDone
			f.checkTransition(job.SetTaskState(taskIndex, jobs.Finished))
		case machines[i] != jobs.None:
			segment.DurableMachines[i] = machines[i]
			job.Tasks[taskIndex].Machine = machines[i]
			job.Started = true
			f.setOnMachine(now, job, taskIndex, jobs.Recovered)
		}
	}
	return segment
}

// discardStoredSegment marks a stored plan segment as obsolete. job is nil if no job with its id is in memory.
func (f *Fleet) discardStoredSegment(value storedSegment, job *jobs.Job, number int) {
	switch {
	case value.page == ownKey:
		f.writer.obsoleteKeys = append(f.writer.obsoleteKeys, jobs.PlanPrefix+value.name)
	case job != nil:
		f.writer.pages.Drop(pages.Ref{Owner: int32(job.Index), Number: int32(number)})
	}
}

// segmentTaskIndex returns the index, within the job, of the task at an offset in a plan segment.
func segmentTaskIndex(segment *jobs.PlanSegment, offset int) int32 {
	return int32(segment.Number*jobs.SegmentTasks + offset)
}

// splitSegmentName parses the name of a plan segment into its job's id and its number.
func splitSegmentName(name string) (id string, number int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return "", 0, false
	}
	number, err := strconv.Atoi(name[slash+1:])
	return name[:slash], number, err == nil && number >= 0
}
