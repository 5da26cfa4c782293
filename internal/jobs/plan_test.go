package jobs

import "testing"

// TestIndeterminateWritesPreventStarts: a write that moves a task and was given up may still become durable. The
// task must not start where the older plan has it, or the next owner would take the plan that became durable for
// the truth. Once a later write of the key has an outcome, the earlier ones don't count any more.
func TestIndeterminateWritesPreventStarts(t *testing.T) {
	job := &Job{ID: "req-000001", TaskCount: 2}
	job.CreateTasks()
	segment := job.Segments[0]
	for i := range job.Tasks {
		job.Tasks[i].Machine = 4
		segment.DurableMachines[i] = 4
	}
	if !job.IsDurable(0) || !job.IsDurable(1) {
		t.Fatal("a durable plan doesn't count")
	}

	segment.AddIndeterminate([]int32{7, 4})
	if job.IsDurable(0) || !job.IsDurable(1) {
		t.Errorf("an indeterminate write moves the first task: durable %v, %v", job.IsDurable(0), job.IsDurable(1))
	}
	job.Tasks[0].Machine = 7
	if job.IsDurable(0) {
		t.Error("a machine that only an indeterminate write names counts as durable")
	}

	segment.AddIndeterminate([]int32{4, 9})
	for _, machine := range []int32{4, 7} {
		job.Tasks[0].Machine = machine
		if job.IsDurable(0) {
			t.Errorf("two indeterminate writes conflict, and machine %d counts as durable", machine)
		}
	}

	segment.Indeterminate = nil
	segment.InFlight = []int32{4, 5}
	job.Tasks[0].Machine = 4
	if !job.IsDurable(0) || job.IsDurable(1) {
		t.Errorf("a write in flight moves the second task: durable %v, %v", job.IsDurable(0), job.IsDurable(1))
	}
}
