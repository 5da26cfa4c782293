package fleet

// The waiting work and the utilization of the fleet, for the autoscaler, status displays and the log.

import (
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// TaskDemand is the part of a job that waits for machines.
type TaskDemand struct {
	Job           *jobs.Job
	Tasks         int
	Seconds       float64 // expected run time of one task
	StartTogether bool    // all tasks need machines at the same time: gangs and services
}

// Demand returns the waiting work that team limits and licences allow to run, in priority order.
func (f *Fleet) Demand(now time.Duration) []TaskDemand {
	var needs []TaskDemand
	teamRoom := map[int32]planner.Size{}
	for _, job := range f.ranking.jobs {
		if job.Tasks == nil || job.Spec == nil || job.State.Terminal() || job.PlanningBlocked() {
			continue
		}
		tasks := f.admissibleTasks(now, job)
		if tasks == 0 {
			continue
		}
		team := f.Gate.Quota.Team(job.Team)
		if team == nil {
			continue
		}
		remaining, ok := teamRoom[job.Team]
		if !ok {
			remaining = team.Limit.Sub(team.Used)
		}
		size := job.Spec.Size()
		tasks = min(tasks, max(0, size.FitCount(remaining)))
		if tasks == 0 {
			continue
		}
		teamRoom[job.Team] = remaining.Sub(planner.Size{
			CPUs: size.CPUs * float64(tasks),
			GPUs: size.GPUs * float64(tasks),
		})
		needs = append(needs, TaskDemand{
			Job:           job,
			Tasks:         tasks,
			Seconds:       f.estimate(job),
			StartTogether: job.Spec.Kind != jobs.Array,
		})
	}
	return needs
}

// admissibleTasks returns how many of a job's unstarted tasks could use a machine now, without regard to the limit of
// the job's team. Tasks that wait for licence units don't count, and during the back-off of a crash loop none do.
func (f *Fleet) admissibleTasks(now time.Duration, job *jobs.Job) int {
	unstarted := job.UnstartedTasks()
	if unstarted == 0 || f.inBackoff(now, job) {
		return 0
	}
	if f.crashLooping(job) != nil && job.Spec.Kind != jobs.Gang {
		unstarted = 1
	}
	return f.grantedTasks(job, unstarted)
}

// JobPerClass returns one live job of each class, in priority order.
func (f *Fleet) JobPerClass() []*jobs.Job {
	var representatives []*jobs.Job
	hasRepresentative := map[int32]bool{}
	for _, job := range f.ranking.jobs {
		if job.Spec != nil && !hasRepresentative[job.Class] {
			hasRepresentative[job.Class] = true
			representatives = append(representatives, job)
		}
	}
	return representatives
}

// MeanImageGB returns the mean image size of the live jobs in GB, or 0 if there are no live jobs.
func (f *Fleet) MeanImageGB() float64 {
	sum := 0.0
	count := 0
	for _, job := range f.ranking.jobs {
		if job.Spec != nil {
			sum += job.Spec.ImageGB
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// HasNoLiveJobs reports whether the durable plans are loaded and there is no live job.
func (f *Fleet) HasNoLiveJobs() bool { return f.plansLoaded && len(f.ranking.jobs) == 0 }

// TaskCounts returns how many tasks of a job have finished and how many are running.
func (f *Fleet) TaskCounts(job *jobs.Job) (done, running int) {
	return job.FinishedTasks, job.RunningTasks
}

// machineUse holds totals over the machines that exist.
type machineUse struct {
	ready    int
	notReady int
	spot     int // spot machines, ready or not
	idle     int // machines without tasks, ready or not
	capacity planner.Size
	used     planner.Size
}

// LogSummary logs the utilization of the fleet, and the rates of heartbeats and direct requests since the last
// summary.
func (f *Fleet) LogSummary(now time.Duration) {
	machines := f.sumMachineUse()
	waiting, waitingByClass := f.countWaitingTasks()
	seconds := max(1, (now - max(f.activity.summarizedAt, f.termStartedAt)).Seconds())
	heartbeatRate := float64(f.activity.heartbeats) / seconds
	directRequestRate := float64(f.activity.directRequests) / seconds
	f.activity = activity{summarizedAt: now}
	slog.Info("fleet summary",
		"term", f.Term,
		"heartbeats_per_s", int(heartbeatRate),
		"direct_requests_per_s", int(directRequestRate),
		"machines_ready", machines.ready,
		"machines_not_ready", machines.notReady,
		"machines_spot", machines.spot,
		"machines_idle", machines.idle,
		"cpus", int(machines.capacity.CPUs),
		"cpus_used", int(machines.used.CPUs),
		"gpus", int(machines.capacity.GPUs),
		"gpus_used", int(machines.used.GPUs),
		"jobs", len(f.ranking.jobs),
		"tasks_waiting", waiting,
		"tasks_waiting_by_class", waitingByClass)
}

// sumMachineUse sums up all machines except terminated ones and those whose lease has expired.
func (f *Fleet) sumMachineUse() machineUse {
	var use machineUse
	for _, machine := range f.machines {
		switch machine.Condition {
		case Terminated, LeaseExpired:
			continue
		case Ready:
			use.ready++
		default:
			use.notReady++
		}
		if machine.Spot {
			use.spot++
		}
		if len(machine.Tasks) == 0 {
			use.idle++
		}
		use.capacity = use.capacity.Add(machine.Capacity)
		use.used = use.used.Add(machine.Used)
	}
	return use
}

// countWaitingTasks returns the number of unstarted tasks, in total and by class as "class:count" separated by spaces.
func (f *Fleet) countWaitingTasks() (total int, byClass string) {
	counts := map[int32]int{}
	for _, job := range f.ranking.jobs {
		unstarted := job.UnstartedTasks()
		total += unstarted
		counts[job.Class] += unstarted
	}
	var classes []string
	for class, count := range counts {
		if count > 0 {
			classes = append(classes, fmt.Sprintf("%s:%d", f.Jobs.Names.Classes.Name(class), count))
		}
	}
	sort.Strings(classes)
	return total, strings.Join(classes, " ")
}
