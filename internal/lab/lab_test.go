package lab

import (
	"bytes"
	"encoding/json"
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

const small = `
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

// A scenario is played with the same loads in every configuration; all jobs come to an end, the same seed gives
// the same figures, and fewer machines make the waits longer.
func TestPlay(t *testing.T) {
	s, err := Parse("small.hcl", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	s.Repetitions = 2
	var last float64
	r, err := s.Run(0, func(done float64) { last = done }, nil)
	if err != nil {
		t.Fatal(err)
	}
	if last != 1 || len(r.Configs) != 2 || !r.Simulated {
		t.Fatalf("progress ended at %v; %+v", last, r)
	}
	for _, c := range r.Configs {
		if len(c.Broken) > 0 || c.Ends.Open+c.Ends.Refused > 0 || c.Ends.Cancelled == 0 || c.Ends.Done+c.Ends.Cancelled != c.Jobs || c.Jobs != r.Configs[0].Jobs {
			t.Errorf("%s: %d jobs, %+v, broken %v", c.Name, c.Jobs, c.Ends, c.Broken)
		}
		if f := c.Faults[0]; f.NoStart < 1 || f.NoStart > 40 || c.UsedCPUs <= 0 || slices.Max(c.Used) > 1 || c.Cost <= 0 {
			t.Errorf("%s: %+v, used %v, cost %v", c.Name, f, c.UsedCPUs, c.Cost)
		}
	}
	if a, b := r.Configs[0], r.Configs[1]; a.Loads[0].Wait.P90 >= b.Loads[0].Wait.P90 || slices.Max(b.Machines) > 3 {
		t.Errorf("half the machines wait %v, all %v; up to %v machines", b.Loads[0].Wait, a.Loads[0].Wait, slices.Max(b.Machines))
	}
	again, err := s.Run(1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	x, _ := json.Marshal(r)
	y, _ := json.Marshal(again)
	if !bytes.Equal(x, y) {
		t.Errorf("the same seeds gave\n%s\n%s", x, y)
	}
	var page bytes.Buffer
	if err := r.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	if h := page.String(); strings.Count(h, "<svg") != 4 || strings.Count(h, "<polyline") != 8 || strings.Contains(h, "src=") || !strings.Contains(h, "half the machines") {
		t.Errorf("the report has %d plots, %d lines", strings.Count(h, "<svg"), strings.Count(h, "<polyline"))
	}
}

// What is drawn has the quantiles that were asked for.
func TestDistributions(t *testing.T) {
	for _, c := range []struct {
		d        Dist
		p50, p95 float64
	}{
		{Dist{Kind: "fixed", Value: 7}, 7, 7},
		{Dist{Kind: "uniform", Low: 10, High: 30}, 20, 29},
		{Dist{Kind: "exponential", Median: 10}, 10, 43.2},
		{Dist{Kind: "lognormal", Median: 20, P95: 90}, 20, 90},
		{Dist{Kind: "pareto", Low: 1, Shape: 2}, 1.414, 4.47},
	} {
		f, err := c.d.draw(rand.NewPCG(1, 2))
		if err != nil {
			t.Fatal(err)
		}
		var vs []float64
		for range 20_000 {
			vs = append(vs, f())
		}
		slices.Sort(vs)
		if p50, p95 := vs[10_000], vs[19_000]; math.Abs(p50/c.p50-1) > 0.05 || math.Abs(p95/c.p95-1) > 0.05 {
			t.Errorf("%+v: median %.2f, 95%% quantile %.2f", c.d, p50, p95)
		}
	}
}

// The sum over runs: quantiles, and how a fault was recovered from, counted by hand.
func TestSums(t *testing.T) {
	s := &Scenario{Name: "x", DurationS: 300, Repetitions: 1, Loads: []Load{{Name: "l"}}, Faults: []Fault{{AtS: 100, Do: "f"}}, Configs: []Config{{Name: "c"}}}
	sec := func(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
	r := &run{end: sec(300), starts: []time.Duration{sec(50), sec(99), sec(103), sec(110), sec(112), sec(170)}}
	for i := range 61 {
		r.starts = append(r.starts, sec(112+float64(i)*0.8))
	}
	slices.Sort(r.starts)
	for i := range 10 {
		r.users = append(r.users, &user{started: sec(float64(i + 1)), hasStarted: true, accepted: sec(0.01), over: sec(20), heard: simulator.History{Final: "done"}})
		for at := 100; at < 130; at++ {
			r.answers = append(r.answers, answered{sec(float64(at)), at >= 104 || i < 5 || at == 101})
		}
	}
	for range samples {
		r.utilization = append(r.utilization, simulator.Utilization{CPUs: 10, UsedCPUs: 5})
	}
	c := s.sum([][]*run{{r}}).Configs[0]
	if f := c.Faults[0]; f.NoStart != 7 || f.Unserved != 4 {
		t.Errorf("%+v", f)
	}
	if w := c.Loads[0].Wait; w.N != 10 || math.Abs(w.P50-5) > 0.02 || math.Abs(w.P90-9) > 0.02 || math.Abs(w.Max-10) > 0.02 || c.Ends.Done != 10 {
		t.Errorf("%+v, %+v", w, c.Ends)
	}
}

// A mistake is named with its place.
func TestMistakes(t *testing.T) {
	for was, want := range map[string][2]string{
		`machines   = 6`:            {`machines = 0`, "Machines"},
		`per_minute = 10`:           {`per_minute = "many"`, "small.hcl:17"},
		`tasks "fixed" { value = 2`: {`tasks "fixed" { value = 0`, `load "licensed", tasks`},
		`kill-leader 5s`:            {`kill-lead 5s`, "no such fault"},
		`team "red" {}`:             {`team "blue" {}`, `there is no team "red"`},
		`machines = 3`:              {`operators = 3`, "Unsupported argument"},
		"count = 3":                 {"count = -1", "one"},
	} {
		if _, err := Parse("small.hcl", []byte(strings.Replace(small, was, want[0], 1))); err == nil || !strings.Contains(err.Error(), want[1]) {
			t.Errorf("%s: error %v does not name %q", want[0], err, want[1])
		}
	}
}

// The scenarios that come with the project can be read.
func TestScenariosHere(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "deploy", "lab", "*.hcl"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		if filepath.Base(f) == "scale.hcl" {
			continue // a plan of sizes, which package scale reads in a test of its own
		}
		if _, err := Read(f); err != nil {
			t.Error(err)
		}
	}
}
