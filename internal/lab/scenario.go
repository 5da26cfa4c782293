// Package lab plays scenarios on the project's simulator in virtual time: loads drawn from
// distributions, faults at their times, several configurations side by side with the same loads and
// seeds. It reports what users and operators would have noticed. Figures are of a simulation, in
// which processors take no time.
package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"
	"github.com/zclconf/go-cty/cty"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/simulator"
)

// Scenario is what is played; it is written in HCL.
type Scenario struct {
	Name string `hcl:"name" validate:"required"`
	// DurationS is how long loads arrive, DrainS how long is waited for the last jobs, in
	// simulated seconds.
	DurationS   float64  `hcl:"duration_s" validate:"gt=0,lte=604800"`
	DrainS      float64  `hcl:"drain_s,optional" validate:"gte=0"`
	Repetitions int      `hcl:"repetitions,optional" validate:"gte=1,lte=1000"`
	Seed        uint64   `hcl:"seed,optional"`
	Controllers int      `hcl:"controllers,optional" validate:"gte=1,lte=9"`
	Machines    int      `hcl:"machines" validate:"gte=1,lte=20000"`
	Zones       []string `hcl:"zones,optional"`
	Types       []Type   `hcl:"type,block" validate:"dive"`
	Teams       []Team   `hcl:"team,block" validate:"min=1,dive"`
	Pools       []Pool   `hcl:"pool,block" validate:"dive"`
	Loads       []Load   `hcl:"load,block" validate:"min=1,dive"`
	Faults      []Fault  `hcl:"fault,block" validate:"dive"`
	Network     *Network `hcl:"network,block"`
	Configs     []Config `hcl:"config,block" validate:"dive"`
}

// Type is a kind of machine that the cloud rents out.
type Type struct {
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

// Pool is a licence server's pool of seats.
type Pool struct {
	Name  string `hcl:"name,label" validate:"required"`
	Seats int    `hcl:"seats" validate:"gte=0"`
}

// Load is a stream of jobs of one kind.
type Load struct {
	Name     string         `hcl:"name,label" validate:"required"`
	Team     string         `hcl:"team" validate:"required"`
	Kind     string         `hcl:"kind,optional" validate:"omitempty,oneof=array gang service"`
	Priority string         `hcl:"priority,optional"`
	CPUs     float64        `hcl:"cpus" validate:"gt=0"`
	GPUs     float64        `hcl:"gpus,optional" validate:"gte=0"`
	MemoryGB float64        `hcl:"memory_gb,optional" validate:"gte=0"`
	Licences map[string]int `hcl:"licences,optional"`
	// PerMinute is the mean rate of arrivals, drawn as a Poisson process; Batch is how many come
	// at once. From and to, in seconds, bound when.
	PerMinute float64 `hcl:"per_minute" validate:"gt=0"`
	Batch     int     `hcl:"batch,optional" validate:"gte=0,lte=1000"`
	FromS     float64 `hcl:"from_s,optional" validate:"gte=0"`
	ToS       float64 `hcl:"to_s,optional" validate:"gte=0"`
	Tasks     Dist    `hcl:"tasks,block"`
	Seconds   Dist    `hcl:"seconds,block"`
	// CancelShare of the jobs are cancelled, at a random time.
	CancelShare float64 `hcl:"cancel_share,optional" validate:"gte=0,lte=1"`
	CheckpointS float64 `hcl:"checkpoint_s,optional" validate:"gte=0"`
	OnDemand    bool    `hcl:"on_demand,optional"`
}

// Dist is a distribution: "fixed", "uniform" between low and high, "exponential" with a median,
// "lognormal" with a median and a 95% quantile, or "pareto" with a lowest value and a shape.
type Dist struct {
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
	// InStateS is how long after it its effect is looked for, in seconds; 0: a minute.
	ForS float64 `hcl:"for_s,optional" validate:"gte=0"`
}

// Network is what happens to messages all the time.
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
	// Former lets the controllers begin with the release before this one: a "roll" brings this one.
	Former bool `hcl:"former,optional"`
}

// Read reads a scenario from a file.
func Read(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// LicenceServer is the address of the simulated licence server: ${licence_server} in a scenario.
const LicenceServer = "licences:80"

// Parse reads a scenario; its errors name the setting, or line and column.
func Parse(name string, raw []byte) (*Scenario, error) {
	s := &Scenario{DrainS: 600, Repetitions: 1, Seed: 1, Controllers: 3}
	ctx := &hcl.EvalContext{Variables: map[string]cty.Value{"licence_server": cty.StringVal(LicenceServer)}}
	if err := hclsimple.Decode(name, raw, ctx, s); err != nil {
		return nil, err
	}
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.Struct(s); err != nil {
		var f validator.ValidationErrors
		if errors.As(err, &f) && len(f) > 0 {
			return nil, fmt.Errorf("%s: setting %s: value %v breaks the rule %q", name, strings.TrimPrefix(f[0].Namespace(), "Scenario."), f[0].Value(), strings.TrimSpace(f[0].Tag()+" "+f[0].Param()))
		}
		return nil, err
	}
	if len(s.Configs) == 0 {
		s.Configs = []Config{{Name: "as it is"}}
	}
	if len(s.Zones) == 0 {
		s.Zones = []string{"a", "b"}
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

// check looks at what depends on more than one setting.
func (s *Scenario) check() error {
	teams, names := map[string]bool{}, map[string]bool{}
	for _, t := range s.Teams {
		teams[t.Name] = true
	}
	for i := range s.Loads {
		l := &s.Loads[i]
		if !teams[l.Team] {
			return fmt.Errorf("load %q: there is no team %q", l.Name, l.Team)
		}
		if names[l.Name] {
			return fmt.Errorf("load %q: there are two", l.Name)
		}
		names[l.Name] = true
		for what, d := range map[string]Dist{"tasks": l.Tasks, "seconds": l.Seconds} {
			if _, err := d.draw(nil); err != nil {
				return fmt.Errorf("load %q, %s: %w", l.Name, what, err)
			}
		}
		raw, _ := json.Marshal(l.spec("req-000001", 1, 1))
		if _, err := jobs.ParseSpec(raw); err != nil {
			return fmt.Errorf("load %q: %w", l.Name, err)
		}
	}
	if _, err := s.script(); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, c := range s.Configs {
		if seen[c.Name] {
			return fmt.Errorf("config %q: there are two", c.Name)
		}
		seen[c.Name] = true
		if err := c.operator(s.platform(c, 1)); err != nil {
			return fmt.Errorf("config %q: %w", c.Name, err)
		}
	}
	return nil
}

// script are the faults, by time.
func (s *Scenario) script() ([]simulator.Fault, error) {
	var lines strings.Builder
	for _, f := range s.Faults {
		fmt.Fprintf(&lines, "%s %s\n", time.Duration(f.AtS*float64(time.Second)), f.Do)
	}
	script, err := simulator.ParseScript(strings.NewReader(lines.String()))
	if err != nil {
		return nil, fmt.Errorf("faults, %w", err)
	}
	return script, nil
}

// platform is the simulated surroundings in which a configuration is played.
func (s *Scenario) platform(c Config, seed uint64) simulator.Config {
	w := simulator.Config{
		Seed: seed, Controllers: s.Controllers, Zones: s.Zones, MaxMachines: s.Machines, LicencePools: map[string]int{},
		// Times and limits of a service at work, not those of short tests.
		Workers: config.Workers{HeartbeatIntervalS: 2, LeaseS: 20, GangWaitS: 60, GangPeerS: 5, CancelS: 30},
		State:   config.State{RPS: 400, WriteRPS: 150, ValueKB: 32, TxnOps: 24},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 3}, TickInterval: 100 * time.Millisecond,
	}
	if c.Machines > 0 {
		w.MaxMachines = c.Machines
	}
	if c.Controllers > 0 {
		w.Controllers = c.Controllers
	}
	for _, t := range s.Types {
		w.Types = append(w.Types, capacity.MachineType{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, Mem: t.MemoryGB, CacheGB: 200, FetchGB: 2,
			Price: t.Price, Spot: t.SpotPrice, BootS: t.BootS, Zones: s.Zones,
		})
	}
	for _, t := range s.Teams {
		w.Teams = append(w.Teams, config.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
	}
	for _, p := range s.Pools {
		w.LicencePools[p.Name] = p.Seats
	}
	return w
}

// operator checks a configuration's operators' settings.
func (c Config) operator(w simulator.Config) error {
	if c.Operator == "" {
		return nil
	}
	_, err := simulator.NewVirtualTime(w, c.settings)
	return err
}

func (c Config) settings(settings *config.Settings) error {
	if c.Former {
		settings.SimulateRelease(rollout.Newest-1, simulator.FormerRelease)
	}
	if c.Operator == "" {
		return nil
	}
	return settings.ReadOperator("operator.hcl", []byte(c.Operator))
}
