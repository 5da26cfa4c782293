package state

import (
	"encoding/json"

	"github.com/harewalk/harewalk/internal/store"
)

// TxnPath is the path of requests that carry a transaction.
const TxnPath = "/txn"

// Message bodies of the protocol. They are defined independently of the client's types, so that a test of the client
// against this package shows that both follow the protocol. The fields of an answer are in alphabetical order of their
// tags; the fields of a list element are in the order of its type in package store.
type (
	grantRequest struct {
		TTLMS int64 `json:"ttl_ms"`
	}

	grantResponse struct {
		ID uint64 `json:"tether"`
	}

	conditionMessage struct {
		Key     string `json:"k"`
		Version uint64 `json:"stamp"`
	}

	opMessage struct {
		Put    string          `json:"set"`
		Value  json.RawMessage `json:"data"`
		Lease  uint64          `json:"tether"`
		Delete string          `json:"drop"`
	}

	txnRequest struct {
		If   []conditionMessage `json:"if"`
		Then []opMessage        `json:"apply"`
	}

	txnResponse struct {
		Revision uint64 `json:"epoch"`
	}

	txnConflict struct {
		Revision uint64   `json:"epoch"`
		Failed   []string `json:"failed"`
	}

	itemMessage struct {
		Key     string          `json:"k"`
		Value   json.RawMessage `json:"data"`
		Version uint64          `json:"stamp"`
		Lease   uint64          `json:"tether"`
	}

	listResponse struct {
		Revision uint64        `json:"epoch"`
		More     bool          `json:"has_next"`
		Items    []itemMessage `json:"pairs"`
	}

	eventMessage struct {
		Put     string          `json:"set"`
		Value   json.RawMessage `json:"data"`
		Version uint64          `json:"stamp"`
		Delete  string          `json:"drop"`
	}

	// WatchResponse is the body of the answer to a watch.
	WatchResponse struct {
		Revision uint64         `json:"epoch"`
		Events   []eventMessage `json:"events"`
	}

	errorResponse struct {
		Error string `json:"error"`
	}
)

// DecodeTxn decodes the body of a transaction request. It returns an error of package json together with the part that
// was decoded before the error.
func DecodeTxn(body []byte) (store.Txn, error) {
	var request txnRequest
	err := json.Unmarshal(body, &request)
	var txn store.Txn
	for _, condition := range request.If {
		txn.If = append(txn.If, store.Condition(condition))
	}
	for _, op := range request.Then {
		txn.Then = append(txn.Then, store.Op(op))
	}
	return txn, err
}

// NewWatchResponse returns the answer to a watch: the changes and the revision up to which the changes are complete.
func NewWatchResponse(revision uint64, events []store.Event) WatchResponse {
	messages := make([]eventMessage, 0, len(events))
	for _, event := range events {
		messages = append(messages, eventMessage(event))
	}
	return WatchResponse{Revision: revision, Events: messages}
}
