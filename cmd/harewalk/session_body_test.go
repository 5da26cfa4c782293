package main

import (
	"encoding/json"
	"errors"
	"testing"
)

// The body that opens a session has all fields of the job, in canonical JSON, and the added fields, which replace the
// job's fields of the same name.
func TestSessionBodyKeepsJobFields(t *testing.T) {
	const job = `{"hops": 1.0, "user": "mallory", "new": {"b": [1e3, null], "a": "<"}, "dusk_s": null}`
	opened := openedSession{Token: "user's token", AgentToken: "agent's token"}
	body, err := newSessionBody([]byte(job), "kana", opened)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(body)
	const want = `{"agent_sha256":"c78f476b13fae5e7d43f78b2c5c4a3b54fae571c05b9d46abdc1887bf0c67461",` +
		`"dusk_s":null,"hops":1,"new":{"a":"\u003c","b":[1000,null]},` +
		`"token_sha256":"4f3869051b4bd01234e4a6f6d5aec89485a63ddebee4c6a3f1ec1ffa0a97f748","user":"kana"}`
	if err != nil || string(raw) != want {
		t.Errorf("got body %s, error %v", raw, err)
	}
}

// A job that is not a JSON object is refused.
func TestSessionBodyRefusesNonObjects(t *testing.T) {
	for _, job := range []string{"", "7", "[]", `"x"`, "{"} {
		if _, err := newSessionBody([]byte(job), "kana", openedSession{}); err == nil {
			t.Errorf("job %q: got no error, want one", job)
		}
	}
	if _, err := newSessionBody([]byte("null"), "kana", openedSession{}); !errors.Is(err, errNullJob) {
		t.Errorf("job null: got error %v, want errNullJob", err)
	}
}
