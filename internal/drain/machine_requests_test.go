package drain

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// TestMachineRequestsAreRead checks that a request that can't be read is an error and changes nothing. It also checks
// that versions older than a request or its deletion are ignored.
func TestMachineRequestsAreRead(t *testing.T) {
	requests := NewMachineRequests()
	key := MachineKey("i-1")
	handle := func(raw string, version uint64) error {
		return requests.HandleItem(key, json.RawMessage(raw), version)
	}
	if err := handle(`{"machine":"i-1","by":"kana","at_ms":5}`, 10); err != nil {
		t.Fatal(err)
	}
	for _, raw := range []string{`[]`, `{"v":2,"machine":"i-1"}`, `{"machine":"i-2"}`} {
		if handle(raw, 20) == nil {
			t.Errorf("%s: got no error, want one", raw)
		}
	}
	requests.HandleOwnDelete(key, 30) // an own write deleted the key; the watched keys don't show it yet
	if err := handle(`{"machine":"i-1"}`, 20); err != nil || len(requests.Names()) > 0 {
		t.Fatalf("version older than the deletion: got requests of %v, error %v, want none", requests.Names(), err)
	}
	requests.HandleDelete(key, 30)
	if len(requests.deletedAt) > 0 {
		t.Fatalf("after the deletion was watched: got deletedAt %v, want it empty", requests.deletedAt)
	}
	if err := handle(`{"machine":"i-1"}`, 40); err != nil {
		t.Fatal(err)
	}
	nonePresent := func(string) bool { return false }
	requests.HandleReset(35, nonePresent) // a listing as of a revision before the request
	if !slices.Equal(requests.Names(), []string{"i-1"}) {
		t.Fatal("a listing older than the request deleted the request")
	}
	requests.HandleReset(45, nonePresent)
	if len(requests.Names()) > 0 {
		t.Fatal("a newer listing without the request did not delete the request")
	}
}

// TestMachineKeyIsValidForAnyName checks that every machine name that a cloud may use has a valid key in the state
// service: at most 200 bytes, without spaces.
func TestMachineKeyIsValidForAnyName(t *testing.T) {
	for _, name := range []string{
		strings.Repeat("\u00e9", 50),
		strings.Repeat("x", 100),
		strings.Repeat("y", 300),
		"i-000231",
		"a b",
		"%41",
		"\n",
	} {
		key := MachineKey(name)
		if len(key) > 200 || strings.ContainsAny(key, " \n") || !strings.HasPrefix(key, MachinePrefix) {
			t.Errorf("machine %q: got key %q, want at most 200 bytes without spaces after MachinePrefix", name, key)
		}
	}
}
