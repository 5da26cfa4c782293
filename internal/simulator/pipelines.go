package simulator

import (
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// This file checks the rules of pipelines, which are jobs that depend on other jobs. The checks use only the
// simulator's own records: the jobs that users submitted, the answers that they received, and the tasks that completed
// on machines.

// States of a job in answers to users that aren't final.
const (
	statePending = "pending"
	stateRunning = "running"
)

// pipelineRecords records the dependencies between jobs.
type pipelineRecords struct {
	// successors lists, by job, the submitted jobs that name the job as a predecessor.
	successors map[string][]string
	// ancestorCancelledAt is, by job, the time at which a user first received the cancellation of one of its
	// ancestors: its direct and indirect predecessors.
	ancestorCancelledAt map[string]time.Duration
}

func newPipelineRecords() pipelineRecords {
	return pipelineRecords{
		successors:          map[string][]string{},
		ancestorCancelledAt: map[string]time.Duration{},
	}
}

// addToPipelines records the predecessors of a job that is submitted for the first time. The caller holds the mutex.
func (sim *Simulation) addToPipelines(spec *jobs.Spec) {
	records := &sim.records.pipelines
	for _, predecessor := range spec.Follows {
		records.successors[predecessor] = append(records.successors[predecessor], spec.ID)
		if at, ok := sim.firstCancellation(predecessor); ok {
			records.addAncestorCancellation(spec.ID, at)
		}
	}
}

// addAncestorCancellation records the cancellation of an ancestor of the job, unless an earlier one is recorded. It
// returns whether no cancellation was recorded before.
func (r *pipelineRecords) addAncestorCancellation(job string, at time.Duration) (isFirst bool) {
	earlier, ok := r.ancestorCancelledAt[job]
	if !ok || at < earlier {
		r.ancestorCancelledAt[job] = at
	}
	return !ok
}

// firstCancellation returns the time at which a user first received the cancellation of a job or of one of its
// ancestors; false if there was none.
func (sim *Simulation) firstCancellation(job string) (at time.Duration, ok bool) {
	at, ok = sim.records.cancelledAt[job]
	ancestorAt, hasAncestor := sim.records.pipelines.ancestorCancelledAt[job]
	if hasAncestor && (!ok || ancestorAt < at) {
		return ancestorAt, true
	}
	return at, ok
}

// recordSuccessorsCancelled records a job's cancellation for all its direct and indirect successors.
func (sim *Simulation) recordSuccessorsCancelled(job string, at time.Duration) {
	records := &sim.records.pipelines
	stack := []string{job}
	for len(stack) > 0 {
		next := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, successor := range records.successors[next] {
			if records.addAncestorCancellation(successor, at) {
				stack = append(stack, successor)
			}
		}
	}
}

// unfinishedPredecessor returns a predecessor of a job that isn't done according to the tasks that have completed on
// machines, "" if all predecessors are done.
func (sim *Simulation) unfinishedPredecessor(spec *jobs.Spec) string {
	for _, predecessor := range spec.Follows {
		predecessorSpec := sim.records.specs[predecessor]
		if predecessorSpec == nil || !sim.allDone(predecessor, predecessorSpec.Tasks) {
			return predecessor
		}
	}
	return ""
}

// checkPredecessorsDone checks, when a task starts, that all predecessors of its job are done.
func (sim *Simulation) checkPredecessorsDone(machine *Machine, task *workerTask) {
	if predecessor := sim.unfinishedPredecessor(task.spec); predecessor != "" {
		sim.recordViolation("too_early: %s starts on %s before its predecessor %s is done",
			task.name, machine.Name, predecessor)
	}
}

// checkNotOrphaned checks the state in an answer received now. Once the time limit has passed after a user received
// the cancellation of an ancestor, the job must be neither pending nor running.
func (sim *Simulation) checkNotOrphaned(job, state string) {
	at, ok := sim.records.pipelines.ancestorCancelledAt[job]
	if !ok || state != statePending && state != stateRunning {
		return
	}
	if since := sim.now() - at; since > jobs.Seconds(sim.cfg.Workers.CancelS) {
		sim.recordViolation("orphaned: %s is still %s %v after the cancellation of an ancestor", job, state, since)
	}
}

// checkDirectAnswer calls checkNotOrphaned in real time. In virtual time, Simulation.Request has already done so.
func (sim *Simulation) checkDirectAnswer(job, state string) {
	if sim.virtual != nil {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.checkNotOrphaned(job, state)
}

// checkPredecessorsAccepted checks the answer to a submission with predecessors. The submission must be rejected if a
// predecessor was never submitted, and it must not be rejected if all predecessors were accepted before it was sent.
func (sim *Simulation) checkPredecessorsAccepted(about userRequest, sentAt time.Duration, status int) {
	spec := sim.records.specs[about.job]
	if !about.submits || spec == nil || len(spec.Follows) == 0 {
		return
	}
	switch status {
	case http.StatusOK, http.StatusCreated:
		for _, predecessor := range spec.Follows {
			if sim.records.specs[predecessor] == nil {
				sim.recordViolation("accepted: %s follows %s, which was never submitted", spec.ID, predecessor)
			}
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if sim.canRun(spec) && sim.allAccepted(spec.Follows, sentAt) {
			sim.recordViolation("refused: %s is answered %d after all its predecessors were accepted", spec.ID, status)
		}
	}
}

// allAccepted reports whether users received the acceptance of each of the jobs before the given time.
func (sim *Simulation) allAccepted(ids []string, before time.Duration) bool {
	for _, id := range ids {
		if answers := sim.users.jobs[id]; answers == nil || !answers.accepted || answers.acceptedAt >= before {
			return false
		}
	}
	return true
}

// MayBeCancelled reports whether an answer may call a job cancelled: a user requested the cancellation of the job, or
// of an ancestor that no answer to a user has called done.
func (sim *Simulation) MayBeCancelled(job string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.mayBeCancelled(job)
}

func (sim *Simulation) mayBeCancelled(job string) bool {
	return sim.users.cancelRequested[job] || sim.mayBeCancelledByAncestor(job)
}

// mayBeCancelledByAncestor reports whether a user requested the cancellation of an ancestor that no answer has called
// done. Jobs between the job and the ancestor must not have been called done either.
func (sim *Simulation) mayBeCancelledByAncestor(job string) bool {
	visited := map[string]bool{job: true}
	stack := []string{job}
	for len(stack) > 0 {
		spec := sim.records.specs[stack[len(stack)-1]]
		stack = stack[:len(stack)-1]
		if spec == nil {
			continue
		}
		for _, predecessor := range spec.Follows {
			if visited[predecessor] || sim.receivedDone(predecessor) {
				continue
			}
			if sim.users.cancelRequested[predecessor] {
				return true
			}
			visited[predecessor] = true
			stack = append(stack, predecessor)
		}
	}
	return false
}

// receivedDone reports whether a user received an answer that calls a job done.
func (sim *Simulation) receivedDone(job string) bool {
	answers := sim.users.jobs[job]
	return answers != nil && answers.final == stateDone
}

// checkSuccessorsNotCancelled checks, when a user first receives that a job is done, that none of its successors was
// answered as cancelled without another reason.
func (sim *Simulation) checkSuccessorsNotCancelled(job string) {
	for _, successor := range sim.records.pipelines.successors[job] {
		answers := sim.users.jobs[successor]
		if answers != nil && answers.final == stateCancelled && !sim.mayBeCancelled(successor) {
			sim.recordViolation("went_back: %s was answered as cancelled without a request, but its predecessor %s is done",
				successor, job)
		}
	}
}
