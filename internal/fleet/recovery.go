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

// LoadPlans takes over the durable plans of earlier terms: every machine named there counts as
// running its task until a fenced report or the end of its lease says otherwise.
func (f *Fleet) LoadPlans(now time.Duration, items []store.Item) {
	for _, item := range items {
		if strings.HasPrefix(item.Key, imageHintsPrefix) {
			f.loadImageHints(item)
		}
	}
	found := map[*jobs.PlanSegment]uint64{}
	for _, id := range f.Jobs.UnreadableIDs() {
		f.unreadableJobs[id] = true
	}
	values, lost := f.storedValues(items)
	for _, v := range values {
		if segment := f.loadSegment(now, v); segment != nil {
			found[segment] = v.version
		}
	}
	if lost > 0 {
		f.quarantineOlder(now, found, lost)
	}
	f.Jobs.ForEachLive(func(job *jobs.Job) {
		job.OpenTasks()
		if job.Spec.Kind == jobs.Gang && job.FinishedTasks > 0 {
			f.finishGang(now, job)
		}
	})
	f.Jobs.ForEach(func(job *jobs.Job) {
		if job.State.Terminal() && job.Tasks != nil {
			f.writer.endedJobs = append(f.writer.endedJobs, job)
		}
	})
	f.plansLoaded = true
	f.RankJobs(now)
	slog.Info("plans loaded", "term", f.Term, "keys", len(items), "jobs", len(f.ranking.jobs), "machines", len(f.machines))
}

// storedValue is one chunk's value as it was read, from a page or from a key of its own.
type storedValue struct {
	name    string
	raw     json.RawMessage
	version uint64
	page    int // -1: a key of its own
}

// storedValues lists what counts of the stored plans, each chunk once: of two places the one written last. The pages are
// taken over; lost is the version of the newest one that can't be read, 0: all can.
func (f *Fleet) storedValues(items []store.Item) (kept []storedValue, lost uint64) {
	var all []storedValue
	var read []pages.StoredPage
	for _, item := range items {
		switch {
		case strings.HasPrefix(item.Key, imageHintsPrefix):
		case strings.HasPrefix(item.Key, jobs.PlanPagePrefix):
			s, err := pages.Decode(jobs.PlanPagePrefix, item.Key, item.Value, item.Version)
			if err != nil {
				f.reportUnreadable(item.Key, item.Value, err)
				f.writer.pages.Reserve(s.Number)
				lost = max(lost, item.Version)
				continue
			}
			read = append(read, s)
			for name, raw := range s.Values {
				all = append(all, storedValue{name, raw, item.Version, s.Number})
			}
		default:
			all = append(all, storedValue{strings.TrimPrefix(item.Key, jobs.PlanPrefix), item.Value, item.Version, -1})
		}
	}
	slices.SortFunc(all, func(a, b storedValue) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(b.version, a.version))
	})
	live := map[int][]pages.Entry{}
	kept = all[:0]
	for i, v := range all {
		if i > 0 && all[i-1].name == v.name {
			if v.page < 0 {
				f.writer.obsoleteKeys = append(f.writer.obsoleteKeys, jobs.PlanPrefix+v.name)
			}
			continue
		}
		kept = append(kept, v)
		if id, no, ok := splitPlanName(v.name); ok && v.page >= 0 {
			ref := pages.Ref{A: -1 - int32(i), B: int32(no)}
			if job := f.Jobs.Get(id); job != nil {
				ref.A = int32(job.Index)
			} else if !f.Jobs.IsUnreadable(id) {
				continue
			} // else its record can't be read: the plan stays, wherever its page is written, under a number that no job has
			live[v.page] = append(live[v.page], pages.Entry{Ref: ref, Name: v.name, Value: v.raw})
		}
	}
	for _, s := range read {
		f.writer.pages.Load(s.Number, s.Version, live[s.Number])
	}
	return kept, lost
}

// loadSegment takes over one chunk and returns it, nil if it is nobody's any more.
func (f *Fleet) loadSegment(now time.Duration, v storedValue) *jobs.PlanSegment {
	key := jobs.PlanPrefix + v.name
	id, no, ok := splitPlanName(v.name)
	job := f.Jobs.Get(id)
	drop := func() {
		if v.page >= 0 {
			if job != nil {
				f.writer.pages.Drop(pages.Ref{A: int32(job.Index), B: int32(no)})
			}
			return
		}
		f.writer.obsoleteKeys = append(f.writer.obsoleteKeys, key)
	}
	if !ok || job == nil || job.State == jobs.Done || job.Spec == nil {
		if job == nil && f.Jobs.IsUnreadable(id) {
			return nil // its record can't be read: its plan is nobody's to drop
		}
		drop()
		return nil
	}
	job.OpenTasks()
	if no >= len(job.Segments) {
		drop()
		return nil
	}
	segment := job.Segments[no]
	on, done, err := jobs.DecodeSegment(v.raw, len(segment.DurableMachines), func(name string) int32 { return f.RegisterMachine(now, name).Index })
	if v.page < 0 {
		segment.Version = v.version
	}
	if err != nil {
		f.reportUnreadable(key, v.raw, err)
		f.quarantineSegment(now, job, segment)
		return segment
	}
	for i := range on {
		taskIndex := int32(no*jobs.SegmentTasks + i)
		switch {
		case done[i]:
			segment.DurableMachines[i] = jobs.DurablyDone
			f.checkTransition(job.SetTaskState(taskIndex, jobs.Finished))
		case on[i] != jobs.None:
			segment.DurableMachines[i] = on[i]
			job.Tasks[taskIndex].Machine = on[i]
			job.Started = true
			f.setOnMachine(now, job, taskIndex, jobs.Recovered)
		}
	}
	return segment
}

// splitPlanName reads a chunk's name: its job and number.
func splitPlanName(name string) (id string, no int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i <= 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[i+1:])
	return name[:i], n, err == nil && n >= 0
}

// quarantineSegment shuts a chunk whose stored value can't be read: any of its tasks may be on any machine. It is neither planned
// nor written over, and counts in full against the limits for as long as this term lasts.
func (f *Fleet) quarantineSegment(now time.Duration, job *jobs.Job, segment *jobs.PlanSegment) {
	if segment.Quarantined {
		return
	}
	segment.Quarantined, job.Quarantined = true, true
	for i := range segment.DurableMachines {
		taskIndex := int32(segment.Number*jobs.SegmentTasks + i)
		if task := &job.Tasks[taskIndex]; !task.State.Occupies() && task.State != jobs.Finished {
			f.Gate.Acquire(now, licenceRef(job, taskIndex), 0, admissionClaim(job))
		}
	}
}

// quarantineOlder shuts every chunk of a job that is not over whose value is older than a page that can't be read: it
// may stand there anew.
func (f *Fleet) quarantineOlder(now time.Duration, found map[*jobs.PlanSegment]uint64, page uint64) {
	f.Jobs.ForEach(func(job *jobs.Job) {
		if job.State == jobs.Done || job.Spec == nil {
			return
		}
		job.OpenTasks()
		for _, segment := range job.Segments {
			if found[segment] < page {
				f.quarantineSegment(now, job, segment)
			}
		}
	})
}
