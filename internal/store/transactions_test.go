package store_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// The outcome of a transaction follows from its answer alone.
func TestOutcomeFollowsFromTheAnswer(t *testing.T) {
	now := time.Duration(0)
	service := &simulatedService{service: state.New()}
	client := newClient(service, &now, 1000)
	cases := []struct {
		name  string
		setUp func()
		key   string
		lease uint64
		want  store.Outcome
	}{
		{name: "a new key", key: "a", want: store.Committed},
		{name: "the same again", key: "a", want: store.Conflict},
		{name: "an expired lease", key: "b", lease: 99, want: store.LeaseExpired},
		{name: "an outage", setUp: func() { service.service.Down = true }, key: "b", want: store.NotApplied},
		{
			name:  "no answer",
			setUp: func() { service.respond(httpio.Response{Err: httpio.ErrBusy}) },
			key:   "b",
			want:  store.Indeterminate,
		},
		{
			name:  "an unexpected status",
			setUp: func() { service.respond(httpio.Response{Status: 500}) },
			key:   "b",
			want:  store.Indeterminate,
		},
		{
			name:  "a request that was never sent",
			setUp: func() { service.respond(httpio.Response{Err: httpio.ErrBusy, Refused: true}) },
			key:   "b",
			want:  store.NotApplied,
		},
	}
	for _, tc := range cases {
		if tc.setUp != nil {
			tc.setUp()
		}
		txn := store.Txn{
			If:   []store.Condition{{Key: tc.key}},
			Then: []store.Op{{Put: tc.key, Value: json.RawMessage("1"), Lease: tc.lease}},
		}
		var result store.Result
		client.Txn(txn, store.SafetyPriority, func(r store.Result) { result = r })
		if result.Outcome != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, result.Outcome, tc.want)
		}
	}
}
