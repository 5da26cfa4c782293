package drain

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// fleetSize is the number of machines in a large fleet.
const fleetSize = 4000

// fakeStore is a fake state service that contains the document's version and the versions of the machines' keys. It
// applies every committed change to the DesiredState at once.
type fakeStore struct {
	revision        uint64
	documentVersion uint64
	keys            map[string]uint64 // version by key
	desired         DesiredState
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		keys:    map[string]uint64{},
		desired: DesiredState{MachineRequests: NewMachineRequests()},
	}
}

// fakeTxn is a transaction whose conditions are the document's version and the versions of some keys.
type fakeTxn struct {
	documentVersion uint64            // expected
	keyVersions     map[string]uint64 // expected, by key; 0: absent
	document        *Document         // new document; nil: unchanged
	puts            map[string]json.RawMessage
	deletes         []string
}

// commit applies a transaction if its conditions hold, and reports whether they do.
func (s *fakeStore) commit(txn fakeTxn) bool {
	for key, version := range txn.keyVersions {
		if s.keys[key] != version {
			return false
		}
	}
	if txn.documentVersion != s.documentVersion {
		return false
	}
	s.revision++
	if txn.document != nil {
		s.documentVersion = s.revision
		s.desired.Document = *txn.document
	}
	for key, raw := range txn.puts {
		s.keys[key] = s.revision
		if err := s.desired.MachineRequests.HandleItem(key, raw, s.revision); err != nil {
			panic(err)
		}
	}
	for _, key := range txn.deletes {
		delete(s.keys, key)
		s.desired.MachineRequests.HandleDelete(key, s.revision)
	}
	return true
}

// changeTxn returns the transaction for a Change that was computed at a version of the document.
func changeTxn(documentVersion uint64, change Change) fakeTxn {
	txn := fakeTxn{documentVersion: documentVersion, document: &change.Document}
	if change.Machine == "" {
		return txn
	}
	key := MachineKey(change.Machine)
	txn.keyVersions = map[string]uint64{key: change.Version}
	if change.Put != nil {
		txn.puts = map[string]json.RawMessage{key: change.Put}
	}
	if change.Delete {
		txn.deletes = []string{key}
	}
	return txn
}

// TestLargeFleetIsDrained checks that all machines of a large fleet can be drained at once, that the document doesn't
// grow with their number, and that each request is small.
func TestLargeFleetIsDrained(t *testing.T) {
	s := newFakeStore()
	s.desired.UsesMachineKeys = true
	for i := range fleetSize {
		change, err := s.desired.Apply(drainMachine(fmt.Sprintf("i-%06d", i)), anyMachine())
		if err != nil {
			t.Fatalf("machine %d: %v", i, err)
		}
		raw, _ := json.Marshal(change.Document)
		if len(raw) > 200 || len(change.Put) > 200 {
			t.Fatalf("machine %d: got a document of %d bytes, a request of %d bytes, want at most 200 each",
				i, len(raw), len(change.Put))
		}
		if !s.commit(changeTxn(s.documentVersion, change)) {
			t.Fatal("the transaction of a drain command was not committed")
		}
	}
	if n := len(s.desired.Machines()); n != fleetSize {
		t.Fatalf("got %d drained machines, want fleetSize", n)
	}
}

// TestMachineLimitBeforeUpgrade checks that maxMachines applies while requests have no keys of their own, and that the
// error says when the limit ends.
func TestMachineLimitBeforeUpgrade(t *testing.T) {
	s := newFakeStore()
	for i := range maxMachines + 1 {
		change, err := s.desired.Apply(drainMachine(fmt.Sprintf("i-%06d", i)), anyMachine())
		if i < maxMachines {
			if err != nil || change.Machine != "" || !s.commit(changeTxn(s.documentVersion, change)) {
				t.Fatalf("machine %d: got error %v, key of %q, want a committed document only", i, err, change.Machine)
			}
			continue
		}
		if !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), "until the rollout is finished") {
			t.Fatal(err)
		}
	}
}
