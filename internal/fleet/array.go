package fleet

// Placement of arrays: Balance-Reduce plans their tasks over the slots of all eligible machines.

import (
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// noMachineRetryDelay is the time until an array is planned again after no eligible machine was found for it.
const noMachineRetryDelay = 500 * time.Millisecond

// freeRoomWeight is the weight of free room for one task in the choice of a zone. An eligible machine has weight 1.
const freeRoomWeight = 4

// arraySlots holds the servers of Balance-Reduce for one array. A slot is room for one task of the array on a machine.
type arraySlots struct {
	machines        []int32   // machine index by slot
	load            []float64 // initial load by slot, in seconds
	withImage       []int32   // slots on machines that have the array's image
	machineCount    int       // machines that have at least one slot
	maxFetchSeconds float64   // time to fetch the image on the slowest of these machines
}

// planArray plans an array's unplanned tasks.
func (f *Fleet) planArray(now time.Duration, job *jobs.Job) {
	if job.TasksByState[jobs.Unplanned] == 0 || now < f.noMachineUntil[job.Index] {
		return
	}
	if f.inBackoff(now, job) {
		f.recordCrashLoopBackoff(job)
		return
	}
	if f.PlanningSteps-f.cycle.stepsAtStart > maxArraySteps {
		f.setUnplannedReason(job, unplannedReason{cause: PlanningBehind})
		return
	}
	tasks := f.arrayTasksToPlan(now, job)
	if len(tasks) == 0 {
		return
	}
	slots := f.findArraySlots(now, job)
	if len(slots.machines) == 0 {
		f.noMachineUntil[job.Index] = now + noMachineRetryDelay
		f.setUnplannedReason(job, unplannedReason{cause: NoMachine})
		return
	}
	delete(f.noMachineUntil, job.Index)
	// This reason is reported for the remaining tasks if this cycle plans only some of them.
	f.setUnplannedReason(job, unplannedReason{cause: PlanningBehind})
	f.PlanningSteps += uint64(4 * len(slots.machines))
	allocation := planner.Plan(f.arrayProblem(job, tasks, &slots), f.Random)
	planned := 0
	for i, taskIndex := range tasks {
		slot := allocation.Server[0][i]
		if slot < 0 {
			continue
		}
		f.planTask(now, job, taskIndex, f.machines[slots.machines[slot]])
		planned++
	}
	slog.Debug("array planned",
		"job", job.ID, "tasks", planned, "remote", allocation.RemoteTasks,
		"slots", len(slots.machines), "machines", slots.machineCount,
		"makespan_s", int(allocation.Makespan), "term", f.Term)
}

// arrayTasksToPlan returns the tasks of an array that this cycle plans. If there are none, it records the reason.
func (f *Fleet) arrayTasksToPlan(now time.Duration, job *jobs.Job) []int32 {
	limit := f.arrayPlanLimit(job)
	if limit <= 0 {
		f.recordDenied(job, 1)
		return nil
	}
	var tasks []int32
	retryAt := never
	for t := range job.Tasks {
		task := &job.Tasks[t]
		if task.State != jobs.Unplanned {
			continue
		}
		if task.NotBefore > now {
			retryAt = min(retryAt, task.NotBefore)
			continue
		}
		tasks = append(tasks, int32(t))
		if len(tasks) == limit {
			break
		}
	}
	if len(tasks) == 0 {
		f.recordRetryLater(job, retryAt)
	}
	return tasks
}

// arrayPlanLimit returns how many more tasks of an array may be planned in this cycle.
func (f *Fleet) arrayPlanLimit(job *jobs.Job) int {
	planned := job.TasksByState[jobs.Planned]
	limit := min(maxTasksPerPlan, f.grantedTasks(job, job.UnstartedTasks())-planned)
	if f.crashLooping(job) != nil {
		limit = min(limit, 1)
	}
	if f.ranking.startDeadlineDue[job.Index] {
		limit = min(limit, startDeadlineTasks-planned)
	}
	return limit
}

// findArraySlots finds the slots of all machines that are eligible for an array. The initial load of a slot comes from
// the tasks on its machine and from tasks queued there for jobs of the same or a better rank.
func (f *Fleet) findArraySlots(now time.Duration, job *jobs.Job) arraySlots {
	var slots arraySlots
	size := job.Spec.Size()
	zone := f.chooseZone(job)
	rank := f.rankOf(job)
	for _, machine := range f.packingOrder() {
		if !f.mayPlace(machine, job) || (zone != jobs.None && machine.Zone != zone) {
			continue
		}
		f.scratch.work = f.appendMachineWork(f.scratch.work[:0], now, machine, rank, job)
		usable := machine.Capacity.Sub(f.reservedForGPUWork(machine, job, machine.Capacity.GPUs))
		slots.load = planner.SlotLoads(slots.load, usable, size, f.scratch.work)
		first := len(slots.machines)
		if len(slots.load) == first {
			continue
		}
		slots.machineCount++
		spotWait := f.spotWaitLimit(machine, job)
		hasImage := machine.HasImage(job.Image)
		for slot := first; slot < len(slots.load); slot++ {
			slots.load[slot] += spotWait
			slots.machines = append(slots.machines, machine.Index)
			if hasImage {
				slots.withImage = append(slots.withImage, int32(slot))
			}
		}
		if machineType := f.machineType(machine); machineType != nil && machineType.FetchGB > 0 {
			slots.maxFetchSeconds = max(slots.maxFetchSeconds, job.Spec.ImageGB/machineType.FetchGB)
		}
	}
	return slots
}

// arrayProblem returns the Balance-Reduce problem of assigning an array's tasks to its slots.
func (f *Fleet) arrayProblem(job *jobs.Job, tasks []int32, slots *arraySlots) *planner.Problem {
	slotCount := len(slots.machines)
	preferred := slots.withImage
	if len(preferred) == 0 {
		preferred = make([]int32, slotCount)
		for slot := range preferred {
			preferred[slot] = int32(slot)
		}
	}
	local := f.estimate(job)
	// A machine fetches an image once for all its tasks, so remote tasks share the cost of the fetches. If there are
	// as many remote tasks as slots, each of them costs one whole fetch.
	costPerRemoteTask := f.Settings.Operator.NetworkFactor * slots.maxFetchSeconds / float64(slotCount)
	return &planner.Problem{
		InitialLoads: slots.load,
		Groups:       []planner.Group{{Tasks: tasks, PreferredServers: preferred}},
		LocalCost:    local,
		RemoteCost:   func(remoteTasks int) float64 { return local + costPerRemoteTask*float64(remoteTasks) },
		// A loop visits every slot, so the number of loops is smaller if there are many slots.
		MaxLoops: min(maxReduceLoops, max(minReduceLoops, maxSlotVisits/slotCount)),
	}
}

// chooseZone returns the zone for a job that must run in a single zone. If tasks of the job are planned or on
// machines, it is their zone; otherwise it is the zone with the most eligible machines, where free room weighs more.
// For a job that may span zones, or if no machine is eligible, chooseZone returns jobs.None.
func (f *Fleet) chooseZone(job *jobs.Job) int32 {
	if !job.Spec.OneZone {
		return jobs.None
	}
	for t := range job.Tasks {
		if task := &job.Tasks[t]; task.State == jobs.Planned || task.State.Occupies() {
			return f.machines[task.Machine].Zone
		}
	}
	bestScore := -1
	bestZone := jobs.None
	scores := map[int32]int{}
	for _, machine := range f.machines {
		if machine.Condition != Ready || machine.Quarantined || !f.mayPlace(machine, job) {
			continue
		}
		zone := machine.Zone
		scores[zone] += 1 + freeRoomWeight*job.Spec.Size().FitCount(machine.Free())
		if scores[zone] > bestScore {
			bestScore = scores[zone]
			bestZone = zone
		}
	}
	return bestZone
}

// planTask assigns a task to a machine and queues it there. The task starts once this plan is durable.
func (f *Fleet) planTask(now time.Duration, job *jobs.Job, taskIndex int32, machine *Machine) {
	f.checkTransition(job.SetTaskState(taskIndex, jobs.Planned))
	job.Tasks[taskIndex].Machine = machine.Index
	f.enqueue(machine, job, taskIndex)
	job.MarkDirty(taskIndex, true, now)
}
