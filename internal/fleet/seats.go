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

func seatRef(j *jobs.Job, t int32) licences.Ref {
	return licences.Ref{Job: int32(j.Index), Task: t}
}

// claimOf is what one task of a job takes.
func claimOf(j *jobs.Job) admission.Claim {
	return admission.Claim{Team: j.Team, Size: j.Spec.Size(), Seats: j.LicenceUnits}
}

// mayStart tells whether n tasks of a job are let through together now, as far as limits and
// licences are concerned.
func (f *Fleet) mayStart(j *jobs.Job, n int) bool {
	return f.granted(j, n) >= n && f.Gate.Fits(claimOf(j), n)
}

// granted is how many of n waiting tasks the last pass had seats for: all, if they need none.
func (f *Fleet) granted(j *jobs.Job, n int) int {
	if len(j.LicenceUnits) == 0 {
		return n
	}
	return min(n, f.grants[j.Index].Tasks)
}

// Seated finds a task of ours by its name, as a licence server knows its holder.
func (f *Fleet) Seated(task string) (licences.Ref, bool) {
	j, t := f.resolve(task)
	if j == nil {
		return licences.Ref{}, false
	}
	return seatRef(j, t), true
}

// book lets a whole gang through whose first task is about to be launched.
func (f *Fleet) book(now time.Duration, j *jobs.Job) {
	var refs []licences.Ref
	for t := range j.Tasks {
		if j.Tasks[t].State == jobs.Planned {
			refs = append(refs, seatRef(j, int32(t)))
		}
	}
	f.Gate.Book(now, refs, j.GangAttempt, claimOf(j))
}

// unbook gives back what is booked for tasks that won't be launched: their gang lost its plan,
// a task, or its reason to run.
func (f *Fleet) unbook(now time.Duration) {
	f.Gate.Unbook(now, func(r licences.Ref) bool {
		j := f.job(jobs.Index(r.Job))
		return j == nil || j.State.Terminal() || j.Tasks == nil || j.Tasks[r.Task].State != jobs.Planned || j.TasksByState[jobs.Unplanned] > 0
	})
}

// endOf says what an exit means for a task's licences: a process that was stopped or gave up
// had the time to give its seats back, one that failed perhaps not.
func endOf(why string) licences.End {
	switch why {
	case whyNoRoom, whyUnknown:
		return licences.Unstarted
	case whyError:
		return licences.Crashed
	}
	return licences.Clean
}

// crashed gives up the launches of a session that has ended, where licences are concerned.
// Whatever of it the worker had started it has killed, and what was under way names that
// session or is dropped with its answer. Sending the same attempt again, as is done for tasks
// without licences, would let two processes hold seats in the name of one.
func (f *Fleet) crashed(now time.Duration, m *Machine) {
	if f.Gate.Seats.None() || !f.loaded {
		return
	}
	var refs []Ref
	for r := range m.On {
		if j := f.job(r.Job); len(j.LicenceUnits) > 0 && j.Tasks[r.Task].State == jobs.Launched {
			refs = append(refs, r)
		}
	}
	sortRefs(refs)
	for _, r := range refs {
		f.release(now, f.job(r.Job), r.Task, jobs.Unplanned, licences.Crashed)
	}
}

// allot hands out the free seats for this pass. Jobs that got fewer than they have planned give
// the rest of their plans up, so that what is planned never exceeds what is granted.
func (f *Fleet) allot(now time.Duration) {
	f.unbook(now)
	var js []*jobs.Job
	var asks []licences.Ask
	for _, j := range f.order {
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
		clear(f.grants)
		return
	}
	clear(f.grants)
	for i, g := range f.Gate.Seats.Allot(asks) {
		j := js[i]
		if was := j.LicenceDenial; was != g.Why {
			j.LicenceDenial = g.Why
			slog.Debug("licences", "job", j.ID, "granted", g.Tasks, "of", asks[i].Tasks, "why", g.Why.String(), "term", f.Term)
		}
		f.grants[j.Index] = g
		f.giveUpPlans(j, j.TasksByState[jobs.Planned]-g.Tasks)
	}
	f.Steps += uint64(4 * len(js))
	for i, j := range js {
		if g := f.grants[j.Index]; g.Tasks < asks[i].Tasks {
			f.preemptSeats(now, j, asks[i], g)
		}
	}
	for _, p := range f.Jobs.Names.Pools.Pools() {
		if ix, ok := f.Jobs.Names.Pools.Index(p.Name); ok {
			f.stopExcess(now, ix)
		}
	}
}

// giveUpPlans unplans n of a job's tasks that have not been started.
func (f *Fleet) giveUpPlans(j *jobs.Job, n int) {
	if n <= 0 || (j.Spec.Kind == jobs.Gang && j.TasksOnMachines() > 0) {
		return
	}
	for _, ix := range f.waitsAt(j) {
		for n > 0 {
			ts := f.machines[ix].waiting(j.Index)
			if len(ts) == 0 {
				break
			}
			t := ts[len(ts)-1]
			f.dropLane(j, t)
			f.must(j.SetTaskState(t, jobs.Unplanned))
			n--
		}
	}
}

// holder is a running job's task, or a whole gang, that could be stopped for its seats.
type holder struct {
	job   *jobs.Job
	tasks []int32
	units int // of the pool in question
	lost  float64
}

// holders lists who holds seats of a pool on a machine and may be stopped, least costly first:
// seconds of work lost for each seat. Gangs go whole. halting is what is on its way out.
func (f *Fleet) holders(now time.Duration, pool int32, may func(*jobs.Job) bool) (hs []holder, halting int) {
	f.Jobs.ForEach(func(j *jobs.Job) {
		i := slices.IndexFunc(j.LicenceUnits, func(u licences.Unit) bool { return u.Pool == pool })
		if i < 0 || j.Tasks == nil || j.TasksOnMachines() == 0 {
			return
		}
		ok := !j.State.Terminal() && may(j)
		var gang holder
		for t := range j.Tasks {
			k := &j.Tasks[t]
			switch {
			case !k.State.Occupies():
			case k.Stopping || k.Done || j.GangDone:
				halting += j.LicenceUnits[i].N
			case ok && j.Spec.Kind == jobs.Gang:
				gang.tasks, gang.units = append(gang.tasks, int32(t)), gang.units+j.LicenceUnits[i].N
				gang.lost += f.loss(now, j, int32(t))
			case ok:
				hs = append(hs, holder{j, []int32{int32(t)}, j.LicenceUnits[i].N, f.loss(now, j, int32(t))})
			}
		}
		if gang.tasks != nil {
			gang.job = j
			hs = append(hs, gang)
		}
	})
	f.Steps += uint64(len(hs))
	slices.SortFunc(hs, func(a, b holder) int {
		return cmp.Or(cmp.Compare(a.lost/float64(a.units), b.lost/float64(b.units)),
			cmp.Compare(a.job.Index, b.job.Index), cmp.Compare(a.tasks[0], b.tasks[0]))
	})
	return hs, halting
}

// pick takes the first holders that together have as many units; nil if they have not.
func (f *Fleet) pick(hs []holder, units int) []holder {
	for i := range hs {
		if units -= hs[i].units; units <= 0 {
			return hs[:i+1]
		}
	}
	return nil
}

func (f *Fleet) stopHolders(hs []holder, cause, pool string) {
	for _, h := range hs {
		for _, t := range h.tasks {
			f.halt(h.job, t)
		}
		slog.Info("stopped for its licence", "job", h.job.ID, "tasks", len(h.tasks), "pool", pool, "units", h.units,
			"cause", cause, "term", f.Term)
	}
}

// stopExcess has the least costly holders stopped after a pool's count fell below what is in
// use, if that is what its operators chose.
func (f *Fleet) stopExcess(now time.Duration, pool int32) {
	over := f.Gate.Seats.Excess(pool)
	if over == 0 {
		return
	}
	hs, halting := f.holders(now, pool, func(*jobs.Job) bool { return true })
	if over -= halting; over <= 0 {
		return
	}
	if enough := f.pick(hs, over); enough != nil {
		hs = enough // otherwise all of them: others hold more than the count
	}
	f.stopHolders(hs, "the count was lowered", f.Jobs.Names.Pools.Pools()[pool].Name)
}

// preemptSeats has others stopped for a job that waits for seats, by the same rules as for
// machines: after patience, and where waiting for a natural end would miss an aim or a
// guarantee is owed.
func (f *Fleet) preemptSeats(now time.Duration, j *jobs.Job, a licences.Ask, g licences.Grant) {
	if g.Why != licences.NoSeat && g.Why != licences.OtherFirst {
		return
	}
	n := 1
	if a.Whole {
		n = a.Tasks
	}
	promised := f.Gate.Seats.Promised(j.Team, j.LicenceUnits, n)
	if j.Priority <= f.pass.lowest && !f.within[j.Index] && !promised {
		return
	}
	if t, ok := f.pleaded[j.Index]; (ok && now-t < cooling) || now-j.SubmittedAt < patienceFor {
		return
	}
	// What a job of lower rank leaves free it gets without stopping anybody.
	if g.Tasks >= n {
		return
	}
	canWait := patience
	if !promised {
		canWait = f.canWait(now, j)
	}
	var plan [][]holder
	for _, u := range j.LicenceUnits {
		short := f.Gate.Seats.Short(u, n)
		if short == 0 {
			continue
		}
		hs, halting := f.holders(now, u.Pool, func(v *jobs.Job) bool {
			return f.mayPreempt(j, v) || (promised && v.Team != j.Team && f.Gate.Seats.Over(u.Pool, v.Team) &&
				!f.Gate.Seats.Promised(v.Team, v.LicenceUnits, 0) && (v.Spec.Kind == jobs.Array || v.TaskCount == 1))
		})
		if short -= halting; short <= 0 {
			continue
		}
		chosen := f.pick(hs, short)
		if chosen == nil || f.soonestSeat(now, u.Pool) < canWait {
			return // all pools or none: half of the seats would help nobody
		}
		plan = append(plan, chosen)
	}
	for _, hs := range plan {
		f.pleaded[j.Index] = now
		f.stopHolders(hs, "preempted by "+j.ID, "")
	}
}

const patienceFor = time.Duration(patience * float64(time.Second))

// soonestSeat estimates in how many seconds the next holder of a pool ends by itself.
func (f *Fleet) soonestSeat(now time.Duration, pool int32) float64 {
	soonest := 1e6
	f.Jobs.ForEach(func(j *jobs.Job) {
		if j.Tasks == nil || j.TasksOnMachines() == 0 || !slices.ContainsFunc(j.LicenceUnits, func(u licences.Unit) bool { return u.Pool == pool }) {
			return
		}
		for t := range j.Tasks {
			if j.Tasks[t].State.Occupies() && j.Spec != nil {
				soonest = min(soonest, f.left(now, j, int32(t)))
			}
		}
	})
	return soonest
}

// Denial says why a job's waiting tasks have no seats, and the pool in the way.
func (f *Fleet) Denial(j *jobs.Job) (licences.Denial, int32) {
	g, ok := f.grants[j.Index]
	if !ok {
		return licences.Granted, -1
	}
	return g.Why, g.Pool
}
