package shards

import (
	"math"

	"github.com/harewalk/harewalk/internal/planner"
)

// Inventory is what a shard has of one machine type in one zone, as its leader last reported.
type Inventory struct {
	Type int32
	Zone int32
	Spot bool
	// Machines is the number of machines that are up; each has MachineSize.
	Machines    int
	MachineSize planner.Size
	// Free is the sum over the machines.
	Free planner.Size
}

// JobRequest is what a new job needs of the shard that takes it.
type JobRequest struct {
	ID       string
	Tasks    int
	TaskSize planner.Size
	// AllAtOnce is set for gangs and services, whose tasks must run at the same time.
	AllAtOnce bool
	// OneZone requires a single zone for all tasks.
	OneZone bool
	// MaxPerZone bounds the tasks in one zone; 0 means no bound.
	MaxPerZone int
	// AllowsMachine reports which machines the job may use.
	AllowsMachine func(machineType, zone int32, spot bool) bool
}

// Placement is the shard that takes a job.
type Placement struct {
	Shard int
	// TasksToBorrow is the number of tasks for which the shard has no machine, occupied ones included. It must borrow
	// machines or scale out for them.
	TasksToBorrow int
}

// ChooseShard returns the shard for a new job. The inventories are by shard, nil for a shard without a leader.
//
// An array goes where most of its tasks fit now. A job whose tasks run all at once goes where all fit now, else where
// all would fit on empty machines, else where least must be borrowed. Among equal shards a hash of the job's ID
// decides, so that jobs spread and controllers with the same inventories choose the same shard. ok is false if no
// shard has a leader.
func (m Map) ChooseShard(job JobRequest, inventories [][]Inventory) (placement Placement, ok bool) {
	var best candidate
	for shard := range m {
		if shard >= len(inventories) || inventories[shard] == nil {
			continue
		}
		c := m.newCandidate(shard, &job, inventories[shard])
		if !ok || c.betterThan(best, job.AllAtOnce) {
			best = c
			ok = true
		}
	}
	if !ok {
		return Placement{}, false
	}
	return Placement{Shard: best.shard, TasksToBorrow: job.Tasks - best.totalSlots}, true
}

// candidate is what a shard offers a job.
type candidate struct {
	shard int
	// freeSlots and totalSlots are the tasks that fit now, and that would fit on empty machines.
	freeSlots  int
	totalSlots int
	// fitsNow and fitsEmpty are set where that is all tasks of a job that runs all at once.
	fitsNow    bool
	fitsEmpty  bool
	tieBreaker float64
}

func (m Map) newCandidate(shard int, job *JobRequest, inventories []Inventory) candidate {
	free, total := job.slots(inventories)
	return candidate{
		shard:      shard,
		freeSlots:  free,
		totalSlots: total,
		fitsNow:    job.AllAtOnce && free >= job.Tasks,
		fitsEmpty:  job.AllAtOnce && total >= job.Tasks,
		tieBreaker: hashFraction(job.ID, m[shard].Node),
	}
}

// betterThan compares two shards for a job.
func (c candidate) betterThan(other candidate, allAtOnce bool) bool {
	switch {
	case c.fitsNow != other.fitsNow:
		return c.fitsNow
	case c.fitsEmpty != other.fitsEmpty:
		return c.fitsEmpty
	case allAtOnce && !c.fitsEmpty && c.totalSlots != other.totalSlots:
		return c.totalSlots > other.totalSlots
	case c.freeSlots != other.freeSlots:
		return c.freeSlots > other.freeSlots
	case c.totalSlots != other.totalSlots:
		return c.totalSlots > other.totalSlots
	}
	return c.tieBreaker > other.tieBreaker
}

// zoneSlots are the tasks that fit in one zone now, and that would fit on its machines if they were empty.
type zoneSlots struct{ free, total int }

// slots returns how many of the job's tasks a shard can hold now, and if its machines were empty, within the job's
// rules on zones. Free resources are summed over the machines, so the first is an upper bound.
func (j *JobRequest) slots(inventories []Inventory) (free, total int) {
	for _, zone := range j.slotsByZone(inventories) {
		zoneFree := j.limitPerZone(zone.free)
		zoneTotal := j.limitPerZone(zone.total)
		if j.OneZone {
			free = max(free, zoneFree)
			total = max(total, zoneTotal)
		} else {
			free += zoneFree
			total += zoneTotal
		}
	}
	return min(free, j.Tasks), min(total, j.Tasks)
}

func (j *JobRequest) slotsByZone(inventories []Inventory) map[int32]zoneSlots {
	zones := map[int32]zoneSlots{}
	for i := range inventories {
		inventory := &inventories[i]
		perMachine := copiesIn(inventory.MachineSize, j.TaskSize)
		if perMachine == 0 || !j.AllowsMachine(inventory.Type, inventory.Zone, inventory.Spot) {
			continue
		}
		total := perMachine * inventory.Machines
		zone := zones[inventory.Zone]
		zone.total += total
		zone.free += min(total, copiesIn(inventory.Free, j.TaskSize))
		zones[inventory.Zone] = zone
	}
	return zones
}

func (j *JobRequest) limitPerZone(tasks int) int {
	if j.MaxPerZone > 0 {
		return min(tasks, j.MaxPerZone)
	}
	return tasks
}

// quotientSlack forgives rounding of the quotient of two amounts.
const quotientSlack = 1e-9

// copiesIn returns how many tasks of a size fit into an amount of resources, 0 for a task without a size. Unlike
// planner.Size.Copies it has no upper bound, since the amount may be that of many machines.
func copiesIn(total, task planner.Size) int {
	copies := math.Inf(1)
	for _, amount := range [...]struct{ total, needed float64 }{
		{total.CPUs, task.CPUs},
		{total.GPUs, task.GPUs},
		{total.Mem, task.Mem},
	} {
		if amount.needed > 0 {
			copies = min(copies, math.Floor(amount.total/amount.needed+quotientSlack))
		}
	}
	if math.IsInf(copies, 1) {
		return 0
	}
	return int(max(0, copies))
}
