package licences

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
)

// Answer is a licence server's answer to a query for a pool, in the format that docs/licences.md publishes.
type Answer struct {
	// Count is the total number of units that the server has; nil: not reported.
	Count   *int           `json:"count,omitempty"`
	Holders []AnswerHolder `json:"holders"`
}

// AnswerHolder is one holder in a server's answer. Task is the task's name for a holder of the cluster, and any other
// text for an outside holder. Attempt is 0 if the server doesn't report attempts.
type AnswerHolder struct {
	Task    string `json:"holder"`
	Attempt uint64 `json:"attempt"`
	Units   int    `json:"units"`
}

// Bounds of the values in an answer.
const (
	maxHolders     = 100_000
	maxHolderUnits = 1_000_000
)

var (
	errNoHolders   = errors.New(`licence server: the answer has no list "holders"`)
	errOutOfBounds = errors.New("licence server: the answer is out of bounds")
)

// holderUnitsError is the error for a holder whose units are out of bounds.
type holderUnitsError struct{ holder AnswerHolder }

// Error returns the message.
func (e *holderUnitsError) Error() string {
	return fmt.Sprintf("licence server: holder %q has %d units", e.holder.Task, e.holder.Units)
}

// Unwrap returns errOutOfBounds.
func (e *holderUnitsError) Unwrap() error { return errOutOfBounds }

// ParseAnswer decodes and checks a server's answer. It returns an error if the list of holders is missing.
func ParseAnswer(raw []byte) (Answer, error) {
	var answer Answer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return Answer{}, fmt.Errorf("licence server: %w", err)
	}
	if answer.Holders == nil {
		return Answer{}, errNoHolders
	}
	isNegative := answer.Count != nil && *answer.Count < 0
	if len(answer.Holders) > maxHolders || isNegative {
		return Answer{}, errOutOfBounds
	}
	for _, holder := range answer.Holders {
		if holder.Units < 0 || holder.Units > maxHolderUnits {
			return Answer{}, &holderUnitsError{holder: holder}
		}
	}
	return answer, nil
}
