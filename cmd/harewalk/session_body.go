package main

import (
	"encoding/json"
	"errors"
	"maps"

	"github.com/harewalk/harewalk/internal/sessions"
)

// sessionBody is the body of a request that opens a session: the fields of the job's JSON object and those that the
// command adds. The job's fields are untyped, so that fields which this release of the client lacks are sent too.
type sessionBody struct {
	job   map[string]canonicalJSON
	added addedFields
}

// addedFields are the fields that the command adds to a job.
type addedFields struct {
	User        string `json:"user"`
	TokenDigest string `json:"token_sha256"`
	AgentDigest string `json:"agent_sha256"`
}

var errNullJob = errors.New("the value is null")

// newSessionBody returns the body that opens a session. It returns an error if the job is not a JSON object.
func newSessionBody(job []byte, userName string, opened openedSession) (*sessionBody, error) {
	body := &sessionBody{added: addedFields{
		User:        userName,
		TokenDigest: sessions.TokenDigest(opened.Token),
		AgentDigest: sessions.TokenDigest(opened.AgentToken),
	}}
	if err := json.Unmarshal(job, &body.job); err != nil {
		return nil, err
	}
	if body.job == nil {
		return nil, errNullJob
	}
	return body, nil
}

// MarshalJSON returns one object with the job's fields and the added ones. An added field replaces a job's field of the
// same name.
func (b *sessionBody) MarshalJSON() ([]byte, error) {
	added, err := json.Marshal(b.added)
	if err != nil {
		return nil, err
	}
	object := maps.Clone(b.job)
	if err := json.Unmarshal(added, &object); err != nil {
		return nil, err
	}
	return json.Marshal(object)
}

// canonicalJSON is a JSON value in the form that package json writes. A whole number such as 1.0 becomes 1, because the
// service refuses 1.0 for a count.
type canonicalJSON json.RawMessage

// UnmarshalJSON sets the value to the canonical form of the JSON.
func (c *canonicalJSON) UnmarshalJSON(raw []byte) error {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return err
	}
	canonical, err := json.Marshal(value)
	*c = canonical
	return err
}

// MarshalJSON returns the canonical form of the value.
func (c canonicalJSON) MarshalJSON() ([]byte, error) { return c, nil }
