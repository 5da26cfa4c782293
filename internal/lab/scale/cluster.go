package scale

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

const (
	// readyTimeout is the longest time from a controller's start until it must be ready.
	readyTimeout = 30 * time.Second
	// workerTick is the interval at which the time of the simulated workers advances.
	workerTick = 100 * time.Millisecond
	// memoryGBPerCore is the memory of a simulated machine per core.
	memoryGBPerCore = 4
)

// operatorSettings is the template of the operator settings. They keep the step's machines, since none is idle long
// enough to be released, and make the controllers serve their metrics.
const operatorSettings = `
debug_addr   = "{debug}"
idle_s       = 1000000
max_machines = %d
`

// cluster holds the parts of the cluster of one step: the state service and the controllers in separate processes,
// workers and users in this process.
type cluster struct {
	state       *stateProcess
	sim         *simulator.Simulation
	controllers *simulator.Cluster
	users       *users
	dir         string
	stopUsers   context.CancelFunc
}

// startCluster starts the processes and users of a step. The users stop when the context ends. The caller must call
// close on the returned cluster.
func startCluster(ctx context.Context, plan *Plan, step Step, options Options) (*cluster, error) {
	started := &cluster{}
	if err := started.start(ctx, plan, step, options); err != nil {
		started.close()
		return nil, err
	}
	return started, nil
}

func (c *cluster) start(ctx context.Context, plan *Plan, step Step, options Options) error {
	limits := config.State{
		RPS:      plan.State.RPS,
		WriteRPS: plan.State.WriteRPS,
		ValueKB:  plan.State.ValueKB,
		TxnOps:   plan.State.TxnOps,
	}
	var err error
	c.state, err = startState(options, stateSettings{Controllers: step.Controllers, Limits: limits})
	if err != nil {
		return err
	}
	c.sim, err = simulator.NewRealTime(simulation(plan, step, limits, c.state.addresses))
	if err != nil {
		return err
	}
	if err := c.sim.BootMachines(step.Machines); err != nil {
		return err
	}
	if err := c.startControllers(step, options); err != nil {
		return err
	}
	var usersContext context.Context
	usersContext, c.stopUsers = context.WithCancel(ctx)
	c.users = newUsers(c.sim, step, jobs.Seconds(plan.PollS))
	c.users.start(usersContext, jobs.Seconds(plan.SettleS/2))
	return nil
}

// startControllers starts the controllers' processes and waits until all of them are ready.
func (c *cluster) startControllers(step Step, options Options) error {
	var err error
	c.dir, err = os.MkdirTemp("", "harewalk-scale-")
	if err != nil {
		return err
	}
	operator := fmt.Sprintf(operatorSettings, step.Machines)
	env := append(append([]string{}, options.Env...), "LOG_LEVEL=error")
	command := append(append([]string{}, options.Program...), "serve")
	c.controllers, err = c.sim.NewCluster(c.dir, operator, env, command...)
	if err != nil {
		return err
	}
	for i := range step.Controllers {
		if err := c.controllers.Start(i); err != nil {
			return err
		}
	}
	for i := range step.Controllers {
		if err := c.controllers.WaitReady(i, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// close stops the users first, then the controllers, and last the simulation and the state service, to which the
// controllers send requests.
func (c *cluster) close() {
	if c.stopUsers != nil {
		c.stopUsers()
	}
	if c.controllers != nil {
		c.controllers.Close()
	}
	if c.sim != nil {
		c.sim.Close()
	}
	if c.state != nil {
		c.state.close()
	}
	if c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}

// simulation returns the settings of a step's simulated surroundings. Each machine has one core per task slot, and
// memory and other limits don't restrict the tasks.
func simulation(plan *Plan, step Step, limits config.State, stateAddresses []string) simulator.Config {
	zones := []string{"a", "b", "c"}
	cores := float64(step.TasksPerMachine)
	settings := simulator.Config{
		Seed:         1,
		Controllers:  step.Controllers,
		Zones:        zones,
		MaxMachines:  step.Machines,
		State:        limits,
		StateAddrs:   stateAddresses,
		TickInterval: workerTick,
		Types: []capacity.MachineType{{
			Name:          "hollow",
			CPUs:          cores,
			MemoryGB:      memoryGBPerCore * cores,
			CacheGB:       100,
			FetchGBPerS:   2,
			OnDemandPrice: 1,
			BootS:         1,
			Zones:         zones,
		}},
		Workers: config.Workers{
			HeartbeatIntervalS: plan.ReportS,
			LeaseS:             plan.LeaseS,
			GangWaitS:          30,
			GangPeerS:          5,
			CancelS:            plan.CancelS,
		},
		Cloud:  config.Cloud{RPS: 20, ListLagS: 1},
		Limits: controllerLimits(),
	}
	for i := range step.Teams {
		settings.Teams = append(settings.Teams, config.Team{Name: teamName(i)})
	}
	return settings
}

// controllerLimits returns limits of a controller's machine that are large enough not to affect the measurement.
func controllerLimits() config.ControllerLimits {
	cores := 1.0
	memoryMB := 4096.0
	sockets := 40_000
	return config.ControllerLimits{Cores: &cores, MemMB: &memoryMB, Sockets: &sockets}
}

func teamName(index int) string { return fmt.Sprintf("team-%04d", index) }
