package drain

import (
	"encoding/json"
	"maps"
)

// DesiredState is the whole desired state: the document and the requests that are stored under keys of their own.
type DesiredState struct {
	Document        Document
	MachineRequests *MachineRequests
	// UsesMachineKeys is whether machines' requests are written to keys of their own: the cluster's level is at least
	// rollout.DrainKeys.
	UsesMachineKeys bool
}

// Machine returns the drain request of a machine, from its own key or the document, and whether there is one.
func (s DesiredState) Machine(name string) (Request, bool) {
	if request, ok := s.MachineRequests.Get(name); ok {
		return request.Request, true
	}
	request, ok := s.Document.Machines[name]
	return request, ok
}

// AnyMachine reports whether any machine has a drain request.
func (s DesiredState) AnyMachine() bool {
	return len(s.Document.Machines) > 0 || len(s.MachineRequests.byMachine) > 0
}

// Machines returns the drain requests of all machines, by name.
func (s DesiredState) Machines() map[string]Request {
	all := make(map[string]Request, len(s.MachineRequests.byMachine)+len(s.Document.Machines))
	maps.Copy(all, s.Document.Machines)
	for name, request := range s.MachineRequests.byMachine {
		all[name] = request.Request
	}
	return all
}

// Change is the change of the stored state by a command. Its writes belong in one transaction.
type Change struct {
	// Document is the new document, to be written on condition of the version that the command was applied to.
	Document Document
	// Machine is the machine on whose key (MachineKey) the transaction depends as well, even if the key isn't written:
	// a migration step may have moved the request there. "": the transaction depends on no such key.
	Machine string
	Version uint64 // expected version of the key; 0: the key must be absent
	// Put is the new value of the key, nil if it isn't written. Delete is whether the key is to be deleted.
	Put    json.RawMessage
	Delete bool
}

// Apply returns the change that a command makes. If UsesMachineKeys is set, the new document doesn't contain the
// request of the command's machine or any request that already has a key of its own. The errors are those of
// Document.Apply.
func (s DesiredState) Apply(command Command, cluster Cluster) (Change, error) {
	if !s.UsesMachineKeys {
		return s.applyToDocument(command, cluster)
	}
	next, err := s.documentFor(command.Name).apply(command, cluster, unlimited)
	if err != nil {
		return Change{}, err
	}
	change := Change{Document: next}
	change.Document.Machines = s.requestsWithoutKey()
	if command.Kind != KindMachine {
		return change, nil
	}
	delete(change.Document.Machines, command.Name)
	request, isDrained := next.Machines[command.Name]
	stored, isStored := s.MachineRequests.Get(command.Name)
	change.Machine = command.Name
	change.Version = stored.Version
	change.Delete = isStored && !isDrained
	if isDrained && (!isStored || stored.Request != request) {
		change.Put, err = json.Marshal(MachineRecord{Machine: command.Name, Request: request})
	}
	return change, err
}

// applyToDocument returns the change that a command makes while some controllers may read only the document. No request
// has a key of its own then, because the level is never lowered.
func (s DesiredState) applyToDocument(command Command, cluster Cluster) (Change, error) {
	next, err := s.Document.Apply(command, cluster)
	return Change{Document: next}, err
}

// documentFor returns the document with the request of one machine, if it has one, as its only machine request. This is
// sufficient to apply a command about that machine.
func (s DesiredState) documentFor(machine string) Document {
	document := s.Document
	document.Machines = map[string]Request{}
	if request, ok := s.Machine(machine); ok {
		document.Machines[machine] = request
	}
	return document
}

// requestsWithoutKey returns the machines' requests in the document that have no keys of their own yet.
func (s DesiredState) requestsWithoutKey() map[string]Request {
	requests := map[string]Request{}
	for name, request := range s.Document.Machines {
		if _, ok := s.MachineRequests.Get(name); !ok {
			requests[name] = request
		}
	}
	return requests
}

// StaleRequests returns the machines that no longer exist and whose keys are to be deleted, at most limit of them.
func (s DesiredState) StaleRequests(limit int, isGone func(machine string) bool) []string {
	var names []string
	for _, name := range s.MachineRequests.Names() {
		if len(names) < limit && isGone(name) {
			names = append(names, name)
		}
	}
	return names
}
