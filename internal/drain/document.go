package drain

import (
	"encoding/json"
	"maps"

	"github.com/harewalk/harewalk/internal/rollout"
)

// DocumentKey is where the document is stored.
const DocumentKey = "h/o/wishes"

// documentName is the document in errors, which operators read.
const documentName = "wishes"

// maxMachines bounds how many machines may be drained at once while their requests are part of the document, which
// has to fit a value: until every controller reads those with keys of their own.
const maxMachines = 60

// Document is the stored document: the drain requests by name. In the zero value there are none. A Document's maps
// are not changed once it is made.
type Document struct {
	Format int                `json:"v,omitempty"` // 0 means 1
	Nodes  map[string]Request `json:"nodes,omitempty"`
	// Machines are the requests that have no keys of their own.
	Machines map[string]Request `json:"machines,omitempty"`
	// Last is the last change and who made it, for operators.
	Last string `json:"last,omitempty"`
}

// ParseDocument decodes the stored document. The error is a *rollout.NewerFormatError, or that of the JSON.
func ParseDocument(raw json.RawMessage) (Document, error) {
	var document Document
	err := json.Unmarshal(raw, &document)
	if err == nil && document.Format > newestFormat {
		err = &rollout.NewerFormatError{Record: documentName, Format: document.Format}
	}
	return document, err
}

// clone returns a copy in today's format whose maps may be changed.
func (d Document) clone() Document {
	return Document{
		Nodes:    maps.Clone(d.Nodes),
		Machines: maps.Clone(d.Machines),
		Last:     d.Last,
	}
}

// requestsOf returns the requests of a kind.
func (d *Document) requestsOf(kind Kind) *map[string]Request {
	if kind == KindNode {
		return &d.Nodes
	}
	return &d.Machines
}

// WithoutMachines returns the document without the requests of machines that are gone, and whether there were any.
func (d Document) WithoutMachines(isGone func(machine string) bool) (Document, bool) {
	next := d.clone()
	maps.DeleteFunc(next.Machines, func(name string, _ Request) bool { return isGone(name) })
	return next, len(next.Machines) != len(d.Machines)
}
