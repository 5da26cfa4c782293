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

func licenceRef(j *jobs.Job, t int32) licences.Ref {
	return licences.Ref{Job: int32(j.Index), Task: t}
}

// admissionClaim is what one task of a job takes.
func admissionClaim(j *jobs.Job) admission.Claim {
	return admission.Claim{Team: j.Team, Size: j.Spec.Size(), Seats: j.LicenceUnits}
}

// mayStart tells whether n tasks of a job are let through together now, as far as limits and
// licences are concerned.
func (f *Fleet) mayStart(j *jobs.Job, n int) bool {
	return f.grantedTasks(j, n) >= n && f.Gate.Fits(admissionClaim(j), n)
}

// grantedTasks is how many of n waiting tasks the last pass had seats for: all, if they need none.
func (f *Fleet) grantedTasks(j *jobs.Job, n int) int {
	if len(j.LicenceUnits) == 0 {
		return n
	}
	return min(n, f.licenceGrants[j.Index].Tasks)
}

// LicenceHolder finds a task of ours by its name, as a licence server knows its holder.
func (f *Fleet) LicenceHolder(task string) (licences.Ref, bool) {
	j, t := f.findTask(task)
	if j == nil {
		return licences.Ref{}, false
	}
	return licenceRef(j, t), true
}

// admitGang lets a whole gang through whose first task is about to be launched.
func (f *Fleet) admitGang(now time.Duration, j *jobs.Job) {
	var refs []licences.Ref
	for t := range j.Tasks {
		if j.Tasks[t].State == jobs.Planned {
			refs = append(refs, licenceRef(j, int32(t)))
		}
	}
	f.Gate.Reserve(now, refs, j.GangAttempt, admissionClaim(j))
}

// releaseUnusedAdmissions gives back what is booked for tasks that won't be launched: their gang lost its plan,
// a task, or its reason to run.
func (f *Fleet) releaseUnusedAdmissions(now time.Duration) {
	f.Gate.ReleaseReserved(now, func(r licences.Ref) bool {
		j := f.jobAt(jobs.Index(r.Job))
		return j == nil || j.State.Terminal() || j.Tasks == nil || j.Tasks[r.Task].State != jobs.Planned || j.TasksByState[jobs.Unplanned] > 0
	})
}

// licenceEnd says what an exit means for a task's licences: a process that was stopped or gave up
// had the time to give its seats back, one that failed perhaps not.
func licenceEnd(why string) licences.End {
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
func (f *Fleet) handleWorkerRestart(now time.Duration, m *Machine) {
	if f.Gate.Licences.None() || !f.plansLoaded {
		return
	}
	var refs []TaskRef
	for r := range m.Tasks {
		if j := f.jobAt(r.Job); len(j.LicenceUnits) > 0 && j.Tasks[r.Task].State == jobs.Launched {
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
	var js []*jobs.Job
	var asks []licences.Ask
	for _, j := range f.ranked {
		if len(j.LicenceUnits) == 0 || j.FinishedTasks == j.TaskCount || j.Idle() {
			continue
		}
		a := licences.Ask{Job: int32(j.Index), Team: j.Team, Needs: j.LicenceUnits, Whole: j.Spec.Kind == jobs.Gang, Tasks: j.UnstartedTasks()}
		if a.Whole && a.Tasks < j.TaskCount {
			a.Tasks = 0 // some of it is still there, or on its way with its seats booked
		}
		js, asks = append(js, j), append(asks, a)
	}
	if len(js) == 0 {
		clear(f.licenceGrants)
		return
	}
	clear(f.licenceGrants)
	for i, g := range f.Gate.Licences.Allot(asks) {
		j := js[i]
		if was := j.LicenceDenial; was != g.Why {
			j.LicenceDenial = g.Why
			slog.Debug("licences", "job", j.ID, "granted", g.Tasks, "of", asks[i].Tasks, "why", g.Why.String(), "term", f.Term)
		}
		f.licenceGrants[j.Index] = g
		f.dropPlans(j, j.TasksByState[jobs.Planned]-g.Tasks)
	}
	f.PlanningSteps += uint64(4 * len(js))
	for i, j := range js {
		if g := f.licenceGrants[j.Index]; g.Tasks < asks[i].Tasks {
			f.preemptForLicences(now, j, asks[i], g)
		}
	}
	for _, p := range f.Jobs.Names.Pools.Pools() {
		if ix, ok := f.Jobs.Names.Pools.Index(p.Name); ok {
			f.stopExcess(now, ix)
		}
	}
}

// dropPlans unplans n of a job's tasks that have not been started.
func (f *Fleet) dropPlans(j *jobs.Job, n int) {
	if n <= 0 || (j.Spec.Kind == jobs.Gang && j.TasksOnMachines() > 0) {
		return
	}
	for _, ix := range f.queueMachines(j) {
		for n > 0 {
			ts := f.machines[ix].queued(j.Index)
			if len(ts) == 0 {
				break
			}
			t := ts[len(ts)-1]
			f.dequeue(j, t)
			f.checkTransition(j.SetTaskState(t, jobs.Unplanned))
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
	f.Jobs.ForEach(func(j *jobs.Job) {
		i := slices.IndexFunc(j.LicenceUnits, func(u licences.Unit) bool { return u.Pool == pool })
		if i < 0 || j.Tasks == nil || j.TasksOnMachines() == 0 {
			return
		}
		ok := !j.State.Terminal() && may(j)
		var gang licenceHolder
		for t := range j.Tasks {
			k := &j.Tasks[t]
			switch {
			case !k.State.Occupies():
			case k.Stopping || k.Done || j.GangDone:
				halting += j.LicenceUnits[i].N
			case ok && j.Spec.Kind == jobs.Gang:
				gang.tasks, gang.units = append(gang.tasks, int32(t)), gang.units+j.LicenceUnits[i].N
				gang.lost += f.lostWork(now, j, int32(t))
			case ok:
				hs = append(hs, licenceHolder{j, []int32{int32(t)}, j.LicenceUnits[i].N, f.lostWork(now, j, int32(t))})
			}
		}
		if gang.tasks != nil {
			gang.job = j
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
		for _, t := range h.tasks {
			f.stopTask(h.job, t)
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
func (f *Fleet) preemptForLicences(now time.Duration, j *jobs.Job, a licences.Ask, g licences.Grant) {
	if g.Why != licences.NoSeat && g.Why != licences.OtherFirst {
		return
	}
	n := 1
	if a.Whole {
		n = a.Tasks
	}
	promised := f.Gate.Licences.Promised(j.Team, j.LicenceUnits, n)
	if j.Priority <= f.cycle.lowest && !f.withinGuarantee[j.Index] && !promised {
		return
	}
	if t, ok := f.preemptedAt[j.Index]; (ok && now-t < preemptionCooldown) || now-j.SubmittedAt < preemptionPatience {
		return
	}
	// What a job of lower rank leaves free it gets without stopping anybody.
	if g.Tasks >= n {
		return
	}
	canWait := preemptionPatienceS
	if !promised {
		canWait = f.secondsToWait(now, j)
	}
	var plan [][]licenceHolder
	for _, u := range j.LicenceUnits {
		short := f.Gate.Licences.Short(u, n)
		if short == 0 {
			continue
		}
		hs, halting := f.licenceHolders(now, u.Pool, func(v *jobs.Job) bool {
			return f.mayPreempt(j, v) || (promised && v.Team != j.Team && f.Gate.Licences.Over(u.Pool, v.Team) &&
				!f.Gate.Licences.Promised(v.Team, v.LicenceUnits, 0) && (v.Spec.Kind == jobs.Array || v.TaskCount == 1))
		})
		if short -= halting; short <= 0 {
			continue
		}
		chosen := f.pickHolders(hs, short)
		if chosen == nil || f.earliestLicence(now, u.Pool) < canWait {
			return // all pools or none: half of the seats would help nobody
		}
		plan = append(plan, chosen)
	}
	for _, hs := range plan {
		f.preemptedAt[j.Index] = now
		f.stopHolders(hs, "preempted by "+j.ID, "")
	}
}

const preemptionPatience = time.Duration(preemptionPatienceS * float64(time.Second))

// earliestLicence estimates in how many seconds the next holder of a pool ends by itself.
func (f *Fleet) earliestLicence(now time.Duration, pool int32) float64 {
	soonest := 1e6
	f.Jobs.ForEach(func(j *jobs.Job) {
		if j.Tasks == nil || j.TasksOnMachines() == 0 || !slices.ContainsFunc(j.LicenceUnits, func(u licences.Unit) bool { return u.Pool == pool }) {
			return
		}
		for t := range j.Tasks {
			if j.Tasks[t].State.Occupies() && j.Spec != nil {
				soonest = min(soonest, f.remainingSeconds(now, j, int32(t)))
			}
		}
	})
	return soonest
}

// LicenceDenial says why a job's waiting tasks have no seats, and the pool in the way.
func (f *Fleet) LicenceDenial(j *jobs.Job) (licences.Denial, int32) {
	g, ok := f.licenceGrants[j.Index]
	if !ok {
		return licences.Granted, -1
	}
	return g.Why, g.Pool
}
