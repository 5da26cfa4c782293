package lab

import "github.com/HdrHistogram/hdrhistogram-go"

// Result is the result of playing a scenario. Times are in simulated seconds.
type Result struct {
	Scenario    string         `json:"scenario"`
	Simulated   bool           `json:"simulated"` // always true: the figures are of a simulation
	DurationS   float64        `json:"duration_s"`
	Repetitions int            `json:"repetitions"`
	Seeds       []uint64       `json:"seeds"`
	Configs     []ConfigResult `json:"configs"`
}

// ConfigResult summarizes the runs of one configuration. Counts are sums over all runs.
type ConfigResult struct {
	Name     string       `json:"name"`
	Jobs     int          `json:"jobs"`
	Ends     Ends         `json:"ends"`
	Starts   int          `json:"starts"`
	Served   float64      `json:"served"`    // share of the users' requests with a response and a status below 429
	Cost     float64      `json:"cost"`      // mean cost of the runs
	UsedCPUs float64      `json:"used_cpus"` // mean share of the rented cores in use
	Loads    []LoadResult `json:"loads"`
	// Used is the share of the rented cores in use, Machines the number of machines: each a series of samples over the
	// run's duration, as means over the runs.
	Used     []float64     `json:"used_over_time"`
	Machines []float64     `json:"machines_over_time"`
	Faults   []FaultResult `json:"faults"`
	Broken   []string      `json:"broken_rules"` // protocol violations of all runs
	Runs     []RunResult   `json:"runs"`

	waits []*hdrhistogram.Histogram // times to the first start, by load
}

// Ends counts the jobs by outcome.
type Ends struct {
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	Open      int `json:"open"` // jobs that had neither ended nor been refused when the run ended
}

// LoadResult summarizes the jobs of one load.
type LoadResult struct {
	Name       string    `json:"name"`
	Jobs       int       `json:"jobs"`
	Accept     Quantiles `json:"accept_s"` // time from the job's arrival to the response that accepts it
	Wait       Quantiles `json:"wait_s"`   // time from the job's arrival to its first start
	Completion Quantiles `json:"over_s"`   // time from the job's arrival to the first response that reports it as done
}

// Quantiles are quantiles of N durations, in seconds.
type Quantiles struct {
	N   int64   `json:"n"`
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// FaultResult describes how the service recovered from a fault: means over the runs, and maxima over the runs.
type FaultResult struct {
	AtS float64 `json:"at_s"`
	Do  string  `json:"do"`
	// Before, During and After are rates of task starts, per second, in three consecutive periods of the same length:
	// up to the fault, the recovery period that begins with the fault, and the period after the recovery period.
	// LeaderChanges is the number of leader changes in the recovery period.
	Before        float64 `json:"starts_before"`
	During        float64 `json:"starts_during"`
	After         float64 `json:"starts_after"`
	LeaderChanges float64 `json:"leads_passed"`
	// NoStart is the longest time without a task start in the recovery period, whether or not tasks were waiting.
	// Unserved is the time from the fault until at least nine of ten requests of every second were served again.
	NoStart     float64 `json:"no_start_s"`
	MaxNoStart  float64 `json:"no_start_most_s"`
	Unserved    float64 `json:"unserved_s"`
	MaxUnserved float64 `json:"unserved_most_s"`
}

// RunResult holds the figures of one run that depend on its seed.
type RunResult struct {
	Seed    uint64  `json:"seed"`
	Jobs    int     `json:"jobs"`
	WaitP90 float64 `json:"wait_p90_s"`
	Cost    float64 `json:"cost"`
	Broken  int     `json:"broken_rules"`
}
