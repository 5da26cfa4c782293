package scale

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the tables for a terminal. The caller must flush the writer; Flush returns any error of writing.
func (r *Result) WriteText(out *tabwriter.Writer) {
	_, _ = io.WriteString(out, r.text())
}

func (r *Result) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %d sizes on %s; at most %.0f MB in %d processes\n\n",
		r.Plan, len(r.Steps), r.Machine, r.PeakMB, r.PeakProcesses)
	text.WriteString("SIZE\tMACHINES\tRUNNING\tSTARTS/S\tJOBS/S\tWAIT P50\tP99\tACCEPTED P99\t" +
		"LEADER CORES\tMB\tOTHERS CORES\tSTATE WRITES/S\tBROKEN\n")
	for _, step := range r.Steps {
		values := step.Values
		fmt.Fprintf(&text, "%s\t%.0f\t%.0f\t", step.title(),
			values[predictorMachines], values[predictorRunningTasks])
		fmt.Fprintf(&text, "%.1f\t%.2f\t", values[predictorStarts], values[predictorJobs])
		fmt.Fprintf(&text, "%.2f s\t%.2f s\t%.3f s\t", step.WaitP50S, step.WaitP99S, step.AcceptP99S)
		fmt.Fprintf(&text, "%.3f\t%.1f\t", values[metricLeaderCPU], values[metricLeaderRSS])
		fmt.Fprintf(&text, "%.3f\t%.1f\t", values[metricFollowerCPU], values[metricStateWrites])
		fmt.Fprintf(&text, "%d\n", step.Broken)
	}
	text.WriteString("\nMETRIC\tUNIT\tINTERCEPT\tSLOPES\tRESIDUAL RMS\tPREDICTED\tMEASURED\tERROR\n")
	for _, line := range r.Fits {
		fmt.Fprintf(&text, "%s\t%s\t%.4g\t%s\t", line.Name, line.Unit, line.Intercept, line.formatSlopes())
		fmt.Fprintf(&text, "%.3g\t%s\n", line.RMS, line.formatHeldOut("\t"))
	}
	for _, cause := range r.Unfitted {
		fmt.Fprintf(&text, "not fitted\t%s\n", cause)
	}
	return text.String()
}

// title returns the name of the step, with a mark if the step is held out.
func (s StepResult) title() string {
	if s.HeldOut {
		return s.Name + " (held out)"
	}
	return s.Name
}

func (f Fit) formatSlopes() string {
	var terms []string
	for i, predictor := range f.Predictors {
		terms = append(terms, fmt.Sprintf("%.4g × %s", f.Slopes[i], predictor))
	}
	return strings.Join(terms, " + ")
}

// formatHeldOut returns three cells: the predicted value, the measured value and the error; dashes if no size was held
// out.
func (f Fit) formatHeldOut(separator string) string {
	cells := []string{"-", "-", "-"}
	if f.HeldOut != nil {
		cells = []string{
			fmt.Sprintf("%.4g", f.HeldOut.Predicted),
			fmt.Sprintf("%.4g", f.HeldOut.Measured),
			fmt.Sprintf("%.0f %%", 100*f.HeldOut.Error),
		}
	}
	return strings.Join(cells, separator)
}

// WriteMarkdown writes the tables of docs/CAPACITY.md: the measured steps, the fitted lines, and the lines' values at
// the given sizes, which weren't measured.
func (r *Result) WriteMarkdown(out io.Writer, sizes []Size) error {
	_, err := io.WriteString(out, r.markdownSteps()+r.markdownFits(sizes))
	return err
}

func (r *Result) markdownSteps() string {
	var text strings.Builder
	fmt.Fprintf(&text, "Measured by `harewalk lab scale` (%s), %s; at most %.0f MB in %d processes.\n\n",
		r.Plan, r.Machine, r.PeakMB, r.PeakProcesses)
	text.WriteString("| size | workers | running tasks | starts/s | jobs/s | wait p50, p99 | accepted p99 | " +
		"leader | others | state writes/s | broken rules |\n")
	text.WriteString("|" + strings.Repeat(" --- |", 11) + "\n")
	for _, step := range r.Steps {
		values := step.Values
		fmt.Fprintf(&text, "| %s | %.0f | %.0f | ", step.title(),
			values[predictorMachines], values[predictorRunningTasks])
		fmt.Fprintf(&text, "%.1f | %.2f | ", values[predictorStarts], values[predictorJobs])
		fmt.Fprintf(&text, "%.2f, %.2f s | %.3f s | ", step.WaitP50S, step.WaitP99S, step.AcceptP99S)
		fmt.Fprintf(&text, "%.3f cores, %.0f MB | ", values[metricLeaderCPU], values[metricLeaderRSS])
		fmt.Fprintf(&text, "%.3f cores, %.0f MB | ", values[metricFollowerCPU], values[metricFollowerRSS])
		fmt.Fprintf(&text, "%.1f | %d |\n", values[metricStateWrites], step.Broken)
	}
	return text.String()
}

func (r *Result) markdownFits(sizes []Size) string {
	var text strings.Builder
	text.WriteString("\n| role | metric | unit | intercept | slopes | residual RMS | " +
		"held out: predicted | measured | error |")
	for _, size := range sizes {
		fmt.Fprintf(&text, " %s |", size.Name)
	}
	text.WriteString("\n|" + strings.Repeat(" --- |", 9+len(sizes)) + "\n")
	for _, line := range r.Fits {
		fmt.Fprintf(&text, "| %s | %s | %s | ", line.Role, line.Name, line.Unit)
		fmt.Fprintf(&text, "%.4g | %s | ", line.Intercept, line.formatSlopes())
		fmt.Fprintf(&text, "%.3g | %s |", line.RMS, line.formatHeldOut(" | "))
		for _, size := range sizes {
			fmt.Fprintf(&text, " %.4g |", line.At(size.Values))
		}
		text.WriteString("\n")
	}
	for _, cause := range r.Unfitted {
		fmt.Fprintf(&text, "\nNot fitted: %s.\n", cause)
	}
	return text.String()
}
