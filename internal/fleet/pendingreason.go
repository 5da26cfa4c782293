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

// This file reports why tasks of a job wait. For tasks without a plan, the cause is recorded where planning decides,
// so that a report shows what was decided.

// PendingCause is why some of a job's tasks wait. Its values are part of the HTTP API.
type PendingCause string

// The causes.
const (
	TeamLimit          PendingCause = "team_limit" // its team may use no more
	LicenceUnavailable PendingCause = "licence"    // units of a licence pool are missing
	NoMachine          PendingCause = "no_machine" // no machine that is up may take it
	GangShort          PendingCause = "gang_short" // too few machines have room for a gang at once
	NoRoom             PendingCause = "no_room"    // no machine that may take a replica has room
	RetryLater         PendingCause = "retry"      // it failed and is retried later
	CrashLoopBackoff   PendingCause = "failing"    // it fails wherever it runs and is retried with back-off
	SessionSuspended   PendingCause = "parked"     // its session was reclaimed
	// PredecessorsUnfinished: jobs that must be done before it aren't, or it is to be cancelled with one of them.
	PredecessorsUnfinished PendingCause = "predecessors"
	RecordUnreadable       PendingCause = "unreadable"       // something stored of it can't be read
	ZoneLost               PendingCause = "zone_lost"        // on a machine of a lost zone that sends no heartbeats
	PlanningBehind         PendingCause = "planning_behind"  // no scheduling cycle has reached it yet
	QueuedOnMachine        PendingCause = "lane"             // in the queue of a machine that has no room now
	PlanNotDurable         PendingCause = "plan_not_durable" // its plan is being written
	GangStopping           PendingCause = "gang_leaving"     // the rest of its gang must be gone first
	Arriving               PendingCause = "starting"         // sent to its machine, not running yet
)

// unplannedReason is why the last scheduling cycle left tasks of a job without a plan. The other fields are set for the
// causes that are named beside them.
type unplannedReason struct {
	cause   PendingCause
	denial  admission.Denial // TeamLimit, LicenceUnavailable
	retryAt time.Duration    // RetryLater, CrashLoopBackoff: not before
	backoff crashBackoff     // CrashLoopBackoff
	gang    gangShortage     // GangShort
}

// crashBackoff is how a job in a crash loop has failed.
type crashBackoff struct {
	failedMachines int // distinct ones
	tries          int
}

// gangShortage is what a gang lacked that could not be placed.
type gangShortage struct {
	machinesWithRoom int
	reservedMachines int     // kept for it as they get room
	overdue          bool    // it has waited for long, and its reservations hold against all other jobs
	secondsToStart   float64 // estimated; 0 or maxCredibleWaitSeconds and more: not known
}

// setUnplannedReason records why planning left tasks of a job without a plan.
func (f *Fleet) setUnplannedReason(job *jobs.Job, reason unplannedReason) {
	f.unplannedReasons[job.Index] = reason
}

// recordDenied records that the admission gate, or the licence grants of this scheduling cycle, keep a job from
// starting n tasks together.
func (f *Fleet) recordDenied(job *jobs.Job, n int) {
	if denial := f.Gate.Check(admissionClaim(job), n); denial.TeamLimit {
		f.setUnplannedReason(job, unplannedReason{cause: TeamLimit, denial: denial})
		return
	}
	grant := f.licenceGrants[job.Index]
	denial := admission.Denial{Licence: grant.Denial, Pool: grant.Pool}
	f.setUnplannedReason(job, unplannedReason{cause: LicenceUnavailable, denial: denial})
}

// PendingReason is how many of a job's tasks wait for one cause.
type PendingReason struct {
	Tasks int          `json:"tasks"`
	Cause PendingCause `json:"why"`
	Text  string       `json:"text"` // the cause with its figures, for users
}

// pendingReasons collects the reasons of one job.
type pendingReasons []PendingReason

// add adds a reason unless it is that of no task.
func (r *pendingReasons) add(tasks int, cause PendingCause, format string, args ...any) {
	if tasks > 0 {
		*r = append(*r, PendingReason{tasks, cause, fmt.Sprintf(format, args...)})
	}
}

// PendingReasons returns why the tasks of a job wait that neither run nor are finished: each of them counts in
// exactly one reason. It returns nil for a job that has ended.
func (f *Fleet) PendingReasons(now time.Duration, job *jobs.Job) []PendingReason {
	if job.Tasks == nil || job.State.Terminal() {
		return nil
	}
	var reasons pendingReasons
	switch {
	case job.Quarantined:
		reasons.add(job.TaskCount-job.TasksByState[jobs.Finished], RecordUnreadable,
			"what is stored of it can't be read by this release or is damaged: `harewalk rollout status` says which "+
				"record; nothing of it is started until it can be read, or the job is cancelled")
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

// addUnplannedReasons adds the reason of the tasks without a plan.
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
			"team %s uses %s, and each task needs %s: that is beyond the team's limit of %s",
			job.Spec.Team,
			formatAmount(team.Used.CPUs, team.Used.GPUs),
			formatAmount(size.CPUs, size.GPUs),
			formatAmount(team.Limit.CPUs, team.Limit.GPUs))
	case LicenceUnavailable:
		reasons.add(tasks, LicenceUnavailable, "licence %s: %s", f.poolName(reason.denial.Pool), reason.denial.Licence)
	case NoMachine:
		reasons.add(tasks, NoMachine,
			"no machine that is up may take it (%s, %g GB for each task)",
			formatAmount(size.CPUs, size.GPUs), size.Mem)
	case GangStopping:
		reasons.add(tasks, GangStopping,
			"the rest of its gang is still on machines, and has to be gone before it starts anew")
	case GangShort:
		addGangReason(reasons, tasks, job.TaskCount, reason.gang)
	case NoRoom:
		reasons.add(tasks, NoRoom, "no machine that may take a replica has room")
	case CrashLoopBackoff:
		reasons.add(tasks, CrashLoopBackoff,
			"its tasks have failed on %d machines and none is done, so the mistake is most likely in the job: "+
				"it was tried %d times, with pauses that grow, one task at a time; the next try comes in %s",
			reason.backoff.failedMachines, reason.backoff.tries, formatWait(reason.retryAt-now))
	case RetryLater:
		reasons.add(tasks, RetryLater, "a task failed; the next try comes in %s", formatWait(reason.retryAt-now))
	default:
		reasons.add(tasks, PlanningBehind, "planning has not come to it yet")
	}
}

// addGangReason adds the reason of a gang's waiting tasks where too few machines have room for all of the gang.
func addGangReason(reasons *pendingReasons, waiting, gangSize int, shortage gangShortage) {
	expectedRoom := formatExpectedRoom(shortage.secondsToStart)
	if gangSize == 1 {
		reasons.add(waiting, GangShort, "no machine that may take it has room now%s", expectedRoom)
		return
	}
	details := ""
	if shortage.reservedMachines > 0 {
		details = fmt.Sprintf("; %d machines are kept for it as they come free", shortage.reservedMachines)
	}
	if shortage.overdue {
		details += "; it goes first, having waited for half of begin_s"
	}
	reasons.add(waiting, GangShort,
		"a gang of %d tasks needs as many places at once; %d machines have room now%s%s",
		gangSize, shortage.machinesWithRoom, expectedRoom, details)
}

// addPlannedReasons adds the reasons of the tasks that are planned and not launched.
func (f *Fleet) addPlannedReasons(reasons *pendingReasons, now time.Duration, job *jobs.Job) {
	writing := 0
	queued := 0
	roomInS := unknownWaitSeconds // until the first machine has room, of those in whose queues the tasks are
	for t := range job.Tasks {
		task := &job.Tasks[t]
		switch {
		case task.State != jobs.Planned:
		case !job.IsDurable(int32(t)):
			writing++
		default:
			queued++
			if roomInS > 0 {
				roomInS = min(roomInS, f.secondsToRoom(now, f.machines[task.Machine], job))
			}
		}
	}
	reasons.add(writing, PlanNotDurable, "planned; the plan is being written, and nothing starts before it is")
	switch denial := f.Gate.Check(admissionClaim(job), 1); {
	case denial.TeamLimit:
		reasons.add(queued, TeamLimit, "planned, but team %s is at its limit", job.Spec.Team)
	case denial.Licence != licences.Granted:
		reasons.add(queued, LicenceUnavailable, "planned, but %s", denial.Licence)
	default:
		reasons.add(queued, QueuedOnMachine,
			"planned on %d machines, in the lanes of what is there now%s",
			len(f.queuedOn[job.Index]), formatExpectedRoom(roomInS))
	}
}

// secondsToRoom estimates in how many seconds a machine has room for a task of a job: 0 if it has room now.
func (f *Fleet) secondsToRoom(now time.Duration, machine *Machine, job *jobs.Job) float64 {
	if f.fits(machine, job) {
		return 0
	}
	return f.secondsUntilRoom(now, machine, job)
}

// addLaunchedReasons adds the reasons of the tasks that may be on machines and don't run: their machine is
// quarantined with its lost zone, or they are starting.
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
		silentFor, leaseLeft := f.zoneSilence(now, zone)
		reasons.add(lostByZone[zone], ZoneLost,
			"on machines of zone %s, which have not been heard for up to %.0f s: they may still run there, "+
				"and start elsewhere when the leases are over, in at most %.0f s",
			f.Jobs.Names.Zones.Name(zone), silentFor.Seconds(), leaseLeft.Seconds())
	}
	reasons.add(starting, Arriving,
		"sent to their machines: they start, fetch their image, or wait for the rest of their gang")
}

// isStarting returns whether a task may be on its machine, and does not run yet.
func isStarting(task *jobs.Task) bool {
	switch task.State {
	case jobs.Launched, jobs.Recovered:
		return true
	case jobs.OnMachine:
		return task.Phase < jobs.Running
	}
	return false
}

// zoneSilence returns how long the quarantined machine of a zone that was heard least recently has been silent, and
// how long the last of their leases may still last.
func (f *Fleet) zoneSilence(now time.Duration, zone int32) (silentFor, leaseLeft time.Duration) {
	for _, machine := range f.machines {
		if machine.Quarantined && machine.Zone == zone {
			silentFor = max(silentFor, now-machine.LastContactAt)
			leaseLeft = max(leaseLeft, machine.LeaseRenewedAt+f.Settings.WorkerLease()-now)
		}
	}
	return silentFor, leaseLeft
}

// formatExpectedRoom formats in how many seconds room is expected, "" if that is now or there is no credible estimate.
func formatExpectedRoom(seconds float64) string {
	if seconds <= 0 || seconds >= maxCredibleWaitSeconds {
		return ""
	}
	return fmt.Sprintf("; room is expected in %s", time.Duration(seconds)*time.Second)
}

// formatWait formats a time left to wait, in whole seconds.
func formatWait(left time.Duration) string { return max(0, left).Round(time.Second).String() }

// noGPULimit is a number of GPUs that stands for no limit.
const noGPULimit = 1e9

// formatAmount formats an amount of processor cores and, if there are any, of GPUs.
func formatAmount(cpus, gpus float64) string {
	if gpus > 0 && gpus < noGPULimit {
		return fmt.Sprintf("%g cores and %g GPUs", cpus, gpus)
	}
	return fmt.Sprintf("%g cores", cpus)
}

// JobsAhead returns how many jobs with waiting tasks rank before a job, and the ids of the nearest of them, at most
// maxIDs.
func (f *Fleet) JobsAhead(job *jobs.Job, maxIDs int) (ids []string, count int) {
	rank := min(f.rankOf(job), len(f.ranking.jobs))
	for i := rank - 1; i >= 0; i-- {
		ahead := f.ranking.jobs[i]
		if ahead.UnstartedTasks() == 0 || ahead.Idle() {
			continue
		}
		count++
		if len(ids) < maxIDs {
			ids = append(ids, ahead.ID)
		}
	}
	return ids, count
}
