package jobs

import (
	"fmt"
	"slices"
	"time"
)

// SegmentTasks is the maximum number of tasks in one segment of the durable plan. Even if each task is on a different
// machine, the segment's stored value stays well below 8 KiB.
const SegmentTasks = 256

// Special values in place of a machine index in PlanSegment.
const (
	// DurablyDone is the entry in PlanSegment.DurableMachines of a task that is stored as finished.
	DurablyDone int32 = -2
	// Conflicting is the entry in PlanSegment.Indeterminate of a task for which several writes name different machines.
	Conflicting int32 = -3
)

// PlanSegment is the part of a job's durable plan for up to SegmentTasks consecutive tasks. It is stored as one value:
// the machine of each task and the bitmap of the finished tasks.
type PlanSegment struct {
	Number  int    // index in Job.Segments
	Version uint64 // version of the stored value
	// DurableMachines is the stored plan: the index of each task's machine, None or DurablyDone.
	DurableMachines []int32
	Dirty           bool // the segment has changes that are not written yet
	// Urgent requests a write as soon as the write budget allows. Changes that are not urgent are batched.
	Urgent     bool
	DirtySince time.Duration // time of the first change that is not written yet
	// InFlight is the plan in the write that is in flight, or nil. A task may start on a machine only if both InFlight
	// and DurableMachines name that machine for the task: after a crash the next leader reads whichever of the two is
	// stored.
	InFlight []int32
	// Indeterminate is the plan that abandoned writes without an outcome may still make durable: nil, or a machine for
	// each task, Conflicting where these writes differ. It is cleared when a later write of the same key has an outcome.
	Indeterminate []int32
	// CreateIndeterminate is set when a write that creates the segment's own key was abandoned without an outcome. The
	// state service may apply that write whenever the key is absent, so the segment stays in its own key for the rest
	// of the term: moving the segment into a page would delete the key.
	CreateIndeterminate bool
	// Quarantined is set when the stored value can't be read. Its tasks are not planned or started, and the value is not
	// overwritten.
	Quarantined bool
}

func newPlanSegment(number, tasks int) *PlanSegment {
	segment := &PlanSegment{Number: number, DurableMachines: make([]int32, tasks)}
	for i := range segment.DurableMachines {
		segment.DurableMachines[i] = None
	}
	return segment
}

// AddIndeterminate records that a write of a snapshot of the segment was abandoned and may still become durable.
func (s *PlanSegment) AddIndeterminate(snapshot []int32) {
	if s.Indeterminate == nil {
		s.Indeterminate = slices.Clone(snapshot)
		return
	}
	for i, machine := range snapshot {
		if s.Indeterminate[i] != machine {
			s.Indeterminate[i] = Conflicting
		}
	}
}

// namedInAllVersions reports whether every version of the segment that is or may become durable names a machine for the
// task at an offset.
func (s *PlanSegment) namedInAllVersions(offset int, machine int32) bool {
	if s.DurableMachines[offset] != machine {
		return false
	}
	if s.InFlight != nil && s.InFlight[offset] != machine {
		return false
	}
	return s.Indeterminate == nil || s.Indeterminate[offset] == machine
}

// Prefixes of the keys of durable plans.
const (
	// PlanPrefix is the prefix of all keys of durable plans.
	PlanPrefix = "p/"
	// PlanPagePrefix is the prefix of the keys of pages, each of which holds plan segments of many jobs. Pages are used
	// from level 2 of the stored state on. No job id begins with "@/".
	PlanPagePrefix = PlanPrefix + "@/"
)

// PlanName returns the name of a segment in a page.
func (j *Job) PlanName(number int) string { return fmt.Sprintf("%s/%03d", j.ID, number) }

// PlanKey returns the key of a segment that is stored in a key of its own.
func (j *Job) PlanKey(number int) string { return PlanPrefix + j.PlanName(number) }

// SegmentOf returns the plan segment of a task.
func (j *Job) SegmentOf(taskIndex int32) *PlanSegment { return j.Segments[int(taskIndex)/SegmentTasks] }

// IsDurable reports whether the durable plan names the task's current machine, whichever of the outstanding writes the
// state service applies.
func (j *Job) IsDurable(taskIndex int32) bool {
	machine := j.Tasks[taskIndex].Machine
	return machine != None && j.SegmentOf(taskIndex).namedInAllVersions(int(taskIndex)%SegmentTasks, machine)
}

// IsDurablyDone reports whether the task is stored as finished.
func (j *Job) IsDurablyDone(taskIndex int32) bool {
	return j.SegmentOf(taskIndex).DurableMachines[int(taskIndex)%SegmentTasks] == DurablyDone
}

// MarkDirty marks a task's segment as changed and not yet written.
func (j *Job) MarkDirty(taskIndex int32, urgent bool, now time.Duration) {
	segment := j.SegmentOf(taskIndex)
	if !segment.Dirty {
		segment.Dirty = true
		segment.DirtySince = now
	}
	segment.Urgent = segment.Urgent || urgent
}
