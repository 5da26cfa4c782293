package drain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
)

// MachinePrefix is where the drain requests of machines stand, each under a key of its own, from the cluster's level on
// at which every controller reads them. Before, they are part of the document.
const MachinePrefix = "h/o/machines/"

// plainName is a machine's name that can be part of a key as it is.
var plainName = regexp.MustCompile(`^[A-Za-z0-9._:/-]{1,100}$`)

// MachineKey is where the drain request of a machine stands. A name that doesn't fit a key is hashed: the record names
// the machine.
func MachineKey(machine string) string {
	if plainName.MatchString(machine) {
		return MachinePrefix + machine
	}
	sum := sha256.Sum256([]byte(machine))
	return MachinePrefix + "%" + hex.EncodeToString(sum[:])
}

// MachineRecord is the record of one machine that is to be drained.
type MachineRecord struct {
	Format  int    `json:"v,omitempty"`
	Machine string `json:"machine"`
	Request
}

// Stored is a drain request with the version of its key.
type Stored struct {
	Request
	Version uint64
}

// MachineRequests are the drain requests that have keys of their own, as far as they were followed. They belong to the event
// loop.
type MachineRequests struct {
	stored  map[string]Stored // by machine
	machine map[string]string // by key
	// dropped are the versions at which this controller's own writes deleted keys, until the followed keys show it.
	dropped map[string]uint64
}

// NewMachineRequests is without any request.
func NewMachineRequests() *MachineRequests {
	return &MachineRequests{stored: map[string]Stored{}, machine: map[string]string{}, dropped: map[string]uint64{}}
}

// HandleItem takes over a stored request. Older versions than one already seen are ignored.
func (d *MachineRequests) HandleItem(key string, raw json.RawMessage, version uint64) error {
	if version <= d.dropped[key] || version <= d.stored[d.machine[key]].Version {
		return nil
	}
	var r MachineRecord
	err := json.Unmarshal(raw, &r)
	switch {
	case err != nil:
		return err
	case r.Format > 1:
		return fmt.Errorf("drain request in format %d", r.Format)
	case MachineKey(r.Machine) != key:
		return fmt.Errorf("the drain request names machine %q", r.Machine)
	}
	d.machine[key], d.stored[r.Machine] = r.Machine, Stored{r.Request, version}
	return nil
}

// HandleDelete takes over that the followed keys show a key as deleted.
func (d *MachineRequests) HandleDelete(key string, version uint64) {
	if version >= d.dropped[key] {
		delete(d.dropped, key)
	}
	d.forget(key, version)
}

// ConfirmDelete takes over that an own write has deleted a key, before the followed keys show it.
func (d *MachineRequests) ConfirmDelete(key string, version uint64) {
	d.dropped[key] = version
	d.forget(key, version)
}

func (d *MachineRequests) forget(key string, version uint64) {
	machine, ok := d.machine[key]
	if !ok || version <= d.stored[machine].Version {
		return
	}
	delete(d.machine, key)
	delete(d.stored, machine)
}

// Reset takes a new reading of all keys, as of a revision: requests that it lacks were deleted.
func (d *MachineRequests) Reset(revision uint64, present func(key string) bool) {
	for key, machine := range d.machine {
		if !present(key) && d.stored[machine].Version <= revision {
			delete(d.machine, key)
			delete(d.stored, machine)
		}
	}
	maps.DeleteFunc(d.dropped, func(_ string, version uint64) bool { return version <= revision })
}

// Of finds a machine's request; the zero value: there is none.
func (d *MachineRequests) Of(machine string) (Stored, bool) {
	s, ok := d.stored[machine]
	return s, ok
}

// All are the machines that have a request, by name.
func (d *MachineRequests) All() []string { return slices.Sorted(maps.Keys(d.stored)) }

// DesiredState is all that operators want: the document, and the drain requests that have keys of their own.
type DesiredState struct {
	Document Document
	Drains   *MachineRequests
	// OwnKeys tells that machines' requests are written to keys of their own: the cluster's level allows it.
	OwnKeys bool
}

// Machine finds the drain request of a machine, wherever it stands.
func (d DesiredState) Machine(name string) (Request, bool) {
	if s, ok := d.Drains.Of(name); ok {
		return s.Request, true
	}
	m, ok := d.Document.Machines[name]
	return m, ok
}

// AnyMachine tells whether any machine is to be drained.
func (d DesiredState) AnyMachine() bool {
	return len(d.Document.Machines) > 0 || len(d.Drains.stored) > 0
}

// Machines are all machines that are to be drained, with their requests.
func (d DesiredState) Machines() map[string]Request {
	all := make(map[string]Request, len(d.Drains.stored)+len(d.Document.Machines))
	maps.Copy(all, d.Document.Machines)
	for name, s := range d.Drains.stored {
		all[name] = s.Request
	}
	return all
}

// Change is what a command makes of what is stored. Its writes belong into one transaction.
type Change struct {
	// Document is to be written, on the condition of its version.
	Document Document
	// Machine is on whose request's key it depends as well, by the key's version, whether or not that key changes: a
	// request may have moved there meanwhile. "": on none.
	Machine string
	Version uint64
	// Put is the request's new value, if it changes; Delete has its key deleted.
	Put    json.RawMessage
	Delete bool
}

// Apply is what a command changes. Where machines' requests have keys of their own, a command about a machine takes its
// request out of the document, and the document sheds whatever has a key already.
func (d DesiredState) Apply(c Command, k Cluster) (Change, error) {
	if !d.OwnKeys {
		return d.applyToDocument(c, k)
	}
	one := d.Document // with what it takes to judge this command
	one.Machines = map[string]Request{}
	if m, ok := d.Machine(c.Name); ok {
		one.Machines[c.Name] = m
	}
	next, err := one.apply(c, k, 0)
	if err != nil {
		return Change{}, err
	}
	out := Change{Document: next}
	out.Document.Machines = d.unmoved()
	if c.Kind != "machine" {
		return out, nil
	}
	delete(out.Document.Machines, c.Name)
	mark, drained := next.Machines[c.Name]
	stored, has := d.Drains.Of(c.Name)
	out.Machine, out.Version, out.Delete = c.Name, stored.Version, has && !drained
	if drained && (!has || stored.Request != mark) {
		out.Put, err = json.Marshal(MachineRecord{Machine: c.Name, Request: mark})
	}
	return out, err
}

// applyToDocument is what a command changes while a controller may be there that knows the document only. Requests that
// have keys already are left alone: the level never falls, so there are none.
func (d DesiredState) applyToDocument(c Command, k Cluster) (Change, error) {
	next, err := d.Document.Apply(c, k)
	return Change{Document: next}, err
}

// unmoved are the document's requests that have no keys of their own yet.
func (d DesiredState) unmoved() map[string]Request {
	out := map[string]Request{}
	for name, m := range d.Document.Machines {
		if _, ok := d.Drains.Of(name); !ok {
			out[name] = m
		}
	}
	return out
}

// Move is a step that takes requests out of the document: first they get keys, a few in each step, and once all have
// one the document is written without them. So no step is large, whatever the state service takes at a time.
type Move struct {
	Keys map[string]json.RawMessage // to be made, by key
	// Document is to be written if there are no keys to be made.
	Document Document
}

// NextMove is the next step, with at most so many keys, each of at most so many bytes; false: nothing is to be done, or
// nothing can be now. Machines that are gone lose their requests.
func (d DesiredState) NextMove(keys, bytes int, gone func(machine string) bool) (Move, bool) {
	if !d.OwnKeys || len(d.Document.Machines) == 0 {
		return Move{}, false
	}
	m := Move{Keys: map[string]json.RawMessage{}}
	waiting := false
	for _, name := range slices.Sorted(maps.Keys(d.unmoved())) {
		if gone(name) {
			continue
		}
		raw, _ := json.Marshal(MachineRecord{Machine: name, Request: d.Document.Machines[name]})
		if len(raw) > bytes || len(m.Keys) == keys {
			waiting = true
			continue
		}
		m.Keys[MachineKey(name)] = raw
	}
	m.Document = Document{Nodes: d.Document.Nodes, Last: d.Document.Last}
	return m, len(m.Keys) > 0 || !waiting
}

// Gone are at most so many machines whose requests' keys are to be deleted.
func (d DesiredState) Gone(most int, gone func(machine string) bool) (names []string) {
	for _, name := range d.Drains.All() {
		if len(names) < most && gone(name) {
			names = append(names, name)
		}
	}
	return names
}
