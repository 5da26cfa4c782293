package rollout

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// TestInvalidCommandsAreRefused checks that Execute refuses commands that come too early, that are based on another
// revision of the directive, or that are malformed.
func TestInvalidCommandsAreRefused(t *testing.T) {
	r := newTestRollout(false)
	join(r, "a", presentRelease, Paged, 1, 2)
	join(r, "b", presentRelease, Paged, 2, 3)
	join(r, "c", formerRelease, Base, 3, 4)
	otherRevision := uint64(3)
	for _, c := range []struct {
		command Command
		want    error
	}{
		{Command{Op: "finish"}, ErrTooEarly},
		{Command{Op: "stop"}, ErrMalformed},
		{Command{Op: "hold", By: strings.Repeat("x", 101)}, ErrMalformed},
		{Command{Op: "hold", Revision: &otherRevision}, ErrChanged},
		{Command{Op: "abort"}, nil},
		{Command{Op: "hold"}, nil},
	} {
		if _, err := r.Execute(0, c.command, 0); !errors.Is(err, c.want) {
			t.Errorf("%+v: error %v, want %v", c.command, err, c.want)
		}
	}
}

// TestLevelIsUpgradedByDirective follows a rollout that needs an operator's directive. The level isn't upgraded without
// a directive, or by a directive about an earlier upgrade. A directive upgrades the level once. Each leader records the
// migration once when it starts and once when it is done.
func TestLevelIsUpgradedByDirective(t *testing.T) {
	r := newTestRollout(false)
	join(r, "a", presentRelease, Paged, 1, 2)
	join(r, "b", presentRelease, Paged, 2, 3)
	join(r, "c", formerRelease, Base, 3, 4)
	join(r, "c", presentRelease, Paged, 4, 5)
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		for _, node := range []string{"a", "b", "c"} {
			r.HandleHealth(now, node, true)
		}
		mustNotTick(t, r, now, 1, MigrationProgress{}) // there is no directive
	}
	setDirective(r, directiveRecord{Mode: FinishRequested, Level: Base}, 10)
	mustNotTick(t, r, time.Minute, 1, MigrationProgress{}) // the directive is about an earlier upgrade

	finish, err := r.Execute(time.Minute, Command{Op: "finish", By: "ana"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.HandleItem(store.Item{Key: directiveKey, Value: finish.Then[0].Value, Version: 11})
	upgrade := mustTick(t, r, time.Minute, 1, MigrationProgress{})
	if upgrade.Then[0].Put != levelKey || len(upgrade.If) != 8 {
		t.Fatalf("got upgrade transaction %+v, want 8 conditions and the level as the first write", upgrade)
	}
	commit(r, time.Minute, upgrade, 12)
	if r.Level() != Paged || r.State() != Upgrading {
		t.Fatalf("after the upgrade: got level %d, state %s, want level 2, state raising", r.Level(), r.State())
	}
	if _, err := r.Execute(time.Minute, Command{Op: "abort"}, 0); !errors.Is(err, ErrTooLate) {
		t.Errorf("abort after the upgrade: got error %v, want ErrTooLate", err)
	}

	left := MigrationProgress{RecordsLeft: 3}
	mustNotTick(t, r, 2*time.Minute, 1, left) // the upgrade itself has recorded this term's leader
	commit(r, 2*time.Minute, mustTick(t, r, 2*time.Minute, 2, left), 13)
	done := MigrationProgress{Done: true}
	commit(r, 2*time.Minute, mustTick(t, r, 2*time.Minute, 2, done), 14)
	mustNotTick(t, r, 3*time.Minute, 2, done)
	if !r.Migrated() || r.State() != Settled {
		t.Errorf("after the migration: got migrated %v, state %s, want true, settled", r.Migrated(), r.State())
	}
}

// TestAllSupport checks when AllSupportLevel reports a level: once all controllers have announced the level, even
// before the upgrade and while some are unhealthy or down. AllSupportLevel must not report the level while the rollout
// is aborted, or after a controller has rejoined with its former release.
func TestAllSupport(t *testing.T) {
	r := newTestRollout(true)
	expect := func(when string, want bool) {
		t.Helper()
		if r.AllSupportLevel(Paged) != want {
			t.Errorf("%s: AllSupportLevel(Paged): got %v, want %v", when, !want, want)
		}
	}
	join(r, "a", presentRelease, Paged, 1, 2)
	join(r, "b", presentRelease, Paged, 2, 3)
	expect("one controller has never joined", false)
	join(r, "c", formerRelease, Base, 3, 4)
	expect("one controller runs the former release", false)
	join(r, "c", presentRelease, Paged, 4, 5)
	r.HandleHealth(time.Second, "c", false)
	expect("all controllers have announced the level, one is unhealthy", true)
	if r.Level() != Base {
		t.Errorf("got level %d, want %d", r.Level(), Base)
	}
	r.HandleDelete(MemberKey("b"), 6)
	expect("one controller is down", true)
	setDirective(r, directiveRecord{Mode: AbortedByOperator, Level: Base}, 7)
	expect("the rollout is aborted", false)
	setDirective(r, directiveRecord{Mode: NoDirective, Level: Base}, 8)
	expect("the abort is withdrawn", true)
	member := encode(map[string]any{"node": "b", "hold": 9})
	r.HandleItem(store.Item{Key: MemberKey("b"), Value: member, Version: 10})
	expect("one controller has rejoined with a release that announces nothing", false)
}
