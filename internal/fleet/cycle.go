package fleet

// The scheduling cycle, and what is due at a time.

import (
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// Bounds on the work of one scheduling cycle, so that no job however large stalls the event loop.
const (
	maxTasksPerPlan       = 1024    // tasks of a job planned at once
	maxSlotVisits         = 400_000 // slots visited by all loops of Reduce together
	maxReduceLoops        = 256     // loops of Reduce for one plan
	minReduceLoops        = 16      // loops of Reduce for one plan, however many slots there are
	maxTasksListedSingly  = 64      // queued tasks of a job that load a machine one by one, not as a whole
	maxArraySteps         = 40_000  // planning steps after which further arrays wait for the next cycle
	maxPreemptionSearches = 8       // preemption searches for gangs
)

const (
	// expectedEndsValidFor is how long the expected ends on a machine are used before they are estimated anew.
	expectedEndsValidFor = time.Second
	// rankingValidFor is how long a priority order is used before jobs are ranked anew.
	rankingValidFor = 500 * time.Millisecond
	// pausePerStep is the pause after a cycle for each of its planning steps, on a full core: about three times the
	// cost of a step.
	pausePerStep = 300 * time.Nanosecond
)

// The fraction of its run time for which a task may wait for a spot machine: a task of an array is moved again if an
// on-demand machine stays free, a gang is not.
const (
	spotWaitFractionArray = 0.5
	spotWaitFractionGang  = 0.1
)

// schedulingCycle is the state of one scheduling cycle.
type schedulingCycle struct {
	candidatesByShape  map[jobShape]*candidateList
	futilePreemptions  map[preemptionShape]bool // shapes for which a search found no set of victims
	preemptionSearches int
	lowestPriority     int        // of all live jobs
	packedMachines     []*Machine // see Fleet.packingOrder
	stepsAtStart       uint64     // Fleet.PlanningSteps when the cycle began
}

// schedule runs one scheduling cycle: it plans unplanned tasks in priority order, then lets machines with free slots
// steal queued tasks.
func (f *Fleet) schedule(now time.Duration) {
	f.beginCycle(now)
	for _, job := range f.ranking.jobs {
		if job.FinishedTasks == job.TaskCount || job.Idle() {
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

// beginCycle resets the state of the cycle, and brings the priority order, the reservations and the licence grants up
// to date.
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

// Tick does what is due at time now: it expires leases, runs a scheduling cycle, writes plans and, if this process
// has the authority to act, dispatches commands.
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
		// Planning leaves most of the processor to heartbeats and lease renewals: the pause before the next cycle
		// grows with the work of this one.
		cores := f.Settings.Params.Limits.UsableCores()
		f.nextCycle = now + time.Duration(float64(f.PlanningSteps-stepsBefore)*float64(pausePerStep)/cores)
	}
	f.FlushWrites(now)
	if authority && (scheduled || f.writer.planBecameDurable) {
		f.writer.planBecameDurable = false
		f.dispatch(now)
	}
}
