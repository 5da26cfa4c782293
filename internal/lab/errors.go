package lab

import (
	"errors"
	"strconv"
)

// ErrDuplicate is wrapped by the errors for two loads, two configurations or two steps with the same name.
var ErrDuplicate = errors.New("duplicate name")

var (
	errUnknownTeam         = errors.New("unknown team")
	errUnknownDistribution = errors.New("unknown distribution")
	errTooManyArrivals     = errors.New("the loads generate more than " + strconv.Itoa(maxArrivals) + " jobs")
)

// DistributionError reports a distribution with a parameter that is missing or out of range.
type DistributionError struct {
	Kind        string
	Requirement string // condition that the parameters of the kind must meet
}

// Error names the kind of the distribution and the condition that its parameters must meet.
func (e *DistributionError) Error() string { return e.Kind + " needs " + e.Requirement }
