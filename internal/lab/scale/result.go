package scale

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/harewalk/harewalk/internal/lab"
)

// Result is what a run has measured.
type Result struct {
	Plan  string       `json:"plan"`
	Quick bool         `json:"quick"`
	Steps []StepResult `json:"steps"`
	Fits  []Fit        `json:"fits"`
	// Unfitted says of metrics without a line why they have none.
	Unfitted []string `json:"unfitted,omitempty"`
	// PeakMB and PeakProcesses are of all processes of the run together.
	PeakMB        float64 `json:"peak_mb"`
	PeakProcesses int     `json:"peak_processes"`
	Machine       string  `json:"machine"`
}

// StepResult is what was measured at one size.
type StepResult struct {
	Step
	Values Values `json:"values"`
	// Waits from acceptance to the first start, and times from submission to acceptance, in seconds.
	WaitP50S   float64 `json:"wait_p50_s"`
	WaitP99S   float64 `json:"wait_p99_s"`
	AcceptP50S float64 `json:"accept_p50_s"`
	AcceptP99S float64 `json:"accept_p99_s"`
	Waits      int64   `json:"waits"` // how many
	Refused    int     `json:"refused"`
	Settled    bool    `json:"settled"` // the machines were busy when it was measured
	Broken     int     `json:"broken"`  // rules
	Again      int     `json:"again"`   // tasks that began once more after they were done
	// First is the first broken rule, "": none is.
	First string `json:"first_broken,omitempty"`
}

// Size is a size that isn't played, for which the lines are read.
type Size struct {
	Name   string
	Values Values
}

// Broken is how many rules didn't hold in all steps.
func (r *Result) Broken() (n int) {
	for _, s := range r.Steps {
		n += s.Broken
	}
	return n
}

// fitAll fits every metric, and holds it against the size that was held out.
func (r *Result) fitAll() {
	var points []Values
	for _, s := range r.Steps {
		if !s.HeldOut {
			points = append(points, s.Values)
		}
	}
	for _, m := range Metrics {
		f, err := fit(m, points)
		if err != nil {
			r.Unfitted = append(r.Unfitted, err.Error())
			continue
		}
		for _, s := range r.Steps {
			if s.HeldOut {
				f.holdOut(s.Name, s.Values)
			}
		}
		r.Fits = append(r.Fits, f)
	}
}

// ReadResult reads what a run has written, and fits the lines anew.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(r.Steps) == 0 {
		return nil, fmt.Errorf("%s: no sizes were measured", path)
	}
	r.Fits, r.Unfitted = nil, nil
	r.fitAll()
	return r, nil
}

// WriteJSON writes everything.
func (r *Result) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes tables for a terminal.
func (r *Result) WriteText(out *tabwriter.Writer) {
	fmt.Fprintf(out, "%s: %d sizes on %s; at most %.0f MB in %d processes\n\n", r.Plan, len(r.Steps), r.Machine, r.PeakMB, r.PeakProcesses)
	fmt.Fprintln(out, "SIZE\tMACHINES\tRUNNING\tSTARTS/S\tJOBS/S\tWAIT P50\tP99\tACCEPTED P99\tLEADER CORES\tMB\tOTHERS CORES\tSTATE WRITES/S\tBROKEN")
	for _, s := range r.Steps {
		v := s.Values
		fmt.Fprintf(out, "%s\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f s\t%.2f s\t%.3f s\t%.3f\t%.1f\t%.3f\t%.1f\t%d\n", name(s), v[byMachines], v[byRunning], v[byStarts], v[byJobs],
			s.WaitP50S, s.WaitP99S, s.AcceptP99S, v["leader_cpu"], v["leader_rss"], v["follower_cpu"], v["state_writes"], s.Broken)
	}
	fmt.Fprintln(out, "\nMETRIC\tUNIT\tINTERCEPT\tSLOPES\tRESIDUAL RMS\tPREDICTED\tMEASURED\tERROR")
	for _, f := range r.Fits {
		fmt.Fprintf(out, "%s\t%s\t%.4g\t%s\t%.3g\t%s\n", f.Name, f.Unit, f.Intercept, f.slopes(), f.RMS, f.heldOut("\t"))
	}
	for _, u := range r.Unfitted {
		fmt.Fprintf(out, "not fitted\t%s\n", u)
	}
}

func name(s StepResult) string {
	if s.HeldOut {
		return s.Name + " (held out)"
	}
	return s.Name
}

// slopes writes a line's slopes.
func (f Fit) slopes() string {
	var parts []string
	for k, p := range f.Predictors {
		parts = append(parts, fmt.Sprintf("%.4g × %s", f.Slopes[k], p))
	}
	return strings.Join(parts, " + ")
}

// heldOut writes what was predicted, measured, and the error.
func (f Fit) heldOut(between string) string {
	if f.HeldOut == nil {
		return "-" + between + "-" + between + "-"
	}
	return fmt.Sprintf("%.4g%s%.4g%s%.0f %%", f.HeldOut.Predicted, between, f.HeldOut.Measured, between, 100*f.HeldOut.Error)
}

// WriteMarkdown writes the tables of docs/CAPACITY.md: the sizes that were played, the lines, and what the lines say of
// sizes that weren't.
func (r *Result) WriteMarkdown(out io.Writer, sizes []Size) {
	fmt.Fprintf(out, "Measured by `harewalk lab scale` (%s), %s; at most %.0f MB in %d processes.\n\n", r.Plan, r.Machine, r.PeakMB, r.PeakProcesses)
	fmt.Fprintln(out, "| size | workers | running tasks | starts/s | jobs/s | wait p50, p99 | accepted p99 | leader | others | state writes/s | broken rules |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range r.Steps {
		v := s.Values
		fmt.Fprintf(out, "| %s | %.0f | %.0f | %.1f | %.2f | %.2f, %.2f s | %.3f s | %.3f cores, %.0f MB | %.3f cores, %.0f MB | %.1f | %d |\n", name(s), v[byMachines], v[byRunning], v[byStarts],
			v[byJobs], s.WaitP50S, s.WaitP99S, s.AcceptP99S, v["leader_cpu"], v["leader_rss"], v["follower_cpu"], v["follower_rss"], v["state_writes"], s.Broken)
	}
	fmt.Fprintf(out, "\n| role | metric | unit | intercept | slopes | residual RMS | held out: predicted | measured | error |")
	for _, z := range sizes {
		fmt.Fprintf(out, " %s |", z.Name)
	}
	fmt.Fprintf(out, "\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |%s\n", strings.Repeat(" --- |", len(sizes)))
	for _, f := range r.Fits {
		fmt.Fprintf(out, "| %s | %s | %s | %.4g | %s | %.3g | %s |", f.Role, f.Name, f.Unit, f.Intercept, f.slopes(), f.RMS, f.heldOut(" | "))
		for _, z := range sizes {
			fmt.Fprintf(out, " %.4g |", f.At(z.Values))
		}
		fmt.Fprintln(out)
	}
	for _, u := range r.Unfitted {
		fmt.Fprintf(out, "\nNot fitted: %s.\n", u)
	}
}

//go:embed page.html
var page string

// WriteHTML writes a page with plots that needs nothing else to be seen.
func (r *Result) WriteHTML(out io.Writer) error {
	type drawing struct {
		Title string
		Plot  template.HTML
	}
	var ds []drawing
	for _, f := range r.Fits {
		var measured, fitted []lab.Point
		for _, s := range r.Steps {
			x := s.Values[f.Predictors[0]]
			measured = append(measured, lab.Point{X: x, Y: s.Values[f.Name]})
			fitted = append(fitted, lab.Point{X: x, Y: f.At(s.Values)})
		}
		short := func(v float64) string { return fmt.Sprintf("%.3g", v) }
		ds = append(ds, drawing{fmt.Sprintf("%s: %s (%s) by %s, measured and fitted", f.Role, f.Name, f.Unit, f.Predictors[0]), lab.Curves([][]lab.Point{measured, fitted}, short, short)})
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return err
	}
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	r.WriteText(w)
	_ = w.Flush()
	return t.Execute(out, map[string]any{"R": r, "Text": text.String(), "Drawings": ds})
}
