package shards

import (
	"math"

	"github.com/harewalk/harewalk/internal/planner"
)

// Inventory sums up a shard's machines of one type in one zone, as the shard's leader last reported them.
type Inventory struct {
	Type int32
	Zone int32
	Spot bool
	// Machines is the number of machines that are up; each has MachineSize.
	Machines    int
	MachineSize planner.Size
	// Free is the sum of the machines' free resources.
	Free planner.Size
}

// JobRequest is what a new job requires of its shard.
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

// Placement is the choice of a shard for a job.
type Placement struct {
	Shard int
	// TasksToBorrow is the number of tasks that don't fit on the shard's machines even if all of these were empty. The
	// shard must borrow machines or scale out for them.
	TasksToBorrow int
}

// ChooseShard returns the shard for a new job. inventories has an entry for each shard, nil if the shard has no leader.
// ok is false if no shard has a leader.
//
// An array goes to the shard where the most of its tasks fit now. A job with AllAtOnce goes to a shard where all tasks
// fit now, else to one where all would fit on empty machines, else to the one that must borrow for the fewest tasks.
// Equal shards are ordered by a hash of the job's ID: jobs spread over them, and controllers with the same inventories
// choose the same shard.
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

// candidate is a shard with the number of a job's tasks that it can hold.
type candidate struct {
	shard int
	// freeSlots is the number of tasks that fit now, totalSlots the number that would fit on empty machines.
	freeSlots  int
	totalSlots int
	// fitsNow and fitsEmpty report whether these are all tasks of the job. They are false unless the job has AllAtOnce.
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

// betterThan reports whether c is the better shard for a job.
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

// zoneSlots are the numbers of tasks that fit in one zone now (free) and would fit if its machines were empty (total).
type zoneSlots struct{ free, total int }

// slots returns how many of the job's tasks a shard can hold now, and how many if its machines were empty, within the
// job's rules on zones. free is an upper bound, since Inventory.Free is a sum over machines.
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

// quotientSlack compensates for rounding errors in the quotient of two amounts.
const quotientSlack = 1e-9

// copiesIn returns how many tasks of a size fit into an amount of resources, 0 for a task without a size. Unlike
// planner.Size.FitCount it has no upper bound, since the amount may be that of many machines.
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
