package scale

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/harewalk/harewalk/internal/lab"
)

//go:embed page.html
var pageTemplate string

// resultPage is the data of the page's template.
type resultPage struct {
	Result   *Result
	Text     string
	Drawings []metricPlot
}

// metricPlot is the plot of one metric with its title.
type metricPlot struct {
	Title string
	Plot  template.HTML
}

// WriteHTML writes the result as one HTML page with embedded plots; the page refers to no other files.
func (r *Result) WriteHTML(out io.Writer) error {
	parsed, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return err
	}
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	r.WriteText(table)
	if err := table.Flush(); err != nil {
		return err
	}
	page := resultPage{Result: r, Text: text.String()}
	for _, line := range r.Fits {
		page.Drawings = append(page.Drawings, r.draw(line))
	}
	return parsed.Execute(out, page)
}

// draw plots the measured values and the fitted line over the metric's first predictor.
func (r *Result) draw(line Fit) metricPlot {
	predictor := line.Predictors[0]
	var measured, fitted []lab.Point
	for _, step := range r.Steps {
		x := step.Values[predictor]
		measured = append(measured, lab.Point{X: x, Y: step.Values[line.Name]})
		fitted = append(fitted, lab.Point{X: x, Y: line.At(step.Values)})
	}
	return metricPlot{
		Title: fmt.Sprintf("%s: %s (%s) by %s, measured and fitted", line.Role, line.Name, line.Unit, predictor),
		Plot:  lab.PlotCurves([][]lab.Point{measured, fitted}, formatShort, formatShort),
	}
}

func formatShort(value float64) string { return fmt.Sprintf("%.3g", value) }
