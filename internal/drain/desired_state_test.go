package drain

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// fleetSize is a fleet all of whose machines may be drained at once.
const fleetSize = 4000

// fakeStore is a plain state service for the desired state: the document and the machines' keys with their
// versions. It passes every change to the DesiredState at once.
type fakeStore struct {
	revision        uint64
	documentVersion uint64
	keys            map[string]uint64 // versions
	desired         DesiredState
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		keys:    map[string]uint64{},
		desired: DesiredState{MachineRequests: NewMachineRequests()},
	}
}

// fakeTxn is a transaction on the condition of the document's version and of those of some keys.
type fakeTxn struct {
	documentVersion uint64
	keyVersions     map[string]uint64
	document        *Document // nil: unchanged
	puts            map[string]json.RawMessage
	deletes         []string
}

// commit carries out a transaction; it reports whether the conditions held.
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

// changeTxn returns the transaction of a command, decided at a version of the document.
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

// All machines of a large fleet can be drained at once; the document doesn't grow with them, and each request is
// small.
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
			t.Fatalf("machine %d: a document of %d bytes, a request of %d", i, len(raw), len(change.Put))
		}
		if !s.commit(changeTxn(s.documentVersion, change)) {
			t.Fatal("not written")
		}
	}
	if n := len(s.desired.Machines()); n != fleetSize {
		t.Fatalf("%d are drained", n)
	}
}

// Below the cluster's level at which requests have keys the document's bound holds, and the refusal names the end
// of it.
func TestBoundUntilTheRolloutIsFinished(t *testing.T) {
	s := newFakeStore()
	for i := range maxMachines + 1 {
		change, err := s.desired.Apply(drainMachine(fmt.Sprintf("i-%06d", i)), anyMachine())
		if i < maxMachines {
			if err != nil || change.Machine != "" || !s.commit(changeTxn(s.documentVersion, change)) {
				t.Fatalf("machine %d: %v, key of %q", i, err, change.Machine)
			}
			continue
		}
		if !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), "until the rollout is finished") {
			t.Fatal(err)
		}
	}
}
