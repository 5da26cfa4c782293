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

// mostMachines is how many machines a leader can hold on its own machine: the least of what memory, processor and
// connections allow. Connections count only while a report is answered, for where many are open they are closed after it.
func (l Limits) mostMachines(reportS float64) int {
	byMemory := (l.Memory()*memoryForMachines - baseMB) / machineMB
	byProcessor := l.Processor() * processorForMachines / reportCores * reportS
	bySockets := float64(l.Crowded()) / reportOpenS * reportS
	return max(1, int(min(byMemory, byProcessor, bySockets)))
}
