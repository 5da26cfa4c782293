package dependencies

import (
	"slices"
	"testing"

	"github.com/harewalk/harewalk/internal/jobs"
)

// A predecessor about which nothing was read isn't searched for any more once no live job names it.
func TestUnknownPredecessorIsForgottenWithItsSuccessor(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Pending, newSpec(2, 1))
	if got := c.unknown(); !slices.Equal(got, []string{jobID(1)}) {
		t.Fatalf("unknown %v", got)
	}
	c.readNew(jobs.Cancelled, newSpec(2, 1))
	if got := c.unknown(); len(got) != 0 || c.graph.Len() != 0 {
		t.Errorf("unknown %v, %d nodes", got, c.graph.Len())
	}
}

// A live job that left the followed keys unseen, and that no other job names, isn't searched for.
func TestRemovedJobWithoutSuccessorsIsForgotten(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Pending, newSpec(2, 1))
	c.readNewDeletion(2)
	if got := c.unknown(); len(got) != 0 {
		t.Errorf("unknown %v", got)
	}
}

// A controller that doesn't lead never visits the doomed jobs: it keeps none that has ended all the same.
func TestEndedDoomedJobsAreNotKept(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Cancelled, newSpec(1))
	for number := range 10 {
		c.readNew(jobs.Pending, newSpec(number+2, 1))
		c.readNew(jobs.Cancelled, newSpec(number+2, 1))
	}
	if kept := c.graph.doomed.Len(); kept != 0 {
		t.Errorf("%d ended jobs are kept", kept)
	}
}

// A job that is read a second time after it had left the followed keys is listed once.
func TestJobIsVisitedOnce(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Pending, newSpec(2, 1))
	c.readNew(jobs.Pending, newSpec(1))
	c.readNewDeletion(1)
	if got := c.unknown(); !slices.Equal(got, []string{jobID(1)}) {
		t.Errorf("unknown %v", got)
	}
}

// A live job leaves the followed keys unseen while two of its predecessors, of which one follows the other, have their
// priority from it.
func TestRemovedJobTakesBackItsPriority(t *testing.T) {
	c := newController(t)
	first := c.readNew(jobs.Pending, newSpec(2))
	second := c.readNew(jobs.Pending, newSpec(1, 2))
	last := newSpec(3, 1, 2)
	last.Priority = "prod"
	c.readNew(jobs.Pending, last)
	if first.Priority != 3 || second.Priority != 3 {
		t.Fatalf("priorities %d and %d", first.Priority, second.Priority)
	}
	c.readNewDeletion(3)
	if first.Priority != 0 || second.Priority != 0 {
		t.Errorf("priorities %d and %d", first.Priority, second.Priority)
	}
}

// A live job that was archived elsewhere is kept in the table while its planner holds tasks of it. A job that names it
// then waits until its end is known, and is released by that.
func TestArchivedJobThatIsStillPlannedIsUnknown(t *testing.T) {
	c := newController(t)
	c.readNew(jobs.Pending, newSpec(1)).CreateTasks()
	c.readNewDeletion(1)
	c.readNew(jobs.Pending, newSpec(2, 1))
	if state := c.graph.State(jobID(1)); state != Unknown || !slices.Equal(c.unknown(), []string{jobID(1)}) {
		t.Errorf("%v, and %v are unknown", state, c.unknown())
	}
	c.graph.HandleArchived(c.now, jobID(1), jobs.Done)
	if !slices.Equal(c.released, []string{jobID(2)}) {
		t.Errorf("released %v", c.released)
	}
}

// A job without predecessors is ready from its submission on, whether it was read before its successor or after it.
func TestReadingOrderDoesNotChangeWhenAJobIsReady(t *testing.T) {
	for _, order := range [][]*jobs.Spec{
		{newSpec(1), newSpec(2, 1)},
		{newSpec(2, 1), newSpec(1)},
	} {
		c := newController(t)
		for _, spec := range order {
			c.readNew(jobs.Pending, spec)
		}
		if first := c.table.Get(jobID(1)); first.ReadyAt() != first.SubmittedAt {
			t.Errorf("ready at %v, submitted at %v", first.ReadyAt(), first.SubmittedAt)
		}
	}
}
