package lab

import (
	"errors"
	"strconv"
)

// ErrDuplicate is wrapped by the errors for two loads, configurations or steps of one name.
var ErrDuplicate = errors.New("there are two")

var (
	errUnknownTeam         = errors.New("there is no team")
	errUnknownDistribution = errors.New("no distribution")
	errTooManyArrivals     = errors.New("more than " + strconv.Itoa(maxArrivals) + " jobs arrive")
)

// DistributionError is a distribution with a parameter that is missing or wrong.
type DistributionError struct {
	Kind  string
	Needs string // what the kind's parameters have to be
}

// Error names the kind of distribution, and what it needs.
func (e *DistributionError) Error() string { return e.Kind + " needs " + e.Needs }
