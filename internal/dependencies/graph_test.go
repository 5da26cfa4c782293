package dependencies

import (
	"slices"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
)

// An Unknown predecessor is removed from the graph when the last live job that names it has ended.
func TestUnknownPredecessorIsRemovedWithItsSuccessor(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Pending, newSpec(2, 1))
	if got := c.unknown(); !slices.Equal(got, []string{jobID(1)}) {
		t.Fatalf("unknown jobs before the end %v, want job 1", got)
	}
	c.readNew(jobs.Cancelled, newSpec(2, 1))
	if got := c.unknown(); len(got) != 0 || c.graph.Len() != 0 {
		t.Errorf("after the end: unknown jobs %v, %d nodes; want none", got, c.graph.Len())
	}
}

// If a live job's record is removed from the watched keys before its end was read, and no other job names the job, it
// isn't listed as Unknown.
func TestRemovedJobWithoutSuccessorsIsNotUnknown(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Pending, newSpec(2, 1))
	c.readNewDeletion(2)
	if got := c.unknown(); len(got) != 0 {
		t.Errorf("unknown jobs %v, want none", got)
	}
}

// A controller that isn't the leader never visits the CancelPending jobs. Ended jobs must leave that list all the
// same, or it would grow without bound.
func TestEndedJobsLeaveCancelPendingList(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Cancelled, newSpec(1))
	for number := range 10 {
		c.readNew(jobs.Pending, newSpec(number+2, 1))
		c.readNew(jobs.Cancelled, newSpec(number+2, 1))
	}
	if listed := c.graph.cancelPending.Len(); listed != 0 {
		t.Errorf("%d ended jobs in the list of CancelPending jobs, want 0", listed)
	}
}

// A job that was Unknown, then live, and is Unknown again after its record was removed is listed once.
func TestUnknownJobIsListedOnce(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Pending, newSpec(2, 1))
	c.readNew(jobs.Pending, newSpec(1))
	c.readNewDeletion(1)
	if got := c.unknown(); !slices.Equal(got, []string{jobID(1)}) {
		t.Errorf("unknown jobs %v, want job 1 once", got)
	}
}

// Two predecessors of a live job, one of which depends on the other, have that job's priority. When the job's record
// is removed before its end was read, both get their own priorities back.
func TestRemovedJobNoLongerRaisesPriorities(t *testing.T) {
	c := newController(t)
	first := c.readNew(jobs.Pending, newSpec(2))
	second := c.readNew(jobs.Pending, newSpec(1, 2))
	last := newSpec(3, 1, 2)
	last.Priority = "prod"
	c.readNew(jobs.Pending, last)
	if first.Priority != 3 || second.Priority != 3 {
		t.Fatalf("priorities %d and %d with the successor, want 3 and 3", first.Priority, second.Priority)
	}
	c.readNewDeletion(3)
	if first.Priority != 0 || second.Priority != 0 {
		t.Errorf("priorities %d and %d after the successor's removal, want 0 and 0", first.Priority, second.Priority)
	}
}

// A live job that another controller has archived remains in the table while this controller's planner has tasks of
// it. A job that names it as a predecessor stays blocked until the archive entry is read, and is released then.
func TestArchivedJobThatIsStillPlannedIsUnknown(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Pending, newSpec(1)).CreateTasks()
	c.readNewDeletion(1)
	c.readNew(jobs.Pending, newSpec(2, 1))
	if state := c.graph.State(jobID(1)); state != Unknown || !slices.Equal(c.unknown(), []string{jobID(1)}) {
		t.Errorf("job 1 is %v, unknown jobs %v; want job 1 unknown", state, c.unknown())
	}
	c.graph.HandleArchived(c.now, jobID(1), jobs.Done)
	if !slices.Equal(c.released, []string{jobID(2)}) {
		t.Errorf("released jobs %v, want job 2", c.released)
	}
}

// A job without predecessors is ready at its submission time, whether its record is read before or after that of its
// successor.
func TestReadyTimeDoesNotDependOnReadOrder(t *testing.T) {
	for _, order := range [][]*jobs.Spec{
		{newSpec(1), newSpec(2, 1)},
		{newSpec(2, 1), newSpec(1)},
	} {
		c := newController(t)
		for _, spec := range order {
			c.readNew(jobs.Pending, spec)
		}
		if first := c.table.Get(jobID(1)); first.ReadyAt() != first.SubmittedAt {
			t.Errorf("job 1 ready at %v, want its submission time %v", first.ReadyAt(), first.SubmittedAt)
		}
	}
}
