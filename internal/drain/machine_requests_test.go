package drain

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// A request that can't be read is an error and changes nothing; older versions are ignored, wherever they come from.
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
			t.Errorf("%s was read", raw)
		}
	}
	requests.ConfirmDelete(key, 30) // by an own write; the followed keys are behind
	if err := handle(`{"machine":"i-1"}`, 20); err != nil || len(requests.Names()) > 0 {
		t.Fatalf("an older version came back: %v, %v", requests.Names(), err)
	}
	requests.HandleDelete(key, 30)
	if len(requests.deletedAt) > 0 {
		t.Fatalf("%v is kept", requests.deletedAt)
	}
	if err := handle(`{"machine":"i-1"}`, 40); err != nil {
		t.Fatal(err)
	}
	nonePresent := func(string) bool { return false }
	requests.Reset(35, nonePresent) // a reading that began before
	if !slices.Equal(requests.Names(), []string{"i-1"}) {
		t.Fatal("a newer request was deleted")
	}
	requests.Reset(45, nonePresent)
	if len(requests.Names()) > 0 {
		t.Fatal("what a new reading lacks is kept")
	}
}

// Every name that a cloud may give fits a key of the state service: at most 200 bytes, without spaces.
func TestEveryNameFitsAKey(t *testing.T) {
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
			t.Errorf("%q is stored at %q", name, key)
		}
	}
}
