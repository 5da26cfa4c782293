package shards

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/harewalk/harewalk/internal/planner"
)

// A fixed seed makes the outcome of the property tests repeatable.
func init() { _ = flag.Set("rapid.seed", "1") }

// On empty machines the choice is checked against counting tasks one by one: a job that must run all at once goes
// where it fits if it fits anywhere, the least possible number of tasks is borrowed for, an array goes where most of
// it fits, and a shard without a leader takes nothing.
func TestChooseShardAgainstCounting(t *testing.T) {
	shardMap := NewMap([]string{"a", "b", "c", "d"})
	rapid.Check(t, func(t *rapid.T) {
		job := drawJob(t)
		inventories, led := drawInventories(t, len(shardMap))
		placement, ok := shardMap.ChooseShard(job, inventories)
		if ok != (led > 0) {
			t.Fatalf("%v with %d shards led", ok, led)
		}
		if !ok {
			return
		}
		most := 0
		for shard := range inventories {
			if inventories[shard] != nil {
				most = max(most, countTasksThatFit(job, inventories[shard]))
			}
		}
		chosen := inventories[placement.Shard]
		if chosen == nil {
			t.Fatalf("%+v goes to %+v, which has no leader", job, placement)
		}
		fit := countTasksThatFit(job, chosen)
		if fit != most || placement.TasksToBorrow != job.Tasks-most {
			t.Fatalf("%+v goes to %+v, where %d fit; %d fit elsewhere", job, placement, fit, most)
		}
	})
}

func drawJob(t *rapid.T) JobRequest {
	onlyType := rapid.Int32Range(-1, 2).Draw(t, "only type")
	return JobRequest{
		ID:    fmt.Sprintf("req-%d", rapid.IntRange(1, 1000).Draw(t, "id")),
		Tasks: rapid.IntRange(1, 30).Draw(t, "tasks"),
		TaskSize: planner.Size{
			CPUs: float64(rapid.IntRange(1, 9).Draw(t, "cpus")),
			GPUs: float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
			Mem:  4,
		},
		AllAtOnce:  rapid.Bool().Draw(t, "all at once"),
		OneZone:    rapid.Bool().Draw(t, "one zone"),
		MaxPerZone: rapid.IntRange(0, 8).Draw(t, "max per zone"),
		AllowsMachine: func(machineType, _ int32, _ bool) bool {
			return onlyType < 0 || machineType == onlyType
		},
	}
}

// drawInventories returns the inventories of empty machines by shard, and the number of shards that have a leader.
func drawInventories(t *rapid.T, shards int) (inventories [][]Inventory, led int) {
	inventories = make([][]Inventory, shards)
	for shard := range inventories {
		if rapid.IntRange(0, 4).Draw(t, "led") == 0 {
			continue
		}
		led++
		inventories[shard] = []Inventory{}
		for range rapid.IntRange(0, 4).Draw(t, "inventories") {
			inventories[shard] = append(inventories[shard], drawInventory(t))
		}
	}
	return inventories, led
}

func drawInventory(t *rapid.T) Inventory {
	inventory := Inventory{
		Type:     rapid.Int32Range(0, 2).Draw(t, "type"),
		Zone:     rapid.Int32Range(0, 2).Draw(t, "zone"),
		Machines: rapid.IntRange(0, 3).Draw(t, "machines"),
	}
	inventory.MachineSize = planner.Size{
		CPUs: float64(4 * (1 + inventory.Type)),
		GPUs: float64(inventory.Type),
		Mem:  32,
	}
	for range inventory.Machines {
		inventory.Free = inventory.Free.Add(inventory.MachineSize)
	}
	return inventory
}

// countTasksThatFit counts one by one how many tasks go onto empty machines, within the job's rules on zones.
func countTasksThatFit(job JobRequest, inventories []Inventory) int {
	byZone := map[int32]int{}
	for _, inventory := range inventories {
		if !job.AllowsMachine(inventory.Type, inventory.Zone, inventory.Spot) {
			continue
		}
		for range inventory.Machines {
			for room := inventory.MachineSize; job.TaskSize.Fits(room); room = room.Sub(job.TaskSize) {
				byZone[inventory.Zone]++
			}
		}
	}
	count := 0
	for _, tasks := range byZone {
		if job.MaxPerZone > 0 {
			tasks = min(tasks, job.MaxPerZone)
		}
		if job.OneZone {
			count = max(count, tasks)
		} else {
			count += tasks
		}
	}
	return min(count, job.Tasks)
}

// machinesOf8 is an inventory of machines with 8 cores each, of which freeCPUs are free in all.
func machinesOf8(machines int, freeCPUs float64) []Inventory {
	return []Inventory{{
		MachineSize: planner.Size{CPUs: 8, Mem: 32},
		Machines:    machines,
		Free:        planner.Size{CPUs: freeCPUs, Mem: 4 * freeCPUs},
	}}
}

// singleCoreJob is a job whose tasks need one core each and may run anywhere.
func singleCoreJob(id string, tasks int, allAtOnce bool) JobRequest {
	return JobRequest{
		ID:            id,
		Tasks:         tasks,
		TaskSize:      planner.Size{CPUs: 1, Mem: 1},
		AllAtOnce:     allAtOnce,
		AllowsMachine: func(int32, int32, bool) bool { return true },
	}
}

func TestChooseShardByFreeResources(t *testing.T) {
	shardMap := NewMap([]string{"a", "b", "c"})
	cases := []struct {
		name        string
		job         JobRequest
		inventories [][]Inventory
		want        Placement
	}{
		{
			name:        "an array goes where most of it fits now",
			job:         singleCoreJob("req-1", 16, false),
			inventories: [][]Inventory{machinesOf8(20, 3), machinesOf8(4, 9), machinesOf8(20, 0)},
			want:        Placement{Shard: 1, TasksToBorrow: 0},
		},
		{
			name:        "a gang goes where it fits now",
			job:         singleCoreJob("req-1", 16, true),
			inventories: [][]Inventory{machinesOf8(20, 3), machinesOf8(4, 17), machinesOf8(1, 8)},
			want:        Placement{Shard: 1, TasksToBorrow: 0},
		},
		{
			name:        "a gang that fits nowhere now goes where it fits later",
			job:         singleCoreJob("req-1", 16, true),
			inventories: [][]Inventory{machinesOf8(1, 8), machinesOf8(2, 0), nil},
			want:        Placement{Shard: 1, TasksToBorrow: 0},
		},
		{
			name:        "a gang that fits no shard goes where least must be borrowed",
			job:         singleCoreJob("req-1", 40, true),
			inventories: [][]Inventory{machinesOf8(1, 8), machinesOf8(4, 0), machinesOf8(3, 24)},
			want:        Placement{Shard: 1, TasksToBorrow: 8},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := shardMap.ChooseShard(c.job, c.inventories); !ok || got != c.want {
				t.Errorf("got %+v, %v, want %+v", got, ok, c.want)
			}
		})
	}
}

func TestChooseShardSpreadsJobsOverEqualShards(t *testing.T) {
	shardMap := NewMap([]string{"a", "b", "c"})
	inventories := [][]Inventory{machinesOf8(5, 40), machinesOf8(5, 40), machinesOf8(5, 40)}
	jobsByShard := make([]int, len(shardMap))
	for i := range 3000 {
		job := singleCoreJob(fmt.Sprintf("req-%d", i), 40, true)
		placement, _ := shardMap.ChooseShard(job, inventories)
		jobsByShard[placement.Shard]++
	}
	for shard, count := range jobsByShard {
		if count < 900 || count > 1100 {
			t.Errorf("shard %d got %d of 3000 equal jobs", shard, count)
		}
	}
}
