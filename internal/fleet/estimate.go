package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// classStats corrects a class's estimates by what was seen.
type classStats struct {
	ratio   float64 // run time against estimate
	samples float64
}

// classStatsOf finds a class's record.
func (f *Fleet) classStatsOf(class int32) *classStats {
	s := f.classes[class]
	if s == nil {
		s = &classStats{ratio: 1}
		f.classes[class] = s
	}
	return s
}

// estimate is a task's expected run time in seconds, corrected by its class.
func (f *Fleet) estimate(job *jobs.Job) float64 {
	if job.Spec.EstimateS <= 0 {
		return 1
	}
	return job.Spec.EstimateS * f.classStatsOf(job.Class).ratio
}

// fetchSeconds is how long a machine needs to fetch a job's image, 0 if it has it.
func (f *Fleet) fetchSeconds(job *jobs.Job, machine *Machine) float64 {
	ty := f.machineType(machine)
	if ty == nil || ty.FetchGB <= 0 || machine.HasImage(job.Image) {
		return 0
	}
	return job.Spec.ImageGB / ty.FetchGB
}

// remainingSeconds is the estimated remaining time of a task on its machine, in seconds.
func (f *Fleet) remainingSeconds(now time.Duration, job *jobs.Job, taskIndex int32) float64 {
	task := &job.Tasks[taskIndex]
	machine := f.machines[task.Machine]
	if task.Stopping {
		return job.Spec.SaveS + 1
	}
	est := f.estimate(job) * machine.slowdown
	if task.Phase == jobs.Running || task.Phase == jobs.Saving {
		ran := (now - task.RunningSince).Seconds()
		// An overdue task is most likely to run on for a part of what it has run.
		return max(est-ran, 0.25*ran, 1)
	}
	ty := f.machineType(machine)
	if ty == nil || ty.FetchGB <= 0 {
		return est
	}
	return est + max(0, job.Spec.ImageGB/ty.FetchGB-(now-task.LaunchedAt).Seconds())
}
