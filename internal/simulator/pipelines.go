package simulator

import (
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// This file checks the rules of pipelines, which are jobs that follow others, by the simulator's own truth: what users
// submitted and received, and which tasks have completed on machines.

// States of a job in answers to users that may still change.
const (
	statePending = "pending"
	stateRunning = "running"
)

// pipelineRecords is what is recorded of jobs that follow others.
type pipelineRecords struct {
	// successors lists the submitted jobs that name a job as predecessor.
	successors map[string][]string
	// cancelledAbove is, by job, when a user first received that a job before it, directly or through others, is
	// cancelled.
	cancelledAbove map[string]time.Duration
}

func newPipelineRecords() pipelineRecords {
	return pipelineRecords{
		successors:     map[string][]string{},
		cancelledAbove: map[string]time.Duration{},
	}
}

// addToPipelines records the predecessors of a job that is submitted for the first time. The caller holds the mutex.
func (sim *Simulation) addToPipelines(spec *jobs.Spec) {
	records := &sim.work.pipelines
	for _, predecessor := range spec.Follows {
		records.successors[predecessor] = append(records.successors[predecessor], spec.ID)
		if at, ok := sim.firstCancellation(predecessor); ok {
			records.addCancellation(spec.ID, at)
		}
	}
}

// addCancellation records that a job before this one was cancelled, unless an earlier cancellation is recorded. It
// returns whether none was recorded before.
func (r *pipelineRecords) addCancellation(job string, at time.Duration) (isFirst bool) {
	earlier, ok := r.cancelledAbove[job]
	if !ok || at < earlier {
		r.cancelledAbove[job] = at
	}
	return !ok
}

// firstCancellation returns when a user first received that a job, or one before it, is cancelled.
func (sim *Simulation) firstCancellation(job string) (at time.Duration, ok bool) {
	at, ok = sim.work.cancelledAt[job]
	above, hasAbove := sim.work.pipelines.cancelledAbove[job]
	if hasAbove && (!ok || above < at) {
		return above, true
	}
	return at, ok
}

// cancelSuccessors records for all jobs after one, directly or through others, that it is cancelled.
func (sim *Simulation) cancelSuccessors(job string, at time.Duration) {
	records := &sim.work.pipelines
	open := []string{job}
	for len(open) > 0 {
		next := open[len(open)-1]
		open = open[:len(open)-1]
		for _, successor := range records.successors[next] {
			if records.addCancellation(successor, at) {
				open = append(open, successor)
			}
		}
	}
}

// unfinishedPredecessor returns a job that has to be done before a job starts and isn't, by the tasks that have
// completed on machines; "" if there is none.
func (sim *Simulation) unfinishedPredecessor(spec *jobs.Spec) string {
	for _, predecessor := range spec.Follows {
		former := sim.work.specs[predecessor]
		if former == nil || !sim.allDone(predecessor, former.Tasks) {
			return predecessor
		}
	}
	return ""
}

// checkPredecessorsDone checks, as a task starts, that all jobs that its job follows are done.
func (sim *Simulation) checkPredecessorsDone(machine *Machine, task *workerTask) {
	if predecessor := sim.unfinishedPredecessor(task.spec); predecessor != "" {
		sim.violate("too_early: %s starts on %s and %s is not done", task.name, machine.Name, predecessor)
	}
}

// checkNotOrphaned checks that an answer received now doesn't call a job pending or running for too long after a user
// received that a job before it is cancelled.
func (sim *Simulation) checkNotOrphaned(job, state string) {
	at, ok := sim.work.pipelines.cancelledAbove[job]
	if !ok || state != statePending && state != stateRunning {
		return
	}
	if since := sim.now() - at; since > jobs.Seconds(sim.cfg.Workers.CancelS) {
		sim.violate("orphaned: %s is called %s %v after the cancellation of a job before it", job, state, since)
	}
}

// checkDirectAnswer is checkNotOrphaned in real time, where answers don't pass through Request.
func (sim *Simulation) checkDirectAnswer(job, state string) {
	if sim.virtual != nil {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.checkNotOrphaned(job, state)
}

// checkPredecessorsKnown checks the answer to a submission with predecessors: it is refused if one of them was never
// submitted, and is not refused if all of them were accepted before it was sent.
func (sim *Simulation) checkPredecessorsKnown(about userRequest, sentAt time.Duration, status int) {
	spec := sim.work.specs[about.job]
	if !about.submits || spec == nil || len(spec.Follows) == 0 {
		return
	}
	switch status {
	case http.StatusOK, http.StatusCreated:
		for _, predecessor := range spec.Follows {
			if sim.work.specs[predecessor] == nil {
				sim.violate("accepted: %s follows %s, which was never submitted", spec.ID, predecessor)
			}
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if sim.canRun(spec) && sim.allAccepted(spec.Follows, sentAt) {
			sim.violate("refused: %s is answered %d, and all that it follows were accepted", spec.ID, status)
		}
	}
}

// allAccepted reports whether users had received that each of the jobs is accepted before a moment.
func (sim *Simulation) allAccepted(ids []string, before time.Duration) bool {
	for _, id := range ids {
		if answers := sim.users.jobs[id]; answers == nil || !answers.accepted || answers.acceptedAt >= before {
			return false
		}
	}
	return true
}

// MayBeCancelled reports whether a job may be called cancelled: somebody asked to cancel it, or a job before it,
// directly or through others, that no user received as done.
func (sim *Simulation) MayBeCancelled(job string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.mayBeCancelled(job)
}

func (sim *Simulation) mayBeCancelled(job string) bool {
	return sim.users.cancelRequested[job] || sim.mayBeCancelledByOther(job)
}

// mayBeCancelledByOther reports whether the cancellation of a job before this one may have been asked for and is not
// known to have come too late.
func (sim *Simulation) mayBeCancelledByOther(job string) bool {
	seen := map[string]bool{job: true}
	open := []string{job}
	for len(open) > 0 {
		spec := sim.work.specs[open[len(open)-1]]
		open = open[:len(open)-1]
		if spec == nil {
			continue
		}
		for _, predecessor := range spec.Follows {
			if seen[predecessor] || sim.receivedDone(predecessor) {
				continue
			}
			if sim.users.cancelRequested[predecessor] {
				return true
			}
			seen[predecessor] = true
			open = append(open, predecessor)
		}
	}
	return false
}

// receivedDone reports whether a user received that a job is done.
func (sim *Simulation) receivedDone(job string) bool {
	answers := sim.users.jobs[job]
	return answers != nil && answers.final == stateDone
}

// checkSuccessorsGoOn checks, as a user first receives that a job is done, that no job that names it was called
// cancelled without another reason.
func (sim *Simulation) checkSuccessorsGoOn(job string) {
	for _, successor := range sim.work.pipelines.successors[job] {
		answers := sim.users.jobs[successor]
		if answers != nil && answers.final == stateCancelled && !sim.mayBeCancelled(successor) {
			sim.violate("went_back: %s is called cancelled, and %s is done", successor, job)
		}
	}
}
