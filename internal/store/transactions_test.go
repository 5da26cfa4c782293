package store_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/simulator/state"
	"github.com/harewalk/harewalk/internal/store"
)

// The outcome of a transaction depends only on the response.
func TestTxnOutcomeForEachResponse(t *testing.T) {
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
		{name: "key does not exist", key: "a", want: store.Committed},
		{name: "key exists already", key: "a", want: store.Conflict},
		{name: "lease has expired", key: "b", lease: 99, want: store.LeaseExpired},
		{name: "outage", setUp: func() { service.service.Down = true }, key: "b", want: store.NotApplied},
		{
			name:  "request without a response",
			setUp: func() { service.respond(httpio.Response{Err: httpio.ErrBusy}) },
			key:   "b",
			want:  store.Indeterminate,
		},
		{
			name:  "unexpected status",
			setUp: func() { service.respond(httpio.Response{Status: 500}) },
			key:   "b",
			want:  store.Indeterminate,
		},
		{
			name:  "request not sent",
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
		client.Txn(txn, store.CriticalPriority, func(r store.Result) { result = r })
		if result.Outcome != tc.want {
			t.Errorf("%s: got outcome %v, want %v", tc.name, result.Outcome, tc.want)
		}
	}
}
