package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/lab/scale"
)

// Names of the files in the --out folder.
const (
	scaleJSON     = "scale.json"
	scaleMarkdown = "scale.md"
	scaleHTML     = "scale.html"
)

// Assumed values of workers for planned sizes that don't specify them.
const (
	heartbeatIntervalS = 5.0
	tasksPerMachine    = 8
)

// plannedSizes returns the sizes of docs/CAPACITY.md at which the fitted lines are evaluated: the users' present large
// deployment, three times that size, and the size that the users plan for.
func plannedSizes() []scale.Size {
	return []scale.Size{
		plannedSize("today", 1217, 1217*tasksPerMachine, 75, 0.3),
		plannedSize("x3", 3651, 3651*tasksPerMachine, 227, 0.9),
		plannedSize("planned", 17_000, 380_000, 6900, 2.55),
	}
}

func plannedSize(name string, machines, running, startsPerS, jobsPerS float64) scale.Size {
	return scale.Size{Name: name, Values: scale.Values{
		"machines":             machines,
		"tasks_running":        running,
		"tasks_reported_per_s": running / heartbeatIntervalS,
		"reports_per_s":        machines / heartbeatIntervalS,
		"starts_per_s":         startsPerS,
		"jobs_per_s":           jobsPerS,
	}}
}

// scaleRun holds the flags of `harewalk lab scale`, which measures the sizes of a plan.
type scaleRun struct {
	output    string
	quick     bool
	outFolder string
	fromFile  string
}

func labScaleCmd() *cobra.Command {
	var run scaleRun
	cmd := &cobra.Command{
		Use:   "scale PLAN.hcl",
		Short: "Measure the resources that a growing cluster uses, with real controllers and simulated workers",
		Args:  cobra.MaximumNArgs(1),
		Long: "Run the plan's sizes one after the other. Each controller is a process, measured from outside. " +
			"Simulated workers\n" +
			"and users run in this process, the simulated state service in another. Straight lines are fitted " +
			"to the measurements;\n" +
			"a held-out size is predicted before it is measured (docs/CAPACITY.md). Ctrl-C ends all processes.\n\n" +
			"Exit codes: 0 success, 1 a protocol rule was broken or a process failed, 2 wrong plan, or plan too " +
			"large for this machine.",
		Example: "  harewalk lab scale deploy/lab/scale.hcl --out docs/capacity\n" +
			"  harewalk lab scale deploy/lab/scale.hcl --quick",
		RunE: func(cmd *cobra.Command, args []string) error {
			if run.fromFile != "" {
				return run.rewrite(cmd.OutOrStdout())
			}
			if len(args) == 0 {
				return usageError(errNoPlan)
			}
			return run.measure(cmd.Context(), args[0], cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	flags := cmd.Flags()
	flags.BoolVar(&run.quick, "quick", false, "measure a tenth of each size with short times; takes less than two minutes")
	flags.StringVar(&run.fromFile, "from", "",
		"measure nothing; write the output again from this result file of an earlier run")
	flags.StringVar(&run.outFolder, "out", "",
		"write "+scaleJSON+", "+scaleMarkdown+" and "+scaleHTML+" into this folder")
	addOutputFlag(flags, &run.output)
	return cmd
}

// measure runs the sizes of a plan and prints the result. After printing, it returns an error if a size broke a
// protocol rule.
func (r *scaleRun) measure(parent context.Context, planFile string, out, errOut io.Writer) error {
	plan, err := scale.Read(planFile)
	if err != nil {
		return usageError(err)
	}
	if r.quick {
		plan.ReduceForQuickRun()
	}
	ctx, stop := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := runScalePlan(ctx, plan, errOut)
	if errors.Is(err, scale.ErrTooLarge) {
		return usageError(err)
	}
	if err != nil {
		return failure(err)
	}
	result.Quick = r.quick
	if err := r.write(out, result); err != nil {
		return err
	}
	for _, step := range result.Steps {
		if step.Broken > 0 {
			run := fmt.Sprintf("size %q", step.Name)
			return failure(&brokenRulesError{run: run, count: step.Broken, first: step.FirstBroken})
		}
	}
	return nil
}

// rewrite writes the output again from the result file of an earlier run.
func (r *scaleRun) rewrite(out io.Writer) error {
	result, err := scale.ReadResult(r.fromFile)
	if err != nil {
		return usageError(fmt.Errorf("--from: %w", err))
	}
	return r.write(out, result)
}

// write writes the files of the --out folder, if the flag is set, and prints the result.
func (r *scaleRun) write(out io.Writer, result *scale.Result) error {
	if r.outFolder != "" {
		if err := writeScaleFiles(r.outFolder, result); err != nil {
			return failure(err)
		}
	}
	return printAs(r.output, out, result, result.WriteText)
}

// runScalePlan runs a plan with processes of this same executable.
func runScalePlan(ctx context.Context, plan *scale.Plan, errOut io.Writer) (*scale.Result, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return scale.Run(ctx, plan, scale.Options{
		Program:  []string{program},
		Progress: func(line string) { fmt.Fprintln(errOut, line) },
	})
}

func writeScaleFiles(folder string, result *scale.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	writeMarkdown := func(out io.Writer) error {
		return result.WriteMarkdown(out, plannedSizes())
	}
	for _, file := range []outputFile{
		{name: scaleJSON, write: result.WriteJSON},
		{name: scaleMarkdown, write: writeMarkdown},
		{name: scaleHTML, write: result.WriteHTML},
	} {
		file.flag = "--out"
		file.path = filepath.Join(folder, file.name)
		if err := file.create(); err != nil {
			return err
		}
	}
	return nil
}

// labStateCmd returns the hidden command with which a scale run starts its state service's process.
func labStateCmd() *cobra.Command {
	return &cobra.Command{
		Use:    scale.StateCommand,
		Hidden: true,
		Args:   cobra.NoArgs,
		Short:  "Run the simulated state service of a scale run",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return scale.ServeState(cmd.InOrStdin(), cmd.OutOrStdout())
		},
	}
}
