package planner

import "math"

const (
	// fitSlack forgives rounding of decimal amounts, in cores, accelerators or gigabytes.
	fitSlack = 1e-6
	// copiesSlack forgives rounding of the quotient of two amounts.
	copiesSlack = 1e-6
	// maxCopies is the highest result of Copies.
	maxCopies = 1 << 20
)

// Size is an amount of resources: what a task needs, or what a machine has.
type Size struct {
	CPUs float64 // cores
	GPUs float64 // accelerators
	Mem  float64 // gigabytes
}

// Fits reports whether s fits into free.
func (s Size) Fits(free Size) bool {
	return s.CPUs <= free.CPUs+fitSlack && s.GPUs <= free.GPUs+fitSlack && s.Mem <= free.Mem+fitSlack
}

// Sub returns s without other. Amounts may become negative.
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

// Scale returns s multiplied by factor.
func (s Size) Scale(factor float64) Size {
	return Size{s.CPUs * factor, s.GPUs * factor, s.Mem * factor}
}

// Copies returns how many of s fit side by side into total, at most 1<<20. Resources of which s needs none don't
// count.
func (s Size) Copies(total Size) int {
	copies := math.Inf(1)
	for _, amount := range [...]struct{ needed, total float64 }{
		{s.CPUs, total.CPUs},
		{s.GPUs, total.GPUs},
		{s.Mem, total.Mem},
	} {
		if amount.needed > 0 {
			copies = math.Min(copies, math.Floor(amount.total/amount.needed+copiesSlack))
		}
	}
	return int(math.Max(0, math.Min(copies, maxCopies)))
}

// largestShare returns the highest share that s has of any resource of total.
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
