package jobs

import "testing"

// TestTaskTransitionsAreGuarded: only the listed transitions of a task's state are possible.
func TestTaskTransitionsAreGuarded(t *testing.T) {
	job := &Job{ID: "req-000001", TaskCount: 1, Spec: gangSpec(t, 1), TasksByZone: map[int32]int{}}
	job.CreateTasks()
	if job.SetTaskState(0, Launched) == nil {
		t.Fatal("an unplanned task was launched")
	}
	if err := job.SetTaskState(0, OnMachine); err != nil {
		t.Fatal(err)
	}
	if err := job.SetTaskState(0, Finished); err != nil || job.FinishedTasks != 1 {
		t.Fatal(err, job.FinishedTasks)
	}
	for state := Unplanned; state <= Finished; state++ {
		if job.SetTaskState(0, state) == nil {
			t.Fatalf("a finished task became %v", state)
		}
	}
}
