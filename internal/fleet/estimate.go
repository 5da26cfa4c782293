package fleet

// Estimates of run and fetch times.

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// overrunFraction is the part of its run time so far for which a task that exceeded its estimate is expected to go
// on.
const overrunFraction = 0.25

// classStats corrects the estimates of a class of jobs by the run times seen.
type classStats struct {
	ratio   float64 // of run time to estimate, smoothed
	samples float64 // weight of the run times that ratio rests on
}

// classStatsOf returns the record of a class, which it makes if there is none.
func (f *Fleet) classStatsOf(class int32) *classStats {
	stats := f.classes[class]
	if stats == nil {
		stats = &classStats{ratio: 1}
		f.classes[class] = stats
	}
	return stats
}

// estimate returns the expected run time of a job's task in seconds, corrected by its class.
func (f *Fleet) estimate(job *jobs.Job) float64 {
	if job.Spec.EstimateS <= 0 {
		return 1
	}
	return job.Spec.EstimateS * f.classStatsOf(job.Class).ratio
}

// stageHeartbeats is how many heartbeat intervals a stage of a pipeline takes beside its run time: its start and its
// end are each learned by a heartbeat.
const stageHeartbeats = 2

// StageTime returns the expected time from a job's release to its end, where there is room at once: the fetch of its
// image at the usual rate, its run time, and the heartbeats in between.
func (f *Fleet) StageTime(job *jobs.Job) time.Duration {
	heartbeats := stageHeartbeats * f.Settings.Params.Workers.HeartbeatIntervalS
	return jobs.Seconds(f.estimate(job) + job.Spec.ImageGB + heartbeats)
}

// fetchSeconds returns how long a machine takes to fetch a job's image: 0 if it has the image, or if its rate is
// unknown.
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
