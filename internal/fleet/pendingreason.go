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

// PendingCause is why some of a job's tasks wait. It is noted where planning decides; who asks is told
// what was decided and nothing guessed anew.
type PendingCause string

// The causes.
const (
	TeamLimit          PendingCause = "team_limit"       // its team may use no more
	LicenceUnavailable PendingCause = "licence"          // a seat of a licence is missing
	NoMachine          PendingCause = "no_machine"       // no machine that is up may take it
	GangShort          PendingCause = "gang_short"       // too few machines have room for a gang at once
	NoRoom             PendingCause = "no_room"          // no machine that may take a replica has room
	RetryLater         PendingCause = "retry"            // it failed, and is tried again later
	CrashLoopBackoff   PendingCause = "failing"          // it fails wherever it runs
	SessionSuspended   PendingCause = "parked"           // a session that was reclaimed
	RecordUnreadable   PendingCause = "unreadable"       // something stored of it can't be read
	ZoneLost           PendingCause = "zone_lost"        // on a machine of a lost zone that isn't heard
	PlanningBehind     PendingCause = "planning_behind"  // planning has not come to it yet
	QueuedOnMachine    PendingCause = "lane"             // planned on machines that are busy now
	PlanNotDurable     PendingCause = "plan_not_durable" // its plan is being written
	GangStopping       PendingCause = "gang_leaving"     // the rest of its gang must be gone first
	Arriving           PendingCause = "starting"         // sent to its machine, not running yet
)

// pendingNote is what planning last decided about a job's unplanned tasks.
type pendingNote struct {
	cause      PendingCause
	denial     admission.Denial
	have, need int           // machines with room, and tasks, of a gang
	held       int           // machines that are kept for a gang as they come free
	overdue    bool          // it goes first, since it has waited for long
	until      time.Duration // Retry: not before
	start      float64       // seconds until it could start, as estimated; 0: unknown
}

// setPendingNote keeps what planning decided about a job.
func (f *Fleet) setPendingNote(job *jobs.Job, v pendingNote) { f.pendingNotes[job.Index] = v }

// noteDenied notes that the gate, or the seats handed out in this pass, keep a job from starting n
// tasks together.
func (f *Fleet) noteDenied(job *jobs.Job, n int) {
	if d := f.Gate.Ask(admissionClaim(job), n); d.TeamLimit {
		f.setPendingNote(job, pendingNote{cause: TeamLimit, denial: d})
		return
	}
	grant := f.licenceGrants[job.Index]
	f.setPendingNote(job, pendingNote{cause: LicenceUnavailable, denial: admission.Denial{Licence: grant.Why, Pool: grant.Pool}})
}

// PendingReason is some of a job's tasks and why they wait.
type PendingReason struct {
	Tasks int          `json:"tasks"`
	Cause PendingCause `json:"why"`
	Text  string       `json:"text"`
}

// PendingReasons says why each part of a job waits.
func (f *Fleet) PendingReasons(now time.Duration, job *jobs.Job) []PendingReason {
	var parts []PendingReason
	add := func(n int, c PendingCause, format string, a ...any) {
		if n > 0 {
			parts = append(parts, PendingReason{n, c, fmt.Sprintf(format, a...)})
		}
	}
	if job.Tasks == nil || job.State.Terminal() {
		return parts
	}
	if job.Quarantined {
		add(job.TaskCount-job.TasksByState[jobs.Finished], RecordUnreadable, "what is stored of it can't be read by this release or is damaged: `harewalk rollout status` says which record; nothing of it is started until it can be read, or the job is cancelled")
		return parts
	}
	if job.Suspended {
		add(job.UnstartedTasks(), SessionSuspended, "its session was reclaimed; it resumes when its user attaches")
		return parts
	}
	f.unplannedWhy(now, job, add)
	f.plannedWhy(now, job, add)
	arriving := 0
	held := map[int32]int{} // by zone
	for t := range job.Tasks {
		if task := &job.Tasks[t]; task.State.Occupies() && f.machines[task.Machine].Quarantined {
			held[f.machines[task.Machine].Zone]++
			continue
		}
		if task := &job.Tasks[t]; task.State == jobs.Launched || task.State == jobs.Recovered || (task.State == jobs.OnMachine && task.Phase < jobs.Running) {
			arriving++
		}
	}
	for _, z := range slices.Sorted(maps.Keys(held)) {
		last, since := time.Duration(0), now
		for _, machine := range f.machines {
			if machine.Quarantined && machine.Zone == z {
				last, since = max(last, machine.LastAnsweredAt+f.Settings.Lease()-now), min(since, machine.LastHeardAt)
			}
		}
		add(held[z], ZoneLost, "on machines of zone %s, which have not been heard for up to %.0f s: they may still run there, and start elsewhere when the leases are over, in at most %.0f s",
			f.Jobs.Names.Zones.Name(z), (now - since).Seconds(), max(0, last.Seconds()))
	}
	add(arriving, Arriving, "sent to their machines: they start, fetch their image, or wait for the rest of their gang")
	return parts
}

func (f *Fleet) unplannedWhy(now time.Duration, job *jobs.Job, add func(int, PendingCause, string, ...any)) {
	n := job.TasksByState[jobs.Unplanned]
	v, known := f.pendingNotes[job.Index]
	if n == 0 {
		return
	}
	if !known {
		v.cause = PlanningBehind
	}
	size := job.Spec.Size()
	switch v.cause {
	case TeamLimit:
		t := f.Gate.Quota.Team(job.Team)
		add(n, v.cause, "team %s uses %s, and each task needs %s: that is beyond the team's limit of %s", job.Spec.Team, amount(t.Used.CPUs, t.Used.GPUs),
			amount(size.CPUs, size.GPUs), amount(t.Limit.CPUs, t.Limit.GPUs))
	case LicenceUnavailable:
		pool := "a pool that is not declared here"
		if ps := f.Jobs.Names.Pools.Pools(); v.denial.Pool >= 0 && int(v.denial.Pool) < len(ps) {
			pool = ps[v.denial.Pool].Name
		}
		add(n, v.cause, "licence %s: %s", pool, v.denial.Licence)
	case NoMachine:
		add(n, v.cause, "no machine that is up may take it (%s, %g GB for each task)", amount(size.CPUs, size.GPUs), size.Mem)
	case GangStopping:
		add(n, v.cause, "the rest of its gang is still on machines, and has to be gone before it starts anew")
	case GangShort:
		if v.need == 1 {
			add(n, v.cause, "no machine that may take it has room now%s", soon(v.start))
			break
		}
		keeping := ""
		if v.held > 0 {
			keeping = fmt.Sprintf("; %d machines are kept for it as they come free", v.held)
		}
		if v.overdue {
			keeping += "; it goes first, having waited for half of begin_s"
		}
		add(n, v.cause, "a gang of %d tasks needs as many places at once; %d machines have room now%s%s", v.need, v.have, soon(v.start), keeping)
	case NoRoom:
		add(n, v.cause, "no machine that may take a replica has room")
	case CrashLoopBackoff:
		add(n, v.cause, "its tasks have failed on %d machines and none is done, so the mistake is most likely in the job: it was tried %d times, with pauses that grow, one task at a time; the next try comes in %s", v.have, v.need,
			max(0, v.until-now).Round(time.Second))
	case RetryLater:
		add(n, v.cause, "a task failed; the next try comes in %s", max(0, v.until-now).Round(time.Second))
	default:
		add(n, PlanningBehind, "planning has not come to it yet")
	}
}

func (f *Fleet) plannedWhy(now time.Duration, job *jobs.Job, add func(int, PendingCause, string, ...any)) {
	writing, lanes := 0, 0
	soonest := 1e9
	for t := range job.Tasks {
		task := &job.Tasks[t]
		switch {
		case task.State != jobs.Planned:
		case !job.IsDurable(int32(t)):
			writing++
		default:
			lanes++
			if machine := f.machines[task.Machine]; soonest > 0 {
				if f.fits(machine, job) {
					soonest = 0
				} else {
					soonest = min(soonest, f.secondsUntilRoom(now, machine, job))
				}
			}
		}
	}
	add(writing, PlanNotDurable, "planned; the plan is being written, and nothing starts before it is")
	switch d := f.Gate.Ask(admissionClaim(job), 1); {
	case d.TeamLimit:
		add(lanes, TeamLimit, "planned, but team %s is at its limit", job.Spec.Team)
	case d.Licence != licences.Granted:
		add(lanes, LicenceUnavailable, "planned, but %s", d.Licence)
	default:
		add(lanes, QueuedOnMachine, "planned on %d machines, in the lanes of what is there now%s", len(f.queuedOn[job.Index]), soon(soonest))
	}
}

func soon(s float64) string {
	if s <= 0 || s >= 1e5 {
		return ""
	}
	return fmt.Sprintf("; room is expected in %s", (time.Duration(s) * time.Second).String())
}

func amount(cpus, gpus float64) string {
	if gpus > 0 && gpus < 1e9 {
		return fmt.Sprintf("%g cores and %g GPUs", cpus, gpus)
	}
	return fmt.Sprintf("%g cores", cpus)
}

// JobsAhead names the jobs that rank before one and have tasks that wait, the nearest first, at most
// most; and how many there are.
func (f *Fleet) JobsAhead(job *jobs.Job, most int) (ids []string, n int) {
	at := f.rankOf(job)
	for i := min(at, len(f.ranking.jobs)) - 1; i >= 0; i-- {
		if o := f.ranking.jobs[i]; o.UnstartedTasks() > 0 && !o.Idle() {
			if n++; len(ids) < most {
				ids = append(ids, o.ID)
			}
		}
	}
	return ids, n
}
