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
	return Cluster{HasMachine: func(string) bool { return true }}
}

// drainMachine returns the command to drain a machine.
func drainMachine(name string) Command {
	return Command{Op: OpDrain, Kind: KindMachine, Name: name, By: "kana"}
}

// drawCommand draws a command about one of the given controllers, or about one of three machines, of which "m-none"
// doesn't exist.
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

// TestLastControllerIsNotDrained applies drawn commands in any order, with any controllers alive. It checks that a
// controller is not drained if all others are drained or not alive, and that the document has as many requests as a
// simple model of the commands.
func TestLastControllerIsNotDrained(t *testing.T) {
	nodes := []string{"n-0", "n-1", "n-2"}
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		document := Document{}
		drained := map[string]bool{} // the model: names with a drain request
		cluster := Cluster{Nodes: nodes, Alive: nodes, HasMachine: func(name string) bool { return name != "m-none" }}
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
				t.Fatalf("%+v with %v alive and %v drained: got error %v, want one only if the drain is impossible",
					command, cluster.Alive, drained, err)
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
				t.Fatalf("got document %+v, want requests for %v", document, drained)
			}
		}
	})
	if refused < 50 {
		t.Fatalf("got %d refused commands, want at least 50: the model does not exercise the code", refused)
	}
}

// fullDocument returns a document with maxMachines machines, and checks that a request for another one is refused.
func fullDocument(t *testing.T) Document {
	t.Helper()
	document := Document{}
	for i := range maxMachines + 1 {
		command := drainMachine(fmt.Sprintf("i-%096d", i))
		command.By = "an operator with a rather long account name"
		next, err := document.Apply(command, anyMachine())
		if (err != nil) != (i == maxMachines) {
			t.Fatalf("after %d machines: got error %v, want one only after maxMachines", i, err)
		}
		document = next
	}
	return document
}

// TestFullDocumentFitsAValue checks that a document with maxMachines machines fits into one value of the state service.
func TestFullDocumentFitsAValue(t *testing.T) {
	if raw, _ := json.Marshal(fullDocument(t)); len(raw) > 16<<10 {
		t.Fatalf("got a document of %d bytes, want at most 16 KiB", len(raw))
	}
}

func TestRequestsOfGoneMachinesAreRemoved(t *testing.T) {
	document := fullDocument(t)
	gone := fmt.Sprintf("i-%096d", 7)
	next, found := document.WithoutMachines(func(machine string) bool { return machine == gone })
	if !found || len(next.Machines) != maxMachines-1 || len(document.Machines) != maxMachines {
		t.Fatalf("got %d requests of %d, want one fewer in a new document", len(next.Machines), len(document.Machines))
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
			t.Errorf("%+v: got error %v, want ErrMalformed", command, err)
		}
	}
}
