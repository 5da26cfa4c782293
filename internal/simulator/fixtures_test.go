package simulator

import (
	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
)

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

// spreadServiceSpec returns a service of six replicas, at most half of which may be in one zone.
func spreadServiceSpec() *jobs.Spec {
	return &jobs.Spec{
		ID:       "req-000777",
		Class:    "svc",
		Team:     "blue",
		Kind:     jobs.Service,
		Priority: "urgent",
		Tasks:    6,
		CPUs:     1,
		MemoryGB: 1,
		Image:    "i",
		ImageGB:  1,
		Spread:   true,
	}
}
