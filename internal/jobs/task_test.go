package jobs

import "testing"

// TestSetTaskStateRejectsInvalidTransitions checks transitions that are allowed and some that are not.
func TestSetTaskStateRejectsInvalidTransitions(t *testing.T) {
	job := &Job{ID: "req-000001", TaskCount: 1, Spec: gangSpec(t, 1), TasksByZone: map[int32]int{}}
	job.CreateTasks()
	if job.SetTaskState(0, Launched) == nil {
		t.Fatal("SetTaskState from unplanned to launched: got no error, want one")
	}
	if err := job.SetTaskState(0, OnMachine); err != nil {
		t.Fatal(err)
	}
	if err := job.SetTaskState(0, Finished); err != nil || job.FinishedTasks != 1 {
		t.Fatal(err, job.FinishedTasks)
	}
	for state := Unplanned; state <= Finished; state++ {
		if job.SetTaskState(0, state) == nil {
			t.Fatalf("SetTaskState from finished to %v: got no error, want one", state)
		}
	}
}
