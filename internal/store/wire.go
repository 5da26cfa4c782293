package store

import (
	"encoding/json"
	"slices"

	"github.com/harewalk/harewalk/internal/httpio"
)

// The bodies of the state service's protocol, with the field names of the protocol. They are converted here to or from
// the types that the rest of the program uses. conditionMessage, opMessage, itemMessage and eventMessage have the same
// fields in the same order as their types in types.go, so that Go can convert one to the other.
type (
	grantRequest struct {
		TTLMillis int64 `json:"ttl_ms"`
	}

	grantResponse struct {
		ID uint64 `json:"tether"`
	}

	conditionMessage struct {
		Key     string `json:"k"`
		Version uint64 `json:"stamp"`
	}

	opMessage struct {
		Put    string          `json:"set,omitempty"`
		Value  json.RawMessage `json:"data,omitempty"`
		Lease  uint64          `json:"tether,omitempty"`
		Delete string          `json:"drop,omitempty"`
	}

	txnRequest struct {
		If   []conditionMessage `json:"if"` // required by the protocol: [] if there are no conditions, never null
		Then []opMessage        `json:"apply,omitempty"`
	}

	txnResponse struct {
		Revision uint64   `json:"epoch"`
		Failed   []string `json:"failed"`
		Error    string   `json:"error"`
	}

	itemMessage struct {
		Key     string          `json:"k"`
		Value   json.RawMessage `json:"data"`
		Version uint64          `json:"stamp"`
		Lease   uint64          `json:"tether"`
	}

	listResponse struct {
		Items    []itemMessage `json:"pairs"`
		More     bool          `json:"has_next"`
		Revision uint64        `json:"epoch"`
	}

	eventMessage struct {
		Put     string          `json:"set"`
		Value   json.RawMessage `json:"data"`
		Version uint64          `json:"stamp"`
		Delete  string          `json:"drop"`
	}

	watchResponse struct {
		Revision uint64         `json:"epoch"`
		Events   []eventMessage `json:"events"`
	}
)

// txnEncoder encodes transactions. It reuses the slices of the last request, since a leader sends many transactions.
type txnEncoder struct{ request txnRequest }

func newTxnEncoder() txnEncoder {
	return txnEncoder{txnRequest{If: []conditionMessage{}}}
}

// encode returns the request body of a transaction.
func (e *txnEncoder) encode(txn Txn) ([]byte, error) {
	request := &e.request
	request.If = request.If[:0]
	for _, condition := range txn.If {
		request.If = append(request.If, conditionMessage(condition))
	}
	clear(request.Then) // releases the values of the previous transaction
	request.Then = request.Then[:0]
	for _, op := range txn.Then {
		request.Then = append(request.Then, opMessage(op))
	}
	return json.Marshal(request)
}

// decodeItem decodes the response to a read of one key.
func decodeItem(response httpio.Response) (Item, error) {
	var body itemMessage
	if err := decode(response, &body); err != nil {
		return Item{}, err
	}
	return Item(body), nil
}

// appendItems converts the items of a page and appends them to items.
func appendItems(items []Item, page []itemMessage) []Item {
	items = slices.Grow(items, len(page))
	for _, item := range page {
		items = append(items, Item(item))
	}
	return items
}

// decodeWatch decodes the response to a watch.
func decodeWatch(response httpio.Response) (revision uint64, events []Event, err error) {
	var body watchResponse
	if err := decode(response, &body); err != nil {
		return 0, nil, err
	}
	events = make([]Event, len(body.Events))
	for i, event := range body.Events {
		events[i] = Event(event)
	}
	return body.Revision, events, nil
}
