package planner

import (
	"math/rand/v2"
	"testing"
)

// benchmarkServers and benchmarkTasks are the size of a large planning step: the leader plans at most 1,024 tasks of a
// job at once, here on the slots of a few hundred machines.
const (
	benchmarkServers = 2000
	benchmarkTasks   = 1024
)

// benchmarkProblem returns a problem with one group of tasks, whose input is on every fourth server.
func benchmarkProblem() *Problem {
	p := &Problem{LocalCost: 10, MaxLoops: 256}
	p.RemoteCost = func(remoteTasks int) float64 { return 10 + 0.01*float64(remoteTasks) }
	group := Group{Tasks: make([]int32, benchmarkTasks)}
	for server := range benchmarkServers {
		p.InitialLoads = append(p.InitialLoads, float64(server%7))
		if server%4 == 0 {
			group.PreferredServers = append(group.PreferredServers, int32(server))
		}
	}
	p.Groups = []Group{group}
	return p
}

func BenchmarkPlan(b *testing.B) {
	p := benchmarkProblem()
	for b.Loop() {
		Plan(p, rand.New(rand.NewPCG(1, 1)))
	}
}

func BenchmarkPlanManyGroups(b *testing.B) {
	p := randomProblem(rand.New(rand.NewPCG(5, 5)), 60, 400)
	for b.Loop() {
		Plan(p, rand.New(rand.NewPCG(1, 1)))
	}
}

func BenchmarkBalance(b *testing.B) {
	p := benchmarkProblem()
	for b.Loop() {
		Balance(p)
	}
}

func BenchmarkSlotLoads(b *testing.B) {
	machine := Size{CPUs: 64, GPUs: 8, Mem: 256}
	task := Size{CPUs: 1, Mem: 2}
	var work []QueuedWork
	for i := range 48 {
		work = append(work, QueuedWork{Size{CPUs: float64(1 + i%5), Mem: 4}, float64(i % 11)})
	}
	var loads []float64
	for b.Loop() {
		loads = SlotLoads(loads[:0], machine, task, work)
	}
}

func BenchmarkFirstFit(b *testing.B) {
	var hosts []Host
	for i := range int32(1000) {
		hosts = append(hosts, Host{i, i % 5, Size{CPUs: float64(i % 9), Mem: 64}})
	}
	task := Size{CPUs: 2, Mem: 8}
	b.Run("anywhere", func(b *testing.B) {
		for b.Loop() {
			FirstFit(hosts, task, 900, false, 300)
		}
	})
	b.Run("one zone", func(b *testing.B) {
		for b.Loop() {
			FirstFit(hosts, task, 300, true, 0)
		}
	})
}
