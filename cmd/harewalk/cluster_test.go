package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/simulator"
)

// runProgramEnv, if set, makes the test binary run as the harewalk program. Tests start controllers and commands as
// processes of the test binary.
const runProgramEnv = "HAREWALK_TEST_AS_PROGRAM"

// formerReleaseEnv, if set, makes the program behave as the release before this one.
const formerReleaseEnv = "HAREWALK_TEST_AS_FORMER"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) == "" {
		os.Exit(m.Run())
	}
	if os.Getenv(formerReleaseEnv) == "" {
		main()
		return
	}
	os.Exit(execute(func(settings *config.Settings) {
		settings.SimulateRelease(rollout.Newest-1, simulator.FormerRelease)
	}))
}

// newSimulation starts a simulation in real time and closes it at the end of the test.
func newSimulation(t *testing.T, settings simulator.Config) *simulator.Simulation {
	t.Helper()
	sim, err := simulator.NewRealTime(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sim.Close)
	return sim
}

// reportViolations marks the test as failed for each violation of a protocol rule.
func reportViolations(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	for _, violation := range sim.Violations() {
		t.Error(violation)
	}
}

// isLongRun reports whether HAREWALK_LONG is set, which enables tests and test sizes that take minutes.
func isLongRun() bool { return os.Getenv("HAREWALK_LONG") != "" }

// startControllers starts the three controllers of a cluster and waits until they are ready.
func startControllers(t *testing.T, cluster *simulator.Cluster) {
	t.Helper()
	for i := range 3 {
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		if err := cluster.WaitReady(i, 20*time.Second); err != nil {
			t.Fatal(err)
		}
	}
}

// startCluster starts the controllers of a simulation with the operators' settings and waits until they are ready. If
// HAREWALK_KEEP is set, the cluster's files are written to that directory, so that they remain after the test.
func startCluster(t *testing.T, sim *simulator.Simulation, operator string) *simulator.Cluster {
	t.Helper()
	dir := t.TempDir()
	if keptDir := os.Getenv("HAREWALK_KEEP"); keptDir != "" {
		dir = keptDir
	}
	cluster, err := sim.NewCluster(dir, operator, []string{runProgramEnv + "=1", "LOG_LEVEL=info"}, os.Args[0], "serve")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	startControllers(t, cluster)
	return cluster
}

// runCommand runs the program as an operator does. It returns the output, with that to standard error, and the exit
// code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runProgramEnv+"=1")
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// expectExit runs the program and returns the output. It fails the test unless the exit code is wantCode.
func expectExit(t *testing.T, wantCode int, args ...string) string {
	t.Helper()
	out, code := runCommand(t, args...)
	if code != wantCode {
		t.Fatalf("%v: exit code %d, want %d; output: %s", args, code, wantCode, out)
	}
	return out
}

// writeFile writes a file for a command to read.
func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// expectCommand runs the program. It fails the test unless the exit code is wantCode and the output contains wantText.
func expectCommand(t *testing.T, wantCode int, wantText string, args ...string) {
	t.Helper()
	out, code := runCommand(t, args...)
	if code != wantCode || !strings.Contains(out, wantText) {
		t.Fatalf("%v: exit code %d, want %d and output with %q; output: %s", args, code, wantCode, wantText, out)
	}
}

// waitUntil polls until a condition holds. Its time limit of 60 s is for a test that hangs; no test measures with it.
func waitUntil(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition did not hold within 60 s: %s", condition)
		}
	}
}

// redAndBlue returns two teams without guarantees and limits.
func redAndBlue() []config.Team {
	return []config.Team{{Name: "red"}, {Name: "blue"}}
}

// licenceCounts returns the count of each licence pool, the same as in licencePools.
func licenceCounts() map[string]int {
	return map[string]int{"transcribe": 24, "optimise": 8}
}

// plainJob returns an array job of team red without licences.
func plainJob(number, tasks int, estimateS float64) *jobs.Spec {
	return &jobs.Spec{
		ID: fmt.Sprintf("req-%06d", number), Class: "c", Team: "red", Kind: jobs.Array, Priority: "standard",
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 0.5, EstimateS: estimateS, Spot: true,
	}
}

// drainTimeout bounds how long a controller's drain may take.
const drainTimeout = 12 * time.Second

// randomJob returns a random array or gang that needs licences of one pool, of both or of none.
func randomJob(rng *rand.Rand, number int) *jobs.Spec {
	spec := &jobs.Spec{
		ID: fmt.Sprintf("req-%06d", number), Class: "c", Team: []string{"red", "blue"}[rng.IntN(2)], Kind: jobs.Array,
		Priority: []string{"urgent", "standard", "best_effort"}[rng.IntN(3)],
		Tasks:    2 + rng.IntN(12), CPUs: 1, MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", rng.IntN(3)), ImageGB: 1, EstimateS: 0.4 + 0.6*rng.Float64(),
		Spot: rng.IntN(2) == 0,
	}
	if rng.IntN(4) == 0 {
		spec.Kind, spec.Tasks = jobs.Gang, 1+rng.IntN(3)
	}
	if rng.IntN(3) == 0 {
		spec.CheckpointS, spec.SaveS = 0.2, 0.2
	}
	switch rng.IntN(6) {
	case 0:
	case 1:
		spec.Licences = map[string]int{"optimise": 1}
	case 2:
		spec.Licences = map[string]int{"transcribe": 1, "optimise": 1}
	default:
		spec.Licences = map[string]int{"transcribe": 1 + rng.IntN(2)}
	}
	return spec
}

// licencePools declares the licence pools in the operators' settings. Its argument is the licence server's address.
const licencePools = `
licence "transcribe" {
  count    = 24
  server   = "%[1]s"
  poll_s   = 0.5
  linger_s = 3
  reserve  = 2
}
licence "optimise" {
  count    = 8
  server   = "%[1]s"
  poll_s   = 0.5
  linger_s = 3
  team "red" { guarantee = 2 }
}
`
