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

// labRun holds the flags of `harewalk lab`, which runs a scenario.
type labRun struct {
	output      string
	repetitions int
	parallel    int
	htmlFile    string
	logLevel    string
}

func labCmd() *cobra.Command {
	var run labRun
	cmd := &cobra.Command{
		Use:   "lab SCENARIO.hcl",
		Short: "Run loads and faults in simulated time and compare configurations",
		Args:  cobra.ExactArgs(1),
		Long: "Run a scenario: loads drawn from distributions, faults at set times, and several configurations " +
			"compared under the\n" +
			"same loads and seeds (docs/lab.md). The controllers run the real code. Everything else is simulated: " +
			"computing takes\n" +
			"no simulated time, and an hour of a small cluster takes seconds. The same seed gives the same figures.\n\n" +
			"Exit codes: 0 success, 1 a protocol rule was broken or the report could not be written, 2 wrong scenario or " +
			"arguments.",
		Example: "  harewalk lab deploy/lab/takeover.hcl\n" +
			"  harewalk lab deploy/lab/takeover.hcl --repetitions 20 --html report.html -o json > report.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			return run.execute(args[0], cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&run.repetitions, "repetitions", 0, "number of seeds, replacing the scenario's; 0: as in the scenario")
	flags.IntVar(&run.parallel, "parallel", 0, "number of runs at the same time; 0: one per core")
	flags.StringVar(&run.htmlFile, "html", "", "write an HTML report with plots to this file")
	flags.StringVar(&run.logLevel, "log-level", "error", "log level of the controllers: error, info or debug")
	addOutputFlag(flags, &run.output)
	cmd.AddCommand(labScaleCmd(), labStateCmd())
	return cmd
}

// execute runs the scenario of a file and prints the result. After printing, it returns an error if a run broke a
// protocol rule.
func (r *labRun) execute(file string, out, errOut io.Writer) error {
	if err := configureLogging(errOut, r.logLevel); err != nil {
		return usageError(err)
	}
	scenario, err := lab.Read(file)
	if err != nil {
		return usageError(err)
	}
	if r.repetitions > 0 {
		scenario.Repetitions = r.repetitions
	}
	parallel := r.parallel
	var useClock func(now func() time.Duration)
	if r.logLevel != "error" {
		// The default logger has the simulated clock of a single run, so the runs take place one after the other.
		parallel = 1
		useClock = logClock(errOut, r.logLevel)
	}
	result, err := scenario.Run(parallel, progressPrinter(errOut), useClock)
	if err != nil {
		return failure(err)
	}
	if r.htmlFile != "" {
		report := outputFile{flag: "--html", name: r.htmlFile, path: r.htmlFile, write: result.WriteHTML}
		if err := report.create(); err != nil {
			return failure(err)
		}
	}
	writeTable := func(table *tabwriter.Writer) { writeLabResult(table, result) }
	if err := printAs(r.output, out, result, writeTable); err != nil {
		return err
	}
	for _, config := range result.Configs {
		if broken := config.Broken; len(broken) > 0 {
			run := fmt.Sprintf("config %q", config.Name)
			return failure(&brokenRulesError{run: run, count: len(broken), first: broken[0]})
		}
	}
	return nil
}

// logClock returns a function that sets the clock of the default logger. Its lines then have the clock's time as at_s,
// in seconds, in place of the wall time.
func logClock(out io.Writer, levelName string) func(now func() time.Duration) {
	var level slog.Level
	_ = level.UnmarshalText([]byte(levelName)) // configureLogging has checked the name
	return func(now func() time.Duration) {
		options := &slog.HandlerOptions{
			Level: level,
			ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
				if attr.Key == slog.TimeKey {
					return slog.Float64("at_s", now().Seconds())
				}
				return attr
			},
		}
		slog.SetDefault(slog.New(slog.NewTextHandler(out, options)))
	}
}

// progressPrinter returns a function that prints the progress of the runs, or nil if the writer is not a terminal.
func progressPrinter(out io.Writer) lab.Progress {
	terminal, ok := out.(*os.File)
	if !ok || !isatty.IsTerminal(terminal.Fd()) {
		return nil
	}
	lastPercent := -1
	return func(done float64) {
		percent := int(done * 100)
		if percent == lastPercent {
			return
		}
		lastPercent = percent
		fmt.Fprintf(terminal, "\r%3d %%", percent)
		if percent == 100 {
			fmt.Fprint(terminal, "\r     \r")
		}
	}
}

func writeLabResult(table *tabwriter.Writer, result *lab.Result) {
	fmt.Fprintf(table, "%s: %d runs of %s of simulated time for each configuration\n\n",
		result.Scenario, result.Repetitions, formatSeconds(result.DurationS))
	fmt.Fprintln(table, "CONFIGURATION\tJOBS\tDONE\tCANCELLED\tREFUSED\tOPEN\tSERVED\tCORES USED\tCOST\tBROKEN")
	for _, config := range result.Configs {
		ends := config.Ends
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t", config.Name, config.Jobs, ends.Done, ends.Cancelled)
		fmt.Fprintf(table, "%d\t%d\t", ends.Refused, ends.Open)
		fmt.Fprintf(table, "%.2f %%\t%.1f %%\t", 100*config.Served, 100*config.UsedCPUs)
		fmt.Fprintf(table, "%.2f\t%d\n", config.Cost, len(config.Broken))
	}
	writeLabLoads(table, result.Configs)
	if len(result.Configs[0].Faults) > 0 {
		writeLabFaults(table, result.Configs)
	}
}

func writeLabLoads(table *tabwriter.Writer, configs []lab.ConfigResult) {
	fmt.Fprintln(table, "\nLOAD\tCONFIGURATION\tJOBS\tWAIT P50\tP90\tP99\tMOST\tACCEPTED P99\tOVER P50\tP99")
	for index := range configs[0].Loads {
		for _, config := range configs {
			load := config.Loads[index]
			wait := load.Wait
			fmt.Fprintf(table, "%s\t%s\t%d\t", load.Name, config.Name, load.Jobs)
			fmt.Fprintf(table, "%.2f s\t%.2f s\t%.2f s\t%.2f s\t", wait.P50, wait.P90, wait.P99, wait.Max)
			fmt.Fprintf(table, "%.3f s\t%.1f s\t%.1f s\n", load.Accept.P99, load.Completion.P50, load.Completion.P99)
		}
	}
}

func writeLabFaults(table *tabwriter.Writer, configs []lab.ConfigResult) {
	fmt.Fprintln(table, "\nFAULT\tAT\tCONFIGURATION\tNO START\tWORST\tUNSERVED\tWORST\t"+
		"STARTS/S BEFORE\tDURING\tAFTER\tLEAD PASSED")
	for index, first := range configs[0].Faults {
		for _, config := range configs {
			fault := config.Faults[index]
			fmt.Fprintf(table, "%s\t%.0f s\t%s\t", first.Do, first.AtS, config.Name)
			fmt.Fprintf(table, "%.2f s\t%.2f s\t", fault.NoStart, fault.MaxNoStart)
			fmt.Fprintf(table, "%.1f s\t%.0f s\t", fault.Unserved, fault.MaxUnserved)
			fmt.Fprintf(table, "%.1f\t%.1f\t%.1f\t%.2g\n", fault.Before, fault.During, fault.After, fault.LeaderChanges)
		}
	}
}
