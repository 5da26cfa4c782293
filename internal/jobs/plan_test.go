package jobs

import "testing"

// TestIsDurableWithOutstandingWrites guards against starting a task on a machine that an outstanding write may replace.
// An abandoned write that moves a task may still become durable, and the next leader would follow that plan while the
// task runs on the machine of the older plan. Once a later write of the key has an outcome, earlier writes don't count.
func TestIsDurableWithOutstandingWrites(t *testing.T) {
	job := &Job{ID: "req-000001", TaskCount: 2}
	job.CreateTasks()
	segment := job.Segments[0]
	for i := range job.Tasks {
		job.Tasks[i].Machine = 4
		segment.DurableMachines[i] = 4
	}
	if !job.IsDurable(0) || !job.IsDurable(1) {
		t.Fatal("IsDurable is false for a task whose machine the stored plan names, want true")
	}

	segment.AddIndeterminate([]int32{7, 4})
	if job.IsDurable(0) || !job.IsDurable(1) {
		t.Errorf("indeterminate write moves task 0: IsDurable of both tasks: got %v, %v, want false, true",
			job.IsDurable(0), job.IsDurable(1))
	}
	job.Tasks[0].Machine = 7
	if job.IsDurable(0) {
		t.Error("IsDurable is true for a machine that only an indeterminate write names, want false")
	}

	segment.AddIndeterminate([]int32{4, 9})
	for _, machine := range []int32{4, 7} {
		job.Tasks[0].Machine = machine
		if job.IsDurable(0) {
			t.Errorf("two indeterminate writes conflict: IsDurable is true for machine %d, want false", machine)
		}
	}

	segment.Indeterminate = nil
	segment.InFlight = []int32{4, 5}
	job.Tasks[0].Machine = 4
	if !job.IsDurable(0) || job.IsDurable(1) {
		t.Errorf("write in flight moves task 1: IsDurable of both tasks: got %v, %v, want true, false",
			job.IsDurable(0), job.IsDurable(1))
	}
}
