package scale

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// Metric is something that was measured, and what it is said to depend on: a straight line in each of those.
type Metric struct {
	Name       string   `json:"name"`
	Role       string   `json:"role"`
	Unit       string   `json:"unit"`
	Predictors []string `json:"predictors"`
}

// Names of what metrics depend on. A task is reported with each report of its machine.
const (
	byMachines = "machines"
	byReports  = "reports_per_s"
	byReported = "tasks_reported_per_s"
	byStarts   = "starts_per_s"
	byJobs     = "jobs_per_s"
	byRunning  = "tasks_running"
)

// Roles.
const (
	roleLeader   = "leader"
	roleFollower = "other controllers"
	roleState    = "state service"
	roleWorkers  = "all workers and users"
)

// Metrics lists what is fitted.
var Metrics = []Metric{
	{"leader_cpu", roleLeader, "cores", []string{byReports, byStarts}},
	{"leader_rss", roleLeader, "MB", []string{byMachines, byRunning}},
	{"leader_read", roleLeader, "KB/s", []string{byReports, byReported}},
	{"leader_written", roleLeader, "KB/s", []string{byReports, byStarts}},
	{"leader_sockets", roleLeader, "sockets", []string{byMachines}},
	{"follower_cpu", roleFollower, "cores", []string{byStarts, byJobs}},
	{"follower_rss", roleFollower, "MB", []string{byMachines}},
	{"follower_read", roleFollower, "KB/s", []string{byStarts, byJobs}},
	{"state_requests", roleState, "1/s", []string{byStarts, byJobs}},
	{"state_writes", roleState, "1/s", []string{byStarts, byJobs}},
	{"state_cpu", roleState, "cores", []string{byStarts, byJobs}},
	{"state_followed", roleState, "keys", []string{byMachines, byJobs}},
	{"workers_bytes", roleWorkers, "KB/s", []string{byReports, byReported}},
	{"workers_cpu", roleWorkers, "cores", []string{byReports, byStarts}},
	{"workers_rss", roleWorkers, "MB", []string{byMachines, byRunning}},
}

// Fit is a metric's line: an intercept and a slope for each predictor, by least squares.
type Fit struct {
	Metric
	Intercept float64   `json:"intercept"`
	Slopes    []float64 `json:"slopes"`
	// Residuals are measured less fitted, for each size that was fitted; RMS is their root mean square.
	Residuals []float64 `json:"residuals"`
	RMS       float64   `json:"rms"`
	HeldOut   *HeldOut  `json:"held_out,omitempty"`
}

// HeldOut is the size that was predicted first and measured then.
type HeldOut struct {
	Step      string  `json:"step"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
	Error     float64 `json:"error"` // relative to what was measured
}

// ErrTooFew says that there are too few sizes for a line.
var ErrTooFew = errors.New("too few sizes for a fit")

// leastPoints is how many sizes a line is fitted to at least.
const leastPoints = 4

// Values are figures by name: of metrics, and of what they depend on.
type Values map[string]float64

// fit finds a metric's line through what was measured.
func fit(m Metric, points []Values) (Fit, error) {
	cols := len(m.Predictors) + 1
	if len(points) < max(leastPoints, cols) {
		return Fit{}, fmt.Errorf("%w: %d, and %s needs %d", ErrTooFew, len(points), m.Name, max(leastPoints, cols))
	}
	x, y := mat.NewDense(len(points), cols, nil), mat.NewVecDense(len(points), nil)
	for i, p := range points {
		x.Set(i, 0, 1)
		for k, name := range m.Predictors {
			x.Set(i, k+1, p[name])
		}
		y.SetVec(i, p[m.Name])
	}
	var b mat.VecDense
	if err := b.SolveVec(x, y); err != nil {
		return Fit{}, fmt.Errorf("%s: the sizes differ in too few ways: %w", m.Name, err)
	}
	f := Fit{Metric: m, Intercept: b.AtVec(0)}
	for k := range m.Predictors {
		f.Slopes = append(f.Slopes, b.AtVec(k+1))
	}
	sum := 0.0
	for _, p := range points {
		r := p[m.Name] - f.At(p)
		f.Residuals = append(f.Residuals, r)
		sum += r * r
	}
	f.RMS = math.Sqrt(sum / float64(len(points)))
	return f, nil
}

// At is the line's value.
func (f Fit) At(p Values) float64 {
	v := f.Intercept
	for k, name := range f.Predictors {
		v += f.Slopes[k] * p[name]
	}
	return v
}

// holdOut compares the line with a size that it wasn't fitted to.
func (f *Fit) holdOut(step string, p Values) {
	h := HeldOut{Step: step, Predicted: f.At(p), Measured: p[f.Name]}
	if h.Measured != 0 {
		h.Error = math.Abs(h.Predicted-h.Measured) / math.Abs(h.Measured)
	}
	f.HeldOut = &h
}
