package drain

import (
	"encoding/json"
	"maps"
)

// DesiredState is all that operators want to be drained: the document, and the requests that have keys of their own.
type DesiredState struct {
	Document        Document
	MachineRequests *MachineRequests
	// UsesMachineKeys is whether machines' requests are written to keys of their own: the cluster's level allows it.
	UsesMachineKeys bool
}

// Machine returns the drain request of a machine, wherever it is stored, and whether there is one.
func (s DesiredState) Machine(name string) (Request, bool) {
	if request, ok := s.MachineRequests.Get(name); ok {
		return request.Request, true
	}
	request, ok := s.Document.Machines[name]
	return request, ok
}

// AnyMachine reports whether any machine is to be drained.
func (s DesiredState) AnyMachine() bool {
	return len(s.Document.Machines) > 0 || len(s.MachineRequests.byMachine) > 0
}

// Machines returns the requests of all machines that are to be drained, by name.
func (s DesiredState) Machines() map[string]Request {
	all := make(map[string]Request, len(s.MachineRequests.byMachine)+len(s.Document.Machines))
	maps.Copy(all, s.Document.Machines)
	for name, request := range s.MachineRequests.byMachine {
		all[name] = request.Request
	}
	return all
}

// Change is what a command changes of what is stored. Its writes belong into one transaction.
type Change struct {
	// Document is to be written, on the condition of its version.
	Document Document
	// Machine is whose request's key the change depends on as well, by the key's version, whether or not that key
	// changes: a request may have been moved there meanwhile. "": no machine's.
	Machine string
	Version uint64
	// Put is the request's new stored form if it changes; Delete is whether its key is to be deleted.
	Put    json.RawMessage
	Delete bool
}

// Apply returns what a command changes. Where machines' requests have keys of their own, a command about a machine
// takes its request out of the document, and the document loses all requests that have keys already. The errors are
// those of Document.Apply.
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

// applyToDocument returns what a command changes while there may be a controller that reads the document only.
// Requests that have keys are left alone: the level never falls, so there are none.
func (s DesiredState) applyToDocument(command Command, cluster Cluster) (Change, error) {
	next, err := s.Document.Apply(command, cluster)
	return Change{Document: next}, err
}

// documentFor returns the document with the request of one machine at most, wherever it is stored: all that it
// takes to check a command about that machine.
func (s DesiredState) documentFor(machine string) Document {
	document := s.Document
	document.Machines = map[string]Request{}
	if request, ok := s.Machine(machine); ok {
		document.Machines[machine] = request
	}
	return document
}

// requestsWithoutKey returns the document's requests that have no keys of their own yet.
func (s DesiredState) requestsWithoutKey() map[string]Request {
	out := map[string]Request{}
	for name, request := range s.Document.Machines {
		if _, ok := s.MachineRequests.Get(name); !ok {
			out[name] = request
		}
	}
	return out
}

// StaleRequests returns the machines that are gone and whose requests' keys are to be deleted, limit at most.
func (s DesiredState) StaleRequests(limit int, isGone func(machine string) bool) []string {
	var names []string
	for _, name := range s.MachineRequests.Names() {
		if len(names) < limit && isGone(name) {
			names = append(names, name)
		}
	}
	return names
}
