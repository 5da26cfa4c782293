package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	// maxRecordedTime is the longest duration that a histogram records. Histograms hold milliseconds.
	maxRecordedTime    = 14 * 24 * time.Hour
	histogramDigits    = 3
	millisPerSecond    = 1000
	defaultRecovery    = time.Minute // length of the recovery period after a fault
	maxUnservedPercent = 10          // percentage of a second's requests; above it the service isn't recovered
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Milliseconds(), histogramDigits)
}

// recordDuration adds a duration, limited to the range of the histogram.
func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(1, duration.Milliseconds()), histogram.HighestTrackableValue()))
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	if histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	seconds := func(millis int64) float64 { return float64(millis) / millisPerSecond }
	return Quantiles{
		N:   histogram.TotalCount(),
		P50: seconds(histogram.ValueAtQuantile(50)),
		P90: seconds(histogram.ValueAtQuantile(90)),
		P99: seconds(histogram.ValueAtQuantile(99)),
		Max: seconds(histogram.Max()),
	}
}

// summarize returns the result of all runs, which are indexed by configuration and repetition.
func (s *Scenario) summarize(runs [][]*run) *Result {
	result := &Result{Scenario: s.Name, Simulated: true, DurationS: s.DurationS, Repetitions: s.Repetitions}
	for repetition := range s.Repetitions {
		result.Seeds = append(result.Seeds, s.Seed+uint64(repetition))
	}
	for config, repetitions := range runs {
		result.Configs = append(result.Configs, s.summarizeConfig(s.Configs[config].Name, repetitions))
	}
	return result
}

// loadTimes holds the histograms of one load; LoadResult describes the durations.
type loadTimes struct {
	accept     *hdrhistogram.Histogram
	wait       *hdrhistogram.Histogram
	completion *hdrhistogram.Histogram
}

// configSummary accumulates the result of a configuration over its runs.
type configSummary struct {
	ConfigResult
	runCount float64
	times    []loadTimes // times of each load
	requests int
	served   int
}

func (s *Scenario) summarizeConfig(name string, runs []*run) ConfigResult {
	summary := configSummary{
		ConfigResult: ConfigResult{
			Name:     name,
			Broken:   []string{},
			Used:     make([]float64, sampleCount),
			Machines: make([]float64, sampleCount),
		},
		runCount: float64(len(runs)),
	}
	for _, load := range s.Loads {
		summary.times = append(summary.times, loadTimes{newHistogram(), newHistogram(), newHistogram()})
		summary.Loads = append(summary.Loads, LoadResult{Name: load.Name})
	}
	for _, run := range runs {
		summary.addRun(run)
	}
	summary.finish()
	for _, fault := range s.Faults {
		summary.Faults = append(summary.Faults, summarizeFault(fault, runs))
	}
	return summary.ConfigResult
}

func (c *configSummary) addRun(run *run) {
	waits := newHistogram()
	for _, user := range run.users {
		c.addUser(user)
		if user.hasStarted {
			recordDuration(waits, user.startDelay)
		}
	}
	for _, request := range run.requests {
		c.requests++
		if request.served {
			c.served++
		}
	}
	for i, sample := range run.utilization {
		if sample.CPUs > 0 {
			used := sample.UsedCPUs / sample.CPUs / c.runCount
			c.Used[i] += used
			c.UsedCPUs += used / sampleCount
		}
		c.Machines[i] += float64(sample.Machines) / c.runCount
	}
	cost := run.utilization[len(run.utilization)-1].Cost
	c.Jobs += len(run.users)
	c.Starts += run.stats.TaskStarts
	c.Cost += cost / c.runCount
	c.Broken = append(c.Broken, run.violations...)
	c.Runs = append(c.Runs, RunResult{
		Seed:    run.seed,
		Jobs:    len(run.users),
		WaitP90: quantiles(waits).P90,
		Cost:    cost,
		Broken:  len(run.violations),
	})
}

func (c *configSummary) addUser(user *user) {
	c.Loads[user.load].Jobs++
	times := c.times[user.load]
	if user.acceptDelay > 0 {
		recordDuration(times.accept, user.acceptDelay)
	}
	if user.hasStarted {
		recordDuration(times.wait, user.startDelay)
	}
	switch {
	case user.isRefused:
		c.Ends.Refused++
	case user.history.Final == jobs.Done.String():
		c.Ends.Done++
		recordDuration(times.completion, user.endDelay)
	case user.history.Final == jobs.Cancelled.String():
		c.Ends.Cancelled++
	default:
		c.Ends.Open++
	}
}

// finish computes the figures that need the sums over all runs.
func (c *configSummary) finish() {
	if c.requests > 0 {
		c.Served = float64(c.served) / float64(c.requests)
	}
	for i, times := range c.times {
		load := &c.Loads[i]
		load.Accept = quantiles(times.accept)
		load.Wait = quantiles(times.wait)
		load.Completion = quantiles(times.completion)
		c.waits = append(c.waits, times.wait)
	}
}

// period is a part of a run; from is included, to is excluded.
type period struct{ from, to time.Duration }

func (p period) contains(at time.Duration) bool { return at >= p.from && at < p.to }

// count returns the number of times within the period.
func (p period) count(times []time.Duration) float64 {
	count := 0.0
	for _, at := range times {
		if p.contains(at) {
			count++
		}
	}
	return count
}

func summarizeFault(fault Fault, runs []*run) FaultResult {
	result := FaultResult{AtS: fault.AtS, Do: fault.Do}
	periodLength := defaultRecovery
	if fault.ForS > 0 {
		periodLength = jobs.Seconds(fault.ForS)
	}
	faultAt := jobs.Seconds(fault.AtS)
	before := period{faultAt - periodLength, faultAt}
	during := period{faultAt, faultAt + periodLength}
	after := period{faultAt + periodLength, faultAt + 2*periodLength}
	runCount := float64(len(runs))
	allSeconds := periodLength.Seconds() * runCount
	for _, run := range runs {
		result.Before += before.count(run.starts) / allSeconds
		result.During += during.count(run.starts) / allSeconds
		result.After += after.count(run.starts) / allSeconds
		result.LeaderChanges += during.count(run.leaderChanges) / runCount
		noStart := run.longestStartGap(during).Seconds()
		result.NoStart += noStart / runCount
		result.MaxNoStart = max(result.MaxNoStart, noStart)
		unserved := float64(run.secondsUntilServed(during))
		result.Unserved += unserved / runCount
		result.MaxUnserved = max(result.MaxUnserved, unserved)
	}
	return result
}

// longestStartGap returns the longest time without a task start in a period, or up to the end of the run if the run
// ends within the period.
func (r *run) longestStartGap(within period) time.Duration {
	longest := time.Duration(0)
	lastStart := within.from
	for _, start := range r.starts {
		if start >= within.from && start <= within.to {
			longest = max(longest, start-lastStart)
			lastStart = start
		}
	}
	return max(longest, min(r.end, within.to)-lastStart)
}

// secondsUntilServed returns the number of seconds from the beginning of a period to the end of its last second in
// which more than maxUnservedPercent of the requests were not served; 0 if the period has no such second.
func (r *run) secondsUntilServed(within period) int {
	seconds := int((within.to-within.from)/time.Second) + 1
	sent := make([]int, seconds)
	unserved := make([]int, seconds)
	for _, request := range r.requests {
		if !within.contains(request.at) {
			continue
		}
		second := int((request.at - within.from) / time.Second)
		sent[second]++
		if !request.served {
			unserved[second]++
		}
	}
	recoveredAfter := 0
	for second := range sent {
		if 100*unserved[second] > maxUnservedPercent*sent[second] {
			recoveredAfter = second + 1
		}
	}
	return recoveredAfter
}
