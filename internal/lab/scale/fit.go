package scale

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// minFittedSizes is how many sizes a line is fitted to at least.
const minFittedSizes = 4

// ErrTooFew is wrapped by the errors for metrics that were measured at too few sizes for a line.
var ErrTooFew = errors.New("too few sizes for a fit")

// Fit is a metric's line: an intercept and a slope for each predictor, by least squares.
type Fit struct {
	Metric
	Intercept float64   `json:"intercept"`
	Slopes    []float64 `json:"slopes"`
	// Residuals are measured less fitted values, by size; RMS is their root mean square.
	Residuals []float64 `json:"residuals"`
	RMS       float64   `json:"rms"`
	HeldOut   *HeldOut  `json:"held_out,omitempty"`
}

// HeldOut compares a line with a size that it wasn't fitted to.
type HeldOut struct {
	Step      string  `json:"step"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
	Error     float64 `json:"error"` // relative to the measured value
}

// fit fits a metric's line to what was measured at several sizes. Its errors wrap ErrTooFew, or name the metric whose
// predictors differ in too few ways.
func fit(metric Metric, sizes []Values) (Fit, error) {
	columns := len(metric.Predictors) + 1
	needed := max(minFittedSizes, columns)
	if len(sizes) < needed {
		return Fit{}, fmt.Errorf("%w: %d, and %s needs %d", ErrTooFew, len(sizes), metric.Name, needed)
	}
	predictors := mat.NewDense(len(sizes), columns, nil)
	measured := mat.NewVecDense(len(sizes), nil)
	for row, values := range sizes {
		predictors.Set(row, 0, 1)
		for i, name := range metric.Predictors {
			predictors.Set(row, i+1, values[name])
		}
		measured.SetVec(row, values[metric.Name])
	}
	var coefficients mat.VecDense
	if err := coefficients.SolveVec(predictors, measured); err != nil {
		return Fit{}, fmt.Errorf("%s: the sizes differ in too few ways: %w", metric.Name, err)
	}
	line := Fit{Metric: metric, Intercept: coefficients.AtVec(0)}
	for i := range metric.Predictors {
		line.Slopes = append(line.Slopes, coefficients.AtVec(i+1))
	}
	line.addResiduals(sizes)
	return line, nil
}

func (f *Fit) addResiduals(sizes []Values) {
	squares := 0.0
	for _, values := range sizes {
		residual := values[f.Name] - f.At(values)
		f.Residuals = append(f.Residuals, residual)
		squares += residual * residual
	}
	f.RMS = math.Sqrt(squares / float64(len(sizes)))
}

// At returns the line's value for the predictors' values.
func (f Fit) At(values Values) float64 {
	sum := f.Intercept
	for i, name := range f.Predictors {
		sum += f.Slopes[i] * values[name]
	}
	return sum
}

// holdOut compares the line with what was measured at a size that it wasn't fitted to.
func (f *Fit) holdOut(step string, values Values) {
	heldOut := &HeldOut{Step: step, Predicted: f.At(values), Measured: values[f.Name]}
	if heldOut.Measured != 0 {
		heldOut.Error = math.Abs(heldOut.Predicted-heldOut.Measured) / math.Abs(heldOut.Measured)
	}
	f.HeldOut = heldOut
}
