package simulator

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
)

// Config configures a simulation. Zero values are replaced by defaults that suit a test.
type Config struct {
	Seed        uint64
	Controllers int
	Zones       []string
	Types       []capacity.MachineType
	Teams       []config.Team
	Workers     config.Workers
	State       config.State
	Cloud       config.Cloud
	// MaxMachines bounds the machines that the cloud rents out at the same time.
	MaxMachines int
	// LicencePools are the sizes of the licence server's pools, by name.
	LicencePools map[string]int
	// Speed is how many times faster tasks run than their jobs estimate.
	Speed float64
	// VariedRunTimes makes the tasks of a job run between a quarter and twice as long as estimated, instead of 0.8 to
	// 1.2 times as long.
	VariedRunTimes bool
	// TickInterval is the time between two steps of machines, leases and licence checkouts.
	TickInterval time.Duration
	// InitialKeys is what the state service stores at the start, by key.
	InitialKeys map[string]json.RawMessage
	// LicenceTimeout is how long the licence server keeps the checkout of a task that it no longer hears from.
	LicenceTimeout time.Duration
	// StateAddrs are the addresses, one for each controller, of a state service in another process; nil: the
	// simulation has its own.
	StateAddrs []string
	// Limits is what each controller may use of its machine.
	Limits config.ControllerLimits
}

// valueOr returns the first value, or the second if the first is zero.
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
		Name:    "g4",
		CPUs:    16,
		GPUs:    4,
		Mem:     128,
		CacheGB: 100,
		FetchGB: 10,
		Price:   4,
		Spot:    1.5,
		BootS:   1,
		Zones:   zones,
	}
}
