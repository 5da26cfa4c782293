package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// idleLoad submits jobs of one kind to a cluster in which part of the capacity is kept free.
type idleLoad struct {
	cluster *testCluster
	kind    jobs.Kind
}

// submit submits a job that fits on almost every machine, with a change to its spec.
func (l *idleLoad) submit(n int, change func(spec *jobs.Spec)) {
	spec := arraySpec(fmt.Sprintf("req-2%05d", n), "small", teamInTurn(n))
	spec.Kind = l.kind
	spec.CPUs = 6
	spec.EstimateS = 50
	change(spec)
	l.cluster.newUser(spec).submit()
}

// submitEvery submits count jobs, one per interval, numbered from first on.
func (l *idleLoad) submitEvery(interval time.Duration, count, first int, change func(k int, spec *jobs.Spec)) {
	for k := range count {
		l.cluster.After(time.Duration(k)*interval, func() {
			l.submit(first+k, func(spec *jobs.Spec) { change(k, spec) })
		})
	}
}

// submitGangThatNeverFits submits a gang that needs more machines of one zone than the cloud can provide.
func (l *idleLoad) submitGangThatNeverFits() {
	l.submit(1, func(spec *jobs.Spec) {
		spec.Kind = jobs.Gang
		spec.Tasks = 12
		spec.CPUs = 12
		spec.OneZone = true
		spec.Priority = "urgent"
		spec.Class = "gang"
	})
}

// submitLargeGangs submits large gangs, one after the other, which start when enough machines are free.
func (l *idleLoad) submitLargeGangs() {
	l.submitEvery(40*time.Second, 8, 10, func(_ int, spec *jobs.Spec) {
		spec.Kind = jobs.Gang
		spec.Tasks = 9
		spec.CPUs = 12
		spec.Priority = "urgent"
		spec.Class = "gang"
		spec.EstimateS = 30
	})
}

// submitAcceleratorGangs submits gangs that can't start, because one zone hasn't enough accelerators of their type.
func (l *idleLoad) submitAcceleratorGangs() {
	for k := range 6 {
		l.submit(20+k, func(spec *jobs.Spec) {
			spec.Kind = jobs.Gang
			spec.Tasks = 9
			spec.CPUs = 4
			spec.GPUs = 4
			spec.OneZone = true
			spec.Class = "gang"
		})
	}
}

// submitJobsForOnDemandMachines submits jobs that may not run on spot machines and delay the other jobs. Many run
// longer than their short estimates, up to twice as long.
func (l *idleLoad) submitJobsForOnDemandMachines() {
	l.submitEvery(8*time.Second, 60, 40, func(_ int, spec *jobs.Spec) {
		spec.Spot = false
		spec.CPUs = 9
		spec.EstimateS = 12
		spec.Class = "ordinary"
	})
}

// submitJobsWithLargeImages submits jobs with large images that only some machines have. For a while, waiting for a
// busy machine that has the image is better than using an idle one.
func (l *idleLoad) submitJobsWithLargeImages() {
	l.submitEvery(4*time.Second, 100, 400, func(k int, spec *jobs.Spec) {
		spec.Image = fmt.Sprint("big", k%4)
		spec.ImageGB = 60
		spec.CPUs = 10
		spec.EstimateS = 15
		spec.Class = "imaged"
	})
}

// flapZone partitions a zone and reconnects it, repeatedly.
func (l *idleLoad) flapZone() { l.cluster.flapZone("b", 9*time.Second) }

// TestNoCapacityIdleBesideWork checks that capacity stays idle for less than 90 s while jobs that fit are waiting. Each
// case has one reason to keep capacity free: gangs that can't start yet or ever, reserved accelerators, on-demand
// machines, large images, or a zone that reconnects. WatchIdleCapacity reports violations.
func TestNoCapacityIdleBesideWork(t *testing.T) {
	for name, c := range map[string]struct {
		machines int
		begin    func(*idleLoad)
	}{
		"gang that never fits": {15, (*idleLoad).submitGangThatNeverFits},
		"large gangs":          {12, (*idleLoad).submitLargeGangs},
		"accelerator gangs":    {12, (*idleLoad).submitAcceleratorGangs},
		"on-demand jobs":       {12, (*idleLoad).submitJobsForOnDemandMachines},
		"large images":         {12, (*idleLoad).submitJobsWithLargeImages},
		"flapping zone":        {12, (*idleLoad).flapZone},
	} {
		for _, kind := range []jobs.Kind{jobs.Array, jobs.Gang} {
			t.Run(fmt.Sprint(name, " ", kind), func(t *testing.T) {
				t.Parallel()
				cluster := startCluster(t, 43, shortTimersConfig(341, c.machines), nil)
				load := &idleLoad{cluster: cluster, kind: kind}
				cluster.Advance(5 * time.Second)
				// This load is about as large as the capacity.
				load.submitEvery(2*time.Second, 260, 1000, func(int, *jobs.Spec) {})
				cluster.Advance(20 * time.Second)
				c.begin(load)
				cluster.Advance(90 * time.Second)
				idleWait := cluster.WatchIdleCapacity()
				cluster.Advance(380 * time.Second)
				longest, job := idleWait()
				t.Logf("%s waited %v beside idle capacity", job, longest)
				reportViolations(t, cluster.Simulation)
			})
		}
	}
}
