// Package planner decides where the tasks of one job run. It has the Balance-Reduce planner for arrays and first fit
// for tasks that must start together.
//
// Its functions are pure: they have no state, clock or I/O, and the randomness is an argument, so equal arguments
// give equal plans. The package never starts a task and never changes a job or a machine; internal/fleet turns its
// cluster state into a Problem or a list of hosts and records the plan that comes back.
//
// A server of the paper is a slot here: the place for one task on a machine (see SlotLoads). Tasks that prefer the same
// servers form a group. Grouping doesn't change the result, since the tasks of a group are interchangeable, but it
// keeps the flow network small when a job has many tasks.
package planner

import "math/rand/v2"

// Group is a set of interchangeable tasks that prefer the same servers.
type Group struct {
	// Tasks are the task numbers.
	Tasks []int32
	// PreferredServers are the servers that hold the tasks' input, each once.
	PreferredServers []int32
}

// Problem is one scheduling problem in the paper's terms. Loads and costs are in seconds.
type Problem struct {
	// InitialLoads is the load of each server before any task is placed.
	InitialLoads []float64
	// Groups are the tasks to place.
	Groups []Group
	// LocalCost is the cost of a task on a server that it prefers.
	LocalCost float64
	// RemoteCost returns the cost of a task on any other server, by the number of remote tasks in the plan.
	RemoteCost func(remoteTasks int) float64
	// MaxLoops bounds the loops of Reduce; 0 means one for each task.
	MaxLoops int
	// AcceptsRemote reports which servers may run remote tasks; nil means all.
	AcceptsRemote func(server int) bool
}

// unplaced is the server of a task for which there is none.
const unplaced int32 = -1

// Allocation assigns a server to each task, by group and position in Group.Tasks.
type Allocation struct {
	// Server is the task's server, -1 where its group prefers none.
	Server [][]int32
	// Remote is set for a task that runs away from its input.
	Remote [][]bool
	// Makespan is the highest load, in seconds, among the servers that have a task.
	Makespan float64
	// RemoteTasks is the number of remote tasks.
	RemoteTasks int
}

// Plan runs Balance and then Reduce, and returns the better of the two plans. Reduce draws its tasks from rng.
func Plan(p *Problem, rng *rand.Rand) *Allocation {
	return reduce(p, Balance(p), rng)
}
