package fleet

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/admission"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// Licences in planning: each scheduling cycle grants the free licence units in priority order. Only tasks with granted
// units are planned and count as demand for machines. Whether a task may start is decided by the admission gate, just
// before its launch is sent.

// licenceRef identifies a task as a holder of licence units.
func licenceRef(job *jobs.Job, taskIndex int32) licences.TaskRef {
	return licences.TaskRef{Job: int32(job.Index), Task: taskIndex}
}

// admissionClaim returns the resources that one task of a job needs: its size and its licence units.
func admissionClaim(job *jobs.Job) admission.Claim {
	return admission.Claim{Team: job.Team, Size: job.Spec.Size(), LicenceUnits: job.LicenceUnits}
}

// mayStart reports whether team limits and licences allow n tasks of a job to start together now.
func (f *Fleet) mayStart(job *jobs.Job, n int) bool {
	return f.grantedTasks(job, n) >= n && f.Gate.Fits(admissionClaim(job), n)
}

// grantedTasks returns how many of n waiting tasks of a job have been granted their licence units by the last
// scheduling cycle. The result is n if the job needs no licences.
func (f *Fleet) grantedTasks(job *jobs.Job, n int) int {
	if len(job.LicenceUnits) == 0 {
		return n
	}
	return min(n, f.licenceGrants[job.Index].Tasks)
}

// LicenceHolder returns the task with the name under which a licence server lists it as a holder. It returns false if
// there is no such task.
func (f *Fleet) LicenceHolder(task string) (licences.TaskRef, bool) {
	job, taskIndex := f.findTask(task)
	if job == nil {
		return licences.TaskRef{}, false
	}
	return licenceRef(job, taskIndex), true
}

// LicenceDenial returns the reason for which a job's waiting tasks are denied licence units, and the index of the pool
// in which units are missing. For a job without a grant, such as one that needs no licences, it returns
// licences.Granted and -1.
func (f *Fleet) LicenceDenial(job *jobs.Job) (licences.Denial, int32) {
	grant, ok := f.licenceGrants[job.Index]
	if !ok {
		return licences.Granted, -1
	}
	return grant.Denial, grant.Pool
}

// poolName returns the name of a licence pool for logs and users, or a placeholder if the pool is not declared.
func (f *Fleet) poolName(index int32) string {
	pools := f.Jobs.Names.Pools.Pools()
	if index < 0 || int(index) >= len(pools) {
		return "(undeclared pool)"
	}
	return pools[index].Name
}

// admitGang reserves the resources of all planned tasks of a gang, when the first of them is about to be launched.
func (f *Fleet) admitGang(now time.Duration, job *jobs.Job) {
	var refs []licences.TaskRef
	for t := range job.Tasks {
		if job.Tasks[t].State == jobs.Planned {
			refs = append(refs, licenceRef(job, int32(t)))
		}
	}
	f.Gate.Reserve(now, refs, job.GangAttempt, admissionClaim(job))
}

// releaseUnusedAdmissions releases the reservations of tasks that will not be launched because their job has ended, or
// their gang has lost its plan or one of its tasks.
func (f *Fleet) releaseUnusedAdmissions(now time.Duration) {
	f.Gate.ReleaseReserved(now, func(ref licences.TaskRef) bool {
		job := f.jobAt(jobs.Index(ref.Job))
		if job == nil || job.State.Terminal() || job.Tasks == nil {
			return true
		}
		return job.Tasks[ref.Task].State != jobs.Planned || job.TasksByState[jobs.Unplanned] > 0
	})
}

// licenceEnd maps the cause of a task's exit to the way in which its licence units end. A process that was stopped, or
// that exited normally, has returned its units. A process that failed may not have returned them.
func licenceEnd(exitReason ExitCause) licences.End {
	switch exitReason {
	case exitNoRoom, exitUnknown:
		return licences.NeverStarted
	case exitError:
		return licences.Crashed
	}
	return licences.CleanExit
}

// handleWorkerRestart releases the launched tasks that need licences after their worker's session has ended. The
// worker has killed the processes of these tasks, and commands that are still in flight name the old session. Launches
// of other tasks are sent again with the same attempt number. For tasks with licences this is not done: two processes
// could then hold licence units under the same attempt.
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

// grantLicences grants the free licence units for this scheduling cycle. If a job has more planned tasks than granted
// ones, the excess tasks become unplanned. If units are missing, tasks of other jobs may be preempted.
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
			f.stopExcessHolders(now, index)
		}
	}
}

// licenceRequests returns the live jobs that need licences, in priority order, and the request of each.
func (f *Fleet) licenceRequests() ([]*jobs.Job, []licences.Request) {
	var jobList []*jobs.Job
	var requests []licences.Request
	for _, job := range f.ranking.jobs {
		if len(job.LicenceUnits) == 0 || job.FinishedTasks == job.TaskCount || job.PlanningBlocked() {
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
			request.Tasks = 0 // tasks are still on machines, or the gang is starting with reserved units
		}
		jobList = append(jobList, job)
		requests = append(requests, request)
	}
	return jobList, requests
}

// applyLicenceGrant stores a job's grant for this scheduling cycle, and makes planned tasks beyond it unplanned.
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
