package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func machineName(machine int32) string { return fmt.Sprintf("i-%06d", machine) }

// machineIndex is the inverse of machineName.
func machineIndex(name string) int32 {
	var machine int32
	_, _ = fmt.Sscanf(name, "i-%d", &machine)
	return machine
}

// TestSegmentEncodingRoundTrip encodes and decodes segments of random plans. The decoded segment equals the encoded
// one, and the value is at most 8 KiB long.
func TestSegmentEncodingRoundTrip(t *testing.T) {
	const maxValueBytes = 8 << 10
	rng := rand.New(rand.NewPCG(8, 8))
	for range 300 {
		tasks := 1 + rng.IntN(3*SegmentTasks)
		job := &Job{ID: "req-000001", TaskCount: tasks, Spec: gangSpec(t, tasks), TasksByZone: map[int32]int{}}
		job.CreateTasks()
		machines := 1 + rng.IntN(400)
		for i := range job.Tasks {
			switch rng.IntN(3) {
			case 0:
				job.Tasks[i].Machine = int32(rng.IntN(machines))
				job.Tasks[i].State = Planned
			case 1:
				job.Tasks[i].State = Finished
			}
		}
		for _, segment := range job.Segments {
			raw, snapshot := job.EncodeSegment(segment, 7, machineName)
			if len(raw) > maxValueBytes {
				t.Fatalf("encoded segment: got %d bytes, want at most 8 KiB", len(raw))
			}
			checkDecoded(t, job, segment, raw, snapshot)
			decodeDamaged(rng, raw, len(segment.DurableMachines))
		}
	}
}

// checkDecoded decodes a segment's value and compares it with the job's tasks.
func checkDecoded(t *testing.T, job *Job, segment *PlanSegment, raw []byte, snapshot []int32) {
	t.Helper()
	machines, finished, err := DecodeSegment(raw, len(segment.DurableMachines), machineIndex)
	if err != nil {
		t.Fatal(err)
	}
	for i := range machines {
		task := job.Tasks[segment.Number*SegmentTasks+i]
		if finished[i] != (task.State == Finished) || (!finished[i] && machines[i] != task.Machine) {
			t.Fatalf("task %d: decoded machine %d, finished %v, want %+v", i, machines[i], finished[i], task)
		}
		if finished[i] != (snapshot[i] == DurablyDone) {
			t.Fatalf("got snapshot %d for task %d, want DurablyDone if and only if the task is finished", snapshot[i], i)
		}
	}
}

// decodeDamaged decodes a value with random bytes changed. DecodeSegment may accept or reject it, but must not panic.
func decodeDamaged(rng *rand.Rand, raw []byte, tasks int) {
	for range 30 {
		damaged := append([]byte(nil), raw...)
		damaged[rng.IntN(len(damaged))] = byte(32 + rng.IntN(95))
		_, _, _ = DecodeSegment(damaged, tasks, func(string) int32 { return 0 })
	}
}

// TestEncodeSegmentWithinKeepsLaunchedTasks encodes random segments with a limit. The value names the machine of every
// launched task, names no machine for omitted tasks, and omits none if the whole segment fits.
func TestEncodeSegmentWithinKeepsLaunchedTasks(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		job, launched := randomSegmentJob(rng)
		segment := job.Segments[0]
		whole, _ := job.EncodeSegment(segment, 7, machineName)
		limit := 200 + rng.IntN(4000)
		raw, snapshot, ok := job.EncodeSegmentWithin(segment, 7, machineName, limit)
		if !ok {
			if len(whole) <= limit || launched == 0 {
				t.Fatalf("seed %d: got no value for a limit of %d bytes with %d launched tasks, want a value",
					seed, limit, launched)
			}
			continue
		}
		if len(raw) > limit {
			t.Fatalf("seed %d: got %d bytes, want at most %d", seed, len(raw), limit)
		}
		machines, finished, err := DecodeSegment(raw, job.TaskCount, machineIndex)
		if err != nil {
			t.Fatal(err)
		}
		omitted := 0
		for i := range job.Tasks {
			task := &job.Tasks[i]
			if finished[i] != (task.State == Finished) || !finished[i] && snapshot[i] != machines[i] {
				t.Fatalf("seed %d, task %d: decoded machine %d, finished %v, snapshot %d: they contradict one another or the task",
					seed, i, machines[i], finished[i], snapshot[i])
			}
			if task.State == OnMachine && machines[i] != task.Machine {
				t.Fatalf("seed %d: task %d is on machine %d, but the value names %d", seed, i, task.Machine, machines[i])
			}
			if task.State == Planned && machines[i] == None {
				omitted++
			}
			if task.State == Planned && task.Machine == None {
				t.Fatalf("seed %d: planned task %d has no machine after encoding, want its machine restored", seed, i)
			}
		}
		if len(whole) <= limit && omitted > 0 {
			t.Fatalf("seed %d: got %d omitted tasks, want none, since the whole segment fits", seed, omitted)
		}
	}
}

// randomSegmentJob returns a job of one segment with tasks in random states, and the number of tasks on machines.
func randomSegmentJob(rng *rand.Rand) (job *Job, launched int) {
	job = &Job{ID: "req-000001", TaskCount: 1 + rng.IntN(SegmentTasks)}
	job.CreateTasks()
	for i := range job.Tasks {
		task := &job.Tasks[i]
		task.Machine = int32(rng.IntN(400))
		task.State = Planned
		switch rng.IntN(4) {
		case 0:
			task.State = OnMachine
			launched++
		case 1:
			task.State = Finished
			task.Machine = None
		}
	}
	return job, launched
}
