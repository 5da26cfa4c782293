package config

// The load of one machine on a leader, from `harewalk lab scale` (docs/CAPACITY.md has the runs and their errors).
const (
	// baseMemoryMB is the memory of a controller without machines and jobs, in MB.
	baseMemoryMB = 12.0
	// memoryPerMachineMB is the memory for each machine, with its tasks, plans and connection, in MB.
	memoryPerMachineMB = 0.042
	// cpuSecondsPerHeartbeat is the processor time for a heartbeat, including the task starts and plans that it causes.
	cpuSecondsPerHeartbeat = 0.0002
	// connSecondsPerHeartbeat is how long a heartbeat may occupy a connection, if connections are closed after each
	// response.
	connSecondsPerHeartbeat = 0.5
)

// Shares of the controller's own memory and processor for the load of the fleet's machines. The rest is for bursts, for
// the work after a failover, and for users.
const (
	machinesMemoryShare = 0.7
	machinesCPUShare    = 0.5
)

// MachineBound names the resource or setting that bounds the number of machines; it is shown to operators.
type MachineBound string

// The resources and settings that can bound the number of machines.
const (
	BoundBySettings    MachineBound = "max_machines in the operators' settings"
	BoundByMemory      MachineBound = "mem_mb: the controller's memory"
	BoundByProcessor   MachineBound = "cores: the controller's processor"
	BoundByConnections MachineBound = "sockets: the controller's connections"
)

// maxMachines returns how many machines a leader with these limits can serve, and whether memory, processor or
// connections allow the fewest. A heartbeat counts as a connection only until it is answered, since connections beyond
// KeepAliveConns are closed after each response.
func (l ControllerLimits) maxMachines(heartbeatIntervalS float64) (int, MachineBound) {
	machines := (l.MemoryLimitMB()*machinesMemoryShare - baseMemoryMB) / memoryPerMachineMB
	bound := BoundByMemory
	byProcessor := l.UsableCores() * machinesCPUShare / cpuSecondsPerHeartbeat * heartbeatIntervalS
	if byProcessor < machines {
		machines = byProcessor
		bound = BoundByProcessor
	}
	byConnections := float64(l.KeepAliveConns()) / connSecondsPerHeartbeat * heartbeatIntervalS
	if byConnections < machines {
		machines = byConnections
		bound = BoundByConnections
	}
	return max(1, int(machines)), bound
}
