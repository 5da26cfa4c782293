package drain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Op is the operation of a command. Its value is its name on the wire.
type Op string

// The operations.
const (
	OpDrain   Op = "drain"
	OpUndrain Op = "undrain"
)

// Kind is the kind of target of a command. Its value is its name on the wire.
type Kind string

// The kinds.
const (
	KindNode    Kind = "node" // a controller
	KindMachine Kind = "machine"
)

// maxNameLength is the maximum length of each name in a command, in bytes.
const maxNameLength = 100

// unlimited, as the limit of apply, means that the number of machines' requests isn't limited.
const unlimited = 0

// Command is an operator's command, in its form over HTTP. The controller that receives the command sets AtMS.
type Command struct {
	Op   Op     `json:"op"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"` // controller or machine
	By   string `json:"by"`   // name of the operator; "" means rollout.UnnamedOperator
	Stop bool   `json:"stop"` // see Request.Stop; ignored for controllers
	// Revision is the version of the document that the command is based on; nil means any version.
	Revision *uint64 `json:"revision"`
	AtMS     int64   `json:"-"` // time of the command, Unix time in milliseconds
}

// Cluster is the state of the cluster against which a command is checked.
type Cluster struct {
	// Nodes are the names of all controllers. Alive are those that send statuses and can reach the state service.
	Alive, Nodes []string
	// HasMachine reports whether a machine exists.
	HasMachine func(name string) bool
}

// validate checks a command without regard to the cluster. The error wraps ErrMalformed.
func (c Command) validate() error {
	isOp := c.Op == OpDrain || c.Op == OpUndrain
	isKind := c.Kind == KindNode || c.Kind == KindMachine
	isNamed := c.Name != "" && len(c.Name) <= maxNameLength
	if !isOp || !isKind || !isNamed || len(c.By) > maxNameLength {
		return fmt.Errorf("%w: op must be drain or undrain, kind node or machine, "+
			"name at most 100 bytes long and not empty, and by at most 100 bytes long", ErrMalformed)
	}
	return nil
}

// Apply returns the document after a command. The requests of machines must all be in the document. If the command
// changes nothing, Apply returns the document unchanged. The error wraps ErrMalformed, ErrUnknown or ErrLastController.
func (d Document) Apply(command Command, cluster Cluster) (Document, error) {
	return d.apply(command, cluster, maxMachines)
}

// apply returns the document after a command, like Apply. limit is the maximum number of machines' requests, or
// unlimited.
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
		return next.withLastChange(command), nil
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
	return next.withLastChange(command), nil
}

// checkDrain returns an error if the controller or machine of a command must not be drained.
func (d Document) checkDrain(command Command, cluster Cluster, limit int) error {
	if command.Kind == KindMachine {
		return d.checkDrainMachine(command.Name, cluster, limit)
	}
	if !slices.Contains(cluster.Nodes, command.Name) {
		nodes := strings.Join(cluster.Nodes, ", ")
		return fmt.Errorf("%w: got controller %q, want one of %s", ErrUnknown, command.Name, nodes)
	}
	if !d.othersServe(command.Name, cluster) {
		return fmt.Errorf("%w: all other controllers are drained or not alive", ErrLastController)
	}
	return nil
}

func (d Document) checkDrainMachine(name string, cluster Cluster, limit int) error {
	if !cluster.HasMachine(name) {
		return fmt.Errorf("%w: machine %q doesn't exist", ErrUnknown, name)
	}
	_, isRequested := d.Machines[name]
	if !isRequested && limit != unlimited && len(d.Machines) >= limit {
		return fmt.Errorf("%w: %d machines are already being drained, "+
			"the maximum until the rollout is finished; "+
			"after that there is no maximum (see `harewalk rollout status`)", ErrMalformed, limit)
	}
	return nil
}

// othersServe reports whether any other controller is alive and has no drain request.
func (d Document) othersServe(name string, cluster Cluster) bool {
	return slices.ContainsFunc(cluster.Alive, func(node string) bool {
		_, isDrained := d.Nodes[node]
		return node != name && !isDrained
	})
}

// withLastChange returns the document with a command as the last change.
func (d Document) withLastChange(command Command) Document {
	by := cmp.Or(command.By, rollout.UnnamedOperator)
	d.Last = fmt.Sprintf("%s: %s %s %s", by, command.Op, command.Kind, command.Name)
	return d
}
