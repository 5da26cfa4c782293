package lab

import (
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/simulator"
)

// Size of the image cache and image download rate of every machine.
const (
	machineCacheGB     = 200
	machineFetchGBPerS = 2
)

// operatorFileName is the file name in errors about the operator settings of a configuration.
const operatorFileName = "operator.hcl"

// simulation returns the settings of the simulated cluster for a run of a configuration. Times and limits are those of
// a production service, not the shorter ones of tests.
func (s *Scenario) simulation(variant Config, seed uint64) simulator.Config {
	settings := simulator.Config{
		Seed:         seed,
		Controllers:  s.Controllers,
		Zones:        s.Zones,
		MaxMachines:  s.Machines,
		LicencePools: map[string]int{},
		Workers:      config.Workers{HeartbeatIntervalS: 2, LeaseS: 20, GangWaitS: 60, GangPeerS: 5, CancelS: 30},
		State:        config.State{RPS: 400, WriteRPS: 150, ValueKB: 32, TxnOps: 24},
		Cloud:        config.Cloud{RPS: 5, ListLagS: 3},
		TickInterval: 100 * time.Millisecond,
	}
	if variant.Machines > 0 {
		settings.MaxMachines = variant.Machines
	}
	if variant.Controllers > 0 {
		settings.Controllers = variant.Controllers
	}
	for _, machine := range s.Types {
		settings.Types = append(settings.Types, capacity.MachineType{
			Name:          machine.Name,
			CPUs:          machine.CPUs,
			GPUs:          machine.GPUs,
			MemoryGB:      machine.MemoryGB,
			CacheGB:       machineCacheGB,
			FetchGBPerS:   machineFetchGBPerS,
			OnDemandPrice: machine.Price,
			SpotPrice:     machine.SpotPrice,
			BootS:         machine.BootS,
			Zones:         s.Zones,
		})
	}
	for _, team := range s.Teams {
		settings.Teams = append(settings.Teams, config.Team{
			Name:    team.Name,
			CPUs:    team.CPUs,
			CPUsMax: team.CPUsMax,
			GPUs:    team.GPUs,
			GPUsMax: team.GPUsMax,
		})
	}
	for _, pool := range s.Pools {
		settings.LicencePools[pool.Name] = pool.Seats
	}
	return settings
}

// adjust applies the configuration to the settings of a controller.
func (c Config) adjust(settings *config.Settings) error {
	if c.Former {
		settings.SimulateRelease(rollout.Newest-1, simulator.FormerRelease)
	}
	if c.Operator == "" {
		return nil
	}
	return settings.ParseOperator(operatorFileName, []byte(c.Operator))
}
