package jobs

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"
)

// State is where a task stands for its planner.
type State uint8

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
	Unplanned State = iota
	Planned
	Launched
	Recovered
	OnMachine
	Finished
)

func (s State) String() string {
	return [...]string{"unplanned", "planned", "launched", "recovered", "on machine", "finished"}[s]
}

// Occupies tells whether a task in this state counts as being on its machine.
func (s State) Occupies() bool { return s == Launched || s == Recovered || s == OnMachine }

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
	State    State
	Phase    Phase
	Halting  bool // a halt was sent or is due
	Late     bool // an unanswered direct launch may still arrive
	Done     bool // known to be done, while an attempt may still be on a machine
	Fails    uint8
	Machine  int32
	Attempt  uint64
	Since    time.Duration // launch
	RunSince time.Duration // first seen running
	Until    time.Duration // not to be started before
	HaltBy   time.Duration // when the last halt was sent
}

// moves lists the changes of state that can be meant; anything else is a defect.
var moves = map[State][]State{
	Unplanned: {Planned, Recovered, OnMachine, Finished},
	Planned:   {Unplanned, Planned, Launched, OnMachine, Finished},
	Launched:  {Unplanned, OnMachine, Finished},
	Recovered: {Unplanned, OnMachine, Finished, Planned},
	OnMachine: {Unplanned, Finished},
	Finished:  {},
}

// Set is the only place where a task's state changes.
func (j *Job) Set(t int32, to State) error {
	k := &j.Tasks[t]
	for _, ok := range moves[k.State] {
		if ok != to {
			continue
		}
		if to == Finished {
			j.DoneN++
		}
		if to == Planned {
			k.Halting = false // a stop was meant for an earlier start
		}
		if to == Unplanned || to == Finished {
			j.Enter(t, NoPhase)
			k.Halting, k.Late, k.Attempt = false, false, 0
			if to == Unplanned {
				k.Machine = None
			}
		}
		j.In[k.State]--
		j.In[to]++
		k.State = to
		return nil
	}
	return fmt.Errorf("task %s/%d cannot go from %s to %s", j.ID, t, k.State, to)
}

// Enter is the only place where a task's phase changes.
func (j *Job) Enter(t int32, p Phase) {
	k := &j.Tasks[t]
	if k.Phase >= Running {
		j.Runs--
	}
	if k.Phase = p; p >= Running {
		j.Runs++
	}
}

// ChunkTasks is how many tasks share one key of the durable plan. Even with every task on
// a machine of its own the value stays well below 8 KiB.
const ChunkTasks = 256

// DurablyDone stands in Chunk.Durable for a task whose end is in the state service.
const DurablyDone int32 = -2

// Chunk is one key of a job's durable plan: the machine of each task and the bitmap of
// the finished ones.
type Chunk struct {
	No      int
	Version uint64
	// Durable is the machine of each task as it stands in the state service.
	Durable []int32
	Dirty   bool
	// Urgent asks for a write as soon as the budget allows; otherwise changes gather.
	Urgent bool
	Since  time.Duration // when it became dirty
	// Pending is what a write without an outcome yet would make durable, or nil. Nothing
	// may start on a machine that either of the two does not name: after a crash the next
	// owner would believe the one that landed.
	Pending []int32
	// Doubt is what writes that were given up without an outcome may still make durable, until the next
	// write of the same key is through: nil, or a machine for each task, Several where they differ.
	Doubt []int32
	// Early: a write that makes its own key was given up without an outcome. It lands whenever the key isn't
	// there, so the chunk stays in its own key for the rest of the term: moving it into a page drops the key.
	Early bool
	// Sealed: what is stored can't be read. Nothing of it is planned, started or written over.
	Sealed bool
}

// Several stands in Chunk.Doubt for a task that open writes plan on different machines.
const Several int32 = -3

// Doubted notes that a snapshot may become durable yet.
func (c *Chunk) Doubted(snapshot []int32) {
	if c.Doubt == nil {
		c.Doubt = slices.Clone(snapshot)
		return
	}
	for i, m := range snapshot {
		if c.Doubt[i] != m {
			c.Doubt[i] = Several
		}
	}
}

// PlanPrefix is where durable plans stand.
const PlanPrefix = "p/"

// PlanKey names a chunk's key.
func (j *Job) PlanKey(no int) string { return PlanPrefix + j.PlanName(no) }

// Open makes the tasks and chunks of a job, all unplanned.
func (j *Job) Open() {
	if j.Tasks != nil {
		return
	}
	j.Tasks = make([]Task, j.N)
	for i := range j.Tasks {
		j.Tasks[i].Machine = None
	}
	for lo := 0; lo < j.N; lo += ChunkTasks {
		c := &Chunk{No: lo / ChunkTasks, Durable: make([]int32, min(ChunkTasks, j.N-lo))}
		for i := range c.Durable {
			c.Durable[i] = None
		}
		j.Chunks = append(j.Chunks, c)
	}
	j.DoneN, j.Runs = 0, 0
	j.In = [Finished + 1]int{Unplanned: j.N}
}

// Left is the number of tasks that are not started.
func (j *Job) Left() int { return j.In[Unplanned] + j.In[Planned] }

// On is the number of tasks that count as being on a machine.
func (j *Job) On() int { return j.In[Launched] + j.In[Recovered] + j.In[OnMachine] }

// ChunkOf finds a task's chunk.
func (j *Job) ChunkOf(t int32) *Chunk { return j.Chunks[int(t)/ChunkTasks] }

// IsDurable tells whether the durable plan names the task's present machine.
func (j *Job) IsDurable(t int32) bool {
	m, c, i := j.Tasks[t].Machine, j.ChunkOf(t), int(t)%ChunkTasks
	return m != None && c.Durable[i] == m && (c.Pending == nil || c.Pending[i] == m) && (c.Doubt == nil || c.Doubt[i] == m)
}

// IsDurablyDone tells whether the task's end stands in the state service.
func (j *Job) IsDurablyDone(t int32) bool {
	return j.ChunkOf(t).Durable[int(t)%ChunkTasks] == DurablyDone
}

// Touch marks a task's chunk as changed.
func (j *Job) Touch(t int32, urgent bool, now time.Duration) {
	c := j.ChunkOf(t)
	if !c.Dirty {
		c.Dirty, c.Since = true, now
	}
	c.Urgent = c.Urgent || urgent
}

// PlanName names a chunk's value in a page.
func (j *Job) PlanName(no int) string { return fmt.Sprintf("%s/%03d", j.ID, no) }

// PlanPages is the prefix of the pages that hold many jobs' plans, since level 2 of the stored state. No job has
// such a name.
const PlanPages = PlanPrefix + "@/"

// planValue is a chunk as stored. Machines are listed once by name; tasks point at them,
// run-length coded as [count, machine] pairs.
type planValue struct {
	Format   int      `json:"v,omitempty"`
	Term     uint64   `json:"term"`
	Done     string   `json:"done"`
	Machines []string `json:"on"`
	Runs     []int32  `json:"runs"`
}

// EncodeChunk writes a chunk, and the machines it names as they will be durable. A
// finished task keeps its machine only as long as it is in the table.
func (j *Job) EncodeChunk(c *Chunk, term uint64, name func(int32) string) (json.RawMessage, []int32) {
	lo := c.No * ChunkTasks
	n := len(c.Durable)
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

// EncodeWithin writes a chunk within a limit, in bytes. Where not all fits, planned tasks are left out, the last ones
// first: they stand on no machine as far as this value says, so they don't start until a later write names them, as
// others have ended. It is false if what has been launched alone takes more.
func (j *Job) EncodeWithin(c *Chunk, term uint64, name func(int32) string, limit int) (json.RawMessage, []int32, bool) {
	raw, snapshot := j.EncodeChunk(c, term, name)
	if len(raw) <= limit {
		return raw, snapshot, true
	}
	var planned []int32
	lo := int32(c.No * ChunkTasks)
	for i := range c.Durable {
		if t := lo + int32(i); j.Tasks[t].State == Planned {
			planned = append(planned, t)
		}
	}
	// As many planned tasks as fit: fewer never take more than one run and one machine each, so the size grows with them.
	fits := sort.Search(len(planned)+1, func(left int) bool {
		raw, snapshot = j.encodeWithout(c, term, name, planned[len(planned)-left:])
		return len(raw) <= limit
	})
	if fits > len(planned) {
		return nil, nil, false
	}
	raw, snapshot = j.encodeWithout(c, term, name, planned[len(planned)-fits:])
	return raw, snapshot, true
}

// encodeWithout writes a chunk as if some tasks had no machine.
func (j *Job) encodeWithout(c *Chunk, term uint64, name func(int32) string, without []int32) (json.RawMessage, []int32) {
	at := make([]int32, len(without))
	for i, t := range without {
		at[i], j.Tasks[t].Machine = j.Tasks[t].Machine, None
	}
	raw, snapshot := j.EncodeChunk(c, term, name)
	for i, t := range without {
		j.Tasks[t].Machine = at[i]
	}
	return raw, snapshot
}

// DecodeChunk reads a chunk back: machine and finished flag of each task.
func DecodeChunk(raw json.RawMessage, n int, index func(string) int32) (on []int32, done []bool, err error) {
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
