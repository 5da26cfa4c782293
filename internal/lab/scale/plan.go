// Package scale measures what a cluster costs as it grows: real controllers as processes of their own, which are
// measured from outside, beside thousands of simulated workers and users, and a simulated state service in a process of
// its own, so that its cost isn't added to another's. It fits straight lines through the measurements, predicts the
// largest size from the smaller ones before it is played, and reports the error of the prediction.
//
// It owns the format of plans and of their results, and ends all processes that it starts. Figures are of processes on
// one machine: processors and sockets are real, the network is loopback, tasks only wait. The command `harewalk lab
// scale` calls it.
package scale

import (
	"errors"
	"fmt"
	"os"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harewalk/harewalk/internal/lab"
)

// Plan is what is played. It is written in HCL; times are in seconds.
type Plan struct {
	Name string `hcl:"name" validate:"required"`
	// SettleS is how long a step may take until its machines are busy; MeasureS is how long it is then measured.
	SettleS  float64 `hcl:"settle_s" validate:"gt=0,lte=3600"`
	MeasureS float64 `hcl:"measure_s" validate:"gt=0,lte=3600"`
	// Controllers and Teams are the defaults of the steps.
	Controllers int     `hcl:"controllers,optional" validate:"gte=1,lte=9"`
	Teams       int     `hcl:"teams,optional" validate:"gte=1,lte=5000"`
	ReportS     float64 `hcl:"report_s,optional" validate:"gt=0,lte=60"`
	LeaseS      float64 `hcl:"lease_s,optional" validate:"gt=0,lte=600"`
	CancelS     float64 `hcl:"cancel_s,optional" validate:"gt=0,lte=600"`
	// PollS is the interval at which a user polls a job.
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

// Step is one size of a cluster.
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
	maxProcesses   = 300
	maxMemoryShare = 0.5 // of the machine's memory

	// Estimates before a run, in bytes: for a simulated worker with both ends of its connections, a task, a process.
	workerBytes  = 160 << 10
	taskBytes    = 8 << 10
	processBytes = 80 << 20

	// otherProcesses are the state service, and this process with workers and users.
	otherProcesses = 2
)

// Bounds of a quick run.
const (
	quickSettleS     = 9
	quickMeasureS    = 5
	quickTaskS       = 4
	quickSizeDivisor = 10
	quickMinMachines = 4
)

// ErrTooLarge is wrapped by the errors for plans that need more than this machine has.
var ErrTooLarge = errors.New("too large for this machine")

// Read reads a plan from a file. Its errors are those of Parse and of reading the file.
func Read(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse reads a plan. Its errors name the file with the setting, or with line and column.
func Parse(file string, raw []byte) (*Plan, error) {
	plan := &Plan{Controllers: 3, Teams: 4, ReportS: 5, LeaseS: 30, CancelS: 60, PollS: 5}
	if err := hclsimple.Decode(file, raw, nil, plan); err != nil {
		return nil, err
	}
	if err := lab.Validate(file, plan); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i := range plan.Steps {
		step := &plan.Steps[i]
		if seen[step.Name] {
			return nil, fmt.Errorf("%s: step %q: %w", file, step.Name, lab.ErrDuplicate)
		}
		seen[step.Name] = true
		if step.Controllers == 0 {
			step.Controllers = plan.Controllers
		}
		if step.Teams == 0 {
			step.Teams = plan.Teams
		}
	}
	return plan, nil
}

// ReduceForQuickRun reduces a plan to a tenth of each size and to short times, so that it ends within two minutes.
func (p *Plan) ReduceForQuickRun() {
	p.SettleS = min(p.SettleS, quickSettleS)
	p.MeasureS = min(p.MeasureS, quickMeasureS)
	for i := range p.Steps {
		step := &p.Steps[i]
		step.Machines = max(quickMinMachines, step.Machines/quickSizeDivisor)
		step.TaskS = min(step.TaskS, quickTaskS)
	}
}

// Fits returns an error that wraps ErrTooLarge if the plan needs too much for a machine with so many bytes of memory.
func (p *Plan) Fits(memory uint64) error {
	available := float64(memory) * maxMemoryShare
	for _, step := range p.Steps {
		processes := step.processes()
		if processes > maxProcesses {
			return fmt.Errorf("%w: step %q takes %d processes, and at most %d are allowed",
				ErrTooLarge, step.Name, processes, maxProcesses)
		}
		if needed := step.estimatedBytes(); float64(needed) > available {
			return fmt.Errorf("%w: step %q takes about %d MB, and half of the memory is %d MB",
				ErrTooLarge, step.Name, needed>>20, uint64(available)>>20)
		}
	}
	return nil
}

func (s Step) processes() int { return s.Controllers + otherProcesses }

func (s Step) estimatedBytes() uint64 {
	machineBytes := workerBytes + uint64(s.TasksPerMachine)*taskBytes
	return uint64(s.Machines)*machineBytes + uint64(s.processes())*processBytes
}

// taskSlots returns how many tasks run at once on all machines.
func (s Step) taskSlots() int { return s.Machines * s.TasksPerMachine }
