package fleet

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// This file stops tasks for the licence units that they hold: for a job of higher priority, or because a pool has
// fewer units than are in use.

// licenceHolder is a running task, or a whole gang, that may be stopped for its licence units.
type licenceHolder struct {
	job   *jobs.Job
	tasks []int32
	units int     // of the pool in question
	lost  float64 // seconds of work that stopping it wastes
}

// licenceHolders returns the holders of units of a pool that are on machines and may be stopped, those that lose the
// fewest seconds of work for each unit first, and how many units are held by tasks that are being stopped already.
func (f *Fleet) licenceHolders(
	now time.Duration,
	pool int32,
	mayStop func(*jobs.Job) bool,
) (holders []licenceHolder, stoppingUnits int) {
	f.Jobs.ForEach(func(job *jobs.Job) {
		units := unitsOfPool(job, pool)
		if units == 0 || job.Tasks == nil || job.TasksOnMachines() == 0 {
			return
		}
		stoppable := !job.State.Terminal() && mayStop(job)
		gang := licenceHolder{job: job}
		for t := range job.Tasks {
			taskIndex := int32(t)
			task := &job.Tasks[t]
			switch {
			case !task.State.Occupies():
			case task.Stopping || task.Done || job.GangDone:
				stoppingUnits += units
			case stoppable && job.Spec.Kind == jobs.Gang:
				gang.tasks = append(gang.tasks, taskIndex)
				gang.units += units
				gang.lost += f.lostWork(now, job, taskIndex)
			case stoppable:
				lost := f.lostWork(now, job, taskIndex)
				holders = append(holders, licenceHolder{job, []int32{taskIndex}, units, lost})
			}
		}
		if gang.tasks != nil {
			holders = append(holders, gang)
		}
	})
	f.PlanningSteps += uint64(len(holders))
	slices.SortFunc(holders, compareHolders)
	return holders, stoppingUnits
}

// compareHolders orders holders by the work lost for each unit, then by job and task.
func compareHolders(a, b licenceHolder) int {
	return cmp.Or(
		cmp.Compare(a.lost/float64(a.units), b.lost/float64(b.units)),
		cmp.Compare(a.job.Index, b.job.Index),
		cmp.Compare(a.tasks[0], b.tasks[0]))
}

// unitsOfPool returns how many units of a pool each task of a job needs.
func unitsOfPool(job *jobs.Job, pool int32) int {
	for _, unit := range job.LicenceUnits {
		if unit.Pool == pool {
			return unit.N
		}
	}
	return 0
}

// firstHolders returns the fewest first holders that together have as many units; nil if all have not.
func firstHolders(holders []licenceHolder, units int) []licenceHolder {
	for i := range holders {
		units -= holders[i].units
		if units <= 0 {
			return holders[:i+1]
		}
	}
	return nil
}

// stopHolders stops the tasks of holders of a pool, and logs the cause.
func (f *Fleet) stopHolders(holders []licenceHolder, pool int32, cause string) {
	for _, holder := range holders {
		for _, taskIndex := range holder.tasks {
			f.stopTask(holder.job, taskIndex)
		}
		slog.Info("tasks stopped for licence units",
			"job", holder.job.ID,
			"tasks", len(holder.tasks),
			"pool", f.poolName(pool),
			"units", holder.units,
			"cause", cause,
			"term", f.Term)
	}
}

// stopExcess stops the holders that lose the least work after a pool's count fell below what is in use, if its
// operators chose so.
func (f *Fleet) stopExcess(now time.Duration, pool int32) {
	excess := f.Gate.Licences.Excess(pool)
	if excess == 0 {
		return
	}
	holders, stoppingUnits := f.licenceHolders(now, pool, func(*jobs.Job) bool { return true })
	excess -= stoppingUnits
	if excess <= 0 {
		return
	}
	if enough := firstHolders(holders, excess); enough != nil {
		holders = enough // otherwise all of them: users of other systems hold more than the count
	}
	f.stopHolders(holders, pool, "licence count lowered")
}

// poolHolders is what is to be stopped for the units of one pool.
type poolHolders struct {
	pool    int32
	holders []licenceHolder
}

// preemptForLicences stops tasks of others for a job that waits for licence units, by the same rules as for
// machines: only after a delay, and only where waiting for tasks to end by themselves would miss an objective or a
// guarantee. It stops holders in all pools that lack units, or in none.
func (f *Fleet) preemptForLicences(now time.Duration, job *jobs.Job, request licences.Request, grant licences.Grant) {
	if grant.Denial != licences.NoFreeUnits && grant.Denial != licences.LowerPriority {
		return
	}
	needed := 1 // tasks that must start together
	if request.IsGang {
		needed = request.Tasks
	}
	guaranteed := f.Gate.Licences.IsWithinGuarantee(job.Team, job.LicenceUnits, needed)
	if f.hasLowestPriority(job) && !guaranteed {
		return
	}
	if f.preemptedRecently(now, job) || now-job.ReadyAt() < preemptionDelay {
		return
	}
	if grant.Tasks >= needed {
		return // it can start without stopping anybody
	}
	maxWaitS := preemptionDelayS
	if !guaranteed {
		maxWaitS = f.secondsToWait(now, job)
	}
	var victims []poolHolders
	for _, unit := range job.LicenceUnits {
		missing := f.Gate.Licences.Shortage(unit, needed)
		if missing == 0 {
			continue
		}
		holders, stoppingUnits := f.licenceHolders(now, unit.Pool, func(victim *jobs.Job) bool {
			return f.mayPreempt(job, victim) || (guaranteed && f.exceedsLicenceGuarantee(victim, job.Team, unit.Pool))
		})
		missing -= stoppingUnits
		if missing <= 0 {
			continue
		}
		chosen := firstHolders(holders, missing)
		if chosen == nil || f.earliestLicenceS(now, unit.Pool) < maxWaitS {
			return
		}
		victims = append(victims, poolHolders{unit.Pool, chosen})
	}
	for _, victim := range victims {
		f.preemptedAt[job.Index] = now
		f.stopHolders(victim.holders, victim.pool, "preempted by "+job.ID)
	}
}

// exceedsLicenceGuarantee returns whether a job whose tasks can be stopped one by one belongs to a team, other than
// the given one, that holds more of a pool than it is guaranteed.
func (f *Fleet) exceedsLicenceGuarantee(victim *jobs.Job, team, pool int32) bool {
	if victim.Team == team || !f.Gate.Licences.IsAboveGuarantee(pool, victim.Team) {
		return false
	}
	separateTasks := victim.Spec.Kind == jobs.Array || victim.TaskCount == 1
	return separateTasks && !f.Gate.Licences.IsWithinGuarantee(victim.Team, victim.LicenceUnits, 0)
}

// earliestLicenceS estimates in how many seconds the next holder of a pool ends by itself.
func (f *Fleet) earliestLicenceS(now time.Duration, pool int32) float64 {
	earliest := unknownWaitSeconds
	f.Jobs.ForEach(func(job *jobs.Job) {
		if job.Spec == nil || job.Tasks == nil || job.TasksOnMachines() == 0 || unitsOfPool(job, pool) == 0 {
			return
		}
		for t := range job.Tasks {
			if job.Tasks[t].State.Occupies() {
				earliest = min(earliest, f.remainingSeconds(now, job, int32(t)))
			}
		}
	})
	return earliest
}
