package store

import (
	"encoding/json"
	"testing"
)

// A transaction is encoded with the protocol's field names. Its conditions are a list even if there are none. It
// contains nothing of the transaction encoded before.
func TestTransactionsFollowTheProtocol(t *testing.T) {
	encoder := newTxnEncoder()
	for _, tc := range []struct {
		txn  Txn
		want string
	}{
		{
			Txn{
				If:   []Condition{{Key: "h/a"}, {Key: "h/b", Version: 7}},
				Then: []Op{{Put: "h/a", Value: json.RawMessage(`{"x":1}`), Lease: 9}, {Delete: "h/b"}},
			},
			`{"if":[{"k":"h/a","stamp":0},{"k":"h/b","stamp":7}],` +
				`"apply":[{"set":"h/a","data":{"x":1},"tether":9},{"drop":"h/b"}]}`,
		},
		{
			Txn{Then: []Op{{Put: "h/c", Value: json.RawMessage("1")}}},
			`{"if":[],"apply":[{"set":"h/c","data":1}]}`,
		},
		{Txn{}, `{"if":[]}`},
	} {
		if body, err := encoder.encode(tc.txn); err != nil || string(body) != tc.want {
			t.Errorf("got %s, error %v; want %s", body, err, tc.want)
		}
	}
}
