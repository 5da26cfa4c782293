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
	updateDigests = flag.Bool("update-digests", false, "write the digests of behaviour anew")
	digestTrace   = flag.String(
		"digest-trace",
		"",
		"directory into which the message log of each scenario is written",
	)
)

const digestsFile = "testdata/digests.json"

// behaviourDigest stands for all that passed the edges of a simulation. The counts tell how much differs.
type behaviourDigest struct {
	Digest string `json:"digest"`
	// Messages counts requests, answers and statuses between controllers, Changes the changes of stored keys.
	Messages int `json:"messages"`
	Changes  int `json:"changes"`
	Bytes    int `json:"bytes"` // of both, as they are logged
}

// behaviourRecorder writes what passes the edges of a simulation, in its order, into a hash and a log.
type behaviourRecorder struct {
	simulation *Simulation
	hash       *xxhash.Digest
	log        *bufio.Writer
	seen       behaviourDigest
}

// recordBehaviour records a simulation that has not begun yet. The log may be io.Discard.
func recordBehaviour(t *testing.T, sim *Simulation, log io.Writer) *behaviourRecorder {
	t.Helper()
	if sim.Now() != 0 {
		t.Fatalf("the recorder comes %v too late", sim.Now())
	}
	r := &behaviourRecorder{simulation: sim, hash: xxhash.New(), log: bufio.NewWriter(log)}
	sim.virtual.recorder = r.message
	sim.state.service.Changed = r.change
	return r
}

// message records a message. Two things are sorted, for controllers send them in the order of a map: the counts of a
// status, and halts next to each other. JSON objects need nothing, for encoding/json sorts the keys of maps.
func (r *behaviourRecorder) message(t message) {
	r.seen.Messages++
	if t.kind == kindStatus {
		t.body = normalStatus(t.body)
	}
	if t.path == "/orders" || t.path == "/checkin" {
		t.body = normalCommands(t.body)
	}
	r.write(fmt.Sprintf("%d %s %s > %s %s %s %d %s\n",
		r.simulation.Now(), t.kind, t.from, t.to, t.method, t.path, t.status, t.body))
}

// normalStatus is a status as quoted text with its counts sorted by job. A controller sends them in the order of a
// map, which differs from run to run, and whoever hears them puts them into a map, so the order changes nothing.
func normalStatus(raw []byte) []byte {
	s, err := peers.Decode(raw)
	if err != nil {
		return strconv.AppendQuote(nil, string(raw))
	}
	slices.SortFunc(s.Counts, func(a, b peers.JobCount) int { return strings.Compare(a.Job, b.Job) })
	return strconv.AppendQuote(nil, string(peers.Encode(s)))
}

// normalCommands sorts the halts next to each other in a message to a worker. They concern different tasks, so a
// worker that takes them in another order ends with the same. Launches keep their places: there may be room for the
// first only.
func normalCommands(raw []byte) []byte {
	var message struct {
		Commands json.RawMessage `json:"calls"`
	}
	var commands []json.RawMessage
	if json.Unmarshal(raw, &message) != nil || json.Unmarshal(message.Commands, &commands) != nil {
		return raw
	}
	for from := 0; from < len(commands); {
		to := from
		for to < len(commands) && isHalt(commands[to]) {
			to++
		}
		slices.SortFunc(commands[from:to], func(a, b json.RawMessage) int { return bytes.Compare(a, b) })
		from = to + 1
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

// change records a changed key.
func (r *behaviourRecorder) change(e store.Event) {
	r.seen.Changes++
	if e.Delete != "" {
		r.write(fmt.Sprintf("%d delete %s %d\n", r.simulation.Now(), e.Delete, e.Version))
		return
	}
	r.write(fmt.Sprintf("%d put %s %d %s\n", r.simulation.Now(), e.Put, e.Version, e.Value))
}

// write logs a line, in which the release has a name that stays when the next one is made.
func (r *behaviourRecorder) write(line string) {
	line = strings.ReplaceAll(line, rollout.Release, "this-release")
	r.seen.Bytes += len(line)
	_, _ = r.hash.WriteString(line)
	_, _ = r.log.WriteString(line)
}

// end is the digest of what was recorded.
func (r *behaviourRecorder) end() (behaviourDigest, error) {
	r.simulation.virtual.recorder = nil
	r.simulation.state.service.Changed = nil
	r.seen.Digest = fmt.Sprintf("%016x", r.hash.Sum64())
	return r.seen, r.log.Flush()
}

// traceFile opens the log of a scenario, io.Discard if none is asked for.
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

// writeDigests replaces the digests of the scenarios that were played and drops those of scenarios that are gone.
func writeDigests(t *testing.T, expected, played map[string]behaviourDigest) {
	t.Helper()
	kept := map[string]behaviourDigest{}
	for _, s := range digestScenarios {
		if d, ok := played[s.name]; ok {
			kept[s.name] = d
		} else if d, ok := expected[s.name]; ok {
			kept[s.name] = d
		}
	}
	raw, err := json.MarshalIndent(kept, "", "  ")
	if err == nil {
		err = os.WriteFile(digestsFile, append(raw, '\n'), 0o644)
	}
	if err != nil {
		t.Error(err)
	}
}

// TestBehaviourDigests checks that the same seeds lead to the same messages and the same stored bytes as when the
// digests were written. A difference is a change of behaviour: -digest-trace DIR writes what happened, so that the
// logs of two revisions can be compared.
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

// checkDigestNames checks that the file has a digest of each scenario and no others.
func checkDigestNames(t *testing.T, expected map[string]behaviourDigest) {
	t.Helper()
	for name := range expected {
		if !slices.ContainsFunc(digestScenarios, func(s digestScenario) bool { return s.name == name }) {
			t.Errorf("%s has a digest of %q, which is no scenario", digestsFile, name)
		}
	}
	for _, s := range digestScenarios {
		if _, ok := expected[s.name]; !ok {
			t.Errorf("%s has no digest of %q", digestsFile, s.name)
		}
	}
}
