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

// What is written into the folder that --out names.
const (
	scaleJSON     = "scale.json"
	scaleMarkdown = "scale.md"
	scaleHTML     = "scale.html"
)

// plannedSizes are those of docs/CAPACITY.md for which the lines are read: the users' large deployment as it is, three
// times that, and the size that they plan for.
var plannedSizes = []scale.Size{
	sizeOf("today", 1217, 0, 75, 0.3),
	sizeOf("x3", 3651, 0, 227, 0.9),
	sizeOf("planned", 17_000, 380_000, 6900, 2.55),
}

// sizeOf is a size by its machines, running tasks (0: eight a machine), starts and jobs a second; a worker reports every
// five seconds.
func sizeOf(name string, machines, running, starts, jobs float64) scale.Size {
	const reportS, tasks = 5.0, 8.0
	if running == 0 {
		running = tasks * machines
	}
	return scale.Size{Name: name, Values: scale.Values{
		"machines": machines, "tasks_running": running, "tasks_reported_per_s": running / reportS,
		"reports_per_s": machines / reportS, "starts_per_s": starts, "jobs_per_s": jobs,
	}}
}

func labScaleCmd() *cobra.Command {
	var o operator
	var quick bool
	var out, from string
	c := &cobra.Command{
		Use: "scale PLAN.hcl", Short: "Measure what a cluster costs as it grows, with real controllers and hollow workers", Args: cobra.MaximumNArgs(1),
		Long: "Play sizes one after the other: controllers as processes of their own, measured from outside, beside hollow workers and\n" +
			"users in this process and the stand-in state service in another. Straight lines are fitted through the sizes; one that is\n" +
			"held out is predicted first and measured then (docs/CAPACITY.md). Ctrl-C ends all processes.\n\n" +
			"Exit codes: 0 measured, 1 a rule was broken or a process failed, 2 wrong plan, or one too large for this machine.",
		Example: "  harewalk lab scale deploy/lab/scale.hcl --out docs/capacity\n  harewalk lab scale deploy/lab/scale.hcl --quick",
		RunE: func(c *cobra.Command, args []string) error {
			if from != "" {
				return rewriteScale(c, &o, from, out)
			}
			if len(args) == 0 {
				return coded{exitUsage, errors.New("name a plan, or a run's file with --from")}
			}
			p, err := scale.Read(args[0])
			if err != nil {
				return coded{exitUsage, err}
			}
			if quick {
				p.Quick()
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r, err := runScale(ctx, p, c.ErrOrStderr())
			if errors.Is(err, scale.ErrTooLarge) {
				return coded{exitUsage, err}
			}
			if err != nil {
				return coded{exitFailed, err}
			}
			r.Quick = quick
			if out != "" {
				if err := writeScale(out, r); err != nil {
					return coded{exitFailed, err}
				}
			}
			if err := o.show(c.OutOrStdout(), r, r.WriteText); err != nil {
				return err
			}
			for _, s := range r.Steps {
				if s.Broken > 0 {
					return coded{exitFailed, fmt.Errorf("size %q: %d rules were broken; the first: %s", s.Name, s.Broken, s.First)}
				}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&quick, "quick", false, "a tenth of each size and short times: ends within two minutes")
	c.Flags().StringVar(&from, "from", "", "play nothing: write tables and page anew from the stored figures of this file")
	c.Flags().StringVar(&out, "out", "", "write "+scaleJSON+", "+scaleMarkdown+" and "+scaleHTML+" into this folder")
	outputFlag(c.Flags(), &o.output)
	return c
}

// rewriteScale writes a run's tables anew from its stored figures.
func rewriteScale(c *cobra.Command, o *operator, from, out string) error {
	r, err := scale.ReadResult(from)
	if err != nil {
		return coded{exitUsage, fmt.Errorf("--from: %w", err)}
	}
	if out != "" {
		if err := writeScale(out, r); err != nil {
			return coded{exitFailed, err}
		}
	}
	return o.show(c.OutOrStdout(), r, r.WriteText)
}

// runScale plays a plan with this program's own processes.
func runScale(ctx context.Context, p *scale.Plan, errs io.Writer) (*scale.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return scale.Run(ctx, p, scale.Options{Program: []string{self}, Progress: func(line string) { fmt.Fprintln(errs, line) }})
}

// writeScale writes a run's files.
func writeScale(dir string, r *scale.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	for file, write := range map[string]func(io.Writer) error{
		scaleJSON:     r.WriteJSON,
		scaleHTML:     r.WriteHTML,
		scaleMarkdown: func(w io.Writer) error { r.WriteMarkdown(w, plannedSizes); return nil },
	} {
		f, err := os.Create(filepath.Join(dir, file))
		if err != nil {
			return fmt.Errorf("--out: %w", err)
		}
		if err := write(f); err != nil {
			_ = f.Close()
			return fmt.Errorf("--out %s: %w", file, err)
		}
		if err := f.Close(); err != nil {
			return fmt.Errorf("--out %s: %w", file, err)
		}
	}
	return nil
}

// labStateCmd is the process of a scale run's state service.
func labStateCmd() *cobra.Command {
	return &cobra.Command{
		Use: scale.StateCommand, Hidden: true, Args: cobra.NoArgs, Short: "Play a state service for a scale run",
		RunE: func(c *cobra.Command, _ []string) error { return scale.PlayState(c.InOrStdin(), c.OutOrStdout()) },
	}
}
