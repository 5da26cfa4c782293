package planner

import (
	"math"
	"math/rand/v2"
)

// This file has the problems and the makespan calculation that several tests share.

const tolerance = 1e-9 // seconds

// almostEqual reports whether a and b differ by less than tolerance.
func almostEqual(a, b float64) bool { return math.Abs(a-b) < tolerance }

// paperProblem returns the paper's running example: seven tasks and three servers, with each task's input on two
// servers.
func paperProblem() *Problem {
	group := func(task int32, servers ...int32) Group {
		return Group{Tasks: []int32{task}, PreferredServers: servers}
	}
	return &Problem{
		InitialLoads: []float64{7.1, 4.2, 0.3},
		Groups: []Group{
			group(1, 0, 1),
			group(2, 1, 2),
			group(3, 1, 2),
			group(4, 0, 2),
			group(5, 0, 1),
			group(6, 0, 1),
			group(7, 0, 1),
		},
		LocalCost:  1,
		RemoteCost: func(remoteTasks int) float64 { return 1 + 0.1*float64(remoteTasks) },
	}
}

// randomProblem returns a problem with random loads and groups. Every group prefers at least one server.
func randomProblem(rng *rand.Rand, servers, tasks int) *Problem {
	fetchCost := rng.Float64()
	p := &Problem{LocalCost: 1 + rng.Float64()*3}
	p.RemoteCost = func(remoteTasks int) float64 { return p.LocalCost + fetchCost*float64(remoteTasks) }
	for range servers {
		p.InitialLoads = append(p.InitialLoads, rng.Float64()*6)
	}
	for remaining := tasks; remaining > 0; {
		size := 1 + rng.IntN(remaining)
		remaining -= size
		group := Group{Tasks: make([]int32, size)}
		for server := range servers {
			if rng.IntN(2) == 0 {
				group.PreferredServers = append(group.PreferredServers, int32(server))
			}
		}
		if len(group.PreferredServers) == 0 {
			group.PreferredServers = []int32{int32(rng.IntN(servers))}
		}
		p.Groups = append(p.Groups, group)
	}
	return p
}

// recomputeMakespan computes an allocation's makespan from the servers of its tasks.
func recomputeMakespan(p *Problem, a *Allocation) float64 {
	loads := append([]float64(nil), p.InitialLoads...)
	active := make([]bool, len(loads))
	remoteCost := p.RemoteCost(a.RemoteTasks)
	for group := range a.Server {
		for position, server := range a.Server[group] {
			if server == unplaced {
				continue
			}
			active[server] = true
			if a.Remote[group][position] {
				loads[server] += remoteCost
			} else {
				loads[server] += p.LocalCost
			}
		}
	}
	makespan := 0.0
	for server, isActive := range active {
		if isActive {
			makespan = math.Max(makespan, loads[server])
		}
	}
	return makespan
}
