package drain

import (
	"encoding/json"
	"maps"
	"slices"
)

// MigrationStep is a step that moves machines' requests out of the document. The first steps write a limited number of
// keys each. Once all requests have keys, the last step writes the document without them. So each step fits the limits
// of the state service.
type MigrationStep struct {
	Keys map[string]json.RawMessage // values to be written, by key, on condition that the keys are absent
	// Document is the new document, to be written if Keys is empty.
	Document Document
}

// NextMigrationStep returns the next step, with at most maxKeys keys whose values have at most maxBytes each. It
// returns false if no request is left to move, or if none can be moved within these limits. Requests of machines that
// no longer exist are dropped.
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
