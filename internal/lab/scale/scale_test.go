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

// The error for a wrong plan names the setting or the line.
func TestParseErrorNamesItsPlace(t *testing.T) {
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
		`step "a" {`:        {secondStep + `step "a" {`, "there are two"},
	} {
		text := strings.Replace(smallPlan, valid, test.invalid, 1)
		if _, err := Parse("small.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), test.wantText) {
			t.Errorf("%q in place of %q: %v", test.invalid, valid, err)
		}
	}
	if _, err := Read("no-such.hcl"); err == nil {
		t.Error("a plan that isn't there was read")
	}
	_, err := Parse("small.hcl", []byte(strings.Replace(smallPlan, `step "a" {`, secondStep+`step "a" {`, 1)))
	if !errors.Is(err, lab.ErrDuplicate) || err.Error() != `small.hcl: step "a": there are two` {
		t.Errorf("two steps of one name: %v", err)
	}
}

// A stored result without sizes has nothing to write tables from.
func TestResultWithoutSizesIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scale.json")
	if err := os.WriteFile(path, []byte(`{"plan":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadResult(path)
	if !errors.Is(err, ErrNoSizes) || err.Error() != path+": no sizes were measured" {
		t.Errorf("error %v", err)
	}
}

// The plan that the docs name is read, and fits a machine of the size on which it was measured.
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
		t.Errorf("%d sizes are held out and %d are fitted", heldOut, fitted)
	}
	if err := plan.Fits(23 << 30); err != nil {
		t.Error(err)
	}
	plan.ReduceForQuickRun()
	if total := (plan.SettleS + plan.MeasureS) * float64(len(plan.Steps)); total > 110 {
		t.Errorf("a quick run takes %v s", total)
	}
}

// A plan that takes more than half of the memory, or too many processes, is refused; the error names the step.
func TestFitsRefusesTooLargePlans(t *testing.T) {
	plan, err := Parse("small.hcl", []byte(smallPlan))
	if err != nil {
		t.Fatal(err)
	}
	if err := plan.Fits(4 << 30); err != nil {
		t.Error(err)
	}
	step := &plan.Steps[0]
	step.Machines = 100_000
	if err := plan.Fits(4 << 30); !errors.Is(err, ErrTooLarge) || !strings.Contains(err.Error(), `"a"`) {
		t.Errorf("100,000 machines in 4 GB: %v", err)
	}
	step.Machines = 1
	step.Controllers = 400
	if err := plan.Fits(1 << 40); !errors.Is(err, ErrTooLarge) || !strings.Contains(err.Error(), "processes") {
		t.Errorf("400 controllers: %v", err)
	}
}

// fitCase is a metric of two predictors, with six points on the plane y = 3 + 0.5a - 2b.
func fitCase() (Metric, []Values) {
	rng := rand.New(rand.NewPCG(1, 1))
	var points []Values
	for range 6 {
		a, b := rng.Float64()*100, rng.Float64()*10
		points = append(points, Values{"a": a, "b": b, "y": 3 + 0.5*a - 2*b})
	}
	return Metric{Name: "y", Predictors: []string{"a", "b"}}, points
}

// The coefficients of points on a plane are found, and a size that was held out is compared with it.
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
			t.Errorf("%s is off by %g", name, deviation)
		}
	}
	line.holdOut("z", Values{"a": 10, "b": 1, "y": 12})
	predicted := line.At(Values{"a": 10, "b": 1})
	if line.HeldOut.Predicted != predicted || math.Abs(line.HeldOut.Error-0.5) > 1e-9 {
		t.Errorf("held out: %+v", line.HeldOut)
	}
}

// A point beside the plane leaves a residual; too few points, and predictors that don't differ, are refused.
func TestFitReportsWhatDoesNotFit(t *testing.T) {
	metric, points := fitCase()
	points[0]["y"]++
	if line, err := fit(metric, points); err != nil || line.RMS < 0.01 {
		t.Errorf("a point beside the line leaves no residual: %v, %v", line.RMS, err)
	}
	if _, err := fit(metric, points[:3]); !errors.Is(err, ErrTooFew) {
		t.Errorf("three sizes: %v", err)
	}
	for _, values := range points {
		values["b"] = 1
	}
	if _, err := fit(metric, points); err == nil {
		t.Error("a slope was found for what doesn't differ")
	}
}

// fittedResult is a result of five sizes, the last of which is held out.
func fittedResult() *Result {
	result := &Result{Plan: "p", Machine: "m"}
	predictors := []string{
		valueMachines, valueHeartbeats, valueStarts, valueJobs, valueRunning, valueReportedTasks,
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

// A result is written in every format, with the size that was held out.
func TestResultIsWrittenInEveryFormat(t *testing.T) {
	result := fittedResult()
	if len(result.Fits) == 0 || len(result.Fits)+len(result.Unfitted) != len(Metrics) {
		t.Fatalf("%d lines, %v", len(result.Fits), result.Unfitted)
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
			t.Errorf("%s lacks a metric or a size", format)
		}
	}
	if !strings.Contains(markdown.String(), "planned") {
		t.Error("the tables lack a size that is only predicted")
	}
}

// The state service's process ends with the cause if its input ends before its settings.
func TestStateServiceWithoutSettingsEnds(t *testing.T) {
	err := ServeState(strings.NewReader(""), io.Discard)
	if !errors.Is(err, io.ErrUnexpectedEOF) || err.Error() != "no order came: unexpected EOF" {
		t.Errorf("error %v", err)
	}
}

// The usage of a running process is read; one that doesn't run is an error.
func TestUsageOfProcess(t *testing.T) {
	usage, err := usageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if usage.RSSBytes == 0 || usage.PeakBytes < usage.RSSBytes || usage.ReadCalls == 0 {
		t.Errorf("%+v", usage)
	}
	if _, err := usageOf(1 << 30); err == nil {
		t.Error("a process that isn't there has a usage")
	}
}

// Metrics without labels are read from a page, comments and others are left out.
func TestParseMetricsWithoutLabels(t *testing.T) {
	metrics := parseMetrics([]byte("# HELP a\na 2\nb{x=\"y\"} 3\nc 1e3\n"))
	if metrics["a"] != 2 || metrics["c"] != 1000 || len(metrics) != 2 {
		t.Errorf("%v", metrics)
	}
}
