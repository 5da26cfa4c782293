package controller

import (
	"encoding/json"
	"fmt"

	"github.com/harewalk/harewalk/internal/api"
)

// This file holds the code that operator commands share: decoding, and the responses to writes that failed.

const (
	// changedMeanwhile is the reason for the refusal of a command that was based on an older state.
	changedMeanwhile = "the state was changed meanwhile"
	repeatAdvice     = ": check the status, and repeat the command if it still applies"
)

// decodeCommand decodes the body of a command into the value that command points to. If the body is malformed,
// refused is true and refusal is the response.
func decodeCommand(body []byte, command any) (refusal api.Reply, refused bool) {
	if err := json.Unmarshal(body, command); err != nil {
		return api.Refuse(api.InvalidRequest, "not a command: "+err.Error()), true
	}
	return api.Reply{}, false
}

// refuseStaleCommand returns the response to a command that was based on an older state than the current one.
// changedBy describes the change that came between.
func refuseStaleCommand(changedBy string) api.Reply {
	return api.Refuse(api.Conflict, fmt.Sprintf("%s (%s)%s", changedMeanwhile, changedBy, repeatAdvice))
}

// refuseIndeterminateCommand returns the response to a command whose write has an indeterminate outcome.
func refuseIndeterminateCommand() api.Reply {
	return api.Refuse(
		api.Unavailable,
		"it is not known whether the command was applied: check the status before repeating it",
	)
}
