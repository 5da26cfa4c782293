// Package lab plays scenarios in simulated time: loads drawn from distributions, faults at given times, and several
// configurations that are compared with the same loads and seeds. It reports the effects on users and operators: wait
// times, served requests, cost, utilization and recovery from faults.
//
// The package owns the formats of scenario files and results. Package simulator provides the measured cluster: real
// controllers in simulated surroundings. In the simulation, computation takes no time. The command `harewalk lab`
// calls this package; package lab/scale uses its plots and its validation of settings.
package lab

// Scenario describes a cluster, its loads, faults and the configurations to compare. Scenario files are in HCL.
type Scenario struct {
	Name string `hcl:"name" validate:"required"`
	// Jobs arrive for DurationS simulated seconds. The run ends when all jobs have ended, at most DrainS seconds
	// later.
	DurationS   float64       `hcl:"duration_s" validate:"gt=0,lte=604800"`
	DrainS      float64       `hcl:"drain_s,optional" validate:"gte=0"`
	Repetitions int           `hcl:"repetitions,optional" validate:"gte=1,lte=1000"`
	Seed        uint64        `hcl:"seed,optional"`
	Controllers int           `hcl:"controllers,optional" validate:"gte=1,lte=9"`
	Machines    int           `hcl:"machines" validate:"gte=1,lte=20000"`
	Zones       []string      `hcl:"zones,optional"`
	Types       []MachineType `hcl:"type,block" validate:"dive"`
	Teams       []Team        `hcl:"team,block" validate:"min=1,dive"`
	Pools       []Pool        `hcl:"pool,block" validate:"dive"`
	Loads       []Load        `hcl:"load,block" validate:"min=1,dive"`
	Faults      []Fault       `hcl:"fault,block" validate:"dive"`
	Network     *Network      `hcl:"network,block"`
	Configs     []Config      `hcl:"config,block" validate:"dive"`
}

// MachineType is a type of machine that the simulated cloud offers.
type MachineType struct {
	Name      string  `hcl:"name,label" validate:"required"`
	CPUs      float64 `hcl:"cpus" validate:"gt=0"`
	GPUs      float64 `hcl:"gpus,optional" validate:"gte=0"`
	MemoryGB  float64 `hcl:"memory_gb" validate:"gt=0"`
	Price     float64 `hcl:"price" validate:"gt=0"` // price per hour
	SpotPrice float64 `hcl:"spot_price,optional" validate:"gte=0"`
	BootS     float64 `hcl:"boot_s" validate:"gt=0"`
}

// Team is a team with its guaranteed and its maximum resources, as in the platform's settings.
type Team struct {
	Name    string  `hcl:"name,label" validate:"required"`
	CPUs    float64 `hcl:"cpus,optional" validate:"gte=0"`
	CPUsMax float64 `hcl:"cpus_max,optional" validate:"gte=0"`
	GPUs    float64 `hcl:"gpus,optional" validate:"gte=0"`
	GPUsMax float64 `hcl:"gpus_max,optional" validate:"gte=0"`
}

// Pool is a licence pool of the simulated licence server.
type Pool struct {
	Name  string `hcl:"name,label" validate:"required"`
	Seats int    `hcl:"seats" validate:"gte=0"`
}

// Load is a stream of similar jobs.
type Load struct {
	Name     string         `hcl:"name,label" validate:"required"`
	Team     string         `hcl:"team" validate:"required"`
	Kind     string         `hcl:"kind,optional" validate:"omitempty,oneof=array gang service"`
	Priority string         `hcl:"priority,optional"`
	CPUs     float64        `hcl:"cpus" validate:"gt=0"`
	GPUs     float64        `hcl:"gpus,optional" validate:"gte=0"`
	MemoryGB float64        `hcl:"memory_gb,optional" validate:"gte=0"`
	Licences map[string]int `hcl:"licences,optional"`
	// PerMinute is the mean rate of arriving jobs. Arrivals are a Poisson process of batches with Batch jobs each (0:
	// one job). Jobs arrive between FromS and ToS, in simulated seconds; if ToS is 0, until DurationS.
	PerMinute float64      `hcl:"per_minute" validate:"gt=0"`
	Batch     int          `hcl:"batch,optional" validate:"gte=0,lte=1000"`
	FromS     float64      `hcl:"from_s,optional" validate:"gte=0"`
	ToS       float64      `hcl:"to_s,optional" validate:"gte=0"`
	Tasks     Distribution `hcl:"tasks,block"`
	Seconds   Distribution `hcl:"seconds,block"`
	// CancelShare is the share of jobs that are cancelled, at a random time after their arrival.
	CancelShare float64 `hcl:"cancel_share,optional" validate:"gte=0,lte=1"`
	CheckpointS float64 `hcl:"checkpoint_s,optional" validate:"gte=0"`
	OnDemand    bool    `hcl:"on_demand,optional"`
}

// Distribution is a probability distribution: "fixed" with a value, "uniform" between low and high, "exponential" with
// a median, "lognormal" with a median and a 95% quantile, or "pareto" with a lowest value and a shape.
type Distribution struct {
	Kind   string  `hcl:"kind,label" validate:"oneof=fixed uniform exponential lognormal pareto"`
	Value  float64 `hcl:"value,optional"`
	Low    float64 `hcl:"low,optional"`
	High   float64 `hcl:"high,optional"`
	Median float64 `hcl:"median,optional"`
	P95    float64 `hcl:"p95,optional"`
	Shape  float64 `hcl:"shape,optional"`
}

// Fault is a fault to inject at a time. Do has the syntax of a fault in a script of `harewalk dev`.
type Fault struct {
	AtS float64 `hcl:"at_s" validate:"gte=0"`
	Do  string  `hcl:"do" validate:"required"`
	// ForS is the length of the recovery period after the fault, in seconds; 0: defaultRecovery.
	ForS float64 `hcl:"for_s,optional" validate:"gte=0"`
}

// Network describes the network throughout a run: the mean delay of a message in milliseconds, the share of messages
// that are lost, and the share of messages that are delayed by another LateS seconds.
type Network struct {
	MeanMS float64 `hcl:"mean_ms,optional" validate:"gte=0,lte=1000"`
	Lost   float64 `hcl:"lost,optional" validate:"gte=0,lte=0.5"`
	Late   float64 `hcl:"late,optional" validate:"gte=0,lte=0.5"`
	LateS  float64 `hcl:"late_s,optional" validate:"gte=0,lte=60"`
}

// Config is one of the compared configurations. A zero Machines or Controllers means the scenario's value.
type Config struct {
	Name string `hcl:"name,label" validate:"required"`
	// Operator holds the operator settings, in HCL.
	Operator    string `hcl:"operator,optional"`
	Machines    int    `hcl:"machines,optional" validate:"gte=0,lte=20000"`
	Controllers int    `hcl:"controllers,optional" validate:"gte=0,lte=9"`
	// Former starts the controllers with the previous release; the fault "roll" upgrades them.
	Former bool `hcl:"former,optional"`
}
