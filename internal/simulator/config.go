package simulator

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
)

// Config configures a simulation. Zero values of most fields are replaced by defaults that suit a test.
type Config struct {
	Seed        uint64
	Controllers int
	Zones       []string
	Types       []capacity.MachineType
	Teams       []config.Team
	Workers     config.Workers
	State       config.State
	Cloud       config.Cloud
	// MaxMachines is the maximum number of machines that the cloud rents out at the same time.
	MaxMachines int
	// LicencePools are the sizes of the licence server's pools, by name.
	LicencePools map[string]int
	// Speed is the factor by which tasks run faster than their jobs' estimates.
	Speed float64
	// VariedRunTimes makes the run times of tasks vary between 0.25 and 2 times the estimate, instead of between 0.8
	// and 1.2 times.
	VariedRunTimes bool
	// TickInterval is the time between two updates of machines, leases and licence checkouts.
	TickInterval time.Duration
	// InitialKeys holds the values that the state service stores at the start, by key.
	InitialKeys map[string]json.RawMessage
	// LicenceTimeout is how long the licence server keeps the checkout of a lost task.
	LicenceTimeout time.Duration
	// StateAddrs holds, for each controller, the address of a state service in another process. If it is nil, the
	// simulation serves the state service.
	StateAddrs []string
	// Limits are the resource limits of each controller on its machine.
	Limits config.ControllerLimits
}

// valueOr returns given, or otherwise if given is the zero value.
func valueOr[T comparable](given, otherwise T) T {
	var zero T
	if given == zero {
		return otherwise
	}
	return given
}

func (c *Config) setDefaults() {
	c.Controllers = valueOr(c.Controllers, 3)
	c.MaxMachines = valueOr(c.MaxMachines, 20)
	c.LicenceTimeout = valueOr(c.LicenceTimeout, 4*time.Second)
	c.Speed = valueOr(c.Speed, 1)
	c.TickInterval = valueOr(c.TickInterval, 10*time.Millisecond)
	if c.Zones == nil {
		c.Zones = []string{"a", "b"}
	}
	if c.Types == nil {
		c.Types = []capacity.MachineType{defaultMachineType(c.Zones)}
	}
	if c.Teams == nil {
		c.Teams = []config.Team{
			{Name: "red", CPUs: 40},
			{Name: "blue", CPUs: 40, CPUsMax: 120},
		}
	}
	c.Workers = valueOr(c.Workers, config.Workers{
		HeartbeatIntervalS: 0.5,
		LeaseS:             6,
		GangWaitS:          10,
		GangPeerS:          2,
		CancelS:            20,
	})
	c.State = valueOr(c.State, config.State{RPS: 2000, WriteRPS: 600, ValueKB: 32, TxnOps: 40})
	c.Cloud = valueOr(c.Cloud, config.Cloud{RPS: 20, ListLagS: 0.5})
	cores, memoryMB, sockets := 1.0, 512.0, 4096
	c.Limits = valueOr(c.Limits, config.ControllerLimits{Cores: &cores, MemMB: &memoryMB, Sockets: &sockets})
}

func defaultMachineType(zones []string) capacity.MachineType {
	return capacity.MachineType{
		Name:          "g4",
		CPUs:          16,
		GPUs:          4,
		MemoryGB:      128,
		CacheGB:       100,
		FetchGBPerS:   10,
		OnDemandPrice: 4,
		SpotPrice:     1.5,
		BootS:         1,
		Zones:         zones,
	}
}
