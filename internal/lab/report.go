package lab

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"

	"github.com/harewalk/harewalk/internal/jobs"
)

//go:embed report.html
var reportTemplate string

// The cumulative distribution of waits is plotted over the logarithm of time. Waits below minPlottedS are plotted at
// minPlottedS.
const (
	minPlottedS        = 0.01
	minPlottedLog      = -2  // log10 of minPlottedS
	plottedStepPercent = 0.5 // distance between two plotted quantiles
)

// reportPage is the data of the report's template.
type reportPage struct {
	Result   *Result
	Used     template.HTML
	Machines template.HTML
	Loads    []reportLoad
}

// reportLoad is the section of the report on one load.
type reportLoad struct {
	Name  string
	Waits template.HTML
	Rows  []reportRow
}

// reportRow is the result of a load in one configuration.
type reportRow struct {
	Config string
	LoadResult
}

// WriteHTML writes the report as one HTML page with embedded plots; the page refers to no other files.
func (r *Result) WriteHTML(out io.Writer) error {
	functions := template.FuncMap{"colour": lineColour, "seconds": formatSeconds, "percent": formatTenthsOfPercent}
	parsed, err := template.New("page").Funcs(functions).Parse(reportTemplate)
	if err != nil {
		return err
	}
	used := plot{endX: r.DurationS, formatX: formatSeconds, formatY: formatPercent, endY: 1}
	machines := plot{endX: r.DurationS, formatX: formatSeconds, formatY: formatWhole}
	for _, config := range r.Configs {
		used.lines = append(used.lines, spreadEvenly(config.Used, r.DurationS))
		machines.lines = append(machines.lines, spreadEvenly(config.Machines, r.DurationS))
	}
	var loads []reportLoad
	if len(r.Configs) > 0 {
		for i, load := range r.Configs[0].Loads {
			loads = append(loads, r.reportLoad(i, load.Name))
		}
	}
	return parsed.Execute(out, reportPage{Result: r, Used: used.svg(), Machines: machines.svg(), Loads: loads})
}

// reportLoad returns the section on the load with the index: its rows, and the plot of its waits in all
// configurations.
func (r *Result) reportLoad(index int, name string) reportLoad {
	load := reportLoad{Name: name}
	waits := plot{formatX: formatLogSeconds, formatY: formatPercent, endY: 1, startX: minPlottedLog}
	for _, config := range r.Configs {
		load.Rows = append(load.Rows, reportRow{config.Name, config.Loads[index]})
		var line []Point
		histogram := config.waits[index]
		for percent := plottedStepPercent; percent <= 100; percent += plottedStepPercent {
			if histogram.TotalCount() == 0 {
				break
			}
			waitS := float64(histogram.ValueAtQuantile(percent)) / millisPerSecond
			x := math.Log10(max(minPlottedS, waitS))
			waits.endX = max(waits.endX, x)
			line = append(line, Point{x, percent / 100})
		}
		waits.lines = append(waits.lines, line)
	}
	load.Waits = waits.svg()
	return load
}

// formatSeconds formats a duration given in seconds as seconds, minutes or hours, depending on its length.
func formatSeconds(seconds float64) string {
	duration := jobs.Seconds(seconds)
	switch {
	case seconds < 10:
		return fmt.Sprintf("%.2f s", seconds)
	case seconds < 120:
		return fmt.Sprintf("%.0f s", seconds)
	case seconds < 7200:
		return fmt.Sprintf("%.0f min", duration.Minutes())
	}
	return fmt.Sprintf("%.1f h", duration.Hours())
}

// formatLogSeconds formats a duration given as the base-10 logarithm of its seconds.
func formatLogSeconds(exponent float64) string { return formatSeconds(math.Pow(10, exponent)) }

func formatPercent(share float64) string { return fmt.Sprintf("%.0f %%", 100*share) }

func formatTenthsOfPercent(share float64) string { return fmt.Sprintf("%.1f %%", 100*share) }

func formatWhole(value float64) string { return fmt.Sprintf("%.0f", value) }
