package licences

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that every run has the same result, and enough steps to fill a pool.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.checks", "4000")
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

// oneUnit is the needs of a task that holds one unit of the first pool.
var oneUnit = []Requirement{{0, 1}}

// singleTeam maps all names to one team.
func singleTeam(string) int32 { return 0 }

// taskName returns the task's name that a server reports for a holder. taskByName is the inverse.
func taskName(h Holder) string { return fmt.Sprintf("%d/%d", h.Job, h.Task) }

func taskByName(name string) (TaskRef, bool) {
	var ref TaskRef
	n, err := fmt.Sscanf(name, "%d/%d", &ref.Job, &ref.Task)
	return ref, err == nil && n == 2
}
