package shards

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/harewalk/harewalk/internal/planner"
)

// The fixed seed makes the property tests deterministic.
func init() { _ = flag.Set("rapid.seed", "1") }

// With empty machines, ChooseShard chooses a shard with a leader where the most of the job's tasks fit, as counted one
// by one. So a job goes to a shard where all its tasks fit if there is one, and TasksToBorrow is the least possible
// number.
func TestChooseShardMaximizesTasksOnEmptyMachines(t *testing.T) {
	shardMap := NewMap([]string{"a", "b", "c", "d"})
	rapid.Check(t, func(t *rapid.T) {
		job := drawJob(t)
		inventories, led := drawInventories(t, len(shardMap))
		placement, ok := shardMap.ChooseShard(job, inventories)
		if ok != (led > 0) {
			t.Fatalf("got ok %v with %d shards that have a leader", ok, led)
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
			t.Fatalf("%+v: got %+v, a shard without a leader", job, placement)
		}
		fit := countTasksThatFit(job, chosen)
		if fit != most || placement.TasksToBorrow != job.Tasks-most {
			t.Fatalf("%+v: got %+v, where %d tasks fit; want %d and the rest borrowed", job, placement, fit, most)
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

// drawInventories returns inventories of empty machines by shard, and the number of shards that have a leader.
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

// countTasksThatFit counts how many of the job's tasks fit on empty machines, within its rules on zones.
func countTasksThatFit(job JobRequest, inventories []Inventory) int {
	byZone := map[int32]int{}
	for _, inventory := range inventories {
		if !job.AllowsMachine(inventory.Type, inventory.Zone, inventory.Spot) {
			continue
		}
		for range inventory.Machines {
			for free := inventory.MachineSize; job.TaskSize.Fits(free); free = free.Sub(job.TaskSize) {
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

// machinesWith8Cores returns an inventory of machines with 8 cores each. freeCPUs is the sum of their free cores.
func machinesWith8Cores(machines int, freeCPUs float64) []Inventory {
	return []Inventory{{
		MachineSize: planner.Size{CPUs: 8, Mem: 32},
		Machines:    machines,
		Free:        planner.Size{CPUs: freeCPUs, Mem: 4 * freeCPUs},
	}}
}

// singleCoreJob returns a job whose tasks need one core each and may run on any machine.
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
			name:        "array: shard where the most tasks fit now",
			job:         singleCoreJob("req-1", 16, false),
			inventories: [][]Inventory{machinesWith8Cores(20, 3), machinesWith8Cores(4, 9), machinesWith8Cores(20, 0)},
			want:        Placement{Shard: 1, TasksToBorrow: 0},
		},
		{
			name:        "gang: shard where all tasks fit now",
			job:         singleCoreJob("req-1", 16, true),
			inventories: [][]Inventory{machinesWith8Cores(20, 3), machinesWith8Cores(4, 17), machinesWith8Cores(1, 8)},
			want:        Placement{Shard: 1, TasksToBorrow: 0},
		},
		{
			name:        "gang that fits no shard now: shard where it fits on empty machines",
			job:         singleCoreJob("req-1", 16, true),
			inventories: [][]Inventory{machinesWith8Cores(1, 8), machinesWith8Cores(2, 0), nil},
			want:        Placement{Shard: 1, TasksToBorrow: 0},
		},
		{
			name:        "gang larger than any shard: shard that must borrow for the fewest tasks",
			job:         singleCoreJob("req-1", 40, true),
			inventories: [][]Inventory{machinesWith8Cores(1, 8), machinesWith8Cores(4, 0), machinesWith8Cores(3, 24)},
			want:        Placement{Shard: 1, TasksToBorrow: 8},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := shardMap.ChooseShard(c.job, c.inventories); !ok || got != c.want {
				t.Errorf("got %+v, ok %v, want %+v", got, ok, c.want)
			}
		})
	}
}

func TestChooseShardSpreadsJobsOverEqualShards(t *testing.T) {
	shardMap := NewMap([]string{"a", "b", "c"})
	inventories := [][]Inventory{machinesWith8Cores(5, 40), machinesWith8Cores(5, 40), machinesWith8Cores(5, 40)}
	jobsByShard := make([]int, len(shardMap))
	for i := range 3000 {
		job := singleCoreJob(fmt.Sprintf("req-%d", i), 40, true)
		placement, _ := shardMap.ChooseShard(job, inventories)
		jobsByShard[placement.Shard]++
	}
	for shard, count := range jobsByShard {
		if count < 900 || count > 1100 {
			t.Errorf("shard %d got %d of 3000 equal jobs, want 900 to 1100", shard, count)
		}
	}
}
