package fleet

// Estimates of run and fetch times.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// overrunFraction is the expected remaining time of a task that has exceeded its estimate, as a fraction of its run
// time so far.
const overrunFraction = 0.25

// classStats holds the correction of estimates for a class of jobs, derived from observed run times.
type classStats struct {
	ratio   float64 // smoothed ratio of run time to estimate
	samples float64 // total weight of the run times in ratio
}

// classStatsOf returns the statistics of a class. It creates them if there are none.
func (f *Fleet) classStatsOf(class int32) *classStats {
	stats := f.classes[class]
	if stats == nil {
		stats = &classStats{ratio: 1}
		f.classes[class] = stats
	}
	return stats
}

// estimate returns the expected run time of a job's task in seconds: the estimate in its spec, corrected by the
// statistics of its class, or 1 if the spec has none.
func (f *Fleet) estimate(job *jobs.Job) float64 {
	if job.Spec.EstimateS <= 0 {
		return 1
	}
	return job.Spec.EstimateS * f.classStatsOf(job.Class).ratio
}

// stageHeartbeats is how many heartbeat intervals a stage of a pipeline takes in addition to its run time: one
// heartbeat reports its start, and one its end.
const stageHeartbeats = 2

// StageTime returns the expected time from the release of a job to its end, if there is room for it at once. It is the
// sum of the fetch of its image at 1 GB/s, its run time and stageHeartbeats heartbeat intervals.
func (f *Fleet) StageTime(job *jobs.Job) time.Duration {
	heartbeats := stageHeartbeats * f.Settings.Params.Workers.HeartbeatIntervalS
	return jobs.Seconds(f.estimate(job) + job.Spec.ImageGB + heartbeats)
}

// fetchSeconds returns how many seconds a machine takes to fetch a job's image. It returns 0 if the machine has the
// image or if its fetch rate is unknown.
func (f *Fleet) fetchSeconds(job *jobs.Job, machine *Machine) float64 {
	machineType := f.machineType(machine)
	if machineType == nil || machineType.FetchGB <= 0 || machine.HasImage(job.Image) {
		return 0
	}
	return job.Spec.ImageGB / machineType.FetchGB
}

// remainingSeconds returns the estimated remaining time of a task on its machine, in seconds.
func (f *Fleet) remainingSeconds(now time.Duration, job *jobs.Job, taskIndex int32) float64 {
	task := &job.Tasks[taskIndex]
	if task.Stopping {
		return job.Spec.SaveS + 1
	}
	machine := f.machines[task.Machine]
	expected := f.estimate(job) * machine.slowdown
	if task.Phase == jobs.Running || task.Phase == jobs.Saving {
		elapsed := (now - task.RunningSince).Seconds()
		return max(expected-elapsed, overrunFraction*elapsed, 1)
	}
	machineType := f.machineType(machine)
	if machineType == nil || machineType.FetchGB <= 0 {
		return expected
	}
	sinceLaunch := (now - task.LaunchedAt).Seconds()
	return expected + max(0, job.Spec.ImageGB/machineType.FetchGB-sinceLaunch)
}
