package config

// What a machine costs a leader, as `harewalk lab scale` measured it (docs/CAPACITY.md has the runs and their errors).
const (
	// baseMemoryMB is what a controller takes before it has heard of anything, memoryPerMachineMB what it takes more for each machine,
	// with its tasks, plans and connection, in MB.
	baseMemoryMB       = 12.0
	memoryPerMachineMB = 0.042
	// cpuSecondsPerHeartbeat is the processor time of a report, with the starts and plans that come with it, in seconds.
	cpuSecondsPerHeartbeat = 0.0002
	// connSecondsPerHeartbeat is for how long a report may keep a connection where they don't stay open after an answer, in seconds.
	connSecondsPerHeartbeat = 0.5
)

// Parts of what the controller's machine has that machines may take: the rest is for bursts, for what comes after a
// takeover, and for users.
const (
	machinesMemoryShare = 0.7
	machinesCPUShare    = 0.5
)

// MachineBound names what bounds the number of machines, for operators.
type MachineBound string

// What may bind.
const (
	BoundBySettings    MachineBound = "max_machines in the operators' settings"
	BoundByMemory      MachineBound = "mem_mb: the controller's memory"
	BoundByProcessor   MachineBound = "cores: the controller's processor"
	BoundByConnections MachineBound = "sockets: the controller's connections"
)

// maxMachines is how many machines a leader can hold on its own machine, and which of memory, processor and
// connections allows the least. Connections count only while a report is answered, for where many are open they are
// closed after it.
func (l ControllerLimits) maxMachines(reportS float64) (int, MachineBound) {
	most, by := (l.MemoryLimitMB()*machinesMemoryShare-baseMemoryMB)/memoryPerMachineMB, BoundByMemory
	if n := l.Processor() * machinesCPUShare / cpuSecondsPerHeartbeat * reportS; n < most {
		most, by = n, BoundByProcessor
	}
	if n := float64(l.KeepAliveConns()) / connSecondsPerHeartbeat * reportS; n < most {
		most, by = n, BoundByConnections
	}
	return max(1, int(most)), by
}
