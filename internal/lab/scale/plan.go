// Package scale measures the resource use of a cluster at several sizes. Real controllers run as separate processes,
// which are measured from outside. Thousands of simulated workers and users run in this process. The simulated state
// service has a process of its own, so that its resource use isn't added to another role's. The package fits straight
// lines to the measurements of the smaller sizes, predicts the held-out size and reports the error of the prediction.
//
// The package owns the formats of plans and results, and ends all processes that it starts. All processes run on one
// machine: processors and sockets are real, the network is the loopback interface, and tasks only wait. The command
// `harewalk lab scale` calls this package.
package scale

import (
	"errors"
	"fmt"
	"os"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harewalk/harewalk/internal/lab"
)

// Plan describes the sizes to measure and how to measure them. Plan files are in HCL; times are in seconds.
type Plan struct {
	Name string `hcl:"name" validate:"required"`
	// SettleS is the time from the start of a step's users to the measurement, in which the machines should become
	// busy. MeasureS is the duration of the measurement.
	SettleS  float64 `hcl:"settle_s" validate:"gt=0,lte=3600"`
	MeasureS float64 `hcl:"measure_s" validate:"gt=0,lte=3600"`
	// Controllers and Teams are the defaults for steps that don't set them.
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

// State holds the limits of the simulated state service.
type State struct {
	RPS      float64 `hcl:"rps" validate:"gt=0"`
	WriteRPS float64 `hcl:"write_rps" validate:"gt=0"`
	ValueKB  float64 `hcl:"value_kb" validate:"gt=0"`
	TxnOps   int     `hcl:"txn_ops" validate:"gt=0"`
}

// Step is one size of the cluster to measure. If Controllers or Teams is 0, Parse sets the plan's default.
type Step struct {
	Name            string  `hcl:"name,label" validate:"required" json:"name"`
	Machines        int     `hcl:"machines" validate:"gte=1,lte=100000" json:"machines"`
	TasksPerMachine int     `hcl:"tasks_per_machine" validate:"gte=1,lte=64" json:"tasks_per_machine"`
	TaskS           float64 `hcl:"task_s" validate:"gt=0" json:"task_s"`
	TasksPerJob     int     `hcl:"tasks_per_job" validate:"gte=1,lte=100000" json:"tasks_per_job"`
	Controllers     int     `hcl:"controllers,optional" validate:"gte=0,lte=9" json:"controllers"`
	Teams           int     `hcl:"teams,optional" validate:"gte=0,lte=5000" json:"teams"`
	// HeldOut excludes the step from the fit, so that its measurement can be compared with the prediction.
	HeldOut bool `hcl:"held_out,optional" json:"held_out"`
}

// Limits of a run on one machine, and estimates for them.
const (
	maxProcesses   = 300
	maxMemoryShare = 0.5 // fraction of the machine's memory

	// Estimated memory of a simulated worker with both ends of its connections, of a task, and of a process.
	workerBytes  = 160 << 10
	taskBytes    = 8 << 10
	processBytes = 80 << 20

	// nonControllerProcesses counts the processes besides the controllers: the state service, and this process with
	// workers and users.
	nonControllerProcesses = 2
)

// Upper bounds of the times of a quick run, divisor of its sizes, and smallest number of machines.
const (
	quickSettleS     = 9
	quickMeasureS    = 5
	quickTaskS       = 4
	quickSizeDivisor = 10
	quickMinMachines = 4
)

// ErrTooLarge is wrapped by the errors for plans that exceed the limits of a run on this machine.
var ErrTooLarge = errors.New("too large for this machine")

// Read parses the plan file at path. It returns the errors of os.ReadFile and of Parse.
func Read(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse parses a plan and fills in defaults. Every error names the file; an error of the HCL syntax or of a type also
// names line and column, any other error names the setting or step.
func Parse(file string, raw []byte) (*Plan, error) {
	plan := &Plan{Controllers: 3, Teams: 4, ReportS: 5, LeaseS: 30, CancelS: 60, PollS: 5}
	if err := hclsimple.Decode(file, raw, nil, plan); err != nil {
		return nil, err
	}
	if err := lab.Validate(file, plan); err != nil {
		return nil, err
	}
	stepNames := map[string]bool{}
	for i := range plan.Steps {
		step := &plan.Steps[i]
		if stepNames[step.Name] {
			return nil, fmt.Errorf("%s: step %q: %w", file, step.Name, lab.ErrDuplicate)
		}
		stepNames[step.Name] = true
		if step.Controllers == 0 {
			step.Controllers = plan.Controllers
		}
		if step.Teams == 0 {
			step.Teams = plan.Teams
		}
	}
	return plan, nil
}

// ReduceForQuickRun reduces the plan to a tenth of the machines of each step and to short times, so that a run ends within two
// minutes.
func (p *Plan) ReduceForQuickRun() {
	p.SettleS = min(p.SettleS, quickSettleS)
	p.MeasureS = min(p.MeasureS, quickMeasureS)
	for i := range p.Steps {
		step := &p.Steps[i]
		step.Machines = max(quickMinMachines, step.Machines/quickSizeDivisor)
		step.TaskS = min(step.TaskS, quickTaskS)
	}
}

// CheckResources returns an error that wraps ErrTooLarge if a step needs too many processes, or more than
// maxMemoryShare of the memory, which is given in bytes.
func (p *Plan) CheckResources(memory uint64) error {
	available := float64(memory) * maxMemoryShare
	for _, step := range p.Steps {
		processes := step.processes()
		if processes > maxProcesses {
			return fmt.Errorf("%w: step %q needs %d processes, at most %d are allowed",
				ErrTooLarge, step.Name, processes, maxProcesses)
		}
		if needed := step.estimatedBytes(); float64(needed) > available {
			return fmt.Errorf("%w: step %q needs about %d MB, half of the memory is %d MB",
				ErrTooLarge, step.Name, needed>>20, uint64(available)>>20)
		}
	}
	return nil
}

func (s Step) processes() int { return s.Controllers + nonControllerProcesses }

func (s Step) estimatedBytes() uint64 {
	machineBytes := workerBytes + uint64(s.TasksPerMachine)*taskBytes
	return uint64(s.Machines)*machineBytes + uint64(s.processes())*processBytes
}

// taskSlots returns the number of tasks that can run at the same time on all machines.
func (s Step) taskSlots() int { return s.Machines * s.TasksPerMachine }
