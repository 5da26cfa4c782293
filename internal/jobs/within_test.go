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
		j := &Job{ID: "req-000001", TaskCount: 1 + rng.IntN(SegmentTasks)}
		j.OpenTasks()
		launched := 0
		for i := range j.Tasks {
			j.Tasks[i].Machine = int32(rng.IntN(400))
			j.Tasks[i].State = Planned
			switch rng.IntN(4) {
			case 0:
				j.Tasks[i].State = OnMachine
				launched++
			case 1:
				j.Tasks[i].State, j.Tasks[i].Machine = Finished, None
			}
		}
		c := j.Segments[0]
		whole, _ := j.EncodeSegment(c, 7, name)
		limit := 200 + rng.IntN(4000)
		raw, snapshot, ok := j.EncodeSegmentWithin(c, 7, name, limit)
		if !ok {
			if len(whole) <= limit || launched == 0 {
				t.Fatalf("seed %d: nothing is written within %d bytes, %d tasks were launched", seed, limit, launched)
			}
			continue
		}
		if len(raw) > limit {
			t.Fatalf("seed %d: %d bytes, and the limit is %d", seed, len(raw), limit)
		}
		on, done, err := DecodeSegment(raw, j.TaskCount, func(n string) int32 { var m int32; _, _ = fmt.Sscanf(n, "i-%d", &m); return m })
		if err != nil {
			t.Fatal(err)
		}
		left := 0
		for i := range j.Tasks {
			k := &j.Tasks[i]
			if done[i] != (k.State == Finished) || !done[i] && snapshot[i] != on[i] {
				t.Fatalf("seed %d, task %d: decoded %d, %v, snapshot %d", seed, i, on[i], done[i], snapshot[i])
			}
			if k.State == OnMachine && on[i] != k.Machine {
				t.Fatalf("seed %d: task %d runs on machine %d, and the value says %d", seed, i, k.Machine, on[i])
			}
			if k.State == Planned && on[i] == None {
				left++
			}
			if k.State == Planned && k.Machine == None {
				t.Fatalf("seed %d: task %d has lost its machine", seed, i)
			}
		}
		if len(whole) <= limit && left > 0 {
			t.Fatalf("seed %d: %d tasks are left out of what fits", seed, left)
		}
	}
}
