package planner

import "math"

const (
	// fitTolerance allows for rounding errors of decimal amounts, in cores, accelerators or gigabytes.
	fitTolerance = 1e-6
	// fitCountTolerance allows for rounding errors of the quotient of two amounts.
	fitCountTolerance = 1e-6
	// maxFitCount is the upper bound of the result of FitCount.
	maxFitCount = 1 << 20
)

// Size is an amount of resources, such as the request of a task or the capacity of a machine.
type Size struct {
	CPUs float64 // cores
	GPUs float64 // accelerators
	Mem  float64 // gigabytes
}

// Fits reports whether s fits into free.
func (s Size) Fits(free Size) bool {
	return s.CPUs <= free.CPUs+fitTolerance && s.GPUs <= free.GPUs+fitTolerance && s.Mem <= free.Mem+fitTolerance
}

// Sub returns s minus other. The result may have negative amounts.
func (s Size) Sub(other Size) Size {
	return Size{s.CPUs - other.CPUs, s.GPUs - other.GPUs, s.Mem - other.Mem}
}

// Add returns the sum of s and other.
func (s Size) Add(other Size) Size {
	return Size{s.CPUs + other.CPUs, s.GPUs + other.GPUs, s.Mem + other.Mem}
}

// Min returns the smaller amount of each resource.
func (s Size) Min(other Size) Size {
	return Size{min(s.CPUs, other.CPUs), min(s.GPUs, other.GPUs), min(s.Mem, other.Mem)}
}

// NotNegative returns s with 0 in place of each negative amount.
func (s Size) NotNegative() Size { return Size{max(0, s.CPUs), max(0, s.GPUs), max(0, s.Mem)} }

// Scale returns s multiplied by factor.
func (s Size) Scale(factor float64) Size {
	return Size{s.CPUs * factor, s.GPUs * factor, s.Mem * factor}
}

// FitCount returns how many times s fits into total, at most 1<<20. It ignores resources of which s needs none.
func (s Size) FitCount(total Size) int {
	count := math.Inf(1)
	for _, amount := range [...]struct{ needed, total float64 }{
		{s.CPUs, total.CPUs},
		{s.GPUs, total.GPUs},
		{s.Mem, total.Mem},
	} {
		if amount.needed > 0 {
			count = math.Min(count, math.Floor(amount.total/amount.needed+fitCountTolerance))
		}
	}
	return int(math.Max(0, math.Min(count, maxFitCount)))
}

// largestShare returns the largest ratio, over all resources, of the amount in s to the amount in total. It ignores
// resources of which total has none.
func (s Size) largestShare(total Size) float64 {
	share := 0.0
	for _, amount := range [...]struct{ used, total float64 }{
		{s.CPUs, total.CPUs},
		{s.GPUs, total.GPUs},
		{s.Mem, total.Mem},
	} {
		if amount.total > 0 {
			share = math.Max(share, amount.used/amount.total)
		}
	}
	return share
}
