package fleet

// The order in which planning takes machines.

// packingOrder returns the machines that take work, in the order for planning: spot machines, which fewer jobs can
// use, and machines in use come first, so that others stay free to be returned. Between equally loaded slots the
// planner takes the first. The order is made once a cycle, by counting: to sort the fleet in each cycle cost a
// twentieth of a leader's processor time.
func (f *Fleet) packingOrder() []*Machine {
	if f.cycle.packedMachines != nil {
		return f.cycle.packedMachines
	}
	maxTasks := 0
	for _, machine := range f.machines {
		maxTasks = max(maxTasks, len(machine.Tasks))
	}
	// Counting sort: first the number of machines of each class, then the place of the class's first machine.
	places := make([]int, 2*(maxTasks+1)+1)
	machineCount := 0
	for _, machine := range f.machines {
		if takesWork(machine) {
			places[packingClass(machine, maxTasks)+1]++
			machineCount++
		}
	}
	for class := 1; class < len(places); class++ {
		places[class] += places[class-1]
	}
	ordered := make([]*Machine, machineCount)
	for _, machine := range f.machines {
		if takesWork(machine) {
			class := packingClass(machine, maxTasks)
			ordered[places[class]] = machine
			places[class]++
		}
	}
	f.PlanningSteps += uint64(2 * len(ordered))
	f.cycle.packedMachines = ordered
	return ordered
}

// packingClass numbers the classes of machines in packing order: spot machines first, and of each kind those with the
// most tasks first.
func packingClass(machine *Machine, maxTasks int) int {
	class := maxTasks - len(machine.Tasks)
	if !machine.Spot {
		class += maxTasks + 1
	}
	return class
}

// takesWork reports whether new work may be planned on a machine.
func takesWork(machine *Machine) bool {
	return machine.Condition == Ready && !machine.Returning && !machine.Quarantined
}
