package jobs

import (
	"fmt"
	"slices"
	"time"
)

// SegmentTasks is the number of tasks in one segment of the durable plan. Even with each task on a machine of its own
// the segment's value stays well below 8 KiB.
const SegmentTasks = 256

// Values that stand for a machine in PlanSegment.
const (
	// DurablyDone is the entry in PlanSegment.DurableMachines of a task whose end is stored.
	DurablyDone int32 = -2
	// Conflicting is the entry in PlanSegment.Indeterminate of a task that several writes plan on different machines.
	Conflicting int32 = -3
)

// PlanSegment is a part of a job's durable plan that is stored as one value: the machine of each task and the
// bitmap of the finished tasks.
type PlanSegment struct {
	Number  int
	Version uint64
	// DurableMachines is the machine of each task as the state service stores it, None or DurablyDone.
	DurableMachines []int32
	Dirty           bool
	// Urgent asks for a write as soon as the write budget allows; other changes are gathered.
	Urgent     bool
	DirtySince time.Duration
	// InFlight is what a write whose outcome is still awaited would make durable, or nil. Nothing may start on a
	// machine that isn't named both here and in DurableMachines: after a crash the next owner reads whichever of
	// them is stored.
	InFlight []int32
	// Indeterminate is what writes that were given up without an outcome may still make durable, until the next
	// write of the same key has an outcome: nil, or a machine for each task, Conflicting where the writes differ.
	Indeterminate []int32
	// CreateIndeterminate is set when a write that creates the segment's own key was given up without an outcome.
	// It may be carried out whenever the key is absent, so the segment stays in its own key for the rest of the
	// term: moving it into a page would delete the key.
	CreateIndeterminate bool
	// Quarantined is set when the stored value can't be read. Nothing of it is planned, started or overwritten.
	Quarantined bool
}

func newPlanSegment(number, tasks int) *PlanSegment {
	segment := &PlanSegment{Number: number, DurableMachines: make([]int32, tasks)}
	for i := range segment.DurableMachines {
		segment.DurableMachines[i] = None
	}
	return segment
}

// AddIndeterminate records that a snapshot of the segment may still become durable.
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

// names reports whether every value of the segment that is or may become durable has the task at an offset on a
// machine.
func (s *PlanSegment) names(offset int, machine int32) bool {
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
	// PlanPrefix is the prefix of all of them.
	PlanPrefix = "p/"
	// PlanPagePrefix is the prefix of the pages that hold many jobs' plans, used from level 2 of the stored state
	// on. No job id begins like it.
	PlanPagePrefix = PlanPrefix + "@/"
)

// PlanName returns the name of a segment's value in a page.
func (j *Job) PlanName(number int) string { return fmt.Sprintf("%s/%03d", j.ID, number) }

// PlanKey returns the key of a segment that is stored by itself.
func (j *Job) PlanKey(number int) string { return PlanPrefix + j.PlanName(number) }

// SegmentOf returns the plan segment of a task.
func (j *Job) SegmentOf(taskIndex int32) *PlanSegment { return j.Segments[int(taskIndex)/SegmentTasks] }

// IsDurable reports whether the durable plan names the task's present machine, whichever of its writes is carried
// out.
func (j *Job) IsDurable(taskIndex int32) bool {
	machine := j.Tasks[taskIndex].Machine
	return machine != None && j.SegmentOf(taskIndex).names(int(taskIndex)%SegmentTasks, machine)
}

// IsDurablyDone reports whether the task's end is stored.
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
