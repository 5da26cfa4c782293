// Package scale measures what a cluster costs as it grows: real controllers as processes of their own, which are measured
// from outside, beside hollow workers by the thousand, hollow users, and the stand-in state service in a process of its
// own so that its cost is nobody's. It fits straight lines through what it measured, predicts the largest size from the
// smaller ones before it is played, and says by how much the prediction was off.
//
// Figures are of processes on one machine: processors and sockets are real, the network is loopback, tasks only wait.
package scale

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/hashicorp/hcl/v2/hclsimple"
)

// Plan is what is played, written in HCL. Times are in seconds.
type Plan struct {
	Name string `hcl:"name" validate:"required"`
	// SettleS is how long a step may take until its machines are busy; MeasureS is how long it is then measured.
	SettleS  float64 `hcl:"settle_s" validate:"gt=0,lte=3600"`
	MeasureS float64 `hcl:"measure_s" validate:"gt=0,lte=3600"`
	// Controllers and Teams are used where a step says nothing.
	Controllers int     `hcl:"controllers,optional" validate:"gte=1,lte=9"`
	Teams       int     `hcl:"teams,optional" validate:"gte=1,lte=5000"`
	ReportS     float64 `hcl:"report_s,optional" validate:"gt=0,lte=60"`
	LeaseS      float64 `hcl:"lease_s,optional" validate:"gt=0,lte=600"`
	CancelS     float64 `hcl:"cancel_s,optional" validate:"gt=0,lte=600"`
	// PollS is how often a user asks about a job.
	PollS float64 `hcl:"poll_s,optional" validate:"gt=0,lte=600"`
	State State   `hcl:"state,block"`
	Steps []Step  `hcl:"step,block" validate:"min=1,dive"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `hcl:"rps" validate:"gt=0"`
	WriteRPS float64 `hcl:"write_rps" validate:"gt=0"`
	ValueKB  float64 `hcl:"value_kb" validate:"gt=0"`
	TxnOps   int     `hcl:"txn_ops" validate:"gt=0"`
}

// Step is one size.
type Step struct {
	Name            string  `hcl:"name,label" validate:"required" json:"name"`
	Machines        int     `hcl:"machines" validate:"gte=1,lte=100000" json:"machines"`
	TasksPerMachine int     `hcl:"tasks_per_machine" validate:"gte=1,lte=64" json:"tasks_per_machine"`
	TaskS           float64 `hcl:"task_s" validate:"gt=0" json:"task_s"`
	TasksPerJob     int     `hcl:"tasks_per_job" validate:"gte=1,lte=100000" json:"tasks_per_job"`
	Controllers     int     `hcl:"controllers,optional" validate:"gte=0,lte=9" json:"controllers"`
	Teams           int     `hcl:"teams,optional" validate:"gte=0,lte=5000" json:"teams"`
	// HeldOut leaves the step out of the fit: it is predicted first and measured then.
	HeldOut bool `hcl:"held_out,optional" json:"held_out"`
}

// Bounds of what is played on one machine.
const (
	mostProcesses = 300
	memoryPart    = 0.5 // of the machine's
	// What is reckoned before a run: bytes for a hollow worker and its connections on both sides, for a task, for a process.
	workerBytes  = 160 << 10
	taskBytes    = 8 << 10
	processBytes = 80 << 20
	extraProcs   = 2 // the state service, and this one with workers and users
)

// ErrTooLarge wraps the reasons why a plan isn't played on this machine.
var ErrTooLarge = errors.New("too large for this machine")

// Read reads a plan from a file.
func Read(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse reads a plan; its errors name the setting, or line and column.
func Parse(name string, raw []byte) (*Plan, error) {
	p := &Plan{Controllers: 3, Teams: 4, ReportS: 5, LeaseS: 30, CancelS: 60, PollS: 5}
	if err := hclsimple.Decode(name, raw, nil, p); err != nil {
		return nil, err
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(p); err != nil {
		var f validator.ValidationErrors
		if errors.As(err, &f) && len(f) > 0 {
			return nil, fmt.Errorf("%s: setting %s: value %v breaks the rule %q", name, strings.TrimPrefix(f[0].Namespace(), "Plan."), f[0].Value(), strings.TrimSpace(f[0].Tag()+" "+f[0].Param()))
		}
		return nil, err
	}
	seen := map[string]bool{}
	for i := range p.Steps {
		s := &p.Steps[i]
		if seen[s.Name] {
			return nil, fmt.Errorf("%s: step %q: there are two", name, s.Name)
		}
		seen[s.Name] = true
		if s.Controllers == 0 {
			s.Controllers = p.Controllers
		}
		if s.Teams == 0 {
			s.Teams = p.Teams
		}
	}
	return p, nil
}

// Quick makes a plan that ends within two minutes: a tenth of each size, short times.
func (p *Plan) Quick() {
	p.SettleS, p.MeasureS = min(p.SettleS, 9), min(p.MeasureS, 5)
	for i := range p.Steps {
		s := &p.Steps[i]
		s.Machines = max(4, s.Machines/10)
		s.TaskS = min(s.TaskS, 4)
	}
}

// Fits tells whether a plan may be played on a machine with so much memory, in bytes.
func (p *Plan) Fits(memory uint64) error {
	for _, s := range p.Steps {
		procs := s.Controllers + extraProcs
		need := uint64(s.Machines)*(workerBytes+uint64(s.TasksPerMachine)*taskBytes) + uint64(procs)*processBytes
		switch {
		case procs > mostProcesses:
			return fmt.Errorf("%w: step %q takes %d processes, and at most %d are allowed", ErrTooLarge, s.Name, procs, mostProcesses)
		case float64(need) > float64(memory)*memoryPart:
			return fmt.Errorf("%w: step %q takes about %d MB, and half of the memory is %d MB", ErrTooLarge, s.Name, need>>20, uint64(float64(memory)*memoryPart)>>20)
		}
	}
	return nil
}
