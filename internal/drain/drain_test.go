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

// Whatever is drained and undrained, alive or not, by however many: some controller that is alive is
// left, a document always fits a value, and it says what a plain list of the commands says.
func TestSomebodyIsLeft(t *testing.T) {
	nodes := []string{"n-0", "n-1", "n-2"}
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		w := Document{}
		drained := map[string]bool{} // the plain model
		k := Cluster{Nodes: nodes, Alive: nodes, Machine: func(m string) bool { return m != "m-none" }}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			k.Alive = rapid.SliceOfDistinct(rapid.SampledFrom(nodes), rapid.ID[string]).Draw(t, "alive")
			c := Command{
				Op: rapid.SampledFrom([]string{"drain", "undrain"}).Draw(t, "op"), Kind: rapid.SampledFrom([]string{"node", "machine"}).Draw(t, "kind"),
				By: "kana", Stop: rapid.Bool().Draw(t, "stop"),
			}
			if c.Name = rapid.SampledFrom([]string{"m-1", "m-2", "m-none"}).Draw(t, "machine"); c.Kind == "node" {
				c.Name = rapid.SampledFrom(nodes).Draw(t, "node")
			}
			next, err := w.Apply(c, k)
			left := slices.ContainsFunc(k.Alive, func(n string) bool { return n != c.Name && !drained[n] })
			wrong := c.Op == "drain" && !drained[c.Name] && (c.Name == "m-none" || (c.Kind == "node" && !left))
			if (err != nil) != wrong {
				t.Fatalf("%+v with %v alive and %v drained: %v", c, k.Alive, drained, err)
			}
			if err != nil {
				refused++
				if !errors.Is(err, ErrLast) && !errors.Is(err, ErrUnknown) {
					t.Fatal(err)
				}
				continue
			}
			if w = next; c.Op == "drain" {
				drained[c.Name] = true
			} else {
				delete(drained, c.Name)
			}
			if len(w.Nodes)+len(w.Machines) != len(drained) {
				t.Fatalf("%+v, drained are %v", w, drained)
			}
		}
	})
	if refused < 50 {
		t.Fatalf("%d refused: the model does not exercise the code", refused)
	}
}

func TestBoundsAndGoneMachines(t *testing.T) {
	k := Cluster{Machine: func(string) bool { return true }}
	w, err := Document{}, error(nil)
	for i := range maxMachines + 1 {
		w2, e := w.Apply(Command{Op: "drain", Kind: "machine", Name: fmt.Sprintf("i-%096d", i), By: "somebody with a rather long name of his own"}, k)
		if w, err = w2, e; (err != nil) != (i == maxMachines) {
			t.Fatalf("machine %d: %v", i, err)
		}
	}
	if raw, _ := json.Marshal(w); len(raw) > 16<<10 {
		t.Fatalf("a document of %d bytes", len(raw))
	}
	out, any := w.Without(func(m string) bool { return m == fmt.Sprintf("i-%096d", 7) })
	if !any || len(out.Machines) != maxMachines-1 || len(w.Machines) != maxMachines {
		t.Fatalf("%d left of %d", len(out.Machines), len(w.Machines))
	}
	for _, c := range []Command{{}, {Op: "drain", Kind: "zone", Name: "a"}, {Op: "stop", Kind: "node", Name: "a"}, {Op: "drain", Kind: "node"}} {
		if _, err := w.Apply(c, k); !errors.Is(err, ErrMalformed) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
