package fleet

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/admission"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// This file joins the licences to planning: in each pass the free seats are handed out in rank
// order, and a job plans and rents only for tasks that have one. What it does not do is decide a
// start; that is the gate's, when the launch is about to be sent.

func licenceRef(job *jobs.Job, taskIndex int32) licences.Ref {
	return licences.Ref{Job: int32(job.Index), Task: taskIndex}
}

// admissionClaim is what one task of a job takes.
func admissionClaim(job *jobs.Job) admission.Claim {
	return admission.Claim{Team: job.Team, Size: job.Spec.Size(), Seats: job.LicenceUnits}
}

// mayStart tells whether n tasks of a job are let through together now, as far as limits and
// licences are concerned.
func (f *Fleet) mayStart(job *jobs.Job, n int) bool {
	return f.grantedTasks(job, n) >= n && f.Gate.Fits(admissionClaim(job), n)
}

// grantedTasks is how many of n waiting tasks the last pass had seats for: all, if they need none.
func (f *Fleet) grantedTasks(job *jobs.Job, n int) int {
	if len(job.LicenceUnits) == 0 {
		return n
	}
	return min(n, f.licenceGrants[job.Index].Tasks)
}

// LicenceHolder finds a task of ours by its name, as a licence server knows its holder.
func (f *Fleet) LicenceHolder(task string) (licences.Ref, bool) {
	job, taskIndex := f.findTask(task)
	if job == nil {
		return licences.Ref{}, false
	}
	return licenceRef(job, taskIndex), true
}

// admitGang lets a whole gang through whose first task is about to be launched.
func (f *Fleet) admitGang(now time.Duration, job *jobs.Job) {
	var refs []licences.Ref
	for t := range job.Tasks {
		if job.Tasks[t].State == jobs.Planned {
			refs = append(refs, licenceRef(job, int32(t)))
		}
	}
	f.Gate.Reserve(now, refs, job.GangAttempt, admissionClaim(job))
}

// releaseUnusedAdmissions gives back what is booked for tasks that won't be launched: their gang lost its plan,
// a task, or its reason to run.
func (f *Fleet) releaseUnusedAdmissions(now time.Duration) {
	f.Gate.ReleaseReserved(now, func(r licences.Ref) bool {
		job := f.jobAt(jobs.Index(r.Job))
		return job == nil || job.State.Terminal() || job.Tasks == nil || job.Tasks[r.Task].State != jobs.Planned || job.TasksByState[jobs.Unplanned] > 0
	})
}

// licenceEnd says what an exit means for a task's licences: a process that was stopped or gave up
// had the time to give its seats back, one that failed perhaps not.
func licenceEnd(why ExitCause) licences.End {
	switch why {
	case exitNoRoom, exitUnknown:
		return licences.Unstarted
	case exitError:
		return licences.Crashed
	}
	return licences.Clean
}

// handleWorkerRestart gives up the launches of a session that has ended, where licences are concerned.
// Whatever of it the worker had started it has killed, and what was under way names that
// session or is dropped with its answer. Sending the same attempt again, as is done for tasks
// without licences, would let two processes hold seats in the name of one.
func (f *Fleet) handleWorkerRestart(now time.Duration, machine *Machine) {
	if f.Gate.Licences.None() || !f.plansLoaded {
		return
	}
	var refs []TaskRef
	for r := range machine.Tasks {
		if job := f.jobAt(r.Job); len(job.LicenceUnits) > 0 && job.Tasks[r.Task].State == jobs.Launched {
			refs = append(refs, r)
		}
	}
	sortRefs(refs)
	for _, r := range refs {
		f.release(now, f.jobAt(r.Job), r.Task, jobs.Unplanned, licences.Crashed)
	}
}

// grantLicences hands out the free seats for this pass. Jobs that got fewer than they have planned give
// the rest of their plans up, so that what is planned never exceeds what is granted.
func (f *Fleet) grantLicences(now time.Duration) {
	f.releaseUnusedAdmissions(now)
	var jobList []*jobs.Job
	var asks []licences.Ask
	for _, job := range f.ranking.jobs {
		if len(job.LicenceUnits) == 0 || job.FinishedTasks == job.TaskCount || job.Idle() {
			continue
		}
		ask := licences.Ask{Job: int32(job.Index), Team: job.Team, Needs: job.LicenceUnits, Whole: job.Spec.Kind == jobs.Gang, Tasks: job.UnstartedTasks()}
		if ask.Whole && ask.Tasks < job.TaskCount {
			ask.Tasks = 0 // some of it is still there, or on its way with its seats booked
		}
		jobList, asks = append(jobList, job), append(asks, ask)
	}
	if len(jobList) == 0 {
		clear(f.licenceGrants)
		return
	}
	clear(f.licenceGrants)
	for i, grant := range f.Gate.Licences.Allot(asks) {
		job := jobList[i]
		if was := job.LicenceDenial; was != grant.Why {
			job.LicenceDenial = grant.Why
			slog.Debug("licences", "job", job.ID, "granted", grant.Tasks, "of", asks[i].Tasks, "why", grant.Why.String(), "term", f.Term)
		}
		f.licenceGrants[job.Index] = grant
		f.dropPlans(job, job.TasksByState[jobs.Planned]-grant.Tasks)
	}
	f.PlanningSteps += uint64(4 * len(jobList))
	for i, job := range jobList {
		if grant := f.licenceGrants[job.Index]; grant.Tasks < asks[i].Tasks {
			f.preemptForLicences(now, job, asks[i], grant)
		}
	}
	for _, pool := range f.Jobs.Names.Pools.Pools() {
		if ix, ok := f.Jobs.Names.Pools.Index(pool.Name); ok {
			f.stopExcess(now, ix)
		}
	}
}

// dropPlans unplans n of a job's tasks that have not been started.
func (f *Fleet) dropPlans(job *jobs.Job, n int) {
	if n <= 0 || (job.Spec.Kind == jobs.Gang && job.TasksOnMachines() > 0) {
		return
	}
	for _, ix := range f.queueMachines(job) {
		for n > 0 {
			ts := f.machines[ix].queued(job.Index)
			if len(ts) == 0 {
				break
			}
			taskIndex := ts[len(ts)-1]
			f.dequeue(job, taskIndex)
			f.checkTransition(job.SetTaskState(taskIndex, jobs.Unplanned))
			n--
		}
	}
}

// licenceHolder is a running job's task, or a whole gang, that could be stopped for its seats.
type licenceHolder struct {
	job   *jobs.Job
	tasks []int32
	units int // of the pool in question
	lost  float64
}

// licenceHolders lists who holds seats of a pool on a machine and may be stopped, least costly first:
// seconds of work lost for each seat. Gangs go whole. halting is what is on its way out.
func (f *Fleet) licenceHolders(now time.Duration, pool int32, may func(*jobs.Job) bool) (hs []licenceHolder, halting int) {
	f.Jobs.ForEach(func(job *jobs.Job) {
		i := slices.IndexFunc(job.LicenceUnits, func(unit licences.Unit) bool { return unit.Pool == pool })
		if i < 0 || job.Tasks == nil || job.TasksOnMachines() == 0 {
			return
		}
		ok := !job.State.Terminal() && may(job)
		var gang licenceHolder
		for t := range job.Tasks {
			task := &job.Tasks[t]
			switch {
			case !task.State.Occupies():
			case task.Stopping || task.Done || job.GangDone:
				halting += job.LicenceUnits[i].N
			case ok && job.Spec.Kind == jobs.Gang:
				gang.tasks, gang.units = append(gang.tasks, int32(t)), gang.units+job.LicenceUnits[i].N
				gang.lost += f.lostWork(now, job, int32(t))
			case ok:
				hs = append(hs, licenceHolder{job, []int32{int32(t)}, job.LicenceUnits[i].N, f.lostWork(now, job, int32(t))})
			}
		}
		if gang.tasks != nil {
			gang.job = job
			hs = append(hs, gang)
		}
	})
	f.PlanningSteps += uint64(len(hs))
	slices.SortFunc(hs, func(a, b licenceHolder) int {
		return cmp.Or(cmp.Compare(a.lost/float64(a.units), b.lost/float64(b.units)),
			cmp.Compare(a.job.Index, b.job.Index), cmp.Compare(a.tasks[0], b.tasks[0]))
	})
	return hs, halting
}

// pickHolders takes the first holders that together have as many units; nil if they have not.
func (f *Fleet) pickHolders(hs []licenceHolder, units int) []licenceHolder {
	for i := range hs {
		if units -= hs[i].units; units <= 0 {
			return hs[:i+1]
		}
	}
	return nil
}

func (f *Fleet) stopHolders(hs []licenceHolder, cause, pool string) {
	for _, h := range hs {
		for _, taskIndex := range h.tasks {
			f.stopTask(h.job, taskIndex)
		}
		slog.Info("stopped for its licence", "job", h.job.ID, "tasks", len(h.tasks), "pool", pool, "units", h.units,
			"cause", cause, "term", f.Term)
	}
}

// stopExcess has the least costly holders stopped after a pool's count fell below what is in
// use, if that is what its operators chose.
func (f *Fleet) stopExcess(now time.Duration, pool int32) {
	over := f.Gate.Licences.Excess(pool)
	if over == 0 {
		return
	}
	hs, halting := f.licenceHolders(now, pool, func(*jobs.Job) bool { return true })
	if over -= halting; over <= 0 {
		return
	}
	if enough := f.pickHolders(hs, over); enough != nil {
		hs = enough // otherwise all of them: others hold more than the count
	}
	f.stopHolders(hs, "the count was lowered", f.Jobs.Names.Pools.Pools()[pool].Name)
}

// preemptForLicences has others stopped for a job that waits for seats, by the same rules as for
// machines: after patience, and where waiting for a natural end would miss an aim or a
// guarantee is owed.
func (f *Fleet) preemptForLicences(now time.Duration, job *jobs.Job, ask licences.Ask, grant licences.Grant) {
	if grant.Why != licences.NoSeat && grant.Why != licences.OtherFirst {
		return
	}
	n := 1
	if ask.Whole {
		n = ask.Tasks
	}
	promised := f.Gate.Licences.Promised(job.Team, job.LicenceUnits, n)
	if job.Priority <= f.cycle.lowestPriority && !f.ranking.withinGuarantee[job.Index] && !promised {
		return
	}
	if t, ok := f.preemptedAt[job.Index]; (ok && now-t < preemptionCooldown) || now-job.SubmittedAt < preemptionPatience {
		return
	}
	// What a job of lower rank leaves free it gets without stopping anybody.
	if grant.Tasks >= n {
		return
	}
	canWait := preemptionPatienceS
	if !promised {
		canWait = f.secondsToWait(now, job)
	}
	var plan [][]licenceHolder
	for _, unit := range job.LicenceUnits {
		short := f.Gate.Licences.Short(unit, n)
		if short == 0 {
			continue
		}
		hs, halting := f.licenceHolders(now, unit.Pool, func(v *jobs.Job) bool {
			return f.mayPreempt(job, v) || (promised && v.Team != job.Team && f.Gate.Licences.Over(unit.Pool, v.Team) &&
				!f.Gate.Licences.Promised(v.Team, v.LicenceUnits, 0) && (v.Spec.Kind == jobs.Array || v.TaskCount == 1))
		})
		if short -= halting; short <= 0 {
			continue
		}
		chosen := f.pickHolders(hs, short)
		if chosen == nil || f.earliestLicence(now, unit.Pool) < canWait {
			return // all pools or none: half of the seats would help nobody
		}
		plan = append(plan, chosen)
	}
	for _, hs := range plan {
		f.preemptedAt[job.Index] = now
		f.stopHolders(hs, "preempted by "+job.ID, "")
	}
}

const preemptionPatience = time.Duration(preemptionPatienceS * float64(time.Second))

// earliestLicence estimates in how many seconds the next holder of a pool ends by itself.
func (f *Fleet) earliestLicence(now time.Duration, pool int32) float64 {
	soonest := 1e6
	f.Jobs.ForEach(func(job *jobs.Job) {
		if job.Tasks == nil || job.TasksOnMachines() == 0 || !slices.ContainsFunc(job.LicenceUnits, func(unit licences.Unit) bool { return unit.Pool == pool }) {
			return
		}
		for t := range job.Tasks {
			if job.Tasks[t].State.Occupies() && job.Spec != nil {
				soonest = min(soonest, f.remainingSeconds(now, job, int32(t)))
			}
		}
	})
	return soonest
}

// LicenceDenial says why a job's waiting tasks have no seats, and the pool in the way.
func (f *Fleet) LicenceDenial(job *jobs.Job) (licences.Denial, int32) {
	grant, ok := f.licenceGrants[job.Index]
	if !ok {
		return licences.Granted, -1
	}
	return grant.Why, grant.Pool
}
