package drain

import (
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	// goneMachines is the prefix of the names of machines that no longer exist.
	goneMachines = "gone-"
	// maxRequestBytes is enough for every request in the test.
	maxRequestBytes = 200
)

func isGone(machine string) bool { return strings.HasPrefix(machine, goneMachines) }

// migrationRun is one run of commands, migration steps and deletions of stale keys, with a model of the commands.
type migrationRun struct {
	*fakeStore
	t        *rapid.T
	counts   *migrationCounts
	machines []string
	model    map[string]bool // Request.Stop of each machine that is to be drained
	// sent are the transactions that were sent, by DesiredState.UsesMachineKeys when they were sent. Each may be
	// committed late or again, but only while UsesMachineKeys is the same: transactions depend on the level too.
	sent map[bool][]func() bool
}

// migrationCounts counts, over all runs, the migration steps that were committed when computed and the transactions of
// commands that were refused because of a conflict.
type migrationCounts struct{ moved, refused int }

// check compares the desired state with the model. Machines that no longer exist are left out.
func (r *migrationRun) check() {
	got := map[string]bool{}
	for name, request := range r.desired.Machines() {
		got[name] = request.Stop
	}
	want := maps.Clone(r.model)
	for _, drained := range []map[string]bool{got, want} {
		maps.DeleteFunc(drained, func(name string, _ bool) bool { return isGone(name) })
	}
	if !maps.Equal(got, want) {
		r.t.Fatalf("drained machines: got %v, want %v", got, want)
	}
}

// addInitialRequests adds the requests that the document has at the start.
func (r *migrationRun) addInitialRequests() {
	r.desired.Document.Machines = map[string]Request{}
	distinct := rapid.SliceOfDistinct(rapid.SampledFrom(r.machines), rapid.ID[string])
	for _, name := range distinct.Draw(r.t, "initial requests") {
		r.desired.Document.Machines[name] = Request{By: "kana"}
		r.model[name] = false
	}
}

// command draws a command and applies it to the desired state. The transaction may be committed now, and is added to
// those that may be committed at any later time.
func (r *migrationRun) command() {
	command := Command{
		Op:   rapid.SampledFrom([]Op{OpDrain, OpUndrain}).Draw(r.t, "op"),
		Kind: KindMachine,
		By:   "kana",
		Name: rapid.SampledFrom(r.machines).Draw(r.t, "name"),
		Stop: rapid.Bool().Draw(r.t, "stop"),
	}
	change, err := r.desired.Apply(command, anyMachine())
	if err != nil {
		r.t.Fatal(err)
	}
	txn := changeTxn(r.documentVersion, change)
	commitCommand := func() bool {
		if !r.commit(txn) {
			r.counts.refused++
			return false
		}
		if command.Op == OpDrain {
			r.model[command.Name] = command.Stop
		} else {
			delete(r.model, command.Name)
		}
		return true
	}
	r.sent[r.desired.UsesMachineKeys] = append(r.sent[r.desired.UsesMachineKeys], commitCommand)
	if rapid.Bool().Draw(r.t, "commit now") && !commitCommand() {
		r.t.Fatal("the transaction of a command was not committed although nothing was changed meanwhile")
	}
}

// migrationTxn returns the transaction for a migration step that was computed at a version of the document.
func migrationTxn(documentVersion uint64, step MigrationStep) fakeTxn {
	if len(step.Keys) == 0 {
		return fakeTxn{documentVersion: documentVersion, document: &step.Document}
	}
	absent := map[string]uint64{}
	for key := range step.Keys {
		absent[key] = 0
	}
	return fakeTxn{documentVersion: documentVersion, keyVersions: absent, puts: step.Keys}
}

// migrate computes a migration step. The transaction may be committed now, and is added to those that may be committed
// at any later time.
func (r *migrationRun) migrate() {
	step, ok := r.desired.NextMigrationStep(rapid.IntRange(1, 4).Draw(r.t, "keys"), maxRequestBytes, isGone)
	if !ok {
		return
	}
	txn := migrationTxn(r.documentVersion, step)
	r.sent[true] = append(r.sent[true], func() bool { return r.commit(txn) })
	if rapid.Bool().Draw(r.t, "commit now") && r.commit(txn) {
		r.counts.moved++
	}
}

// deleteStaleKeys deletes the keys of machines that no longer exist.
func (r *migrationRun) deleteStaleKeys() {
	for _, name := range r.desired.StaleRequests(2, isGone) {
		request, _ := r.desired.MachineRequests.Get(name)
		key := MachineKey(name)
		r.commit(fakeTxn{
			documentVersion: r.documentVersion,
			keyVersions:     map[string]uint64{key: request.Version},
			deletes:         []string{key},
		})
	}
}

// commitSent commits any transaction that was sent at the present level, if its other conditions still hold.
func (r *migrationRun) commitSent() {
	if sent := r.sent[r.desired.UsesMachineKeys]; len(sent) > 0 {
		rapid.SampledFrom(sent).Draw(r.t, "sent")()
	}
}

// finish migrates until no request is left to move.
func (r *migrationRun) finish() {
	r.desired.UsesMachineKeys = true
	for range 20 {
		step, ok := r.desired.NextMigrationStep(4, maxRequestBytes, isGone)
		if ok && !r.commit(migrationTxn(r.documentVersion, step)) {
			r.t.Fatal("the transaction of a migration step was not committed")
		}
	}
	r.check()
	if len(r.desired.Document.Machines) > 0 {
		r.t.Fatalf("machines in the document after the migration: got %v, want none", r.desired.Document.Machines)
	}
}

// TestMigrationKeepsAllRequests runs commands, an upgrade of the level, migration steps, deletions of stale keys, and
// late or repeated transactions in any order. It checks that the drained machines are those of a model of the commands,
// and that in the end the document contains no request of a machine.
func TestMigrationKeepsAllRequests(t *testing.T) {
	counts := migrationCounts{}
	rapid.Check(t, func(t *rapid.T) {
		r := &migrationRun{
			fakeStore: newFakeStore(),
			t:         t,
			counts:    &counts,
			machines:  []string{"i-1", "i-2", "i-3", "i 4", "i-\u00e9", goneMachines + "1", goneMachines + "2"},
			model:     map[string]bool{},
			sent:      map[bool][]func() bool{},
		}
		r.addInitialRequests()
		upgradeStep := rapid.IntRange(0, 30).Draw(t, "upgrade step")
		for i := range rapid.IntRange(20, 80).Draw(t, "steps") {
			r.desired.UsesMachineKeys = i >= upgradeStep
			switch rapid.IntRange(0, 6).Draw(t, "kind of step") {
			case 0, 1, 5:
				r.command()
			case 2:
				r.migrate()
			case 3:
				r.deleteStaleKeys()
			case 4, 6:
				r.commitSent()
			}
			r.check()
		}
		r.finish()
	})
	if counts.moved < 50 || counts.refused < 50 {
		t.Fatalf("got %d migration steps, %d refused commands, want 50 each: the model does not exercise the code",
			counts.moved, counts.refused)
	}
}
