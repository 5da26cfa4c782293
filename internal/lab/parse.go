package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"
	"github.com/zclconf/go-cty/cty"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

// LicenceServer is the address of the simulated licence server. Scenarios refer to it as ${licence_server}.
const LicenceServer = "licences:80"

// Read parses the scenario file at path. It returns the errors of os.ReadFile and of Parse.
func Read(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse parses a scenario and fills in defaults. Every error names the file; an error of the HCL syntax or of a type
// also names line and column, any other error names the setting, load or configuration.
func Parse(file string, raw []byte) (*Scenario, error) {
	scenario := &Scenario{DrainS: 600, Repetitions: 1, Seed: 1, Controllers: 3}
	variables := map[string]cty.Value{"licence_server": cty.StringVal(LicenceServer)}
	if err := hclsimple.Decode(file, raw, &hcl.EvalContext{Variables: variables}, scenario); err != nil {
		return nil, err
	}
	if err := Validate(file, scenario); err != nil {
		return nil, err
	}
	if len(scenario.Configs) == 0 {
		scenario.Configs = []Config{{Name: "as it is"}}
	}
	if len(scenario.Zones) == 0 {
		scenario.Zones = []string{"a", "b"}
	}
	if err := scenario.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return scenario, nil
}

// check checks the rules that involve more than one setting.
func (s *Scenario) check() error {
	if err := s.checkLoads(); err != nil {
		return err
	}
	if _, err := s.faultScript(); err != nil {
		return err
	}
	return s.checkConfigs()
}

func (s *Scenario) checkLoads() error {
	teamNames := map[string]bool{}
	for _, team := range s.Teams {
		teamNames[team.Name] = true
	}
	loadNames := map[string]bool{}
	for i := range s.Loads {
		load := &s.Loads[i]
		if !teamNames[load.Team] {
			return fmt.Errorf("load %q: %w %q", load.Name, errUnknownTeam, load.Team)
		}
		if loadNames[load.Name] {
			return fmt.Errorf("load %q: %w", load.Name, ErrDuplicate)
		}
		loadNames[load.Name] = true
		if err := load.check(); err != nil {
			return err
		}
	}
	return nil
}

// check checks the load's distributions, and that jobs.ParseSpec accepts a job of the load.
func (l *Load) check() error {
	if _, err := l.Tasks.sampler(nil); err != nil {
		return fmt.Errorf("load %q, distribution of tasks: %w", l.Name, err)
	}
	if _, err := l.Seconds.sampler(nil); err != nil {
		return fmt.Errorf("load %q, distribution of seconds: %w", l.Name, err)
	}
	raw, err := json.Marshal(l.spec("req-000001", 1, 1))
	if err != nil {
		return fmt.Errorf("load %q: %w", l.Name, err)
	}
	if _, err := jobs.ParseSpec(raw); err != nil {
		return fmt.Errorf("load %q: %w", l.Name, err)
	}
	return nil
}

func (s *Scenario) checkConfigs() error {
	configNames := map[string]bool{}
	for _, config := range s.Configs {
		if configNames[config.Name] {
			return fmt.Errorf("config %q: %w", config.Name, ErrDuplicate)
		}
		configNames[config.Name] = true
		if err := s.checkOperatorSettings(config); err != nil {
			return fmt.Errorf("config %q: %w", config.Name, err)
		}
	}
	return nil
}

// checkOperatorSettings checks the operator settings of a configuration by loading them into controllers that are
// created but never run.
func (s *Scenario) checkOperatorSettings(config Config) error {
	if config.Operator == "" {
		return nil
	}
	_, err := simulator.NewVirtualTime(s.simulation(config, 1), config.adjust)
	return err
}

// faultScript returns the faults of the scenario as a fault script of the simulator.
func (s *Scenario) faultScript() ([]simulator.Fault, error) {
	var lines strings.Builder
	for _, fault := range s.Faults {
		fmt.Fprintf(&lines, "%s %s\n", jobs.Seconds(fault.AtS), fault.Do)
	}
	script, err := simulator.ParseScript(strings.NewReader(lines.String()))
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	return script, nil
}
