package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// minBusyShare is the share of the task slots that must be in use before a step counts as settled.
const minBusyShare = 0.9

// Options configures the execution of a plan on this machine.
type Options struct {
	// Program is the command line that runs harewalk. Env holds variables that its processes get in addition to the
	// environment of this process.
	Program []string
	Env     []string
	// Progress is called with each line about the progress of the run; nil: progress isn't reported.
	Progress func(line string)
}

// reportf formats a line and passes it to Progress.
func (o Options) reportf(format string, values ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, values...))
	}
}

// Run measures all steps, one after the other, and fits lines to the measurements. If the context ends, Run ends all
// processes and returns the context's error. For a plan that is too large it returns an error that wraps ErrTooLarge.
func Run(ctx context.Context, plan *Plan, options Options) (*Result, error) {
	memory, err := TotalMemory()
	if err != nil {
		return nil, err
	}
	if err := plan.CheckResources(memory); err != nil {
		return nil, err
	}
	result := &Result{
		Plan:    plan.Name,
		Machine: fmt.Sprintf("one machine with %d cores and %d GB", runtime.NumCPU(), memory>>30),
	}
	for i, step := range plan.Steps {
		options.reportf("step %d of %d, %s: %d machines with %d tasks each",
			i+1, len(plan.Steps), step.Name, step.Machines, step.TasksPerMachine)
		measured, err := play(ctx, plan, step, options)
		if err != nil {
			return nil, fmt.Errorf("step %q: %w", step.Name, err)
		}
		result.Steps = append(result.Steps, measured.StepResult)
		result.PeakMB = max(result.PeakMB, measured.peakMB)
		result.PeakProcesses = max(result.PeakProcesses, step.processes())
	}
	result.fitAll()
	return result, nil
}

// measurement is the result of a step, with the sum of the peak memory of all its processes.
type measurement struct {
	StepResult
	peakMB float64
}

// play runs one step: it starts a cluster, waits for SettleS, measures the cluster for MeasureS and closes it.
func play(ctx context.Context, plan *Plan, step Step, options Options) (*measurement, error) {
	cluster, err := startCluster(ctx, plan, step, options)
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	sleep(ctx, jobs.Seconds(plan.SettleS))
	isSettled := cluster.isBusy(step)
	before, err := cluster.snapshot()
	if err != nil {
		return nil, err
	}
	cluster.users.startMeasuring()
	options.reportf("  %d tasks running, settled %v: measuring for %g s",
		cluster.sim.Utilization().Running, isSettled, plan.MeasureS)
	sleep(ctx, jobs.Seconds(plan.MeasureS))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	after, err := cluster.snapshot()
	if err != nil {
		return nil, err
	}
	result := cluster.result(step, interval{before, after})
	result.Settled = isSettled
	return &measurement{StepResult: result, peakMB: after.peakMB()}, nil
}

// isBusy reports whether at least minBusyShare of the task slots are in use.
func (c *cluster) isBusy(step Step) bool {
	return c.sim.Utilization().Running >= int(minBusyShare*float64(step.taskSlots()))
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
