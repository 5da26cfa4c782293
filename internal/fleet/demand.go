package fleet

import (
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Need is work that waits.
type Need struct {
	Job     *jobs.Job
	Tasks   int
	Seconds float64 // expected for each
	Whole   bool    // should start now rather than after something else
}

// Demand lists the waiting work in rank order, as far as team limits let it run.
func (f *Fleet) Demand(now time.Duration) []Need {
	var out []Need
	room := map[int32]planner.Size{}
	for _, job := range f.ranking.jobs {
		if job.Tasks == nil || job.Spec == nil || job.State.Terminal() || job.Idle() {
			continue
		}
		n := job.UnstartedTasks()
		if n == 0 {
			continue
		}
		if f.inBackoff(now, job) {
			continue
		}
		if f.crashLooping(job) != nil && job.Spec.Kind != jobs.Gang {
			n = 1
		}
		// What waits for a licence needs no machine yet.
		if n = f.grantedTasks(job, n); n == 0 {
			continue
		}
		t := f.Gate.Quota.Team(job.Team)
		if t == nil {
			continue
		}
		left, ok := room[job.Team]
		if !ok {
			left = t.Limit.Sub(t.Used)
		}
		n = min(n, max(0, job.Spec.Size().Copies(left)))
		if n == 0 {
			continue
		}
		size := job.Spec.Size()
		room[job.Team] = left.Sub(planner.Size{CPUs: size.CPUs * float64(n), GPUs: size.GPUs * float64(n)})
		out = append(out, Need{job, n, f.estimate(job), job.Spec.Kind != jobs.Array})
	}
	return out
}

// ExpectedWork lists what is on a machine with its remaining time, until the next call.
func (f *Fleet) ExpectedWork(now time.Duration, machine *Machine) []planner.Work {
	f.scratch.work = f.appendMachineWork(f.scratch.work[:0], now, machine, -1, nil)
	return f.scratch.work
}

// TaskCounts is what is displayed of a job.
func (f *Fleet) TaskCounts(job *jobs.Job) (done, running int) {
	return job.FinishedTasks, job.RunningTasks
}

// Summary logs how full the fleet is, for operators who follow an incident.
func (f *Fleet) Summary(now time.Duration) {
	var acting, idle, spot, other, waiting int
	var size, use planner.Size
	for _, machine := range f.machines {
		switch machine.Condition {
		case Terminated, LeaseExpired:
			continue
		case Ready:
			acting++
		default:
			other++
		}
		if machine.Spot {
			spot++
		}
		if len(machine.Tasks) == 0 {
			idle++
		}
		size, use = size.Add(machine.Capacity), use.Add(machine.Used)
	}
	byClass := map[int32]int{}
	for _, job := range f.ranking.jobs {
		waiting += job.UnstartedTasks()
		byClass[job.Class] += job.UnstartedTasks()
	}
	var classes []string
	for c, n := range byClass {
		if n > 0 {
			classes = append(classes, fmt.Sprintf("%s:%d", f.Jobs.Names.Classes.Name(c), n))
		}
	}
	sort.Strings(classes)
	took := max(1, (now - max(f.activity.summarizedAt, f.termStartedAt)).Seconds())
	reports, orders := float64(f.activity.heartbeats)/took, float64(f.activity.directRequests)/took
	f.activity.heartbeats, f.activity.directRequests, f.activity.summarizedAt = 0, 0, now
	slog.Info("fleet", "term", f.Term, "reports_s", int(reports), "orders_s", int(orders), "acting", acting, "other", other, "spot", spot, "idle", idle, "cpus", int(size.CPUs),
		"cpus_used", int(use.CPUs), "gpus", int(size.GPUs), "gpus_used", int(use.GPUs), "jobs", len(f.ranking.jobs), "waiting", waiting,
		"by_class", strings.Join(classes, " "))
}

// ImageGB is the mean size of the images that live jobs need.
func (f *Fleet) ImageGB() float64 {
	sum, n := 0.0, 0
	for _, job := range f.ranking.jobs {
		if job.Spec != nil {
			sum += job.Spec.ImageGB
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Quiescent tells that there is no job at all.
func (f *Fleet) Quiescent() bool { return f.plansLoaded && len(f.ranking.jobs) == 0 }

// WaitingShapes gives one live job of each class, in rank order.
func (f *Fleet) WaitingShapes() []*jobs.Job {
	var out []*jobs.Job
	seen := map[int32]bool{}
	for _, job := range f.ranking.jobs {
		if job.Spec != nil && !seen[job.Class] {
			seen[job.Class] = true
			out = append(out, job)
		}
	}
	return out
}
