package lab

import "github.com/HdrHistogram/hdrhistogram-go"

// Result is the outcome of a scenario. Times are in simulated seconds.
type Result struct {
	Scenario    string         `json:"scenario"`
	Simulated   bool           `json:"simulated"` // always true: the figures are of a simulation
	DurationS   float64        `json:"duration_s"`
	Repetitions int            `json:"repetitions"`
	Seeds       []uint64       `json:"seeds"`
	Configs     []ConfigResult `json:"configs"`
}

// ConfigResult summarizes the runs of one configuration.
type ConfigResult struct {
	Name     string       `json:"name"`
	Jobs     int          `json:"jobs"`
	Ends     Ends         `json:"ends"`
	Starts   int          `json:"starts"`
	Served   float64      `json:"served"` // share of users' requests that were not refused or lost
	Cost     float64      `json:"cost"`   // mean of the runs
	UsedCPUs float64      `json:"used_cpus"`
	Loads    []LoadResult `json:"loads"`
	// Used is the share of rented cores in use over time, Machines the number of machines: means of the runs.
	Used     []float64     `json:"used_over_time"`
	Machines []float64     `json:"machines_over_time"`
	Faults   []FaultResult `json:"faults"`
	Broken   []string      `json:"broken_rules"`
	Runs     []RunResult   `json:"runs"`

	waits []*hdrhistogram.Histogram // by load
}

// Ends counts the jobs by their outcome.
type Ends struct {
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	Open      int `json:"open"` // when the run ended
}

// LoadResult summarizes the jobs of one load.
type LoadResult struct {
	Name       string    `json:"name"`
	Jobs       int       `json:"jobs"`
	Accept     Quantiles `json:"accept_s"` // from the submission to its acceptance
	Wait       Quantiles `json:"wait_s"`   // to the first start
	Completion Quantiles `json:"over_s"`   // to the first response that it is done
}

// Quantiles are the quantiles of N times, in seconds.
type Quantiles struct {
	N   int64   `json:"n"`
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// FaultResult is how the service recovered from a fault: means of the runs, and the worst of them.
type FaultResult struct {
	AtS float64 `json:"at_s"`
	Do  string  `json:"do"`
	// Before, During and After are task starts a second in three periods of the same length: before the fault, the
	// period in which its effect is measured, and after that. LeaderChanges is how often the leader
	// changed in the second.
	Before        float64 `json:"starts_before"`
	During        float64 `json:"starts_during"`
	After         float64 `json:"starts_after"`
	LeaderChanges float64 `json:"leads_passed"`
	// NoStart is the longest time without any task start in the second period, whether or not there was work.
	// Unserved is the time until nine of ten requests of each second were served again.
	NoStart     float64 `json:"no_start_s"`
	MaxNoStart  float64 `json:"no_start_most_s"`
	Unserved    float64 `json:"unserved_s"`
	MaxUnserved float64 `json:"unserved_most_s"`
}

// RunResult is what may differ by seed, of one run.
type RunResult struct {
	Seed    uint64  `json:"seed"`
	Jobs    int     `json:"jobs"`
	WaitP90 float64 `json:"wait_p90_s"`
	Cost    float64 `json:"cost"`
	Broken  int     `json:"broken_rules"`
}
