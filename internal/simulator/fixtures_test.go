package simulator

import "github.com/harewalk/harewalk/internal/capacity"

// gpuMachineTypes returns the one machine type of most tests' clouds: 16 processors and 4 accelerators, in the zones a,
// b and c, ready after bootS seconds.
func gpuMachineTypes(bootS float64) []capacity.MachineType {
	return []capacity.MachineType{{
		Name:    "g4",
		CPUs:    16,
		GPUs:    4,
		Mem:     128,
		CacheGB: 100,
		FetchGB: 10,
		Price:   4,
		Spot:    1.5,
		BootS:   bootS,
		Zones:   []string{"a", "b", "c"},
	}}
}
