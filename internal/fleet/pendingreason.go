package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/admission"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// The reasons for which tasks of a job wait. For unplanned tasks, planning records the cause when it makes the
// decision, so that a report shows the actual decision.

// PendingCause identifies why some tasks of a job wait. Its values are part of the HTTP API.
type PendingCause string

// The causes. In the comments, "task" is a waiting task, and "job" and "team" are those of the task.
const (
	TeamLimit          PendingCause = "team_limit" // the job would exceed the limit of its team
	LicenceUnavailable PendingCause = "licence"    // units of a licence pool are missing
	NoMachine          PendingCause = "no_machine" // no machine that is up is eligible for the task
	GangLacksRoom      PendingCause = "gang_short" // too few machines have room for all tasks of the gang at once
	NoRoom             PendingCause = "no_room"    // no eligible machine has room for the replica
	RetryLater         PendingCause = "retry"      // the task failed and is retried later
	CrashLoopBackoff   PendingCause = "failing"    // the job fails on every machine and is retried with back-off
	SessionSuspended   PendingCause = "parked"     // the session of the job was reclaimed
	// PredecessorsUnfinished: predecessors of the job are unfinished, or the job will be cancelled with one of them.
	PredecessorsUnfinished PendingCause = "predecessors"
	RecordUnreadable       PendingCause = "unreadable"       // a stored record of the job can't be read
	ZoneLost               PendingCause = "zone_lost"        // the task is on a silent machine of a lost zone
	PlanningBehind         PendingCause = "planning_behind"  // no scheduling cycle has planned the task yet
	QueuedOnMachine        PendingCause = "lane"             // the task is in the queue of a machine without free room
	PlanNotDurable         PendingCause = "plan_not_durable" // the plan of the task is being written
	GangStopping           PendingCause = "gang_leaving"     // other tasks of the gang must stop first
	Starting               PendingCause = "starting"         // the task was sent to its machine and is not running yet
)

// unplannedReason is why the last scheduling cycle left tasks of a job unplanned. Each field other than cause is set
// only for the causes in its comment.
type unplannedReason struct {
	cause   PendingCause
	denial  admission.Denial // TeamLimit, LicenceUnavailable
	retryAt time.Duration    // RetryLater, CrashLoopBackoff: earliest time of the next attempt
	backoff crashBackoff     // CrashLoopBackoff
	gang    gangShortage     // GangLacksRoom
}

// crashBackoff describes the failures of a job in a crash loop.
type crashBackoff struct {
	failedMachines int // distinct machines on which its tasks failed
	tries          int // attempts since the crash loop began
}

// gangShortage describes why a gang could not be placed.
type gangShortage struct {
	machinesWithRoom int     // machines with room for a task of the gang now
	reservedMachines int     // machines reserved for the gang
	overdue          bool    // the start is overdue, so the reservations are firm
	secondsToStart   float64 // estimate; unknown if 0 or at least maxCredibleWaitSeconds
}

// setUnplannedReason records why planning left tasks of a job unplanned.
func (f *Fleet) setUnplannedReason(job *jobs.Job, reason unplannedReason) {
	f.unplannedReasons[job.Index] = reason
}

// recordDenied records why a job may not start n tasks together: the team limit as checked by the admission gate, or
// else the licence grants of this scheduling cycle.
func (f *Fleet) recordDenied(job *jobs.Job, n int) {
	if denial := f.Gate.Check(admissionClaim(job), n); denial.TeamLimit {
		f.setUnplannedReason(job, unplannedReason{cause: TeamLimit, denial: denial})
		return
	}
	grant := f.licenceGrants[job.Index]
	denial := admission.Denial{Licence: grant.Denial, Pool: grant.Pool}
	f.setUnplannedReason(job, unplannedReason{cause: LicenceUnavailable, denial: denial})
}

// PendingReason is one cause for which tasks of a job wait, and the number of these tasks.
type PendingReason struct {
	Tasks int          `json:"tasks"`
	Cause PendingCause `json:"why"`
	Text  string       `json:"text"` // the cause with its figures, for users
}

// pendingReasons collects the reasons of one job.
type pendingReasons []PendingReason

// add appends a reason for a number of tasks. It does nothing if the number is 0.
func (r *pendingReasons) add(tasks int, cause PendingCause, format string, args ...any) {
	if tasks > 0 {
		*r = append(*r, PendingReason{tasks, cause, fmt.Sprintf(format, args...)})
	}
}

// PendingReasons returns the reasons for which tasks of a job are neither running nor finished. Each such task counts
// in exactly one reason. The result is nil for a job that has ended.
func (f *Fleet) PendingReasons(now time.Duration, job *jobs.Job) []PendingReason {
	if job.Tasks == nil || job.State.Terminal() {
		return nil
	}
	var reasons pendingReasons
	switch {
	case job.Quarantined:
		reasons.add(job.TaskCount-job.TasksByState[jobs.Finished], RecordUnreadable,
			"a stored record of the job is damaged or can't be read by this release: `harewalk rollout status` names "+
				"the record; no task is started until it can be read or the job is cancelled")
	case job.Suspended:
		reasons.add(job.UnstartedTasks(), SessionSuspended,
			"its session was reclaimed; it resumes when its user attaches")
	default:
		f.addUnplannedReasons(&reasons, now, job)
		f.addPlannedReasons(&reasons, now, job)
		f.addLaunchedReasons(&reasons, now, job)
	}
	return reasons
}

// addUnplannedReasons adds the reason for the unplanned tasks.
func (f *Fleet) addUnplannedReasons(reasons *pendingReasons, now time.Duration, job *jobs.Job) {
	tasks := job.TasksByState[jobs.Unplanned]
	reason, ok := f.unplannedReasons[job.Index]
	if tasks == 0 {
		return
	}
	if !ok {
		reason.cause = PlanningBehind
	}
	size := job.Spec.Size()
	switch reason.cause {
	case TeamLimit:
		team := f.Gate.Quota.Team(job.Team)
		reasons.add(tasks, TeamLimit,
			"team %s uses %s and each task needs %s, which exceeds the team's limit of %s",
			job.Spec.Team,
			formatAmount(team.Used.CPUs, team.Used.GPUs),
			formatAmount(size.CPUs, size.GPUs),
			formatAmount(team.Limit.CPUs, team.Limit.GPUs))
	case LicenceUnavailable:
		reasons.add(tasks, LicenceUnavailable, "licence %s: %s", f.poolName(reason.denial.Pool), reason.denial.Licence)
	case NoMachine:
		reasons.add(tasks, NoMachine,
			"no machine that is up is eligible (each task needs %s and %g GB of memory)",
			formatAmount(size.CPUs, size.GPUs), size.Mem)
	case GangStopping:
		reasons.add(tasks, GangStopping,
			"other tasks of the gang are still on machines; the gang starts again when they have stopped")
	case GangLacksRoom:
		addGangReason(reasons, tasks, job.TaskCount, reason.gang)
	case NoRoom:
		reasons.add(tasks, NoRoom, "no eligible machine has room for a replica")
	case CrashLoopBackoff:
		reasons.add(tasks, CrashLoopBackoff,
			"its tasks have failed on %d machines and none has succeeded, so the fault is most likely in the job: "+
				"%d attempts were made, one task at a time with growing pauses; the next attempt is in %s",
			reason.backoff.failedMachines, reason.backoff.tries, formatWait(reason.retryAt-now))
	case RetryLater:
		reasons.add(tasks, RetryLater, "a task failed; the next attempt is in %s", formatWait(reason.retryAt-now))
	default:
		reasons.add(tasks, PlanningBehind, "no scheduling cycle has planned it yet")
	}
}

// addGangReason adds the reason for a gang's waiting tasks if too few machines have room for the whole gang.
func addGangReason(reasons *pendingReasons, waiting, gangSize int, shortage gangShortage) {
	expectedRoom := formatExpectedRoom(shortage.secondsToStart)
	if gangSize == 1 {
		reasons.add(waiting, GangLacksRoom, "no eligible machine has room now%s", expectedRoom)
		return
	}
	details := ""
	if shortage.reservedMachines > 0 {
		details = fmt.Sprintf("; %d machines are reserved for it as they become free", shortage.reservedMachines)
	}
	if shortage.overdue {
		details += "; it ranks first because it has waited for half of begin_s"
	}
	reasons.add(waiting, GangLacksRoom,
		"a gang of %d tasks needs room for all of them at once; %d machines have room now%s%s",
		gangSize, shortage.machinesWithRoom, expectedRoom, details)
}

// addPlannedReasons adds the reasons for the tasks that are planned and not launched.
func (f *Fleet) addPlannedReasons(reasons *pendingReasons, now time.Duration, job *jobs.Job) {
	writing := 0
	queued := 0
	roomInS := unknownWaitSeconds // seconds until the first of the machines with queued tasks has room
	for t := range job.Tasks {
		task := &job.Tasks[t]
		switch {
		case task.State != jobs.Planned:
		case !job.IsDurable(int32(t)):
			writing++
		default:
			queued++
			if roomInS > 0 {
				roomInS = min(roomInS, f.roomWaitSeconds(now, f.machines[task.Machine], job))
			}
		}
	}
	reasons.add(writing, PlanNotDurable, "planned; the plan is being written, and tasks start only when it is durable")
	switch denial := f.Gate.Check(admissionClaim(job), 1); {
	case denial.TeamLimit:
		reasons.add(queued, TeamLimit, "planned, but team %s is at its limit", job.Spec.Team)
	case denial.Licence != licences.Granted:
		reasons.add(queued, LicenceUnavailable, "planned, but %s", denial.Licence)
	default:
		reasons.add(queued, QueuedOnMachine,
			"queued on %d machines behind the tasks there%s",
			len(f.queuedOn[job.Index]), formatExpectedRoom(roomInS))
	}
}

// roomWaitSeconds estimates in how many seconds a machine will have room for a task of a job. It returns 0 if the
// machine has room now.
func (f *Fleet) roomWaitSeconds(now time.Duration, machine *Machine, job *jobs.Job) float64 {
	if f.fits(machine, job) {
		return 0
	}
	return f.secondsUntilRoom(now, machine, job)
}

// addLaunchedReasons adds the reasons for the tasks that may be on machines and are not running: either their machine
// is quarantined because its zone is lost, or they are starting.
func (f *Fleet) addLaunchedReasons(reasons *pendingReasons, now time.Duration, job *jobs.Job) {
	starting := 0
	lostByZone := map[int32]int{}
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.State.Occupies() && f.machines[task.Machine].Quarantined {
			lostByZone[f.machines[task.Machine].Zone]++
			continue
		}
		if isStarting(task) {
			starting++
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(lostByZone)) {
		withoutContact, leaseLeft := f.zoneContactLoss(now, zone)
		reasons.add(lostByZone[zone], ZoneLost,
			"on machines of zone %s, which have sent no heartbeat for up to %.0f s: the tasks may still run there; "+
				"they start elsewhere when the leases of the machines expire, in at most %.0f s",
			f.Jobs.Names.Zones.Name(zone), withoutContact.Seconds(), leaseLeft.Seconds())
	}
	reasons.add(starting, Starting,
		"sent to their machines: they are starting, fetching their image, or waiting for the rest of their gang")
}

// isStarting reports whether a task may be on its machine and is not running yet.
func isStarting(task *jobs.Task) bool {
	switch task.State {
	case jobs.Launched, jobs.Recovered:
		return true
	case jobs.OnMachine:
		return task.Phase < jobs.Running
	}
	return false
}

// zoneContactLoss returns the longest time without contact among the quarantined machines of a zone, and the time
// until the last of their leases expires.
func (f *Fleet) zoneContactLoss(now time.Duration, zone int32) (withoutContact, leaseLeft time.Duration) {
	for _, machine := range f.machines {
		if machine.Quarantined && machine.Zone == zone {
			withoutContact = max(withoutContact, now-machine.LastContactAt)
			leaseLeft = max(leaseLeft, machine.LeaseRenewedAt+f.Settings.WorkerLease()-now)
		}
	}
	return withoutContact, leaseLeft
}

// formatExpectedRoom formats the number of seconds until room is expected. It returns "" if there is room now or no
// credible estimate.
func formatExpectedRoom(seconds float64) string {
	if seconds <= 0 || seconds >= maxCredibleWaitSeconds {
		return ""
	}
	return fmt.Sprintf("; room is expected in %s", time.Duration(seconds)*time.Second)
}

// formatWait formats a remaining waiting time, rounded to whole seconds.
func formatWait(left time.Duration) string { return max(0, left).Round(time.Second).String() }

// noGPULimit is the number of GPUs from which on an amount means that there is no limit.
const noGPULimit = 1e9

// formatAmount formats an amount of processor cores, and of GPUs unless there are none or no limit on them.
func formatAmount(cpus, gpus float64) string {
	if gpus > 0 && gpus < noGPULimit {
		return fmt.Sprintf("%g cores and %g GPUs", cpus, gpus)
	}
	return fmt.Sprintf("%g cores", cpus)
}

// JobsAhead returns the number of jobs with waiting tasks that rank before a job, and the ids of up to maxIDs of them,
// nearest first.
func (f *Fleet) JobsAhead(job *jobs.Job, maxIDs int) (ids []string, count int) {
	rank := min(f.rankOf(job), len(f.ranking.jobs))
	for i := rank - 1; i >= 0; i-- {
		ahead := f.ranking.jobs[i]
		if ahead.UnstartedTasks() == 0 || ahead.PlanningBlocked() {
			continue
		}
		count++
		if len(ids) < maxIDs {
			ids = append(ids, ahead.ID)
		}
	}
	return ids, count
}
