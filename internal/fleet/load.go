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
	for _, it := range items {
		if strings.HasPrefix(it.Key, imagesKey) {
			f.loadImages(now, it)
		}
	}
	found := map[*jobs.PlanSegment]uint64{}
	for _, id := range f.Jobs.UnreadableIDs() {
		f.unreadableJobs[id] = true
	}
	values, lost := f.storedValues(items)
	for _, v := range values {
		if c := f.loadSegment(now, v); c != nil {
			found[c] = v.version
		}
	}
	if lost > 0 {
		f.quarantineOlder(now, found, lost)
	}
	f.Jobs.ForEachLive(func(j *jobs.Job) {
		j.OpenTasks()
		if j.Spec.Kind == jobs.Gang && j.FinishedTasks > 0 {
			f.finishGang(now, j)
		}
	})
	f.Jobs.ForEach(func(j *jobs.Job) {
		if j.State.Terminal() && j.Tasks != nil {
			f.endedJobs = append(f.endedJobs, j)
		}
	})
	f.plansLoaded = true
	f.RankJobs(now)
	slog.Info("plans loaded", "term", f.Term, "keys", len(items), "jobs", len(f.ranked), "machines", len(f.machines))
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
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, imagesKey):
		case strings.HasPrefix(it.Key, jobs.PlanPagePrefix):
			s, err := pages.Decode(jobs.PlanPagePrefix, it.Key, it.Value, it.Version)
			if err != nil {
				f.reportUnreadable(it.Key, it.Value, err)
				f.pages.Reserve(s.Number)
				lost = max(lost, it.Version)
				continue
			}
			read = append(read, s)
			for name, raw := range s.Values {
				all = append(all, storedValue{name, raw, it.Version, s.Number})
			}
		default:
			all = append(all, storedValue{strings.TrimPrefix(it.Key, jobs.PlanPrefix), it.Value, it.Version, -1})
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
				f.obsoletePlanKeys = append(f.obsoletePlanKeys, jobs.PlanPrefix+v.name)
			}
			continue
		}
		kept = append(kept, v)
		if id, no, ok := splitPlanName(v.name); ok && v.page >= 0 {
			ref := pages.Ref{A: -1 - int32(i), B: int32(no)}
			if j := f.Jobs.Get(id); j != nil {
				ref.A = int32(j.Index)
			} else if !f.Jobs.IsUnreadable(id) {
				continue
			} // else its record can't be read: the plan stays, wherever its page is written, under a number that no job has
			live[v.page] = append(live[v.page], pages.Entry{Ref: ref, Name: v.name, Value: v.raw})
		}
	}
	for _, s := range read {
		f.pages.Load(s.Number, s.Version, live[s.Number])
	}
	return kept, lost
}

// loadSegment takes over one chunk and returns it, nil if it is nobody's any more.
func (f *Fleet) loadSegment(now time.Duration, v storedValue) *jobs.PlanSegment {
	key := jobs.PlanPrefix + v.name
	id, no, ok := splitPlanName(v.name)
	j := f.Jobs.Get(id)
	drop := func() {
		if v.page >= 0 {
			if j != nil {
				f.pages.Drop(pages.Ref{A: int32(j.Index), B: int32(no)})
			}
			return
		}
		f.obsoletePlanKeys = append(f.obsoletePlanKeys, key)
	}
	if !ok || j == nil || j.State == jobs.Done || j.Spec == nil {
		if j == nil && f.Jobs.IsUnreadable(id) {
			return nil // its record can't be read: its plan is nobody's to drop
		}
		drop()
		return nil
	}
	j.OpenTasks()
	if no >= len(j.Segments) {
		drop()
		return nil
	}
	c := j.Segments[no]
	on, done, err := jobs.DecodeSegment(v.raw, len(c.DurableMachines), func(name string) int32 { return f.RegisterMachine(now, name).Index })
	if v.page < 0 {
		c.Version = v.version
	}
	if err != nil {
		f.reportUnreadable(key, v.raw, err)
		f.quarantineSegment(now, j, c)
		return c
	}
	for i := range on {
		t := int32(no*jobs.SegmentTasks + i)
		switch {
		case done[i]:
			c.DurableMachines[i] = jobs.DurablyDone
			f.checkTransition(j.SetTaskState(t, jobs.Finished))
		case on[i] != jobs.None:
			c.DurableMachines[i] = on[i]
			j.Tasks[t].Machine = on[i]
			j.Started = true
			f.setOnMachine(now, j, t, jobs.Recovered)
		}
	}
	return c
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
func (f *Fleet) quarantineSegment(now time.Duration, j *jobs.Job, c *jobs.PlanSegment) {
	if c.Quarantined {
		return
	}
	c.Quarantined, j.Quarantined = true, true
	for i := range c.DurableMachines {
		t := int32(c.Number*jobs.SegmentTasks + i)
		if k := &j.Tasks[t]; !k.State.Occupies() && k.State != jobs.Finished {
			f.Gate.Acquire(now, licenceRef(j, t), 0, admissionClaim(j))
		}
	}
}

// quarantineOlder shuts every chunk of a job that is not over whose value is older than a page that can't be read: it
// may stand there anew.
func (f *Fleet) quarantineOlder(now time.Duration, found map[*jobs.PlanSegment]uint64, page uint64) {
	f.Jobs.ForEach(func(j *jobs.Job) {
		if j.State == jobs.Done || j.Spec == nil {
			return
		}
		j.OpenTasks()
		for _, c := range j.Segments {
			if found[c] < page {
				f.quarantineSegment(now, j, c)
			}
		}
	})
}
