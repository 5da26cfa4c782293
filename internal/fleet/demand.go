package fleet

// Waiting work and the use of the fleet, as others need them: for scaling and for displays.

import (
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Need is work that waits for machines.
type Need struct {
	Job           *jobs.Job
	Tasks         int
	Seconds       float64 // expected run time of each task
	StartTogether bool    // all tasks should start now rather than one after the other
}

// Demand lists the waiting work in priority order, as far as team limits and licences let it run.
func (f *Fleet) Demand(now time.Duration) []Need {
	var needs []Need
	teamRoom := map[int32]planner.Size{}
	for _, job := range f.ranking.jobs {
		if job.Tasks == nil || job.Spec == nil || job.State.Terminal() || job.Idle() {
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
		left, known := teamRoom[job.Team]
		if !known {
			left = team.Limit.Sub(team.Used)
		}
		size := job.Spec.Size()
		tasks = min(tasks, max(0, size.Copies(left)))
		if tasks == 0 {
			continue
		}
		teamRoom[job.Team] = left.Sub(planner.Size{CPUs: size.CPUs * float64(tasks), GPUs: size.GPUs * float64(tasks)})
		needs = append(needs, Need{
			Job:           job,
			Tasks:         tasks,
			Seconds:       f.estimate(job),
			StartTogether: job.Spec.Kind != jobs.Array,
		})
	}
	return needs
}

// admissibleTasks returns how many of a job's unstarted tasks could use a machine now, whatever its team's limit:
// none in a crash loop's back-off, and none that wait for a licence.
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
	seen := map[int32]bool{}
	for _, job := range f.ranking.jobs {
		if job.Spec != nil && !seen[job.Class] {
			seen[job.Class] = true
			representatives = append(representatives, job)
		}
	}
	return representatives
}

// ImageGB returns the mean size in GB of the images that live jobs need, 0 if there are none.
func (f *Fleet) ImageGB() float64 {
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

// Quiescent reports whether there is no live job. It is false until the durable plans are loaded.
func (f *Fleet) Quiescent() bool { return f.plansLoaded && len(f.ranking.jobs) == 0 }

// TaskCounts returns how many of a job's tasks are done and how many are running.
func (f *Fleet) TaskCounts(job *jobs.Job) (done, running int) {
	return job.FinishedTasks, job.RunningTasks
}

// machineUse sums up the machines of the fleet that exist.
type machineUse struct {
	ready    int
	notReady int
	spot     int // of both
	idle     int // of both
	capacity planner.Size
	used     planner.Size
}

// LogSummary logs how full the fleet is, and the rates of heartbeats and direct requests since the last summary.
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

// sumMachineUse sums up the machines other than those that are gone, or whose lease has expired.
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

// countWaitingTasks returns how many tasks wait, in total and written out by class.
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
