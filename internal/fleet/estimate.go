package fleet

import (
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// classStats corrects a class's estimates by what was seen.
type classStats struct {
	ratio float64 // run time against estimate
	n     float64
}

// stats finds a class's record.
func (f *Fleet) stats(class int32) *classStats {
	s := f.classes[class]
	if s == nil {
		s = &classStats{ratio: 1}
		f.classes[class] = s
	}
	return s
}

// estimate is a task's expected run time in seconds, corrected by its class.
func (f *Fleet) estimate(j *jobs.Job) float64 {
	if j.Spec.EstimateS <= 0 {
		return 1
	}
	return j.Spec.EstimateS * f.stats(j.Class).ratio
}

// fetchS is how long a machine needs to fetch a job's image, 0 if it has it.
func (f *Fleet) fetchS(j *jobs.Job, m *Machine) float64 {
	ty := f.machineType(m)
	if ty == nil || ty.FetchGB <= 0 || m.HasImage(j.Image) {
		return 0
	}
	return j.Spec.ImageGB / ty.FetchGB
}

// remainingSeconds is the estimated remaining time of a task on its machine, in seconds.
func (f *Fleet) remainingSeconds(now time.Duration, j *jobs.Job, t int32) float64 {
	k := &j.Tasks[t]
	m := f.machines[k.Machine]
	if k.Stopping {
		return j.Spec.SaveS + 1
	}
	est := f.estimate(j) * m.slowdown
	if k.Phase == jobs.Running || k.Phase == jobs.Saving {
		ran := (now - k.RunningSince).Seconds()
		// An overdue task is most likely to run on for a part of what it has run.
		return max(est-ran, 0.25*ran, 1)
	}
	ty := f.machineType(m)
	if ty == nil || ty.FetchGB <= 0 {
		return est
	}
	return est + max(0, j.Spec.ImageGB/ty.FetchGB-(now-k.LaunchedAt).Seconds())
}
