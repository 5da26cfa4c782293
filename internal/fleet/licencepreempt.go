package fleet

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// Preemption for licences: stopping tasks that hold licence units, either for another job that needs them, or because
// a pool has fewer units than are in use.

// licenceHolder is a running task, or a whole gang, that may be stopped for its licence units.
type licenceHolder struct {
	job         *jobs.Job
	tasks       []int32
	units       int     // held units of the pool that was searched
	lostSeconds float64 // seconds of work that stopping it would waste
}

// licenceHolders returns the holders of units of a pool that are on machines and may be stopped, ordered by the
// seconds of lost work for each unit. stoppingUnits is the number of units of tasks that have ended or are already
// being stopped.
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
				gang.lostSeconds += f.lostWorkSeconds(now, job, taskIndex)
			case stoppable:
				lostSeconds := f.lostWorkSeconds(now, job, taskIndex)
				holders = append(holders, licenceHolder{job, []int32{taskIndex}, units, lostSeconds})
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

// compareHolders orders holders by the lost work for each unit, then by job and task.
func compareHolders(a, b licenceHolder) int {
	return cmp.Or(
		cmp.Compare(a.lostSeconds/float64(a.units), b.lostSeconds/float64(b.units)),
		cmp.Compare(a.job.Index, b.job.Index),
		cmp.Compare(a.tasks[0], b.tasks[0]))
}

// unitsOfPool returns how many units of a pool each task of a job needs.
func unitsOfPool(job *jobs.Job, pool int32) int {
	for _, requirement := range job.LicenceUnits {
		if requirement.Pool == pool {
			return requirement.Units
		}
	}
	return 0
}

// firstHolders returns the shortest prefix of holders that together hold a number of units, or nil if all of them
// together hold fewer.
func firstHolders(holders []licenceHolder, units int) []licenceHolder {
	for i := range holders {
		units -= holders[i].units
		if units <= 0 {
			return holders[:i+1]
		}
	}
	return nil
}

// stopHolders stops the tasks of some holders of a pool, and logs the cause.
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

// stopExcessHolders stops holders of a pool, those with the least lost work first, if more units are in use than the
// pool's count allows and the pool is configured to preempt holders in this case.
func (f *Fleet) stopExcessHolders(now time.Duration, pool int32) {
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
		holders = enough // if nil, all holders are stopped: users of other systems hold more units than the count
	}
	f.stopHolders(holders, pool, "licence count lowered")
}

// poolHolders lists the holders to stop for the units of one pool.
type poolHolders struct {
	pool    int32
	holders []licenceHolder
}

// preemptForLicences stops tasks of other jobs for a job that waits for licence units. The rules are the same as for
// machines: it preempts only after a delay, and only if waiting for tasks to end would miss an objective or a
// guarantee. It stops holders either in all pools in which units are missing, or in none.
func (f *Fleet) preemptForLicences(now time.Duration, job *jobs.Job, request licences.Request, grant licences.Grant) {
	if grant.Denial != licences.NoFreeUnits && grant.Denial != licences.LowerPriority {
		return
	}
	needed := 1 // number of tasks that must start together
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
		return // the job can start without preemption
	}
	maxWaitS := preemptionDelayS
	if !guaranteed {
		maxWaitS = f.maxWaitSeconds(now, job)
	}
	var victims []poolHolders
	for _, requirement := range job.LicenceUnits {
		missing := f.Gate.Licences.Shortage(requirement, needed)
		if missing == 0 {
			continue
		}
		holders, stoppingUnits := f.licenceHolders(now, requirement.Pool, func(victim *jobs.Job) bool {
			return f.mayPreempt(job, victim) || (guaranteed && f.exceedsLicenceGuarantee(victim, job.Team, requirement.Pool))
		})
		missing -= stoppingUnits
		if missing <= 0 {
			continue
		}
		chosen := firstHolders(holders, missing)
		if chosen == nil || f.secondsUntilHolderEnds(now, requirement.Pool) < maxWaitS {
			return
		}
		victims = append(victims, poolHolders{requirement.Pool, chosen})
	}
	for _, victim := range victims {
		f.preemptedAt[job.Index] = now
		f.stopHolders(victim.holders, victim.pool, "preempted by "+job.ID)
	}
}

// exceedsLicenceGuarantee reports whether tasks of victim may be preempted for another team's guaranteed units of a
// pool. The team of victim must differ from the given team and hold more units of the pool than its guarantee, and the
// tasks of victim must be independent of each other.
func (f *Fleet) exceedsLicenceGuarantee(victim *jobs.Job, team, pool int32) bool {
	if victim.Team == team || !f.Gate.Licences.IsAboveGuarantee(pool, victim.Team) {
		return false
	}
	separateTasks := victim.Spec.Kind == jobs.Array || victim.TaskCount == 1
	return separateTasks && !f.Gate.Licences.IsWithinGuarantee(victim.Team, victim.LicenceUnits, 0)
}

// secondsUntilHolderEnds estimates in how many seconds the next task that holds units of a pool ends without being
// stopped. It returns unknownWaitSeconds if there is no such task.
func (f *Fleet) secondsUntilHolderEnds(now time.Duration, pool int32) float64 {
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
