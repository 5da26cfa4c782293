package simulator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/peers"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

var (
	updateDigests = flag.Bool("update-digests", false, "replace the recorded digests of behaviour")
	digestTrace   = flag.String(
		"digest-trace",
		"",
		"directory into which the message log of each scenario is written",
	)
)

const digestsFile = "testdata/digests.json"

// behaviourDigest is a hash of all messages and stored changes of a simulation. The counts give a first measure of a
// difference.
type behaviourDigest struct {
	Digest string `json:"digest"`
	// Messages counts requests, answers and statuses between controllers. Changes counts changes of stored keys.
	Messages int `json:"messages"`
	Changes  int `json:"changes"`
	Bytes    int `json:"bytes"` // total length of the logged messages and changes
}

// behaviourRecorder writes the messages and stored changes of a simulation, in their order, into a hash and a log.
type behaviourRecorder struct {
	simulation *Simulation
	hash       *xxhash.Digest
	log        *bufio.Writer
	totals     behaviourDigest // counts so far; the hash is set by end
}

// recordBehaviour starts recording a simulation, which must be at time 0. The log may be io.Discard.
func recordBehaviour(t *testing.T, sim *Simulation, log io.Writer) *behaviourRecorder {
	t.Helper()
	if sim.Now() != 0 {
		t.Fatalf("recording starts at %v, want 0", sim.Now())
	}
	r := &behaviourRecorder{simulation: sim, hash: xxhash.New(), log: bufio.NewWriter(log)}
	sim.virtual.recorder = r.message
	sim.state.service.Changed = r.change
	return r
}

// message records a message. It sorts the counts of a status and adjacent halt commands, which controllers send in the
// order of a map. JSON objects need no sorting, because encoding/json sorts the keys of maps.
func (r *behaviourRecorder) message(t message) {
	r.totals.Messages++
	if t.kind == kindStatus {
		t.body = normalStatus(t.body)
	}
	if t.path == "/orders" || t.path == "/checkin" {
		t.body = normalCommands(t.body)
	}
	r.write(fmt.Sprintf("%d %s %s > %s %s %s %d %s\n",
		r.simulation.Now(), t.kind, t.from, t.to, t.method, t.path, t.status, t.body))
}

// normalStatus returns a status as quoted text with its counts sorted by job. A controller sends the counts in the
// order of a map, which differs from run to run. Their order has no effect, because receivers put them into a map.
func normalStatus(raw []byte) []byte {
	s, err := peers.Decode(raw)
	if err != nil {
		return strconv.AppendQuote(nil, string(raw))
	}
	slices.SortFunc(s.Counts, func(a, b peers.JobCount) int { return strings.Compare(a.Job, b.Job) })
	return strconv.AppendQuote(nil, string(peers.Encode(s)))
}

// normalCommands returns a message to a worker with adjacent halt commands sorted. They concern different tasks, so
// their order has no effect on the worker. Launches keep their places, because only the first may fit.
func normalCommands(raw []byte) []byte {
	var message struct {
		Commands json.RawMessage `json:"calls"`
	}
	var commands []json.RawMessage
	if json.Unmarshal(raw, &message) != nil || json.Unmarshal(message.Commands, &commands) != nil {
		return raw
	}
	for start := 0; start < len(commands); {
		end := start
		for end < len(commands) && isHalt(commands[end]) {
			end++
		}
		slices.SortFunc(commands[start:end], func(a, b json.RawMessage) int { return bytes.Compare(a, b) })
		start = end + 1
	}
	sorted := slices.Concat([]byte("["), bytes.Join(rawBytes(commands), []byte(",")), []byte("]"))
	return bytes.Replace(raw, message.Commands, sorted, 1)
}

func isHalt(raw json.RawMessage) bool {
	var c fleet.WireCommand
	return json.Unmarshal(raw, &c) == nil && c.Op == "halt"
}

func rawBytes(ms []json.RawMessage) (out [][]byte) {
	for _, m := range ms {
		out = append(out, m)
	}
	return out
}

// change records the change or deletion of a key.
func (r *behaviourRecorder) change(e store.Event) {
	r.totals.Changes++
	if e.Delete != "" {
		r.write(fmt.Sprintf("%d delete %s %d\n", r.simulation.Now(), e.Delete, e.Version))
		return
	}
	r.write(fmt.Sprintf("%d put %s %d %s\n", r.simulation.Now(), e.Put, e.Version, e.Value))
}

// write hashes and logs a line. The release's name is replaced by a fixed one, so that a new release leaves the digest
// unchanged.
func (r *behaviourRecorder) write(line string) {
	line = strings.ReplaceAll(line, rollout.Release, "this-release")
	r.totals.Bytes += len(line)
	_, _ = r.hash.WriteString(line)
	_, _ = r.log.WriteString(line)
}

// end stops recording and returns the digest.
func (r *behaviourRecorder) end() (behaviourDigest, error) {
	r.simulation.virtual.recorder = nil
	r.simulation.state.service.Changed = nil
	r.totals.Digest = fmt.Sprintf("%016x", r.hash.Sum64())
	return r.totals, r.log.Flush()
}

// traceFile creates the log file of a scenario. Without the flag -digest-trace it returns io.Discard.
func traceFile(t *testing.T, scenario string) io.Writer {
	t.Helper()
	if *digestTrace == "" {
		return io.Discard
	}
	if err := os.MkdirAll(*digestTrace, 0o755); err != nil {
		t.Fatal(err)
	}
	f, err := os.Create(filepath.Join(*digestTrace, strings.ReplaceAll(scenario, " ", "-")+".log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func readDigests(t *testing.T) map[string]behaviourDigest {
	t.Helper()
	digests := map[string]behaviourDigest{}
	raw, err := os.ReadFile(digestsFile)
	if errors.Is(err, fs.ErrNotExist) && *updateDigests {
		return digests
	}
	if err == nil {
		err = json.Unmarshal(raw, &digests)
	}
	if err != nil {
		t.Fatal(err)
	}
	return digests
}

// writeDigests replaces the stored digests of the played scenarios, and drops digests of scenarios that no longer
// exist.
func writeDigests(t *testing.T, expected, played map[string]behaviourDigest) {
	t.Helper()
	updated := map[string]behaviourDigest{}
	for _, s := range digestScenarios {
		if d, ok := played[s.name]; ok {
			updated[s.name] = d
		} else if d, ok := expected[s.name]; ok {
			updated[s.name] = d
		}
	}
	raw, err := json.MarshalIndent(updated, "", "  ")
	if err == nil {
		err = os.WriteFile(digestsFile, append(raw, '\n'), 0o644)
	}
	if err != nil {
		t.Error(err)
	}
}

// TestBehaviourDigests checks that the same seeds lead to the same messages and the same stored bytes as when the
// digests were written. A difference is a change of behaviour. To find it, compare the message logs of both revisions,
// which -digest-trace DIR writes.
func TestBehaviourDigests(t *testing.T) {
	expected := readDigests(t)
	played := map[string]behaviourDigest{}
	var mu sync.Mutex
	if *updateDigests {
		t.Cleanup(func() { writeDigests(t, expected, played) })
	} else {
		checkDigestNames(t, expected)
	}
	for _, s := range digestScenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			got := s.digest(t)
			mu.Lock()
			played[s.name] = got
			mu.Unlock()
			if want := expected[s.name]; got != want && !*updateDigests {
				t.Errorf("the behaviour differs:\n got %+v\nwant %+v\n"+
					"compare the logs of both revisions, which -digest-trace DIR writes", got, want)
			}
		})
	}
}

// checkDigestNames checks that the file has a digest of each scenario and no other digests.
func checkDigestNames(t *testing.T, expected map[string]behaviourDigest) {
	t.Helper()
	for name := range expected {
		if !slices.ContainsFunc(digestScenarios, func(s digestScenario) bool { return s.name == name }) {
			t.Errorf("%s: digest of %q, want only digests of existing scenarios", digestsFile, name)
		}
	}
	for _, s := range digestScenarios {
		if _, ok := expected[s.name]; !ok {
			t.Errorf("%s: no digest of scenario %q", digestsFile, s.name)
		}
	}
}
