package jobs

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"
)

// TaskState is where a task stands for its planner.
type TaskState uint8

// The states of a task.
//
//	Unplanned -> Planned            a plan names its machine
//	Planned   -> Unplanned          replanned, or its machine is gone
//	Planned   -> Launched           a launch was sent, after the plan was durable
//	Recovered                       a durable plan of an earlier term names its machine,
//	                                and no fenced report has said yet whether it is there
//	Launched, Recovered -> OnMachine  a report lists it
//	Launched, Recovered, OnMachine -> Unplanned  surely not on the machine any more
//	any -> Finished                 a report says done, or the durable bitmap does
const (
	Unplanned TaskState = iota
	Planned
	Launched
	Recovered
	OnMachine
	Finished
)

func (s TaskState) String() string {
	return [...]string{"unplanned", "planned", "launched", "recovered", "on machine", "finished"}[s]
}

// Occupies tells whether a task in this state counts as being on its machine.
func (s TaskState) Occupies() bool { return s == Launched || s == Recovered || s == OnMachine }

// Phase is what a report says of a task on its machine.
type Phase uint8

// The phases.
const (
	NoPhase Phase = iota
	Fetching
	Waiting
	Running
	Saving
)

// None is the machine of a task that has none.
const None int32 = -1

// Task is one task of a job that is planned here.
type Task struct {
	State               TaskState
	Phase               Phase
	Stopping            bool // a halt was sent or is due
	LaunchIndeterminate bool // an unanswered direct launch may still arrive
	Done                bool // known to be done, while an attempt may still be on a machine
	Failures            uint8
	Machine             int32
	Attempt             uint64
	LaunchedAt          time.Duration // launch
	RunningSince        time.Duration // first seen running
	NotBefore           time.Duration // not to be started before
	StopSentAt          time.Duration // when the last halt was sent
}

// taskTransitions lists the changes of state that can be meant; anything else is a defect.
var taskTransitions = map[TaskState][]TaskState{
	Unplanned: {Planned, Recovered, OnMachine, Finished},
	Planned:   {Unplanned, Planned, Launched, OnMachine, Finished},
	Launched:  {Unplanned, OnMachine, Finished},
	Recovered: {Unplanned, OnMachine, Finished, Planned},
	OnMachine: {Unplanned, Finished},
	Finished:  {},
}

// SetTaskState is the only place where a task's state changes.
func (j *Job) SetTaskState(taskIndex int32, to TaskState) error {
	task := &j.Tasks[taskIndex]
	for _, ok := range taskTransitions[task.State] {
		if ok != to {
			continue
		}
		if to == Finished {
			j.FinishedTasks++
		}
		if to == Planned {
			task.Stopping = false // a stop was meant for an earlier start
		}
		if to == Unplanned || to == Finished {
			j.SetTaskPhase(taskIndex, NoPhase)
			task.Stopping, task.LaunchIndeterminate, task.Attempt = false, false, 0
			if to == Unplanned {
				task.Machine = None
			}
		}
		j.TasksByState[task.State]--
		j.TasksByState[to]++
		task.State = to
		return nil
	}
	return fmt.Errorf("task %s/%d cannot go from %s to %s", j.ID, taskIndex, task.State, to)
}

// SetTaskPhase is the only place where a task's phase changes.
func (j *Job) SetTaskPhase(taskIndex int32, p Phase) {
	task := &j.Tasks[taskIndex]
	if task.Phase >= Running {
		j.RunningTasks--
	}
	if task.Phase = p; p >= Running {
		j.RunningTasks++
	}
}

// SegmentTasks is how many tasks share one key of the durable plan. Even with every task on
// a machine of its own the value stays well below 8 KiB.
const SegmentTasks = 256

// DurablyDone stands in Chunk.Durable for a task whose end is in the state service.
const DurablyDone int32 = -2

// PlanSegment is one key of a job's durable plan: the machine of each task and the bitmap of
// the finished ones.
type PlanSegment struct {
	Number  int
	Version uint64
	// DurableMachines is the machine of each task as it stands in the state service.
	DurableMachines []int32
	Dirty           bool
	// Urgent asks for a write as soon as the budget allows; otherwise changes gather.
	Urgent     bool
	DirtySince time.Duration // when it became dirty
	// InFlight is what a write without an outcome yet would make durable, or nil. Nothing
	// may start on a machine that either of the two does not name: after a crash the next
	// owner would believe the one that landed.
	InFlight []int32
	// Indeterminate is what writes that were given up without an outcome may still make durable, until the next
	// write of the same key is through: nil, or a machine for each task, Several where they differ.
	Indeterminate []int32
	// CreateIndeterminate: a write that makes its own key was given up without an outcome. It lands whenever the key isn't
	// there, so the chunk stays in its own key for the rest of the term: moving it into a page drops the key.
	CreateIndeterminate bool
	// Quarantined: what is stored can't be read. Nothing of it is planned, started or written over.
	Quarantined bool
}

// Conflicting stands in Chunk.Doubt for a task that open writes plan on different machines.
const Conflicting int32 = -3

// AddIndeterminate notes that a snapshot may become durable yet.
func (c *PlanSegment) AddIndeterminate(snapshot []int32) {
	if c.Indeterminate == nil {
		c.Indeterminate = slices.Clone(snapshot)
		return
	}
	for i, m := range snapshot {
		if c.Indeterminate[i] != m {
			c.Indeterminate[i] = Conflicting
		}
	}
}

// PlanPrefix is where durable plans stand.
const PlanPrefix = "p/"

// PlanKey names a chunk's key.
func (j *Job) PlanKey(no int) string { return PlanPrefix + j.PlanName(no) }

// OpenTasks makes the tasks and chunks of a job, all unplanned.
func (j *Job) OpenTasks() {
	if j.Tasks != nil {
		return
	}
	j.Tasks = make([]Task, j.TaskCount)
	for i := range j.Tasks {
		j.Tasks[i].Machine = None
	}
	for lo := 0; lo < j.TaskCount; lo += SegmentTasks {
		segment := &PlanSegment{Number: lo / SegmentTasks, DurableMachines: make([]int32, min(SegmentTasks, j.TaskCount-lo))}
		for i := range segment.DurableMachines {
			segment.DurableMachines[i] = None
		}
		j.Segments = append(j.Segments, segment)
	}
	j.FinishedTasks, j.RunningTasks = 0, 0
	j.TasksByState = [Finished + 1]int{Unplanned: j.TaskCount}
}

// UnstartedTasks is the number of tasks that are not started.
func (j *Job) UnstartedTasks() int { return j.TasksByState[Unplanned] + j.TasksByState[Planned] }

// TasksOnMachines is the number of tasks that count as being on a machine.
func (j *Job) TasksOnMachines() int {
	return j.TasksByState[Launched] + j.TasksByState[Recovered] + j.TasksByState[OnMachine]
}

// SegmentOf finds a task's chunk.
func (j *Job) SegmentOf(taskIndex int32) *PlanSegment { return j.Segments[int(taskIndex)/SegmentTasks] }

// IsDurable tells whether the durable plan names the task's present machine.
func (j *Job) IsDurable(taskIndex int32) bool {
	m, segment, i := j.Tasks[taskIndex].Machine, j.SegmentOf(taskIndex), int(taskIndex)%SegmentTasks
	return m != None && segment.DurableMachines[i] == m && (segment.InFlight == nil || segment.InFlight[i] == m) && (segment.Indeterminate == nil || segment.Indeterminate[i] == m)
}

// IsDurablyDone tells whether the task's end stands in the state service.
func (j *Job) IsDurablyDone(taskIndex int32) bool {
	return j.SegmentOf(taskIndex).DurableMachines[int(taskIndex)%SegmentTasks] == DurablyDone
}

// MarkDirty marks a task's chunk as changed.
func (j *Job) MarkDirty(taskIndex int32, urgent bool, now time.Duration) {
	segment := j.SegmentOf(taskIndex)
	if !segment.Dirty {
		segment.Dirty, segment.DirtySince = true, now
	}
	segment.Urgent = segment.Urgent || urgent
}

// PlanName names a chunk's value in a page.
func (j *Job) PlanName(no int) string { return fmt.Sprintf("%s/%03d", j.ID, no) }

// PlanPagePrefix is the prefix of the pages that hold many jobs' plans, since level 2 of the stored state. No job has
// such a name.
const PlanPagePrefix = PlanPrefix + "@/"

// planValue is a chunk as stored. Machines are listed once by name; tasks point at them,
// run-length coded as [count, machine] pairs.
type planValue struct {
	Format   int      `json:"v,omitempty"`
	Term     uint64   `json:"term"`
	Done     string   `json:"done"`
	Machines []string `json:"on"`
	Runs     []int32  `json:"runs"`
}

// EncodeSegment writes a chunk, and the machines it names as they will be durable. A
// finished task keeps its machine only as long as it is in the table.
func (j *Job) EncodeSegment(segment *PlanSegment, term uint64, name func(int32) string) (json.RawMessage, []int32) {
	lo := segment.Number * SegmentTasks
	n := len(segment.DurableMachines)
	bits := make([]byte, (n+7)/8)
	v := planValue{Term: term}
	snapshot := make([]int32, n)
	at := map[int32]int32{}
	for i := range n {
		t := &j.Tasks[lo+i]
		m := t.Machine
		if t.State == Finished {
			bits[i/8] |= 1 << (i % 8)
			m = None
		}
		if snapshot[i] = m; t.State == Finished {
			snapshot[i] = DurablyDone
		}
		k := int32(-1)
		if m != None {
			var ok bool
			if k, ok = at[m]; !ok {
				k = int32(len(v.Machines))
				at[m] = k
				v.Machines = append(v.Machines, name(m))
			}
		}
		if r := len(v.Runs); r > 0 && v.Runs[r-1] == k {
			v.Runs[r-2]++
		} else {
			v.Runs = append(v.Runs, 1, k)
		}
	}
	v.Done = base64.StdEncoding.EncodeToString(bits)
	raw, _ := json.Marshal(v)
	return raw, snapshot
}

// EncodeSegmentWithin writes a chunk within a limit, in bytes. Where not all fits, planned tasks are left out, the last ones
// first: they stand on no machine as far as this value says, so they don't start until a later write names them, as
// others have ended. It is false if what has been launched alone takes more.
func (j *Job) EncodeSegmentWithin(segment *PlanSegment, term uint64, name func(int32) string, limit int) (json.RawMessage, []int32, bool) {
	raw, snapshot := j.EncodeSegment(segment, term, name)
	if len(raw) <= limit {
		return raw, snapshot, true
	}
	var planned []int32
	lo := int32(segment.Number * SegmentTasks)
	for i := range segment.DurableMachines {
		if taskIndex := lo + int32(i); j.Tasks[taskIndex].State == Planned {
			planned = append(planned, taskIndex)
		}
	}
	// As many planned tasks as fit: fewer never take more than one run and one machine each, so the size grows with them.
	fits := sort.Search(len(planned)+1, func(left int) bool {
		raw, snapshot = j.encodeWithout(segment, term, name, planned[len(planned)-left:])
		return len(raw) <= limit
	})
	if fits > len(planned) {
		return nil, nil, false
	}
	raw, snapshot = j.encodeWithout(segment, term, name, planned[len(planned)-fits:])
	return raw, snapshot, true
}

// encodeWithout writes a chunk as if some tasks had no machine.
func (j *Job) encodeWithout(segment *PlanSegment, term uint64, name func(int32) string, without []int32) (json.RawMessage, []int32) {
	at := make([]int32, len(without))
	for i, taskIndex := range without {
		at[i], j.Tasks[taskIndex].Machine = j.Tasks[taskIndex].Machine, None
	}
	raw, snapshot := j.EncodeSegment(segment, term, name)
	for i, taskIndex := range without {
		j.Tasks[taskIndex].Machine = at[i]
	}
	return raw, snapshot
}

// DecodeSegment reads a chunk back: machine and finished flag of each task.
func DecodeSegment(raw json.RawMessage, n int, index func(string) int32) (on []int32, done []bool, err error) {
	var v planValue
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, nil, err
	}
	if v.Format > 1 {
		return nil, nil, fmt.Errorf("plan in format %d", v.Format)
	}
	bits, err := base64.StdEncoding.DecodeString(v.Done)
	if err != nil || len(bits) < (n+7)/8 {
		return nil, nil, fmt.Errorf("bitmap of %d bytes for %d tasks: %v", len(bits), n, err)
	}
	on, done = make([]int32, 0, n), make([]bool, n)
	for i := 0; i+1 < len(v.Runs); i += 2 {
		m := None
		if k := v.Runs[i+1]; k >= 0 {
			if int(k) >= len(v.Machines) {
				return nil, nil, fmt.Errorf("run names machine %d of %d", k, len(v.Machines))
			}
			m = index(v.Machines[k])
		}
		for range v.Runs[i] {
			if len(on) >= n {
				return nil, nil, fmt.Errorf("runs cover more than %d tasks", n)
			}
			on = append(on, m)
		}
	}
	if len(on) != n {
		return nil, nil, fmt.Errorf("runs cover %d of %d tasks", len(on), n)
	}
	for i := range done {
		done[i] = bits[i/8]&(1<<(i%8)) != 0
	}
	return on, done, nil
}
