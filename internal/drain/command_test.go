package drain

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// anyMachine is a cluster in which every machine exists.
func anyMachine() Cluster {
	return Cluster{Machine: func(string) bool { return true }}
}

// drainMachine is the command to drain a machine.
func drainMachine(name string) Command {
	return Command{Op: OpDrain, Kind: KindMachine, Name: name, By: "kana"}
}

// drawCommand draws a command about one of three controllers or machines, one of which doesn't exist.
func drawCommand(t *rapid.T, nodes []string) Command {
	command := Command{
		Op:   rapid.SampledFrom([]Op{OpDrain, OpUndrain}).Draw(t, "op"),
		Kind: rapid.SampledFrom([]Kind{KindNode, KindMachine}).Draw(t, "kind"),
		By:   "kana",
		Stop: rapid.Bool().Draw(t, "stop"),
	}
	command.Name = rapid.SampledFrom([]string{"m-1", "m-2", "m-none"}).Draw(t, "machine")
	if command.Kind == KindNode {
		command.Name = rapid.SampledFrom(nodes).Draw(t, "node")
	}
	return command
}

// Whatever is drained and undrained, alive or not, in whatever order: some controller that is alive is left, and the
// document has as many requests as a plain model of the commands.
func TestLastControllerIsNotDrained(t *testing.T) {
	nodes := []string{"n-0", "n-1", "n-2"}
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		document := Document{}
		drained := map[string]bool{} // the model
		cluster := Cluster{Nodes: nodes, Alive: nodes, Machine: func(name string) bool { return name != "m-none" }}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			cluster.Alive = rapid.SliceOfDistinct(rapid.SampledFrom(nodes), rapid.ID[string]).Draw(t, "alive")
			command := drawCommand(t, nodes)
			next, err := document.Apply(command, cluster)
			othersServe := slices.ContainsFunc(cluster.Alive, func(node string) bool {
				return node != command.Name && !drained[node]
			})
			isNewDrain := command.Op == OpDrain && !drained[command.Name]
			isImpossible := command.Name == "m-none" || (command.Kind == KindNode && !othersServe)
			if (err != nil) != (isNewDrain && isImpossible) {
				t.Fatalf("%+v with %v alive and %v drained: %v", command, cluster.Alive, drained, err)
			}
			if err != nil {
				refused++
				if !errors.Is(err, ErrLastController) && !errors.Is(err, ErrUnknown) {
					t.Fatal(err)
				}
				continue
			}
			document = next
			if command.Op == OpDrain {
				drained[command.Name] = true
			} else {
				delete(drained, command.Name)
			}
			if len(document.Nodes)+len(document.Machines) != len(drained) {
				t.Fatalf("%+v, drained are %v", document, drained)
			}
		}
	})
	if refused < 50 {
		t.Fatalf("%d refused: the model does not exercise the code", refused)
	}
}

// fullDocument returns a document with as many machines as it may hold, and checks that no more are taken.
func fullDocument(t *testing.T) Document {
	t.Helper()
	document := Document{}
	for i := range maxMachines + 1 {
		command := drainMachine(fmt.Sprintf("i-%096d", i))
		command.By = "somebody with a rather long name of his own"
		next, err := document.Apply(command, anyMachine())
		if (err != nil) != (i == maxMachines) {
			t.Fatalf("machine %d: %v", i, err)
		}
		document = next
	}
	return document
}

// A document with as many machines as it may hold fits a value.
func TestDocumentIsBounded(t *testing.T) {
	if raw, _ := json.Marshal(fullDocument(t)); len(raw) > 16<<10 {
		t.Fatalf("a document of %d bytes", len(raw))
	}
}

func TestRequestsOfGoneMachinesAreRemoved(t *testing.T) {
	document := fullDocument(t)
	gone := fmt.Sprintf("i-%096d", 7)
	next, found := document.WithoutMachines(func(machine string) bool { return machine == gone })
	if !found || len(next.Machines) != maxMachines-1 || len(document.Machines) != maxMachines {
		t.Fatalf("%d left of %d", len(next.Machines), len(document.Machines))
	}
}

func TestMalformedCommandsAreRefused(t *testing.T) {
	document := fullDocument(t)
	for _, command := range []Command{
		{},
		{Op: OpDrain, Kind: "zone", Name: "a"},
		{Op: "stop", Kind: KindNode, Name: "a"},
		{Op: OpDrain, Kind: KindNode},
	} {
		if _, err := document.Apply(command, anyMachine()); !errors.Is(err, ErrMalformed) {
			t.Errorf("%+v: %v", command, err)
		}
	}
}
