package scale

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// minFittedSizes is the smallest number of sizes that a line is fitted to.
const minFittedSizes = 4

// ErrTooFewSizes is wrapped by the errors for metrics that were measured at too few sizes to fit a line.
var ErrTooFewSizes = errors.New("too few sizes for a fit")

// Fit is the line fitted to a metric by least squares: an intercept, and a slope for each predictor.
type Fit struct {
	Metric
	Intercept float64   `json:"intercept"`
	Slopes    []float64 `json:"slopes"`
	// Residuals are the differences of measured and fitted values, by size. RMS is their root mean square.
	Residuals []float64 `json:"residuals"`
	RMS       float64   `json:"rms"`
	// HeldOut compares the line with the size that was held out; nil: no size was held out.
	HeldOut *HeldOut `json:"held_out,omitempty"`
}

// HeldOut compares a line with the measurement at a size that the line wasn't fitted to.
type HeldOut struct {
	Step      string  `json:"step"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
	Error     float64 `json:"error"` // absolute, relative to the measured value; 0 if the measured value is 0
}

// fit fits the metric's line to the values measured at the sizes. It returns an error that wraps ErrTooFewSizes if
// there are too few sizes, and an error that names the metric if its predictors are linearly dependent.
func fit(metric Metric, sizes []Values) (Fit, error) {
	columns := len(metric.Predictors) + 1
	needed := max(minFittedSizes, columns)
	if len(sizes) < needed {
		return Fit{}, fmt.Errorf("%w: got %d sizes, %s needs %d", ErrTooFewSizes, len(sizes), metric.Name, needed)
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
		return Fit{}, fmt.Errorf("%s: predictors are linearly dependent at these sizes: %w", metric.Name, err)
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

// At returns the value of the line for the given values of the predictors.
func (f Fit) At(values Values) float64 {
	sum := f.Intercept
	for i, name := range f.Predictors {
		sum += f.Slopes[i] * values[name]
	}
	return sum
}

// holdOut sets HeldOut to the comparison with the measurement at a step that the line wasn't fitted to.
func (f *Fit) holdOut(step string, values Values) {
	heldOut := &HeldOut{Step: step, Predicted: f.At(values), Measured: values[f.Name]}
	if heldOut.Measured != 0 {
		heldOut.Error = math.Abs(heldOut.Predicted-heldOut.Measured) / math.Abs(heldOut.Measured)
	}
	f.HeldOut = heldOut
}
