package jobs

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/harewalk/harewalk/internal/rollout"
)

// newestSegmentFormat is the newest format of plan segments that this release reads.
const newestSegmentFormat = 1

// segmentRecord is the stored form of a plan segment.
type segmentRecord struct {
	Format   int      `json:"v,omitempty"` // 0 means 1
	Term     uint64   `json:"term"`        // term in which the record was written
	Done     string   `json:"done"`        // bitmap of the finished tasks, in base64
	Machines []string `json:"on"`          // names of the machines, each once
	// Runs is the run-length encoded machine of each task: pairs of a number of tasks and an index in Machines, or
	// noMachine.
	Runs []int32 `json:"runs"`
}

// noMachine is the entry in segmentRecord.Runs for tasks without a machine.
const noMachine int32 = -1

// appendTask appends the next task's machine, as an index in Machines or noMachine, to Runs.
func (r *segmentRecord) appendTask(machine int32) {
	last := len(r.Runs)
	if last > 0 && r.Runs[last-1] == machine {
		r.Runs[last-2]++
		return
	}
	r.Runs = append(r.Runs, 1, machine)
}

// EncodeSegment returns the stored form of a plan segment, and a snapshot: the value of DurableMachines once the stored
// form is written. name maps a machine's index to its name. In the stored form finished tasks have no machine.
func (j *Job) EncodeSegment(
	segment *PlanSegment,
	term uint64,
	name func(machine int32) string,
) (json.RawMessage, []int32) {
	first := segment.Number * SegmentTasks
	count := len(segment.DurableMachines)
	finished := make([]byte, bitmapBytes(count))
	snapshot := make([]int32, count)
	record := segmentRecord{Term: term}
	recordIndices := map[int32]int32{} // maps a machine to its index in record.Machines
	for i := range count {
		task := &j.Tasks[first+i]
		if task.State == Finished {
			setBit(finished, i)
			snapshot[i] = DurablyDone
			record.appendTask(noMachine)
			continue
		}
		snapshot[i] = task.Machine
		if task.Machine == None {
			record.appendTask(noMachine)
			continue
		}
		index, listed := recordIndices[task.Machine]
		if !listed {
			index = int32(len(record.Machines))
			recordIndices[task.Machine] = index
			record.Machines = append(record.Machines, name(task.Machine))
		}
		record.appendTask(index)
	}
	record.Done = base64.StdEncoding.EncodeToString(finished)
	raw, _ := json.Marshal(record) // can't fail: all field types are encodable
	return raw, snapshot
}

// EncodeSegmentWithin is like EncodeSegment, but limits the size of the stored form to limit bytes. If the segment is
// larger, the stored form names no machine for some of the planned tasks, the last ones first. These tasks can't start
// until a later write, after other tasks have ended, names a machine for them. The last result is false if the stored
// form exceeds the limit even without any planned task.
func (j *Job) EncodeSegmentWithin(
	segment *PlanSegment,
	term uint64,
	name func(machine int32) string,
	limit int,
) (json.RawMessage, []int32, bool) {
	raw, snapshot := j.EncodeSegment(segment, term, name)
	if len(raw) <= limit {
		return raw, snapshot, true
	}
	planned := j.plannedTasks(segment)
	// Omitting a task saves its machine and adds at most one run, so the size falls with the number of omitted tasks.
	omitted := sort.Search(len(planned)+1, func(n int) bool {
		raw, _ := j.encodeWithout(segment, term, name, planned[len(planned)-n:])
		return len(raw) <= limit
	})
	if omitted > len(planned) {
		return nil, nil, false
	}
	raw, snapshot = j.encodeWithout(segment, term, name, planned[len(planned)-omitted:])
	return raw, snapshot, true
}

// plannedTasks returns the indices of a segment's tasks in state Planned.
func (j *Job) plannedTasks(segment *PlanSegment) []int32 {
	var planned []int32
	first := int32(segment.Number * SegmentTasks)
	for i := range segment.DurableMachines {
		taskIndex := first + int32(i)
		if j.Tasks[taskIndex].State == Planned {
			planned = append(planned, taskIndex)
		}
	}
	return planned
}

// encodeWithout encodes a segment as if the omitted tasks, given by index in the job, had no machine.
func (j *Job) encodeWithout(
	segment *PlanSegment,
	term uint64,
	name func(machine int32) string,
	omitted []int32,
) (json.RawMessage, []int32) {
	machines := make([]int32, len(omitted))
	for i, taskIndex := range omitted {
		machines[i] = j.Tasks[taskIndex].Machine
		j.Tasks[taskIndex].Machine = None
	}
	raw, snapshot := j.EncodeSegment(segment, term, name)
	for i, taskIndex := range omitted {
		j.Tasks[taskIndex].Machine = machines[i]
	}
	return raw, snapshot
}

// DecodeSegment decodes the stored form of a segment of n tasks. It returns the machine of each task, and whether the
// task is finished. index maps a machine's name to its index. The error is a *rollout.NewerFormatError for a newer
// format and a *DamagedSegmentError for inconsistent contents.
func DecodeSegment(
	raw json.RawMessage,
	n int,
	index func(name string) int32,
) (machines []int32, finished []bool, err error) {
	var record segmentRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return nil, nil, err
	}
	if record.Format > newestSegmentFormat {
		return nil, nil, &rollout.NewerFormatError{Record: "plan", Format: record.Format}
	}
	finished, err = record.decodeFinished(n)
	if err != nil {
		return nil, nil, err
	}
	machines, err = record.decodeMachines(n, index)
	if err != nil {
		return nil, nil, err
	}
	return machines, finished, nil
}

// decodeFinished returns the first n bits of the bitmap: whether each task is finished.
func (r *segmentRecord) decodeFinished(n int) ([]bool, error) {
	bitmap, err := base64.StdEncoding.DecodeString(r.Done)
	if err != nil {
		return nil, fmt.Errorf("bitmap of %d decoded bytes for %d tasks: %w", len(bitmap), n, err)
	}
	if len(bitmap) < bitmapBytes(n) {
		return nil, damagedSegment("bitmap of %d bytes for %d tasks", len(bitmap), n)
	}
	finished := make([]bool, n)
	for i := range finished {
		finished[i] = bit(bitmap, i)
	}
	return finished, nil
}

// decodeMachines returns the machine of each task from the runs, which must cover exactly n tasks.
func (r *segmentRecord) decodeMachines(n int, index func(name string) int32) ([]int32, error) {
	machines := make([]int32, 0, n)
	for i := 0; i+1 < len(r.Runs); i += 2 {
		length, recordIndex := r.Runs[i], r.Runs[i+1]
		machine := None
		if recordIndex >= 0 {
			if int(recordIndex) >= len(r.Machines) {
				return nil, damagedSegment("run refers to machine %d, but the segment lists %d", recordIndex, len(r.Machines))
			}
			machine = index(r.Machines[recordIndex])
		}
		for range length {
			if len(machines) >= n {
				return nil, damagedSegment("runs cover more than %d tasks", n)
			}
			machines = append(machines, machine)
		}
	}
	if len(machines) != n {
		return nil, damagedSegment("runs cover only %d of %d tasks", len(machines), n)
	}
	return machines, nil
}

// bitmapBytes returns the size of a bitmap of n bits, in bytes.
func bitmapBytes(n int) int { return (n + 7) / 8 }

func setBit(bitmap []byte, i int) { bitmap[i/8] |= 1 << (i % 8) }

func bit(bitmap []byte, i int) bool { return bitmap[i/8]&(1<<(i%8)) != 0 }
