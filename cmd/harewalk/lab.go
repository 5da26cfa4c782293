package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/lab"
)

func labCmd() *cobra.Command {
	var o operator
	var repetitions, parallel int
	var html, logs string
	c := &cobra.Command{
		Use: "lab SCENARIO.hcl", Short: "Play loads and faults in simulated time, and compare configurations", Args: cobra.ExactArgs(1),
		Long: "Play a scenario: loads drawn from distributions, faults at their times, several configurations side by side with the\n" +
			"same loads and seeds (docs/lab.md). The controllers are the real code; everything around them is simulated, processors\n" +
			"take no time, and an hour of a small cluster takes seconds. The same seed gives the same figures.\n\n" +
			"Exit codes: 0 played, 1 a rule was broken or the report could not be written, 2 wrong scenario or arguments.",
		Example: "  harewalk lab deploy/lab/takeover.hcl\n  harewalk lab deploy/lab/takeover.hcl --repetitions 20 --html report.html -o json > report.json",
		RunE: func(c *cobra.Command, args []string) error {
			if err := logTo(c.ErrOrStderr(), logs); err != nil {
				return coded{exitUsage, err}
			}
			s, err := lab.Read(args[0])
			if err != nil {
				return coded{exitUsage, err}
			}
			if repetitions > 0 {
				s.Repetitions = repetitions
			}
			var clock func(func() time.Duration)
			if logs != "error" {
				// What is logged carries the simulated time, of one run after the other.
				parallel, clock = 1, logAt(c.ErrOrStderr(), logs)
			}
			r, err := s.Run(parallel, progress(c.ErrOrStderr()), clock)
			if err != nil {
				return coded{exitFailed, err}
			}
			if html != "" {
				if err := writeReport(html, r); err != nil {
					return coded{exitFailed, err}
				}
			}
			if err := o.show(c.OutOrStdout(), r, func(t *tabwriter.Writer) { showLab(t, r) }); err != nil {
				return err
			}
			for _, k := range r.Configs {
				if len(k.Broken) > 0 {
					return coded{exitFailed, fmt.Errorf("config %q: %d rules were broken; the first: %s", k.Name, len(k.Broken), k.Broken[0])}
				}
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&repetitions, "repetitions", 0, "how many seeds, in place of the scenario's")
	f.IntVar(&parallel, "parallel", 0, "how many runs at a time, 0 for one a core")
	f.StringVar(&html, "html", "", "write a report with plots to this file")
	f.StringVar(&logs, "log-level", "error", "what the controllers log: error, info or debug")
	outputFlag(f, &o.output)
	c.AddCommand(labScaleCmd(), labStateCmd())
	return c
}

// logAt lets log lines carry a run's time.
func logAt(w io.Writer, level string) func(func() time.Duration) {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level)) // logTo has checked it
	return func(now func() time.Duration) {
		slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Float64("at_s", now().Seconds())
			}
			return a
		}})))
	}
}

// progress shows on a terminal how far the runs are; in a pipe it says nothing.
func progress(errs io.Writer) lab.Progress {
	f, ok := errs.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return nil
	}
	last := -1
	return func(done float64) {
		if now := int(done * 100); now != last {
			last = now
			fmt.Fprintf(f, "\r%3d %%", now)
			if now == 100 {
				fmt.Fprint(f, "\r     \r")
			}
		}
	}
}

func writeReport(name string, r *lab.Result) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("--html: %w", err)
	}
	if err := r.WriteHTML(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("--html %s: %w", name, err)
	}
	return f.Close()
}

func showLab(t *tabwriter.Writer, r *lab.Result) {
	fmt.Fprintf(t, "%s: %d runs of %s for each configuration, simulated\n\n", r.Scenario, r.Repetitions, brief(r.DurationS))
	fmt.Fprintln(t, "CONFIGURATION\tJOBS\tDONE\tCANCELLED\tREFUSED\tOPEN\tSERVED\tCORES USED\tCOST\tBROKEN")
	for _, c := range r.Configs {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f %%\t%.1f %%\t%.2f\t%d\n", c.Name, c.Jobs, c.Ends.Done, c.Ends.Cancelled, c.Ends.Refused, c.Ends.Open,
			100*c.Served, 100*c.UsedCPUs, c.Cost, len(c.Broken))
	}
	fmt.Fprintln(t, "\nLOAD\tCONFIGURATION\tJOBS\tWAIT P50\tP90\tP99\tMOST\tACCEPTED P99\tOVER P50\tP99")
	for i := range r.Configs[0].Loads {
		for _, c := range r.Configs {
			l := c.Loads[i]
			fmt.Fprintf(t, "%s\t%s\t%d\t%.2f s\t%.2f s\t%.2f s\t%.2f s\t%.3f s\t%.1f s\t%.1f s\n", l.Name, c.Name, l.Jobs, l.Wait.P50, l.Wait.P90, l.Wait.P99, l.Wait.Max,
				l.Accept.P99, l.Over.P50, l.Over.P99)
		}
	}
	if len(r.Configs[0].Faults) == 0 {
		return
	}
	fmt.Fprintln(t, "\nFAULT\tAT\tCONFIGURATION\tNO START\tWORST\tUNSERVED\tWORST\tSTARTS/S BEFORE\tDURING\tAFTER\tLEAD PASSED")
	for i, f := range r.Configs[0].Faults {
		for _, c := range r.Configs {
			g := c.Faults[i]
			fmt.Fprintf(t, "%s\t%.0f s\t%s\t%.2f s\t%.2f s\t%.1f s\t%.0f s\t%.1f\t%.1f\t%.1f\t%.2g\n", f.Do, f.AtS, c.Name, g.NoStart, g.NoStartMost, g.Unserved, g.UnservedMost,
				g.Before, g.During, g.After, g.Leads)
		}
	}
}
