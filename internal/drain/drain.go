// Package drain keeps what operators want of a running cluster: which controllers and machines
// are to be drained. Every controller follows it. There is one durable document that each command
// writes by transaction, so that of two that conflict one wins and the other is told by whom and
// what; machines' drain requests have keys of their own beside it (drains.go).
// The package decides what a command makes of the document; it neither writes it nor acts on it.
package drain

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// DocumentKey is where the document stands.
const DocumentKey = "h/o/wishes"

// Request says who wanted something, and since when.
type Request struct {
	By   string `json:"by,omitempty"`
	AtMS int64  `json:"at_ms"`
	// Stop has a machine's tasks stopped, with time to save, instead of waiting for their end.
	Stop bool `json:"stop,omitempty"`
}

// Document is the document: what is to be drained, by name. The zero value wants nothing.
type Document struct {
	Format   int                `json:"v,omitempty"`
	Nodes    map[string]Request `json:"nodes,omitempty"`
	Machines map[string]Request `json:"machines,omitempty"`
	// Last says who changed it last, and what.
	Last string `json:"last,omitempty"`
}

// ParseDocument reads the document.
func ParseDocument(raw json.RawMessage) (Document, error) {
	var w Document
	err := json.Unmarshal(raw, &w)
	if err == nil && w.Format > 1 {
		err = fmt.Errorf("wishes in format %d", w.Format)
	}
	return w, err
}

// Command is what an operator asks for.
type Command struct {
	Op   string `json:"op"`   // "drain" or "undrain"
	Kind string `json:"kind"` // "node" or "machine"
	Name string `json:"name"`
	By   string `json:"by"`
	Stop bool   `json:"stop"`
	// Revision is the document's version that the command is based on; nil: any.
	Revision *uint64 `json:"revision"`
	AtMS     int64   `json:"-"`
}

// Cluster is what a command is judged by.
type Cluster struct {
	// Alive are the controllers that are heard and reach the state service; Nodes are all.
	Alive, Nodes []string
	Machine      func(name string) bool
}

// Reasons for refusing a command. Each is wrapped with what it is about.
var (
	ErrMalformed = errors.New("not a command")
	ErrUnknown   = errors.New("no such thing")
	ErrLast      = errors.New("nobody would be left")
)

// maxMachines bounds how many machines may be drained at once while their requests are part of the
// document, which has to fit a value: until every controller reads those with keys of their own.
const maxMachines = 60

// Apply is the document after a command, where it holds machines' requests too. It refuses to drain the
// last controller that could serve, and what is not known. A command that changes nothing gives the
// document back as it was.
func (w Document) Apply(c Command, k Cluster) (Document, error) { return w.apply(c, k, maxMachines) }

// apply does so with at most so many machines, 0: any number of them.
func (w Document) apply(c Command, k Cluster, most int) (Document, error) {
	if (c.Op != "drain" && c.Op != "undrain") || (c.Kind != "node" && c.Kind != "machine") || c.Name == "" || len(c.Name) > 100 || len(c.By) > 100 {
		return w, fmt.Errorf("%w: op must be drain or undrain, kind node or machine, and name and by at most 100 characters", ErrMalformed)
	}
	c.Stop = c.Stop && c.Kind == "machine"
	out := Document{Nodes: maps.Clone(w.Nodes), Machines: maps.Clone(w.Machines), Last: w.Last}
	at := &out.Machines
	if c.Kind == "node" {
		at = &out.Nodes
	}
	was, marked := (*at)[c.Name]
	if c.Op == "undrain" {
		if !marked {
			return w, nil
		}
		delete(*at, c.Name)
		return out.by(c), nil
	}
	switch {
	case marked && was.Stop == c.Stop:
		return w, nil
	case c.Kind == "machine" && !k.Machine(c.Name):
		return w, fmt.Errorf("%w: machine %q is not known", ErrUnknown, c.Name)
	case c.Kind == "machine" && !marked && most > 0 && len(out.Machines) >= most:
		return w, fmt.Errorf("%w: %d machines are being drained already, and no more fit until the rollout is finished: "+
			"then there is no such bound (`harewalk rollout status`)", ErrMalformed, most)
	case c.Kind == "node" && !slices.Contains(k.Nodes, c.Name):
		return w, fmt.Errorf("%w: controller %q is none of %s", ErrUnknown, c.Name, strings.Join(k.Nodes, ", "))
	case c.Kind == "node" && !w.othersServe(c.Name, k):
		return w, fmt.Errorf("%w: no other controller is alive and not drained", ErrLast)
	}
	if *at == nil {
		*at = map[string]Request{}
	}
	(*at)[c.Name] = Request{By: c.By, AtMS: c.AtMS, Stop: c.Stop}
	return out.by(c), nil
}

func (w Document) by(c Command) Document {
	who := c.By
	if who == "" {
		who = "somebody"
	}
	w.Last = fmt.Sprintf("%s: %s %s %s", who, c.Op, c.Kind, c.Name)
	return w
}

// othersServe tells whether another controller is alive that nobody wants drained.
func (w Document) othersServe(name string, k Cluster) bool {
	return slices.ContainsFunc(k.Alive, func(n string) bool {
		_, drained := w.Nodes[n]
		return n != name && !drained
	})
}

// Without is the document without the marks of machines that are gone, and whether there were any.
func (w Document) Without(gone func(machine string) bool) (Document, bool) {
	out := Document{Nodes: w.Nodes, Machines: maps.Clone(w.Machines), Last: w.Last}
	maps.DeleteFunc(out.Machines, func(name string, _ Request) bool { return gone(name) })
	return out, len(out.Machines) != len(w.Machines)
}
