package config

// What a machine costs a leader, as `harewalk lab scale` measured it (docs/CAPACITY.md has the runs and their errors).
const (
	// baseMB is what a controller takes before it has heard of anything, machineMB what it takes more for each machine,
	// with its tasks, plans and connection, in MB.
	baseMB    = 12.0
	machineMB = 0.042
	// reportCores is the processor time of a report, with the starts and plans that come with it, in seconds.
	reportCores = 0.0002
	// reportOpenS is for how long a report may keep a connection where they don't stay open after an answer, in seconds.
	reportOpenS = 0.5
)

// Parts of what the controller's machine has that machines may take: the rest is for bursts, for what comes after a
// takeover, and for users.
const (
	memoryForMachines    = 0.7
	processorForMachines = 0.5
)

// Bound names what bounds the number of machines, for operators.
type Bound string

// What may bind.
const (
	BySettings    Bound = "max_machines in the operators' settings"
	ByMemory      Bound = "mem_mb: the controller's memory"
	ByProcessor   Bound = "cores: the controller's processor"
	ByConnections Bound = "sockets: the controller's connections"
)

// mostMachines is how many machines a leader can hold on its own machine, and which of memory, processor and
// connections allows the least. Connections count only while a report is answered, for where many are open they are
// closed after it.
func (l Limits) mostMachines(reportS float64) (int, Bound) {
	most, by := (l.Memory()*memoryForMachines-baseMB)/machineMB, ByMemory
	if n := l.Processor() * processorForMachines / reportCores * reportS; n < most {
		most, by = n, ByProcessor
	}
	if n := float64(l.Crowded()) / reportOpenS * reportS; n < most {
		most, by = n, ByConnections
	}
	return max(1, int(most)), by
}
