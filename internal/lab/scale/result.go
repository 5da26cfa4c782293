package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// Result holds the measurements of a run and the fitted lines.
type Result struct {
	Plan  string       `json:"plan"`
	Quick bool         `json:"quick"`
	Steps []StepResult `json:"steps"`
	Fits  []Fit        `json:"fits"`
	// Unfitted holds an error text for each metric that no line could be fitted to.
	Unfitted []string `json:"unfitted,omitempty"`
	// PeakMB is the largest sum, over the steps, of the peak memory of all processes of a step. PeakProcesses is the
	// largest number of processes of a step.
	PeakMB        float64 `json:"peak_mb"`
	PeakProcesses int     `json:"peak_processes"`
	Machine       string  `json:"machine"` // description of the machine on which the plan was run
}

// StepResult holds the measurements of one step.
type StepResult struct {
	Step
	Values Values `json:"values"`
	// Quantiles in seconds: Wait is the time from a job's acceptance to its first start, Accept the time from its
	// submission to its acceptance.
	WaitP50S   float64 `json:"wait_p50_s"`
	WaitP99S   float64 `json:"wait_p99_s"`
	AcceptP50S float64 `json:"accept_p50_s"`
	AcceptP99S float64 `json:"accept_p99_s"`
	Waits      int64   `json:"waits"`   // number of measured waits
	Refused    int     `json:"refused"` // submissions without acceptance, including those without a response
	Settled    bool    `json:"settled"` // whether the machines were busy when the measurement began
	Broken     int     `json:"broken"`  // number of violations of the protocol's rules
	TasksRerun int     `json:"again"`   // number of tasks that started again after they were done
	// FirstBroken describes the first violation; empty: there was none.
	FirstBroken string `json:"first_broken,omitempty"`
}

// Size is a cluster size that isn't measured, but predicted with the fitted lines.
type Size struct {
	Name   string
	Values Values
}

// fitAll fits every metric in Metrics and compares each line with the step that was held out.
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

// ErrNoSizes is wrapped by the error for a stored result without steps.
var ErrNoSizes = errors.New("no sizes were measured")

// ReadResult reads a result that WriteJSON has written, and fits the lines again. It returns an error that wraps
// ErrNoSizes if the result has no steps.
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

// WriteJSON writes the complete result as indented JSON.
func (r *Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
