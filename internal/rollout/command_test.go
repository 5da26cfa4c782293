package rollout

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// TestInvalidCommandsAreRefused: commands that come too early, at an old revision, or that are malformed.
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

// TestLevelIsUpgradedByDirective follows a rollout that operators have to finish: the level isn't upgraded without
// their directive, nor by one about an earlier upgrade; it is upgraded once; and each leader records the migration
// once.
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
	direct(r, directiveRecord{Mode: FinishRequested, Level: Base}, 10)
	mustNotTick(t, r, time.Minute, 1, MigrationProgress{}) // the directive is about an earlier upgrade

	finish, err := r.Execute(time.Minute, Command{Op: "finish", By: "ana"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.HandleItem(store.Item{Key: directiveKey, Value: finish.Then[0].Value, Version: 11})
	upgrade := mustTick(t, r, time.Minute, 1, MigrationProgress{})
	if upgrade.Then[0].Put != levelKey || len(upgrade.If) != 8 {
		t.Fatalf("the level is upgraded by %+v", upgrade)
	}
	commit(r, time.Minute, upgrade, 12)
	if r.Level() != Paged || r.State() != Upgrading {
		t.Fatalf("level %d, state %s", r.Level(), r.State())
	}
	if _, err := r.Execute(time.Minute, Command{Op: "abort"}, 0); !errors.Is(err, ErrTooLate) {
		t.Errorf("an abort after the upgrade: %v", err)
	}

	left := MigrationProgress{Left: 3}
	mustNotTick(t, r, 2*time.Minute, 1, left) // the leader that upgraded the level is recorded already
	commit(r, 2*time.Minute, mustTick(t, r, 2*time.Minute, 2, left), 13)
	done := MigrationProgress{Done: true}
	commit(r, 2*time.Minute, mustTick(t, r, 2*time.Minute, 2, done), 14)
	mustNotTick(t, r, 3*time.Minute, 2, done)
	if !r.Migrated() || r.State() != Settled {
		t.Errorf("migrated %v, state %s", r.Migrated(), r.State())
	}
}

// TestAllSupport: a level is supported by all once each controller has announced it, before it rises and whether or not
// all are healthy; not while operators abort the rollout, nor once a controller is back with its former release.
func TestAllSupport(t *testing.T) {
	r := newTestRollout(true)
	expect := func(when string, want bool) {
		t.Helper()
		if r.AllSupport(Paged) != want {
			t.Errorf("%s: all support the level: %v, want %v", when, !want, want)
		}
	}
	join(r, "a", presentRelease, Paged, 1, 2)
	join(r, "b", presentRelease, Paged, 2, 3)
	expect("one controller has never been seen", false)
	join(r, "c", formerRelease, Base, 3, 4)
	expect("one runs the former release", false)
	join(r, "c", presentRelease, Paged, 4, 5)
	r.HandleHealth(time.Second, "c", false)
	expect("all have announced it, one isn't healthy", true)
	if r.Level() != Base {
		t.Errorf("the level is %d, want %d", r.Level(), Base)
	}
	r.HandleDelete(MemberKey("b"), 6)
	expect("one is down", true)
	direct(r, directiveRecord{Mode: AbortedByOperator, Level: Base}, 7)
	expect("the rollout is aborted", false)
	direct(r, directiveRecord{Mode: NoDirective, Level: Base}, 8)
	expect("the abort is undone", true)
	member := encode(map[string]any{"node": "b", "hold": 9})
	r.HandleItem(store.Item{Key: MemberKey("b"), Value: member, Version: 10})
	expect("one is back with a release that announces nothing", false)
}
