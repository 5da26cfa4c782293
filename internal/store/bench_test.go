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

// fixedAnswer answers every request at once with one response.
type fixedAnswer struct{ response httpio.Response }

func (f fixedAnswer) Send(_ string, _ httpio.Request, done func(httpio.Response)) { done(f.response) }

// newBenchClient returns a client with a budget that no benchmark exhausts, whose requests are all answered by body.
func newBenchClient(body []byte) *store.Client {
	now := time.Duration(0)
	return newClient(fixedAnswer{httpio.Response{Status: 200, Body: body}}, &now, 1e12)
}

// BenchmarkTxn sends a transaction of ordinary size: some conditions and as many operations with values.
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
		client.Txn(txn, store.SafetyPriority, func(store.Result) {})
	}
}

// BenchmarkList reads a page of keys.
func BenchmarkList(b *testing.B) {
	pairs := joinNumbered(1000, `{"k":"h/j/%06d","data":{"stance":"pending"},"stamp":7,"tether":0}`)
	client := newBenchClient(fmt.Appendf(nil, `{"epoch":7,"has_next":false,"pairs":[%s]}`, pairs))
	b.ReportAllocs()
	for b.Loop() {
		client.List("h/", func([]store.Item, uint64, error) {})
	}
}

// BenchmarkWatch receives changes.
func BenchmarkWatch(b *testing.B) {
	events := joinNumbered(100, `{"set":"h/j/%06d","data":{"stance":"pending"},"stamp":7,"drop":""}`)
	client := newBenchClient(fmt.Appendf(nil, `{"epoch":7,"events":[%s]}`, events))
	b.ReportAllocs()
	for b.Loop() {
		client.Watch("h/", 1, time.Second, func(uint64, []store.Event, error) {})
	}
}

// joinNumbered returns a comma-separated list of n elements, each formatted with its number.
func joinNumbered(n int, format string) []byte {
	elements := make([][]byte, n)
	for i := range elements {
		elements[i] = fmt.Appendf(nil, format, i)
	}
	return bytes.Join(elements, []byte(","))
}
