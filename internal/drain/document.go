package drain

import (
	"encoding/json"
	"maps"

	"github.com/harewalk/harewalk/internal/rollout"
)

// DocumentKey is the key of the document.
const DocumentKey = "h/o/wishes"

// documentName is the name of the document in errors for operators.
const documentName = "wishes"

// maxMachines is the maximum number of machines' requests in the document, which has to fit into one value of the state
// service. The limit applies to commands below level rollout.DrainKeys.
const maxMachines = 60

// Document is the stored document: the drain requests, by name. The zero value has no requests. The maps of a Document
// must not be changed.
type Document struct {
	Format int                `json:"v,omitempty"`     // 0 means 1
	Nodes  map[string]Request `json:"nodes,omitempty"` // requests to drain controllers
	// Machines are the requests to drain machines, apart from requests that are stored under keys of their own.
	Machines map[string]Request `json:"machines,omitempty"`
	// Last describes the last change and names the operator who made it. It is shown to operators.
	Last string `json:"last,omitempty"`
}

// ParseDocument decodes the stored document. The error is a *rollout.NewerFormatError or a JSON error.
func ParseDocument(raw json.RawMessage) (Document, error) {
	var document Document
	err := json.Unmarshal(raw, &document)
	if err == nil && document.Format > newestFormat {
		err = &rollout.NewerFormatError{Record: documentName, Format: document.Format}
	}
	return document, err
}

// clone returns a copy in the present format whose maps may be changed.
func (d Document) clone() Document {
	return Document{
		Nodes:    maps.Clone(d.Nodes),
		Machines: maps.Clone(d.Machines),
		Last:     d.Last,
	}
}

// requestsOf returns the map of the requests of a kind.
func (d *Document) requestsOf(kind Kind) *map[string]Request {
	if kind == KindNode {
		return &d.Nodes
	}
	return &d.Machines
}

// WithoutMachines returns the document without the requests of machines that no longer exist, and whether the document
// had any such request.
func (d Document) WithoutMachines(isGone func(machine string) bool) (Document, bool) {
	next := d.clone()
	maps.DeleteFunc(next.Machines, func(name string, _ Request) bool { return isGone(name) })
	return next, len(next.Machines) != len(d.Machines)
}
