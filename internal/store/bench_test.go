package store_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/store"
)

// fixedResponse answers every request at once with the same response.
type fixedResponse struct{ response httpio.Response }

func (f fixedResponse) Send(_ string, _ httpio.Request, done func(httpio.Response)) { done(f.response) }

// newBenchClient returns a client that gets body as the response to every request. No benchmark exhausts its budget.
func newBenchClient(body []byte) *store.Client {
	now := time.Duration(0)
	return newClient(fixedResponse{httpio.Response{Status: 200, Body: body}}, &now, 1e12)
}

// BenchmarkTxn sends a transaction with 24 conditions and 24 operations that write values.
func BenchmarkTxn(b *testing.B) {
	client := newBenchClient([]byte(`{"epoch":7}`))
	value := json.RawMessage(`{"stance":"pending","note":"` + string(bytes.Repeat([]byte("x"), 200)) + `"}`)
	txn := store.Txn{}
	for i := range 24 {
		key := fmt.Sprintf("h/j/req-%06d", i)
		txn.If = append(txn.If, store.Condition{Key: key, Version: uint64(i)})
		txn.Then = append(txn.Then, store.Op{Put: key, Value: value})
	}
	b.ReportAllocs()
	for b.Loop() {
		client.Txn(txn, store.CriticalPriority, func(store.Result) {})
	}
}

// BenchmarkList reads one page of 1,000 keys.
func BenchmarkList(b *testing.B) {
	pairs := joinNumbered(1000, `{"k":"h/j/%06d","data":{"stance":"pending"},"stamp":7,"tether":0}`)
	client := newBenchClient(fmt.Appendf(nil, `{"epoch":7,"has_next":false,"pairs":[%s]}`, pairs))
	b.ReportAllocs()
	for b.Loop() {
		client.List("h/", func([]store.Item, uint64, error) {})
	}
}

// BenchmarkWatch receives 100 changes in one response.
func BenchmarkWatch(b *testing.B) {
	events := joinNumbered(100, `{"set":"h/j/%06d","data":{"stance":"pending"},"stamp":7,"drop":""}`)
	client := newBenchClient(fmt.Appendf(nil, `{"epoch":7,"events":[%s]}`, events))
	b.ReportAllocs()
	for b.Loop() {
		client.Watch("h/", 1, time.Second, func(uint64, []store.Event, error) {})
	}
}

// joinNumbered returns a comma-separated list of n elements. format is applied to each element's index.
func joinNumbered(n int, format string) []byte {
	elements := make([][]byte, n)
	for i := range elements {
		elements[i] = fmt.Appendf(nil, format, i)
	}
	return bytes.Join(elements, []byte(","))
}
