package controller

import (
	"encoding/json"
	"fmt"

	"github.com/harewalk/harewalk/internal/api"
)

// This file holds what the commands of operators have in common: their decoding and the refusals of a write.

const (
	// changedMeanwhile is why a command that was based on an older state is refused.
	changedMeanwhile = "something was changed meanwhile"
	repeatAdvice     = ": look at the status, and give the command again if it is still right"
)

// decodeCommand decodes the body of a command, or returns the refusal of a malformed one.
func decodeCommand(body []byte, command any) (refusal api.Reply, refused bool) {
	if err := json.Unmarshal(body, command); err != nil {
		return api.Refuse(api.InvalidRequest, "not a command: "+err.Error()), true
	}
	return api.Reply{}, false
}

// refuseStaleCommand returns the answer to a command that was based on an older state than the present.
func refuseStaleCommand(changedBy string) api.Reply {
	return api.Refuse(api.Conflict, fmt.Sprintf("%s (%s)%s", changedMeanwhile, changedBy, repeatAdvice))
}

// refuseIndeterminateCommand returns the answer to a command whose write has an indeterminate outcome.
func refuseIndeterminateCommand() api.Reply {
	return api.Refuse(
		api.Unavailable,
		"it is not known whether the command was taken: look at the status before giving it again",
	)
}
