package drain

import (
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	// goneMachines is the prefix of the machines that are gone.
	goneMachines = "gone-"
	// maxRequestBytes is enough for every request of the test.
	maxRequestBytes = 200
)

func isGone(machine string) bool { return strings.HasPrefix(machine, goneMachines) }

// migrationRun is one run of commands, migration steps and sweeps, with a plain model of the commands.
type migrationRun struct {
	*fakeStore
	t        *rapid.T
	counts   *migrationCounts
	machines []string
	model    map[string]bool // by machine: its tasks are to be stopped
	// late are the transactions without an answer, which may be carried out at any time; each depends on the level
	// too.
	late map[bool][]func() bool // by DesiredState.UsesMachineKeys
}

// migrationCounts is how much was exercised in all runs.
type migrationCounts struct{ moved, refused int }

// check compares what is to be drained with the model.
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
		r.t.Fatalf("drained are %v, by the commands %v", got, want)
	}
}

// addInitialRequests has some requests in the document at first.
func (r *migrationRun) addInitialRequests() {
	r.desired.Document.Machines = map[string]Request{}
	distinct := rapid.SliceOfDistinct(rapid.SampledFrom(r.machines), rapid.ID[string])
	for _, name := range distinct.Draw(r.t, "at first") {
		r.desired.Document.Machines[name] = Request{By: "kana"}
		r.model[name] = false
	}
}

// command draws a command and decides it; it may be carried out now, and is so later at any time.
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
	apply := func() bool {
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
	r.late[r.desired.UsesMachineKeys] = append(r.late[r.desired.UsesMachineKeys], apply)
	if rapid.Bool().Draw(r.t, "carried out") && !apply() {
		r.t.Fatal("a command was refused, and nothing was changed meanwhile")
	}
}

// migrationTxn returns the transaction of a migration step, decided at a version of the document.
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

// migrate decides a migration step; it may be carried out now, and is so later at any time.
func (r *migrationRun) migrate() {
	step, ok := r.desired.NextMigrationStep(rapid.IntRange(1, 4).Draw(r.t, "keys"), maxRequestBytes, isGone)
	if !ok {
		return
	}
	txn := migrationTxn(r.documentVersion, step)
	r.late[true] = append(r.late[true], func() bool { return r.commit(txn) })
	if rapid.Bool().Draw(r.t, "carried out") && r.commit(txn) {
		r.counts.moved++
	}
}

// sweep deletes the keys of machines that are gone.
func (r *migrationRun) sweep() {
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

// carryOutLate carries out any transaction that was sent before, on the condition of the level.
func (r *migrationRun) carryOutLate() {
	if late := r.late[r.desired.UsesMachineKeys]; len(late) > 0 {
		rapid.SampledFrom(late).Draw(r.t, "late")()
	}
}

// finish migrates until nothing is left to be done.
func (r *migrationRun) finish() {
	r.desired.UsesMachineKeys = true
	for range 20 {
		step, ok := r.desired.NextMigrationStep(4, maxRequestBytes, isGone)
		if ok && !r.commit(migrationTxn(r.documentVersion, step)) {
			r.t.Fatal("a step was refused")
		}
	}
	r.check()
	if len(r.desired.Document.Machines) > 0 {
		r.t.Fatalf("left in the document: %v", r.desired.Document.Machines)
	}
}

// Commands, the rise of the level, migration steps, sweeps and their late copies, in any order: what is drained is
// what a plain model of the commands has, and in the end no request of a machine is left in the document.
func TestMigrationKeepsAllRequests(t *testing.T) {
	counts := migrationCounts{}
	rapid.Check(t, func(t *rapid.T) {
		r := &migrationRun{
			fakeStore: newFakeStore(),
			t:         t,
			counts:    &counts,
			machines:  []string{"i-1", "i-2", "i-3", "i 4", "i-\u00e9", goneMachines + "1", goneMachines + "2"},
			model:     map[string]bool{},
			late:      map[bool][]func() bool{},
		}
		r.addInitialRequests()
		levelRise := rapid.IntRange(0, 30).Draw(t, "rise")
		for i := range rapid.IntRange(20, 80).Draw(t, "steps") {
			r.desired.UsesMachineKeys = i >= levelRise
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 5:
				r.command()
			case 2:
				r.migrate()
			case 3:
				r.sweep()
			case 4, 6:
				r.carryOutLate()
			}
			r.check()
		}
		r.finish()
	})
	if counts.moved < 50 || counts.refused < 50 {
		t.Fatalf("%d steps moved, %d late ones refused: the model does not exercise the code",
			counts.moved, counts.refused)
	}
}
