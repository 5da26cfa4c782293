package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A chunk that a value can't hold leaves planned tasks out, never one that was launched; what is left out is on no machine
// as far as the value says, and as much is kept as fits.
func TestEncodeWithin(t *testing.T) {
	name := func(m int32) string { return fmt.Sprintf("i-%06d", m) }
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		job := &Job{ID: "req-000001", TaskCount: 1 + rng.IntN(SegmentTasks)}
		job.OpenTasks()
		launched := 0
		for i := range job.Tasks {
			job.Tasks[i].Machine = int32(rng.IntN(400))
			job.Tasks[i].State = Planned
			switch rng.IntN(4) {
			case 0:
				job.Tasks[i].State = OnMachine
				launched++
			case 1:
				job.Tasks[i].State, job.Tasks[i].Machine = Finished, None
			}
		}
		segment := job.Segments[0]
		whole, _ := job.EncodeSegment(segment, 7, name)
		limit := 200 + rng.IntN(4000)
		raw, snapshot, ok := job.EncodeSegmentWithin(segment, 7, name, limit)
		if !ok {
			if len(whole) <= limit || launched == 0 {
				t.Fatalf("seed %d: nothing is written within %d bytes, %d tasks were launched", seed, limit, launched)
			}
			continue
		}
		if len(raw) > limit {
			t.Fatalf("seed %d: %d bytes, and the limit is %d", seed, len(raw), limit)
		}
		on, done, err := DecodeSegment(raw, job.TaskCount, func(n string) int32 { var m int32; _, _ = fmt.Sscanf(n, "i-%d", &m); return m })
		if err != nil {
			t.Fatal(err)
		}
		left := 0
		for i := range job.Tasks {
			task := &job.Tasks[i]
			if done[i] != (task.State == Finished) || !done[i] && snapshot[i] != on[i] {
				t.Fatalf("seed %d, task %d: decoded %d, %v, snapshot %d", seed, i, on[i], done[i], snapshot[i])
			}
			if task.State == OnMachine && on[i] != task.Machine {
				t.Fatalf("seed %d: task %d runs on machine %d, and the value says %d", seed, i, task.Machine, on[i])
			}
			if task.State == Planned && on[i] == None {
				left++
			}
			if task.State == Planned && task.Machine == None {
				t.Fatalf("seed %d: task %d has lost its machine", seed, i)
			}
		}
		if len(whole) <= limit && left > 0 {
			t.Fatalf("seed %d: %d tasks are left out of what fits", seed, left)
		}
	}
}
