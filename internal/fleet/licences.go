package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/admission"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// This file connects the licences with planning: each scheduling cycle grants the free licence units in priority
// order, and a job plans, and asks for machines, only for tasks that are granted theirs. Whether a task may start is
// decided by the admission gate when its launch is about to be sent.

// licenceRef identifies a task as a holder of licence units.
func licenceRef(job *jobs.Job, taskIndex int32) licences.TaskRef {
	return licences.TaskRef{Job: int32(job.Index), Task: taskIndex}
}

// admissionClaim returns what one task of a job takes of all limits.
func admissionClaim(job *jobs.Job) admission.Claim {
	return admission.Claim{Team: job.Team, Size: job.Spec.Size(), LicenceUnits: job.LicenceUnits}
}

// mayStart returns whether team limits and licences let n tasks of a job start together now.
func (f *Fleet) mayStart(job *jobs.Job, n int) bool {
	return f.grantedTasks(job, n) >= n && f.Gate.Fits(admissionClaim(job), n)
}

// grantedTasks returns how many of n waiting tasks the last scheduling cycle granted their licence units: all, if
// they need none.
func (f *Fleet) grantedTasks(job *jobs.Job, n int) int {
	if len(job.LicenceUnits) == 0 {
		return n
	}
	return min(n, f.licenceGrants[job.Index].Tasks)
}

// LicenceHolder finds the task with a name, by which a licence server lists it as a holder.
func (f *Fleet) LicenceHolder(task string) (licences.TaskRef, bool) {
	job, taskIndex := f.findTask(task)
	if job == nil {
		return licences.TaskRef{}, false
	}
	return licenceRef(job, taskIndex), true
}

// LicenceDenial returns why a job's waiting tasks are not granted their licence units, and the index of the pool that
// lacks them: licences.Granted and -1 if they are, or need none.
func (f *Fleet) LicenceDenial(job *jobs.Job) (licences.Denial, int32) {
	grant, ok := f.licenceGrants[job.Index]
	if !ok {
		return licences.Granted, -1
	}
	return grant.Denial, grant.Pool
}

// poolName returns the name of a licence pool.
func (f *Fleet) poolName(index int32) string {
	pools := f.Jobs.Names.Pools.Pools()
	if index < 0 || int(index) >= len(pools) {
		return "a pool that is not declared here"
	}
	return pools[index].Name
}

// admitGang reserves what a whole gang takes when its first task is about to be launched.
func (f *Fleet) admitGang(now time.Duration, job *jobs.Job) {
	var refs []licences.TaskRef
	for t := range job.Tasks {
		if job.Tasks[t].State == jobs.Planned {
			refs = append(refs, licenceRef(job, int32(t)))
		}
	}
	f.Gate.Reserve(now, refs, job.GangAttempt, admissionClaim(job))
}

// releaseUnusedAdmissions releases what is reserved for tasks that will not be launched: their job ended, or their
// gang lost its plan or one of its tasks.
func (f *Fleet) releaseUnusedAdmissions(now time.Duration) {
	f.Gate.ReleaseReserved(now, func(ref licences.TaskRef) bool {
		job := f.jobAt(jobs.Index(ref.Job))
		if job == nil || job.State.Terminal() || job.Tasks == nil {
			return true
		}
		return job.Tasks[ref.Task].State != jobs.Planned || job.TasksByState[jobs.Unplanned] > 0
	})
}

// licenceEnd returns what the reason of a task's exit means for its licence units. A process that was stopped, or
// that ended by itself, has returned them; one that failed may not have.
func licenceEnd(exitReason ExitCause) licences.End {
	switch exitReason {
	case exitNoRoom, exitUnknown:
		return licences.NeverStarted
	case exitError:
		return licences.Crashed
	}
	return licences.CleanExit
}

// handleWorkerRestart releases the launched tasks that need licences when their worker's session has ended: the
// worker has killed what it had started of them, and commands still on their way name the old session. The same
// attempts are not sent again, as those of other tasks are, since two processes could then hold licence units in the
// name of one attempt.
func (f *Fleet) handleWorkerRestart(now time.Duration, machine *Machine) {
	if f.Gate.Licences.IsEmpty() || !f.plansLoaded {
		return
	}
	var refs []TaskRef
	for ref := range machine.Tasks {
		job := f.jobAt(ref.Job)
		if len(job.LicenceUnits) > 0 && job.Tasks[ref.Task].State == jobs.Launched {
			refs = append(refs, ref)
		}
	}
	sortRefs(refs)
	for _, ref := range refs {
		f.release(now, f.jobAt(ref.Job), ref.Task, jobs.Unplanned, licences.Crashed)
	}
}

// grantLicences grants the free licence units for this scheduling cycle. A job that is granted fewer than it has
// planned loses the rest of its plan, so no more is planned than is granted. Where units are missing, tasks of others
// may be stopped.
func (f *Fleet) grantLicences(now time.Duration) {
	f.releaseUnusedAdmissions(now)
	clear(f.licenceGrants)
	jobList, requests := f.licenceRequests()
	if len(jobList) == 0 {
		return
	}
	for i, grant := range f.Gate.Licences.Allocate(requests) {
		f.applyLicenceGrant(jobList[i], requests[i], grant)
	}
	f.PlanningSteps += uint64(4 * len(jobList))
	for i, job := range jobList {
		if grant := f.licenceGrants[job.Index]; grant.Tasks < requests[i].Tasks {
			f.preemptForLicences(now, job, requests[i], grant)
		}
	}
	for _, pool := range f.Jobs.Names.Pools.Pools() {
		if index, ok := f.Jobs.Names.Pools.Index(pool.Name); ok {
			f.stopExcess(now, index)
		}
	}
}

// licenceRequests returns the live jobs that need licences, in priority order, and what each asks for.
func (f *Fleet) licenceRequests() ([]*jobs.Job, []licences.Request) {
	var jobList []*jobs.Job
	var requests []licences.Request
	for _, job := range f.ranking.jobs {
		if len(job.LicenceUnits) == 0 || job.FinishedTasks == job.TaskCount || job.Idle() {
			continue
		}
		request := licences.Request{
			Job:    int32(job.Index),
			Team:   job.Team,
			Needs:  job.LicenceUnits,
			IsGang: job.Spec.Kind == jobs.Gang,
			Tasks:  job.UnstartedTasks(),
		}
		if request.IsGang && request.Tasks < job.TaskCount {
			request.Tasks = 0 // some of the gang is still on machines, or about to start with its units reserved
		}
		jobList = append(jobList, job)
		requests = append(requests, request)
	}
	return jobList, requests
}

// applyLicenceGrant keeps a job's grant for this scheduling cycle and takes back plans beyond it.
func (f *Fleet) applyLicenceGrant(job *jobs.Job, request licences.Request, grant licences.Grant) {
	if job.LicenceDenial != grant.Denial {
		job.LicenceDenial = grant.Denial
		slog.Debug("licence grant changed",
			"job", job.ID, "granted", grant.Tasks, "requested", request.Tasks,
			"cause", grant.Denial.String(), "term", f.Term)
	}
	f.licenceGrants[job.Index] = grant
	f.dropPlans(job, job.TasksByState[jobs.Planned]-grant.Tasks)
}
