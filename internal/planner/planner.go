// Package planner decides where the tasks of one job run. It has the Balance-Reduce planner for arrays and first fit
// for tasks that must start together.
//
// Its functions are deterministic: they have no state, clock or I/O, and the random number generator is an argument, so
// equal arguments give equal plans. The package doesn't start tasks and doesn't change jobs or machines. internal/fleet
// converts its cluster state to a Problem or a list of hosts, and records the returned plan.
//
// What the paper calls a server is a slot here: capacity for one task on a machine (see SlotLoads). Tasks that prefer
// the same servers form a group. The tasks of a group are interchangeable, so grouping doesn't change the result, but
// it keeps the flow network small if a job has many tasks.
package planner

import "math/rand/v2"

// Group is a set of interchangeable tasks that prefer the same servers.
type Group struct {
	// Tasks are the indices of the tasks in the job.
	Tasks []int32
	// PreferredServers are the servers that have the tasks' input, each once.
	PreferredServers []int32
}

// Problem is one scheduling problem in the paper's terms. Servers are indices in InitialLoads. Loads and costs are in
// seconds.
type Problem struct {
	// InitialLoads is the load of each server before any task is placed.
	InitialLoads []float64
	// Groups are the tasks to place.
	Groups []Group
	// LocalCost is the cost of a task on a server that it prefers.
	LocalCost float64
	// RemoteCost returns the cost of a task on any other server, given the number of remote tasks in the plan.
	RemoteCost func(remoteTasks int) float64
	// MaxLoops is the maximum number of iterations of Reduce; 0 means one for each task.
	MaxLoops int
	// AcceptsRemote reports whether a server may run remote tasks; nil means that all servers may.
	AcceptsRemote func(server int) bool
}

// unplaced stands for the server of a task that is not placed.
const unplaced int32 = -1

// Allocation assigns a server to each task. Its slices are indexed by group and by position in Group.Tasks.
type Allocation struct {
	// Server is the task's server, -1 if its group prefers no server.
	Server [][]int32
	// Remote is set for a task on a server that its group doesn't prefer.
	Remote [][]bool
	// Makespan is the highest load of the servers that have a task, in seconds.
	Makespan float64
	// RemoteTasks is the number of remote tasks.
	RemoteTasks int
}

// Plan runs Balance and then Reduce, and returns the better of the two plans. Reduce uses rng to choose tasks.
func Plan(p *Problem, rng *rand.Rand) *Allocation {
	return reduce(p, Balance(p), rng)
}
