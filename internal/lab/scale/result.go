package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// Result is what a run has measured.
type Result struct {
	Plan  string       `json:"plan"`
	Quick bool         `json:"quick"`
	Steps []StepResult `json:"steps"`
	Fits  []Fit        `json:"fits"`
	// Unfitted names the metrics without a line, each with the cause.
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
	// Quantiles, in seconds, of the times from acceptance to the first start and from submission to acceptance.
	WaitP50S   float64 `json:"wait_p50_s"`
	WaitP99S   float64 `json:"wait_p99_s"`
	AcceptP50S float64 `json:"accept_p50_s"`
	AcceptP99S float64 `json:"accept_p99_s"`
	Waits      int64   `json:"waits"` // how many were measured
	Refused    int     `json:"refused"`
	Settled    bool    `json:"settled"` // the machines were busy when the measurement began
	Broken     int     `json:"broken"`  // rules of the protocol
	TasksRerun int     `json:"again"`   // tasks that started once more after they were done
	// FirstBroken is the first broken rule; empty: none was broken.
	FirstBroken string `json:"first_broken,omitempty"`
}

// Size is a size that isn't played, for which the lines are evaluated.
type Size struct {
	Name   string
	Values Values
}

// fitAll fits every metric, and compares its line with the size that was held out.
func (r *Result) fitAll() {
	var fitted []Values
	for _, step := range r.Steps {
		if !step.HeldOut {
			fitted = append(fitted, step.Values)
		}
	}
	for _, metric := range Metrics {
		line, err := fit(metric, fitted)
		if err != nil {
			r.Unfitted = append(r.Unfitted, err.Error())
			continue
		}
		for _, step := range r.Steps {
			if step.HeldOut {
				line.holdOut(step.Name, step.Values)
			}
		}
		r.Fits = append(r.Fits, line)
	}
}

// ErrNoSizes is wrapped by the error for a stored result that holds no sizes.
var ErrNoSizes = errors.New("no sizes were measured")

// ReadResult reads a result that WriteJSON has written, and fits the lines anew.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	result := &Result{}
	if err := json.Unmarshal(raw, result); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(result.Steps) == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrNoSizes)
	}
	result.Fits = nil
	result.Unfitted = nil
	result.fitAll()
	return result, nil
}

// WriteJSON writes the whole result.
func (r *Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
