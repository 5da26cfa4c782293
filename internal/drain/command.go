package drain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Op is what a command does. Its value is the name on the wire.
type Op string

// The operations.
const (
	OpDrain   Op = "drain"
	OpUndrain Op = "undrain"
)

// Kind is the kind of what a command is about. Its value is the name on the wire.
type Kind string

// The kinds.
const (
	KindNode    Kind = "node" // a controller
	KindMachine Kind = "machine"
)

// maxNameLength bounds the names in a command, in bytes.
const maxNameLength = 100

// unlimited is the limit of machines' requests where these have keys of their own.
const unlimited = 0

// Command is what an operator requests: the wire type of a command over HTTP. AtMS isn't sent, the controller that
// takes the command sets it.
type Command struct {
	Op   Op     `json:"op"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	By   string `json:"by"`
	Stop bool   `json:"stop"`
	// Revision is the document's version that the command is based on; nil: any.
	Revision *uint64 `json:"revision"`
	AtMS     int64   `json:"-"` // Unix time in milliseconds
}

// Cluster is what a command is checked against.
type Cluster struct {
	// Alive are the controllers whose statuses arrive and that reach the state service; Nodes are all.
	Alive, Nodes []string
	// Machine reports whether there is a machine with a name.
	Machine func(name string) bool
}

// validate checks what can be checked without the cluster.
func (c Command) validate() error {
	isOp := c.Op == OpDrain || c.Op == OpUndrain
	isKind := c.Kind == KindNode || c.Kind == KindMachine
	isNamed := c.Name != "" && len(c.Name) <= maxNameLength
	if !isOp || !isKind || !isNamed || len(c.By) > maxNameLength {
		return fmt.Errorf("%w: op must be drain or undrain, kind node or machine, "+
			"and name and by at most 100 characters", ErrMalformed)
	}
	return nil
}

// Apply returns the document after a command, where it holds machines' requests too. A command that changes nothing
// returns the document as it was. The error wraps ErrMalformed, ErrUnknown or ErrLastController.
func (d Document) Apply(command Command, cluster Cluster) (Document, error) {
	return d.apply(command, cluster, maxMachines)
}

// apply returns the document after a command, with at most limit machines, or unlimited.
func (d Document) apply(command Command, cluster Cluster, limit int) (Document, error) {
	if err := command.validate(); err != nil {
		return d, err
	}
	if command.Kind != KindMachine {
		command.Stop = false
	}
	next := d.clone()
	requests := next.requestsOf(command.Kind)
	current, isRequested := (*requests)[command.Name]
	if command.Op == OpUndrain {
		if !isRequested {
			return d, nil
		}
		delete(*requests, command.Name)
		return next.changedBy(command), nil
	}
	if isRequested && current.Stop == command.Stop {
		return d, nil
	}
	if err := d.checkDrain(command, cluster, limit); err != nil {
		return d, err
	}
	if *requests == nil {
		*requests = map[string]Request{}
	}
	(*requests)[command.Name] = Request{By: command.By, AtMS: command.AtMS, Stop: command.Stop}
	return next.changedBy(command), nil
}

// checkDrain returns why a controller or machine must not be drained.
func (d Document) checkDrain(command Command, cluster Cluster, limit int) error {
	if command.Kind == KindMachine {
		return d.checkDrainMachine(command.Name, cluster, limit)
	}
	if !slices.Contains(cluster.Nodes, command.Name) {
		nodes := strings.Join(cluster.Nodes, ", ")
		return fmt.Errorf("%w: controller %q is none of %s", ErrUnknown, command.Name, nodes)
	}
	if !d.othersServe(command.Name, cluster) {
		return fmt.Errorf("%w: no other controller is alive and not drained", ErrLastController)
	}
	return nil
}

func (d Document) checkDrainMachine(name string, cluster Cluster, limit int) error {
	if !cluster.Machine(name) {
		return fmt.Errorf("%w: machine %q is not known", ErrUnknown, name)
	}
	_, isRequested := d.Machines[name]
	if !isRequested && limit != unlimited && len(d.Machines) >= limit {
		return fmt.Errorf("%w: %d machines are being drained already, "+
			"and no more fit until the rollout is finished: "+
			"then there is no such bound (`harewalk rollout status`)", ErrMalformed, limit)
	}
	return nil
}

// othersServe reports whether another controller is alive that isn't to be drained.
func (d Document) othersServe(name string, cluster Cluster) bool {
	return slices.ContainsFunc(cluster.Alive, func(node string) bool {
		_, isDrained := d.Nodes[node]
		return node != name && !isDrained
	})
}

// changedBy returns the document with a command as its last change.
func (d Document) changedBy(command Command) Document {
	by := cmp.Or(command.By, rollout.UnnamedOperator)
	d.Last = fmt.Sprintf("%s: %s %s %s", by, command.Op, command.Kind, command.Name)
	return d
}
