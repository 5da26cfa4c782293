package drain

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// fleetSize is a fleet all of whose machines may be drained at once.
const fleetSize = 4000

// stored is a plain state service for drain requests: the document and the keys with their versions.
type stored struct {
	revision uint64
	document Document
	version  uint64 // of the document
	keys     map[string]uint64
	want     DesiredState
}

func newStored() *stored {
	return &stored{keys: map[string]uint64{}, want: DesiredState{Drains: NewMachineRequests()}}
}

// write carries out a transaction on the document's version and that of one key, and tells whether it did.
func (s *stored) write(documentVersion uint64, document *Document, puts map[string]json.RawMessage,
	deletes, conds map[string]uint64,
) bool {
	for key, version := range conds {
		if s.keys[key] != version {
			return false
		}
	}
	if documentVersion != s.version {
		return false
	}
	s.revision++
	if document != nil {
		s.document, s.version = *document, s.revision
		s.want.Document = *document
	}
	for key, raw := range puts {
		s.keys[key] = s.revision
		if err := s.want.Drains.HandleItem(key, raw, s.revision); err != nil {
			panic(err)
		}
	}
	for key := range deletes {
		delete(s.keys, key)
		s.want.Drains.HandleDelete(key, s.revision)
	}
	return true
}

// change carries out what a command changes.
func (s *stored) change(documentVersion uint64, ch Change) bool {
	if ch.Machine == "" {
		return s.write(documentVersion, &ch.Document, nil, nil, nil)
	}
	key := MachineKey(ch.Machine)
	puts, deletes := map[string]json.RawMessage{}, map[string]uint64{}
	if ch.Put != nil {
		puts[key] = ch.Put
	}
	if ch.Delete {
		deletes[key] = ch.Version
	}
	return s.write(documentVersion, &ch.Document, puts, deletes, map[string]uint64{key: ch.Version})
}

// move carries out a step that moves requests.
func (s *stored) move(documentVersion uint64, m Move) bool {
	if len(m.Keys) == 0 {
		return s.write(documentVersion, &m.Document, nil, nil, nil)
	}
	conds := map[string]uint64{}
	for key := range m.Keys {
		conds[key] = 0
	}
	return s.write(documentVersion, nil, m.Keys, nil, conds)
}

// All machines of a large fleet can be drained at once; the document doesn't grow with them, and each request is small.
func TestALargeFleetIsDrained(t *testing.T) {
	s := newStored()
	s.want.OwnKeys = true
	k := Cluster{Machine: func(string) bool { return true }}
	for i := range fleetSize {
		ch, err := s.want.Apply(Command{Op: "drain", Kind: "machine", Name: fmt.Sprintf("i-%06d", i), By: "kana"}, k)
		if err != nil {
			t.Fatalf("machine %d: %v", i, err)
		}
		raw, _ := json.Marshal(ch.Document)
		if len(raw) > 200 || len(ch.Put) > 200 {
			t.Fatalf("machine %d: a document of %d bytes, a request of %d", i, len(raw), len(ch.Put))
		}
		if !s.change(s.version, ch) {
			t.Fatal("not written")
		}
	}
	if n := len(s.want.Machines()); n != fleetSize {
		t.Fatalf("%d are drained", n)
	}
}

// Below the level the document's bound stands, and the refusal says until when.
func TestBoundUntilTheRolloutIsFinished(t *testing.T) {
	s := newStored()
	k := Cluster{Machine: func(string) bool { return true }}
	for i := range maxMachines + 1 {
		ch, err := s.want.Apply(Command{Op: "drain", Kind: "machine", Name: fmt.Sprintf("i-%06d", i), By: "kana"}, k)
		if i < maxMachines {
			if err != nil || ch.Machine != "" || !s.change(s.version, ch) {
				t.Fatalf("machine %d: %v, key of %q", i, err, ch.Machine)
			}
			continue
		}
		if !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), "until the rollout is finished") {
			t.Fatal(err)
		}
	}
}

// Commands, the level's rise, steps that move requests, sweeps and their late copies, in any order: what is drained is
// what a plain list of the commands says, and in the end nothing of a machine stands in the document.
func TestDrainRequestsMove(t *testing.T) {
	names := []string{"i-1", "i-2", "i-3", "i 4", "i-\u00e9", "gone-1", "gone-2"}
	gone := func(machine string) bool { return strings.HasPrefix(machine, "gone-") }
	moved, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newStored()
		model := map[string]bool{} // by machine: stopped
		// Transactions without an answer, which may land at any time; each depends on the level too.
		late := map[bool][]func() bool{}
		k := Cluster{Machine: func(string) bool { return true }}
		check := func() {
			got := map[string]bool{}
			for name, m := range s.want.Machines() {
				if !gone(name) {
					got[name] = m.Stop
				}
			}
			want := maps.Clone(model)
			maps.DeleteFunc(want, func(name string, _ bool) bool { return gone(name) })
			if !maps.Equal(got, want) {
				t.Fatalf("drained are %v, by the commands %v", got, want)
			}
		}
		step := func() {
			m, due := s.want.NextMove(rapid.IntRange(1, 4).Draw(t, "keys"), 200, gone)
			if !due {
				return
			}
			at := s.version
			late[true] = append(late[true], func() bool { return s.move(at, m) })
			if rapid.Bool().Draw(t, "carried out") && s.move(at, m) {
				moved++
			}
		}
		s.document.Machines = map[string]Request{}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "at first") {
			s.document.Machines[name], model[name] = Request{By: "kana"}, false
		}
		s.want.Document = s.document
		rise := rapid.IntRange(0, 30).Draw(t, "rise")
		for i := range rapid.IntRange(20, 80).Draw(t, "steps") {
			s.want.OwnKeys = i >= rise
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 5:
				c := Command{
					Op: rapid.SampledFrom([]string{"drain", "undrain"}).Draw(t, "op"), Kind: "machine", By: "kana",
					Name: rapid.SampledFrom(names).Draw(t, "name"), Stop: rapid.Bool().Draw(t, "stop"),
				}
				ch, err := s.want.Apply(c, k)
				if err != nil {
					t.Fatal(err)
				}
				at := s.version
				apply := func() bool {
					if !s.change(at, ch) {
						refused++
						return false
					}
					if c.Op == "drain" {
						model[c.Name] = c.Stop
					} else {
						delete(model, c.Name)
					}
					return true
				}
				late[s.want.OwnKeys] = append(late[s.want.OwnKeys], apply)
				if rapid.Bool().Draw(t, "carried out") && !apply() {
					t.Fatal("a command was refused, and nothing was changed meanwhile")
				}
			case 2:
				step()
			case 3:
				for _, name := range s.want.Gone(2, gone) {
					st, _ := s.want.Drains.Of(name)
					key := MachineKey(name)
					s.write(s.version, nil, nil, map[string]uint64{key: 0}, map[string]uint64{key: st.Version})
				}
			case 4, 6:
				if those := late[s.want.OwnKeys]; len(those) > 0 {
					rapid.SampledFrom(those).Draw(t, "late")()
				}
			}
			check()
		}
		s.want.OwnKeys = true
		for range 20 {
			if m, due := s.want.NextMove(4, 200, gone); due && !s.move(s.version, m) {
				t.Fatal("a step was refused")
			}
		}
		if check(); len(s.want.Document.Machines) > 0 {
			t.Fatalf("left in the document: %v", s.want.Document.Machines)
		}
	})
	if moved < 50 || refused < 50 {
		t.Fatalf("%d steps moved, %d late ones refused: the model does not exercise the code", moved, refused)
	}
}

// A request that can't be read is an error and changes nothing; older versions are ignored, whoever brings them.
func TestDrainRequestsAreRead(t *testing.T) {
	d := NewMachineRequests()
	key := MachineKey("i-1")
	put := func(raw string, version uint64) error { return d.HandleItem(key, json.RawMessage(raw), version) }
	if err := put(`{"machine":"i-1","by":"kana","at_ms":5}`, 10); err != nil {
		t.Fatal(err)
	}
	for _, raw := range []string{`[]`, `{"v":2,"machine":"i-1"}`, `{"machine":"i-2"}`} {
		if put(raw, 20) == nil {
			t.Errorf("%s was read", raw)
		}
	}
	d.ConfirmDelete(key, 30) // by an own write; the followed keys are behind
	if err := put(`{"machine":"i-1"}`, 20); err != nil || len(d.All()) > 0 {
		t.Fatalf("an older version came back: %v, %v", d.All(), err)
	}
	d.HandleDelete(key, 30)
	if len(d.dropped) > 0 {
		t.Fatalf("%v is kept", d.dropped)
	}
	_ = put(`{"machine":"i-1"}`, 40)
	d.Reset(35, func(string) bool { return false }) // a reading that began before
	if !slices.Equal(d.All(), []string{"i-1"}) {
		t.Fatal("a newer request was forgotten")
	}
	d.Reset(45, func(string) bool { return false })
	if len(d.All()) > 0 {
		t.Fatal("what a new reading lacks is kept")
	}
}

// Every name that a cloud may give fits a key of the state service: at most 200 bytes, without spaces.
func TestEveryNameFitsAKey(t *testing.T) {
	long := []string{strings.Repeat("\u00e9", 50), strings.Repeat("x", 100), strings.Repeat("y", 300)}
	for _, name := range append(long, "i-000231", "a b", "%41", "\n") {
		key := MachineKey(name)
		if len(key) > 200 || strings.ContainsAny(key, " \n") || !strings.HasPrefix(key, MachinePrefix) {
			t.Errorf("%q stands at %q", name, key)
		}
	}
}
