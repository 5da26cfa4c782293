// Package lab plays scenarios in simulated time: loads drawn from distributions, faults at their times, several
// configurations side by side with the same loads and seeds. It reports what users and operators would have noticed.
//
// It owns the format of scenario files and of their results. The cluster that is measured, with real controllers and
// everything around them simulated, is that of package simulator. Figures are of a simulation, in which processors
// take no time. The command `harewalk lab` calls it; package lab/scale shares its plots and the check of settings.
package lab

// Scenario is what is played. It is written in HCL.
type Scenario struct {
	Name string `hcl:"name" validate:"required"`
	// DurationS is how long jobs arrive, DrainS how long the last of them may take after that, in simulated seconds.
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

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name      string  `hcl:"name,label" validate:"required"`
	CPUs      float64 `hcl:"cpus" validate:"gt=0"`
	GPUs      float64 `hcl:"gpus,optional" validate:"gte=0"`
	MemoryGB  float64 `hcl:"memory_gb" validate:"gt=0"`
	Price     float64 `hcl:"price" validate:"gt=0"` // an hour
	SpotPrice float64 `hcl:"spot_price,optional" validate:"gte=0"`
	BootS     float64 `hcl:"boot_s" validate:"gt=0"`
}

// Team has a guarantee and a limit, as in the platform's settings.
type Team struct {
	Name    string  `hcl:"name,label" validate:"required"`
	CPUs    float64 `hcl:"cpus,optional" validate:"gte=0"`
	CPUsMax float64 `hcl:"cpus_max,optional" validate:"gte=0"`
	GPUs    float64 `hcl:"gpus,optional" validate:"gte=0"`
	GPUsMax float64 `hcl:"gpus_max,optional" validate:"gte=0"`
}

// Pool is a pool of the licence server.
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
	// PerMinute is the mean rate of arrivals, drawn as a Poisson process; Batch is how many jobs arrive at once, 0
	// for one. Jobs arrive between FromS and ToS, in simulated seconds; 0 for ToS: until the end.
	PerMinute float64      `hcl:"per_minute" validate:"gt=0"`
	Batch     int          `hcl:"batch,optional" validate:"gte=0,lte=1000"`
	FromS     float64      `hcl:"from_s,optional" validate:"gte=0"`
	ToS       float64      `hcl:"to_s,optional" validate:"gte=0"`
	Tasks     Distribution `hcl:"tasks,block"`
	Seconds   Distribution `hcl:"seconds,block"`
	// CancelShare of the jobs are cancelled, at a random time.
	CancelShare float64 `hcl:"cancel_share,optional" validate:"gte=0,lte=1"`
	CheckpointS float64 `hcl:"checkpoint_s,optional" validate:"gte=0"`
	OnDemand    bool    `hcl:"on_demand,optional"`
}

// Distribution is a distribution: "fixed", "uniform" between low and high, "exponential" with a median,
// "lognormal" with a median and a 95% quantile, or "pareto" with a lowest value and a shape.
type Distribution struct {
	Kind   string  `hcl:"kind,label" validate:"oneof=fixed uniform exponential lognormal pareto"`
	Value  float64 `hcl:"value,optional"`
	Low    float64 `hcl:"low,optional"`
	High   float64 `hcl:"high,optional"`
	Median float64 `hcl:"median,optional"`
	P95    float64 `hcl:"p95,optional"`
	Shape  float64 `hcl:"shape,optional"`
}

// Fault is played at a time: a line as in a script of `harewalk dev`.
type Fault struct {
	AtS float64 `hcl:"at_s" validate:"gte=0"`
	Do  string  `hcl:"do" validate:"required"`
	// ForS is how long after the fault its effect is measured, in seconds; 0: defaultRecovery.
	ForS float64 `hcl:"for_s,optional" validate:"gte=0"`
}

// Network is the behaviour of the network throughout a run: the mean delay of a message, and the shares of messages
// that are lost or delayed by LateS more.
type Network struct {
	MeanMS float64 `hcl:"mean_ms,optional" validate:"gte=0,lte=1000"`
	Lost   float64 `hcl:"lost,optional" validate:"gte=0,lte=0.5"`
	Late   float64 `hcl:"late,optional" validate:"gte=0,lte=0.5"`
	LateS  float64 `hcl:"late_s,optional" validate:"gte=0,lte=60"`
}

// Config is one of the configurations that are compared.
type Config struct {
	Name string `hcl:"name,label" validate:"required"`
	// Operator is the operators' settings, in HCL.
	Operator    string `hcl:"operator,optional"`
	Machines    int    `hcl:"machines,optional" validate:"gte=0,lte=20000"`
	Controllers int    `hcl:"controllers,optional" validate:"gte=0,lte=9"`
	// Former starts the controllers with the release before this one; the fault "roll" upgrades them.
	Former bool `hcl:"former,optional"`
}
