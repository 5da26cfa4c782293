package scale

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"text/tabwriter"

	"github.com/harewalk/harewalk/internal/lab"
)

const smallPlan = `
name = "small"
settle_s = 1
measure_s = 1
state {
  rps = 100
  write_rps = 50
  value_kb = 8
  txn_ops = 8
}
step "a" {
  machines = 10
  tasks_per_machine = 2
  task_s = 1
  tasks_per_job = 4
}
`

// The error for a wrong plan names the setting or the step.
func TestParseErrorNamesLocation(t *testing.T) {
	if _, err := Parse("small.hcl", []byte(smallPlan)); err != nil {
		t.Fatal(err)
	}
	const secondStep = "step \"a\" {\n  machines = 1\n  tasks_per_machine = 1\n  task_s = 1\n  tasks_per_job = 1\n}\n"
	for valid, test := range map[string]struct{ invalid, wantText string }{
		`settle_s = 1`:      {`settle_s = 0`, "SettleS"},
		`machines = 10`:     {`machines = 0`, "Machines"},
		`txn_ops = 8`:       {"txn_ops = 8\n  txn_opps = 8", "txn_opps"},
		`task_s = 1`:        {`task_s = -1`, "TaskS"},
		`tasks_per_job = 4`: {"tasks_per_job = 4\n  colour = 2", "colour"},
		`step "a" {`:        {secondStep + `step "a" {`, "duplicate name"},
	} {
		text := strings.Replace(smallPlan, valid, test.invalid, 1)
		if _, err := Parse("small.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), test.wantText) {
			t.Errorf("%q in place of %q: got error %v, want one that names the setting or step",
				test.invalid, valid, err)
		}
	}
	if _, err := Read("no-such.hcl"); err == nil {
		t.Error("Read of a missing file returned no error")
	}
	_, err := Parse("small.hcl", []byte(strings.Replace(smallPlan, `step "a" {`, secondStep+`step "a" {`, 1)))
	if !errors.Is(err, lab.ErrDuplicate) || err.Error() != `small.hcl: step "a": duplicate name` {
		t.Errorf("two steps with the same name: got error %v, want duplicate name", err)
	}
}

// ReadResult refuses a stored result without sizes, since its tables would be empty.
func TestReadResultWithoutSizesReturnsError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scale.json")
	if err := os.WriteFile(path, []byte(`{"plan":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadResult(path)
	if !errors.Is(err, ErrNoSizes) || err.Error() != path+": no sizes were measured" {
		t.Errorf("got error %v, want one that names the file and wraps ErrNoSizes", err)
	}
}

// The plan in deploy/lab is valid and fits a machine with 23 GB of memory, on which it was measured. A quick run of
// the plan takes less than two minutes.
func TestPublishedPlanFits(t *testing.T) {
	plan, err := Read(filepath.Join("..", "..", "..", "deploy", "lab", "scale.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	heldOut, fitted := 0, 0
	for _, step := range plan.Steps {
		if step.HeldOut {
			heldOut++
		} else {
			fitted++
		}
	}
	if heldOut != 1 || fitted < minFittedSizes {
		t.Errorf("got %d sizes held out, %d fitted; want 1 held out, at least minFittedSizes fitted", heldOut, fitted)
	}
	if err := plan.CheckResources(23 << 30); err != nil {
		t.Error(err)
	}
	plan.ReduceForQuickRun()
	if total := (plan.SettleS + plan.MeasureS) * float64(len(plan.Steps)); total > 110 {
		t.Errorf("a quick run takes %v s, want at most 110 s", total)
	}
}

// Fits refuses a plan that needs more than half of the memory or too many processes. The error names the step or
// limit.
func TestCheckResourcesRefusesTooLargePlans(t *testing.T) {
	plan, err := Parse("small.hcl", []byte(smallPlan))
	if err != nil {
		t.Fatal(err)
	}
	if err := plan.CheckResources(4 << 30); err != nil {
		t.Error(err)
	}
	step := &plan.Steps[0]
	step.Machines = 100_000
	if err := plan.CheckResources(4 << 30); !errors.Is(err, ErrTooLarge) || !strings.Contains(err.Error(), `"a"`) {
		t.Errorf("100,000 machines in 4 GB: got error %v, want ErrTooLarge for step a", err)
	}
	step.Machines = 1
	step.Controllers = 400
	if err := plan.CheckResources(1 << 40); !errors.Is(err, ErrTooLarge) || !strings.Contains(err.Error(), "processes") {
		t.Errorf("400 controllers: got error %v, want ErrTooLarge for the number of processes", err)
	}
}

// fitCase returns a metric with two predictors, and six points on the plane y = 3 + 0.5a - 2b.
func fitCase() (Metric, []Values) {
	rng := rand.New(rand.NewPCG(1, 1))
	var points []Values
	for range 6 {
		a, b := rng.Float64()*100, rng.Float64()*10
		points = append(points, Values{"a": a, "b": b, "y": 3 + 0.5*a - 2*b})
	}
	return Metric{Name: "y", Predictors: []string{"a", "b"}}, points
}

// fit finds the coefficients of points on a plane, and holdOut compares the plane with a point that wasn't fitted.
func TestFitFindsCoefficients(t *testing.T) {
	metric, points := fitCase()
	line, err := fit(metric, points)
	if err != nil {
		t.Fatal(err)
	}
	for name, deviation := range map[string]float64{
		"intercept": line.Intercept - 3,
		"a":         line.Slopes[0] - 0.5,
		"b":         line.Slopes[1] + 2,
		"rms":       line.RMS,
	} {
		if math.Abs(deviation) > 1e-9 {
			t.Errorf("%s deviates by %g, want at most 1e-9", name, deviation)
		}
	}
	line.holdOut("z", Values{"a": 10, "b": 1, "y": 12})
	predicted := line.At(Values{"a": 10, "b": 1})
	if line.HeldOut.Predicted != predicted || math.Abs(line.HeldOut.Error-0.5) > 1e-9 {
		t.Errorf("got held-out comparison %+v, want the value of At as prediction, relative error 0.5", line.HeldOut)
	}
}

// A point off the plane leaves a residual. fit returns an error for too few points, and for a predictor that has the
// same value at all points.
func TestFitReportsResidualsAndUnfittableSizes(t *testing.T) {
	metric, points := fitCase()
	points[0]["y"]++
	if line, err := fit(metric, points); err != nil || line.RMS < 0.01 {
		t.Errorf("one point off the plane: got RMS %v, error %v; want RMS of at least 0.01, no error", line.RMS, err)
	}
	if _, err := fit(metric, points[:3]); !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("three sizes: got error %v, want ErrTooFewSizes", err)
	}
	for _, values := range points {
		values["b"] = 1
	}
	if _, err := fit(metric, points); err == nil {
		t.Error("predictor with equal values: got no error")
	}
}

// fittedResult returns a fitted result with five sizes, the last of which is held out.
func fittedResult() *Result {
	result := &Result{Plan: "p", Machine: "m"}
	predictors := []string{
		predictorMachines, predictorHeartbeats, predictorStarts, predictorJobs, predictorRunningTasks,
		predictorReportedTasks,
	}
	for i, size := range []float64{1, 2, 3, 4, 9} {
		values := Values{}
		for k, name := range predictors {
			values[name] = size * float64(k+1+i*k%3)
		}
		for _, metric := range Metrics {
			values[metric.Name] = 1 + size
		}
		step := Step{Name: fmt.Sprintf("s%d", i), HeldOut: i == 4}
		result.Steps = append(result.Steps, StepResult{Step: step, Values: values})
	}
	result.fitAll()
	return result
}

// Every format of a result contains the metrics and the held-out size; Markdown also contains planned sizes.
func TestResultIsWrittenInEveryFormat(t *testing.T) {
	result := fittedResult()
	if len(result.Fits) == 0 || len(result.Fits)+len(result.Unfitted) != len(Metrics) {
		t.Fatalf("got %d fits, metrics without a fit %v; want some fits, and each metric in one of both",
			len(result.Fits), result.Unfitted)
	}
	var text, json, markdown, html bytes.Buffer
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	result.WriteText(table)
	if err := table.Flush(); err != nil {
		t.Error(err)
	}
	if err := result.WriteJSON(&json); err != nil {
		t.Error(err)
	}
	if err := result.WriteMarkdown(&markdown, []Size{{"planned", result.Steps[0].Values}}); err != nil {
		t.Error(err)
	}
	if err := result.WriteHTML(&html); err != nil {
		t.Error(err)
	}
	for format, written := range map[string]*bytes.Buffer{
		"text": &text, "json": &json, "markdown": &markdown, "html": &html,
	} {
		if !strings.Contains(written.String(), metricLeaderCPU) || !strings.Contains(written.String(), "s4") {
			t.Errorf("%s lacks the leader's CPU metric or held-out size s4", format)
		}
	}
	if !strings.Contains(markdown.String(), "planned") {
		t.Error("markdown lacks the planned size, which is only predicted")
	}
}

// The state service returns an error with the cause if its input ends before the settings line.
func TestServeStateWithoutSettingsReturnsError(t *testing.T) {
	err := ServeState(strings.NewReader(""), io.Discard)
	if !errors.Is(err, io.ErrUnexpectedEOF) || err.Error() != "reading settings: unexpected EOF" {
		t.Errorf("got error %v, want one for missing settings that wraps unexpected EOF", err)
	}
}

// usageOf reads the usage of a running process, and returns an error for a process that doesn't exist.
func TestUsageOfReadsRunningProcess(t *testing.T) {
	usage, err := usageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if usage.RSSBytes == 0 || usage.PeakBytes < usage.RSSBytes || usage.ReadCalls == 0 {
		t.Errorf("got usage %+v, want RSS above 0, peak of at least RSS, read calls above 0", usage)
	}
	if _, err := usageOf(1 << 30); err == nil {
		t.Error("usageOf returned no error for a process that doesn't exist")
	}
}

// parseMetrics reads the metrics without labels and skips comments and metrics with labels.
func TestParseMetricsWithoutLabels(t *testing.T) {
	metrics := parseMetrics([]byte("# HELP a\na 2\nb{x=\"y\"} 3\nc 1e3\n"))
	if metrics["a"] != 2 || metrics["c"] != 1000 || len(metrics) != 2 {
		t.Errorf("got metrics %v, want a 2, c 1000", metrics)
	}
}
