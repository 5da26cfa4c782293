package config

// Measured cost of one machine to a leader, by `harewalk lab scale` (docs/CAPACITY.md has the runs and their errors).
const (
	// baseMemoryMB is what a controller takes without machines and jobs, in MB.
	baseMemoryMB = 12.0
	// memoryPerMachineMB is what each machine adds, with its tasks, plans and connection, in MB.
	memoryPerMachineMB = 0.042
	// cpuSecondsPerHeartbeat is the processor time of a heartbeat, with the starts and plans that come with it.
	cpuSecondsPerHeartbeat = 0.0002
	// connSecondsPerHeartbeat is for how long a heartbeat may occupy a connection where connections are closed after
	// each response.
	connSecondsPerHeartbeat = 0.5
)

// Shares of the controller's own machine that machines may take. The rest is for bursts, for the work after a
// failover, and for users.
const (
	machinesMemoryShare = 0.7
	machinesCPUShare    = 0.5
)

// MachineBound names what bounds the number of machines; it is shown to operators.
type MachineBound string

// The possible bounds.
const (
	BoundBySettings    MachineBound = "max_machines in the operators' settings"
	BoundByMemory      MachineBound = "mem_mb: the controller's memory"
	BoundByProcessor   MachineBound = "cores: the controller's processor"
	BoundByConnections MachineBound = "sockets: the controller's connections"
)

// maxMachines returns how many machines a leader can serve on its own machine, and which of memory, processor and
// connections allows the fewest. Connections count only while a heartbeat is answered: beyond KeepAliveConns they are
// closed after each response.
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
