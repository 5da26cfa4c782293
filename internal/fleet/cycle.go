package fleet

// The scheduling cycle, and the periodic entry point Tick.

import (
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Bounds on the work of one scheduling cycle. They keep a large job from stalling the event loop.
const (
	maxTasksPerPlan       = 1024    // tasks of one job that a cycle plans
	maxSlotVisits         = 400_000 // slots visited by all loops of Reduce in one plan
	maxReduceLoops        = 256     // upper bound on the loops of Reduce in one plan
	minReduceLoops        = 16      // loops of Reduce allowed in one plan even if there are very many slots
	maxTasksListedSingly  = 64      // above this, a job's queue on a machine counts as one aggregate load
	maxArraySteps         = 40_000  // planning steps of a cycle after which no further array is planned in it
	maxPreemptionSearches = 8       // preemption searches for gangs in one cycle
)

const (
	// expectedEndsValidFor is how long the estimated end times of a machine's tasks are cached.
	expectedEndsValidFor = time.Second
	// rankingValidFor is how long the priority order is cached.
	rankingValidFor = 500 * time.Millisecond
	// pausePerStep is the pause after a cycle for each of its planning steps, if one whole core is available. It is
	// about three times the processor time of a step.
	pausePerStep = 300 * time.Nanosecond
)

// How long a task may wait for a spot machine while an on-demand machine is free, as a fraction of its run time. Gangs
// wait less: work stealing moves a queued task of an array to an on-demand machine that stays free, but never a gang.
const (
	spotWaitFractionArray = 0.5
	spotWaitFractionGang  = 0.1
)

// schedulingCycle is the state of one scheduling cycle.
type schedulingCycle struct {
	candidatesByShape  map[jobShape]*candidateList
	futilePreemptions  map[preemptionShape]bool // shapes for which a search found too few victims
	preemptionSearches int
	lowestPriority     int        // lowest priority of all live jobs
	packedMachines     []*Machine // cached result of Fleet.packingOrder; nil: not computed yet
	stepsAtStart       uint64     // value of Fleet.PlanningSteps at the start of the cycle
}

// schedule runs one scheduling cycle: it plans unplanned tasks in priority order, then lets machines with free slots
// steal queued tasks.
func (f *Fleet) schedule(now time.Duration) {
	f.beginCycle(now)
	for _, job := range f.ranking.jobs {
		if job.FinishedTasks == job.TaskCount || job.PlanningBlocked() {
			continue
		}
		switch job.Spec.Kind {
		case jobs.Gang:
			f.replanGang(job)
			f.placeGang(now, job)
		case jobs.Service:
			f.placeService(now, job)
		default:
			f.planArray(now, job)
			f.preemptForArray(now, job)
		}
	}
	f.steal(now)
}

// beginCycle resets the state of the cycle, clears the reservations, and updates the priority order, the licence
// grants and the accelerator reserve.
func (f *Fleet) beginCycle(now time.Duration) {
	f.cycle = schedulingCycle{
		candidatesByShape: map[jobShape]*candidateList{},
		futilePreemptions: map[preemptionShape]bool{},
		stepsAtStart:      f.PlanningSteps,
		lowestPriority:    math.MaxInt,
	}
	if now-f.ranking.at > rankingValidFor || f.ranking.at == 0 {
		f.RankJobs(now)
	}
	for _, machine := range f.machines {
		machine.reserved = planner.Size{}
		machine.reservedRank = lowestRank
		machine.reservedFirmly = false
	}
	for _, job := range f.ranking.jobs {
		f.cycle.lowestPriority = min(f.cycle.lowestPriority, job.Priority)
	}
	f.grantLicences(now)
	f.computeGPUReserve()
	f.updateRoomSince(now)
	f.PlanningSteps += uint64(len(f.machines) + 2*len(f.ranking.jobs))
}

// Tick runs the periodic work of the fleet: it expires leases, runs a scheduling cycle if the pause after the last one
// has passed, and writes plans. If this process has the authority to act, it also dispatches commands. Tick does
// nothing until the durable plans are loaded.
func (f *Fleet) Tick(now time.Duration, authority bool) {
	if !f.plansLoaded {
		return
	}
	if f.writer.retry != nil && now >= f.writer.retryAt {
		retry := f.writer.retry
		f.writer.retry = nil
		retry(now)
	}
	f.expireLeases(now)
	if !f.Gate.Licences.IsEmpty() {
		f.Gate.Licences.Tick(now, time.UnixMilli(f.Jobs.WallMS(now)))
	}
	scheduled := now >= f.nextCycle
	if scheduled {
		stepsBefore := f.PlanningSteps
		f.schedule(now)
		// The pause before the next cycle grows with the work of this cycle, so that most of the processor time is
		// left for heartbeats and lease renewals.
		cores := f.Settings.Params.Limits.UsableCores()
		f.nextCycle = now + time.Duration(float64(f.PlanningSteps-stepsBefore)*float64(pausePerStep)/cores)
	}
	f.FlushWrites(now)
	if authority && (scheduled || f.writer.planBecameDurable) {
		f.writer.planBecameDurable = false
		f.dispatch(now)
	}
}
