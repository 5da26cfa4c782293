package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// idleLoad submits jobs of one kind to a cluster whose capacity something keeps free.
type idleLoad struct {
	cluster *testCluster
	kind    jobs.Kind
}

// submit submits a job that fits almost everywhere, after a change.
func (l *idleLoad) submit(n int, change func(spec *jobs.Spec)) {
	spec := arraySpec(fmt.Sprintf("req-2%05d", n), "small", teamInTurn(n))
	spec.Kind = l.kind
	spec.CPUs = 6
	spec.EstimateS = 50
	change(spec)
	l.cluster.newUser(spec).submit()
}

// submitEvery submits a number of jobs, one each interval.
func (l *idleLoad) submitEvery(interval time.Duration, count, first int, change func(k int, spec *jobs.Spec)) {
	for k := range count {
		l.cluster.After(time.Duration(k)*interval, func() {
			l.submit(first+k, func(spec *jobs.Spec) { change(k, spec) })
		})
	}
}

// submitGangThatNeverFits submits a gang that needs more machines of one zone than there will ever be.
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

// submitLargeGangs submits large gangs, one after the other, that begin whenever enough is free.
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

// submitAcceleratorGangs submits work for accelerators that can't begin: its type has none left in its only zone.
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

// submitJobsForOnDemandMachines submits jobs that may not run on spot machines, which the others put off, with
// estimates that are far too low.
func (l *idleLoad) submitJobsForOnDemandMachines() {
	l.submitEvery(8*time.Second, 60, 40, func(_ int, spec *jobs.Spec) {
		spec.Spot = false
		spec.CPUs = 9
		spec.EstimateS = 12
		spec.Class = "ordinary"
	})
}

// submitJobsWithLargeImages submits jobs whose large images not every machine has: for a while a busy machine that
// has it is the better choice.
func (l *idleLoad) submitJobsWithLargeImages() {
	l.submitEvery(4*time.Second, 100, 400, func(k int, spec *jobs.Spec) {
		spec.Image = fmt.Sprint("big", k%4)
		spec.ImageGB = 60
		spec.CPUs = 10
		spec.EstimateS = 15
		spec.Class = "imaged"
	})
}

// flapZone cuts a zone off and restores it, again and again.
func (l *idleLoad) flapZone() { l.cluster.flapZone("b", 9*time.Second) }

// TestNoCapacityIdleBesideWork checks that whatever keeps capacity free, each alone, does so for less than 90 s
// beside work that fits: gangs that can't start yet, or never, accelerators reserved for others, on-demand machines,
// large images, a zone that came back. The watch of idle capacity reports what lasts longer.
func TestNoCapacityIdleBesideWork(t *testing.T) {
	for what, c := range map[string]struct {
		machines int
		begin    func(*idleLoad)
	}{
		"never in one zone":   {15, (*idleLoad).submitGangThatNeverFits},
		"one after the other": {12, (*idleLoad).submitLargeGangs},
		"accelerators":        {12, (*idleLoad).submitAcceleratorGangs},
		"ordinary ones":       {12, (*idleLoad).submitJobsForOnDemandMachines},
		"images":              {12, (*idleLoad).submitJobsWithLargeImages},
		"a zone flaps":        {12, (*idleLoad).flapZone},
	} {
		for _, kind := range []jobs.Kind{jobs.Array, jobs.Gang} {
			t.Run(fmt.Sprint(what, " ", kind), func(t *testing.T) {
				t.Parallel()
				cluster := startCluster(t, 43, shortTimersConfig(341, c.machines), nil)
				load := &idleLoad{cluster: cluster, kind: kind}
				cluster.Advance(5 * time.Second)
				// About as much as there is room for.
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
