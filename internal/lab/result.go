package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a scenario came to. Times are in simulated seconds.
type Result struct {
	Scenario    string         `json:"scenario"`
	Simulated   bool           `json:"simulated"` // always: it tells readers what the figures are of
	DurationS   float64        `json:"duration_s"`
	Repetitions int            `json:"repetitions"`
	Seeds       []uint64       `json:"seeds"`
	Configs     []ConfigResult `json:"configs"`
}

// ConfigResult sums up the runs of one configuration.
type ConfigResult struct {
	Name     string       `json:"name"`
	Jobs     int          `json:"jobs"`
	Ends     Ends         `json:"ends"`
	Starts   int          `json:"starts"`
	Served   float64      `json:"served"` // share of users' requests that were not refused or lost
	Cost     float64      `json:"cost"`   // mean of the runs
	UsedCPUs float64      `json:"used_cpus"`
	Loads    []LoadResult `json:"loads"`
	// Used is the share of rented cores in use over time, the mean of the runs; Machines their
	// number.
	Used     []float64     `json:"used_over_time"`
	Machines []float64     `json:"machines_over_time"`
	Faults   []FaultResult `json:"faults"`
	Broken   []string      `json:"broken_rules"`
	Runs     []RunResult   `json:"runs"`

	waits []*hdrhistogram.Histogram
}

// Ends counts the jobs by what became of them.
type Ends struct {
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	Open      int `json:"open"` // when the run ended
}

// LoadResult is about the jobs of one load.
type LoadResult struct {
	Name   string    `json:"name"`
	Jobs   int       `json:"jobs"`
	Accept Quantiles `json:"accept_s"` // from the submission to its acceptance
	Wait   Quantiles `json:"wait_s"`   // to the first start
	Over   Quantiles `json:"over_s"`   // to the answer that it is done
}

// Quantiles are of one kind of time, in seconds.
type Quantiles struct {
	N   int64   `json:"n"`
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// FaultResult tells how the service recovered, the mean and the worst of the runs.
type FaultResult struct {
	AtS float64 `json:"at_s"`
	Do  string  `json:"do"`
	// Before, During and After are starts a second in as long a time before it, the time in which its effect is
	// looked for, and the same again; Leads is how often the lead passed in the second of them.
	Before float64 `json:"starts_before"`
	During float64 `json:"starts_during"`
	After  float64 `json:"starts_after"`
	Leads  float64 `json:"leads_passed"`
	// NoStart is the longest time without any start in the time after it, however much work
	// there was; Unserved the time until nine of ten requests of each second were served again.
	NoStart      float64 `json:"no_start_s"`
	NoStartMost  float64 `json:"no_start_most_s"`
	Unserved     float64 `json:"unserved_s"`
	UnservedMost float64 `json:"unserved_most_s"`
}

// RunResult tells of one run what may differ by seed.
type RunResult struct {
	Seed    uint64  `json:"seed"`
	Jobs    int     `json:"jobs"`
	WaitP90 float64 `json:"wait_p90_s"`
	Cost    float64 `json:"cost"`
	Broken  int     `json:"broken_rules"`
}

// histogram takes times up to two weeks, in milliseconds, to three digits.
func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (14 * 24 * time.Hour).Milliseconds(), 3)
}

func record(h *hdrhistogram.Histogram, duration time.Duration) {
	_ = h.RecordValue(min(max(1, duration.Milliseconds()), h.HighestTrackableValue()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{N: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / 1000}
}

// sum puts the runs together; runs[c][r] is of configuration c.
func (s *Scenario) sum(runs [][]*run) *Result {
	out := &Result{Scenario: s.Name, Simulated: true, DurationS: s.DurationS, Repetitions: s.Repetitions}
	for r := range s.Repetitions {
		out.Seeds = append(out.Seeds, s.Seed+uint64(r))
	}
	for c, rs := range runs {
		out.Configs = append(out.Configs, s.sumConfig(s.Configs[c].Name, rs))
	}
	return out
}

func (s *Scenario) sumConfig(name string, rs []*run) ConfigResult {
	out := ConfigResult{Name: name, Broken: []string{}, Used: make([]float64, samples), Machines: make([]float64, samples)}
	type hists struct{ accept, wait, over *hdrhistogram.Histogram }
	var loads []hists
	for _, l := range s.Loads {
		loads = append(loads, hists{histogram(), histogram(), histogram()})
		out.Loads = append(out.Loads, LoadResult{Name: l.Name})
	}
	served, asked := 0, 0
	for _, r := range rs {
		one := histogram()
		for _, u := range r.users {
			l := &out.Loads[u.load]
			l.Jobs++
			h := loads[u.load]
			if u.accepted > 0 {
				record(h.accept, u.accepted)
			}
			if u.hasStarted {
				record(h.wait, u.started)
				record(one, u.started)
			}
			switch {
			case u.refused:
				out.Ends.Refused++
			case u.heard.Final == "done":
				out.Ends.Done++
				record(h.over, u.over)
			case u.heard.Final == "cancelled":
				out.Ends.Cancelled++
			default:
				out.Ends.Open++
			}
		}
		for _, a := range r.answers {
			if asked++; a.served {
				served++
			}
		}
		n := float64(len(rs))
		for i, p := range r.utilization {
			if p.CPUs > 0 {
				out.Used[i] += p.UsedCPUs / p.CPUs / n
				out.UsedCPUs += p.UsedCPUs / p.CPUs / n / samples
			}
			out.Machines[i] += float64(p.Machines) / n
		}
		cost := r.utilization[len(r.utilization)-1].Cost
		out.Jobs, out.Starts, out.Cost = out.Jobs+len(r.users), out.Starts+r.stats.TaskStarts, out.Cost+cost/n
		out.Broken = append(out.Broken, r.broken...)
		out.Runs = append(out.Runs, RunResult{Seed: r.seed, Jobs: len(r.users), WaitP90: quantiles(one).P90, Cost: cost, Broken: len(r.broken)})
	}
	if asked > 0 {
		out.Served = float64(served) / float64(asked)
	}
	for i, h := range loads {
		l := &out.Loads[i]
		l.Accept, l.Wait, l.Over = quantiles(h.accept), quantiles(h.wait), quantiles(h.over)
		out.waits = append(out.waits, h.wait)
	}
	for _, f := range s.Faults {
		out.Faults = append(out.Faults, sumFault(f, rs))
	}
	return out
}

// recoverIn is how long after a fault its effect is looked for.
const recoverIn = time.Minute

func sumFault(f Fault, rs []*run) FaultResult {
	out := FaultResult{AtS: f.AtS, Do: f.Do}
	at, recoverIn := time.Duration(f.AtS*float64(time.Second)), recoverIn
	if f.ForS > 0 {
		recoverIn = time.Duration(f.ForS * float64(time.Second))
	}
	count := func(ts []time.Duration, from, to time.Duration) (n float64) {
		for _, t := range ts {
			if t >= from && t < to {
				n++
			}
		}
		return n
	}
	for _, r := range rs {
		per := recoverIn.Seconds() * float64(len(rs))
		out.Before += count(r.starts, at-recoverIn, at) / per
		out.During += count(r.starts, at, at+recoverIn) / per
		out.After += count(r.starts, at+recoverIn, at+2*recoverIn) / per
		out.Leads += count(r.leads, at, at+recoverIn) / float64(len(rs))
		gap, last := time.Duration(0), at
		for _, t := range r.starts {
			if t >= at && t <= at+recoverIn {
				gap, last = max(gap, t-last), t
			}
		}
		gap = max(gap, min(r.end, at+recoverIn)-last)
		bad, all := make([]int, recoverIn/time.Second+1), make([]int, recoverIn/time.Second+1)
		for _, a := range r.answers {
			if a.at >= at && a.at < at+recoverIn {
				i := int((a.at - at) / time.Second)
				if all[i]++; !a.served {
					bad[i]++
				}
			}
		}
		until := 0
		for i := range all {
			if 10*bad[i] > all[i] {
				until = i + 1
			}
		}
		n := float64(len(rs))
		out.NoStart, out.NoStartMost = out.NoStart+gap.Seconds()/n, max(out.NoStartMost, gap.Seconds())
		out.Unserved, out.UnservedMost = out.Unserved+float64(until)/n, max(out.UnservedMost, float64(until))
	}
	return out
}
