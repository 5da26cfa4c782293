package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/simulator"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

const smallScenario = `
name       = "small"
duration_s = 240
machines   = 6
type "m" {
  cpus      = 8
  memory_gb = 32
  price     = 1
  boot_s    = 5
}
team "red" {}
pool "seats" { seats = 3 }
load "arrays" {
  team       = "red"
  cpus       = 1
  on_demand  = true
  per_minute = 10
  tasks "uniform" {
    low  = 1
    high = 20
  }
  seconds "exponential" { median = 8 }
  cancel_share = 0.2
}
load "licensed" {
  team       = "red"
  cpus       = 1
  per_minute = 4
  licences   = { seats = 1 }
  tasks "fixed" { value = 2 }
  seconds "fixed" { value = 5 }
}
fault {
  at_s = 100
  do   = "kill-leader 5s"
}
config "one" {
  operator = "licence \"seats\" {\n count = 3\n server = \"${licence_server}\"\n}\n"
}
config "half the machines" {
  machines = 3
  operator = "licence \"seats\" {\n count = 3\n server = \"${licence_server}\"\n}\n"
}
`

// play runs the small scenario with two seeds.
func play(t *testing.T) (*Scenario, *Result) {
	t.Helper()
	scenario, err := Parse("small.hcl", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	scenario.Repetitions = 2
	lastProgress := 0.0
	result, err := scenario.Run(0, func(done float64) { lastProgress = done }, nil)
	if err != nil {
		t.Fatal(err)
	}
	if lastProgress != 1 || len(result.Configs) != 2 || !result.Simulated {
		t.Fatalf("last progress %v, result %+v; want progress 1, 2 configurations, simulated true",
			lastProgress, result)
	}
	return scenario, result
}

// Every configuration gets the same loads, all jobs end, and a configuration with fewer machines has longer waits.
func TestRunPlaysSameLoadsInEveryConfig(t *testing.T) {
	_, result := play(t)
	for _, config := range result.Configs {
		ends := config.Ends
		if len(config.Broken) > 0 || config.Jobs != result.Configs[0].Jobs {
			t.Errorf("%s: got %d jobs, violations %v; want as many jobs as in the first configuration, no violations",
				config.Name, config.Jobs, config.Broken)
		}
		if ends.Open+ends.Refused > 0 || ends.Cancelled == 0 || ends.Done+ends.Cancelled != config.Jobs {
			t.Errorf("%s: %d jobs, got outcomes %+v; want all done or cancelled, some cancelled",
				config.Name, config.Jobs, ends)
		}
		if fault := config.Faults[0]; fault.NoStart < 1 || fault.NoStart > 40 {
			t.Errorf("%s: got fault %+v, want NoStart from 1 to 40 s", config.Name, fault)
		}
		if config.UsedCPUs <= 0 || slices.Max(config.Used) > 1 || config.Cost <= 0 {
			t.Errorf("%s: got mean use of cores %v, cost %v; want both above 0, each sample of the use at most 1",
				config.Name, config.UsedCPUs, config.Cost)
		}
	}
	all, half := result.Configs[0], result.Configs[1]
	if all.Loads[0].Wait.P90 >= half.Loads[0].Wait.P90 || slices.Max(half.Machines) > 3 {
		t.Errorf("got waits %v with half the machines, %v with all, at most %v machines; want longer P90 with half, <= 3",
			half.Loads[0].Wait, all.Loads[0].Wait, slices.Max(half.Machines))
	}
}

// The same seeds give the same result, whether the runs are played one at a time or in parallel.
func TestRunIsReproducible(t *testing.T) {
	scenario, result := play(t)
	repeated, err := scenario.Run(1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	first, _ := json.Marshal(result)
	second, _ := json.Marshal(repeated)
	if !bytes.Equal(first, second) {
		t.Errorf("two results of the same seeds differ:\n%s\n%s", first, second)
	}
}

// The report has a plot of the machines, of the cores and of each load's waits, with one line for each configuration.
// It refers to no other files.
func TestReportHasPlots(t *testing.T) {
	_, result := play(t)
	var page bytes.Buffer
	if err := result.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	html := page.String()
	plots, lines := strings.Count(html, "<svg"), strings.Count(html, "<polyline")
	if plots != 4 || lines != 8 {
		t.Errorf("report has %d plots, %d lines; want 4, 8", plots, lines)
	}
	if strings.Contains(html, "src=") || !strings.Contains(html, "half the machines") {
		t.Error("report refers to other files with src=, or lacks configuration \"half the machines\"")
	}
}

// The drawn values have the median and the 95% quantile of their distribution, within 5%.
func TestDistributionQuantiles(t *testing.T) {
	for _, test := range []struct {
		distribution Distribution
		p50, p95     float64
	}{
		{Distribution{Kind: "fixed", Value: 7}, 7, 7},
		{Distribution{Kind: "uniform", Low: 10, High: 30}, 20, 29},
		{Distribution{Kind: "exponential", Median: 10}, 10, 43.2},
		{Distribution{Kind: "lognormal", Median: 20, P95: 90}, 20, 90},
		{Distribution{Kind: "pareto", Low: 1, Shape: 2}, 1.414, 4.47},
	} {
		draw, err := test.distribution.sampler(rand.NewPCG(1, 2))
		if err != nil {
			t.Fatal(err)
		}
		var values []float64
		for range 20_000 {
			values = append(values, draw())
		}
		slices.Sort(values)
		p50, p95 := values[10_000], values[19_000]
		if math.Abs(p50/test.p50-1) > 0.05 || math.Abs(p95/test.p95-1) > 0.05 {
			t.Errorf("%+v: got median %.2f, 95%% quantile %.2f; want those of the case within 5%%",
				test.distribution, p50, p95)
		}
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// summaryCase returns a run of 300 s with a fault at 100 s. Ten jobs started 1 to 10 s after their arrival. Ten
// requests were sent in each second from 100 s to 129 s; of those in seconds 100, 102 and 103, five were not served.
func summaryCase() (*Scenario, *run) {
	scenario := &Scenario{
		Name:        "x",
		DurationS:   300,
		Repetitions: 1,
		Loads:       []Load{{Name: "l"}},
		Faults:      []Fault{{AtS: 100, Do: "f"}},
		Configs:     []Config{{Name: "c"}},
	}
	observed := &run{end: seconds(300)}
	for _, atS := range []float64{50, 99, 103, 110, 112, 170} {
		observed.starts = append(observed.starts, seconds(atS))
	}
	for i := range 61 {
		observed.starts = append(observed.starts, seconds(112+float64(i)*0.8))
	}
	slices.Sort(observed.starts)
	for i := range 10 {
		observed.users = append(observed.users, &user{
			startDelay:  seconds(float64(i + 1)),
			hasStarted:  true,
			acceptDelay: seconds(0.01),
			endDelay:    seconds(20),
			history:     simulator.AnswerHistory{Final: "done"},
		})
		for atS := 100; atS < 130; atS++ {
			isServed := atS >= 104 || i < 5 || atS == 101
			observed.requests = append(observed.requests, request{seconds(float64(atS)), isServed})
		}
	}
	for range sampleCount {
		observed.utilization = append(observed.utilization, simulator.Utilization{CPUs: 10, UsedCPUs: 5})
	}
	return scenario, observed
}

// The summary of a run has the quantiles, outcomes and recovery times that were counted by hand.
func TestSummaryOfOneRun(t *testing.T) {
	scenario, observed := summaryCase()
	config := scenario.summarize([][]*run{{observed}}).Configs[0]
	if fault := config.Faults[0]; fault.NoStart != 7 || fault.Unserved != 4 {
		t.Errorf("got fault %+v, want NoStart 7, Unserved 4", fault)
	}
	wait := config.Loads[0].Wait
	isNear := func(value, want float64) bool { return math.Abs(value-want) <= 0.02 }
	if wait.N != 10 || !isNear(wait.P50, 5) || !isNear(wait.P90, 9) || !isNear(wait.Max, 10) {
		t.Errorf("got waits %+v, want N 10, P50 5, P90 9, Max 10, each within 0.02", wait)
	}
	if config.Ends.Done != 10 {
		t.Errorf("got outcomes %+v, want 10 done", config.Ends)
	}
}

// The error for a wrong scenario names the setting, the load or configuration, or the line.
func TestParseErrorNamesLocation(t *testing.T) {
	for valid, test := range map[string]struct{ invalid, wantText string }{
		`machines   = 6`:            {`machines = 0`, "Machines"},
		`per_minute = 10`:           {`per_minute = "many"`, "small.hcl:17"},
		`tasks "fixed" { value = 2`: {`tasks "fixed" { value = 0`, `load "licensed", distribution of tasks`},
		`kill-leader 5s`:            {`kill-lead 5s`, "no such fault"},
		`team "red" {}`:             {`team "blue" {}`, `unknown team "red"`},
		`machines = 3`:              {`operators = 3`, "Unsupported argument"},
		"count = 3":                 {"count = -1", "one"},
	} {
		text := strings.Replace(smallScenario, valid, test.invalid, 1)
		if _, err := Parse("small.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), test.wantText) {
			t.Errorf("%s: got error %v, want one that contains %q", test.invalid, err, test.wantText)
		}
	}
}

// The error for a setting that violates its rule is a SettingError with file and setting.
func TestParseReturnsSettingError(t *testing.T) {
	text := strings.Replace(smallScenario, "machines   = 6", "machines = 0", 1)
	_, err := Parse("small.hcl", []byte(text))
	var settingError *SettingError
	if !errors.As(err, &settingError) || settingError.Setting != "Machines" || settingError.File != "small.hcl" {
		t.Errorf("got error %v, want a SettingError for Machines in small.hcl", err)
	}
}

// An error that involves more than one setting wraps its cause, and its text names the load or configuration.
func TestParseErrorWrapsCause(t *testing.T) {
	for _, c := range []struct {
		valid, invalid string
		cause          error
		text           string
	}{
		{`team "red" {}`, `team "blue" {}`, errUnknownTeam, `small.hcl: load "arrays": unknown team "red"`},
		{`load "licensed"`, `load "arrays"`, ErrDuplicate, `small.hcl: load "arrays": duplicate name`},
		{`config "half the machines"`, `config "one"`, ErrDuplicate, `small.hcl: config "one": duplicate name`},
	} {
		_, err := Parse("small.hcl", []byte(strings.Replace(smallScenario, c.valid, c.invalid, 1)))
		if !errors.Is(err, c.cause) || err.Error() != c.text {
			t.Errorf("%s: got error %v, want %s", c.invalid, err, c.text)
		}
	}
}

// A distribution without its parameters returns an error that names the condition on them. An unknown kind returns an
// error that wraps errUnknownDistribution.
func TestDistributionWithoutParametersReturnsError(t *testing.T) {
	for kind, want := range map[string]string{
		distFixed:       "fixed needs a value above 0",
		distUniform:     "uniform needs 0 < low <= high",
		distExponential: "exponential needs a median above 0",
		distLognormal:   "lognormal needs 0 < median <= p95",
		distPareto:      "pareto needs low and shape above 0",
	} {
		_, err := Distribution{Kind: kind}.sampler(nil)
		var distributionError *DistributionError
		if !errors.As(err, &distributionError) || distributionError.Kind != kind || err.Error() != want {
			t.Errorf("%s: got error %v, want %s", kind, err, want)
		}
	}
	_, err := Distribution{Kind: "normal"}.sampler(nil)
	if !errors.Is(err, errUnknownDistribution) || err.Error() != `unknown distribution "normal"` {
		t.Errorf("kind normal: got error %v, want unknown distribution", err)
	}
}

// Drawing the jobs of a scenario returns an error when the loads generate more than maxArrivals jobs.
func TestTooManyArrivalsReturnError(t *testing.T) {
	one := Distribution{Kind: distFixed, Value: 1}
	scenario := &Scenario{
		DurationS: 600,
		Loads:     []Load{{Name: "dense", PerMinute: 1e6, Batch: 1000, Tasks: one, Seconds: one}},
	}
	_, err := scenario.drawArrivals(1)
	if !errors.Is(err, errTooManyArrivals) || err.Error() != "the loads generate more than 500000 jobs" {
		t.Errorf("got error %v, want one for more than 500000 jobs", err)
	}
}

// The scenarios in deploy/lab are valid.
func TestPublishedScenariosAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "deploy", "lab", "*.hcl"))
	if err != nil || len(files) == 0 {
		t.Fatalf("got files %v, error %v; want at least one file, no error", files, err)
	}
	for _, file := range files {
		if filepath.Base(file) == "scale.hcl" {
			continue // a plan, not a scenario; tested in package scale
		}
		if _, err := Read(file); err != nil {
			t.Error(err)
		}
	}
}
