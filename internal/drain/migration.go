package drain

import (
	"encoding/json"
	"maps"
	"slices"
)

// MigrationStep is a step that moves requests out of the document. First they get keys, a few in each step; once all
// have one the document is written without them. So no step is large, whatever the state service's limits are.
type MigrationStep struct {
	Keys map[string]json.RawMessage // to be written on the condition that they are absent
	// Document is to be written if there are no keys to be written.
	Document Document
}

// NextMigrationStep returns the next step, with at most maxKeys keys, each of at most maxBytes; false if nothing is
// to be done, or nothing can be done within these limits. Machines that are gone lose their requests.
func (s DesiredState) NextMigrationStep(
	maxKeys, maxBytes int,
	isGone func(machine string) bool,
) (MigrationStep, bool) {
	if !s.UsesMachineKeys || len(s.Document.Machines) == 0 {
		return MigrationStep{}, false
	}
	step := MigrationStep{
		Keys:     map[string]json.RawMessage{},
		Document: Document{Nodes: s.Document.Nodes, Last: s.Document.Last},
	}
	isIncomplete := false
	for _, name := range slices.Sorted(maps.Keys(s.requestsWithoutKey())) {
		if isGone(name) {
			continue
		}
		raw, _ := json.Marshal(MachineRecord{Machine: name, Request: s.Document.Machines[name]})
		if len(raw) > maxBytes || len(step.Keys) == maxKeys {
			isIncomplete = true
			continue
		}
		step.Keys[MachineKey(name)] = raw
	}
	return step, len(step.Keys) > 0 || !isIncomplete
}
