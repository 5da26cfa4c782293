package licences

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/calendar"
	"github.com/harewalk/harewalk/internal/rollout"
)

// newReserveCatalog returns the catalog of one pool of ten units, of which one is kept for outside holders, or four on
// Friday evenings in Tokyo time.
func newReserveCatalog(t *testing.T) *Catalog {
	t.Helper()
	window, err := calendar.Parse("Fri", "18:00", "23:00", "Asia/Tokyo")
	if err != nil {
		t.Fatal(err)
	}
	return NewCatalog([]*Pool{{
		Name:           "p",
		Count:          10,
		OutsideReserve: 1,
		ReserveWindows: []ReserveWindow{{4, window}},
		Teams:          map[string]TeamQuota{"t": {Limit: 6}},
	}})
}

func TestReserveFollowsTimeOfDay(t *testing.T) {
	l := New(newReserveCatalog(t), singleTeam, 0)
	for at, want := range map[string]int{
		"2026-12-04T17:59:00+09:00": 9,
		"2026-12-04T18:00:00+09:00": 6,
		"2026-12-04T23:00:00+09:00": 9,
	} {
		wall, err := time.Parse(time.RFC3339, at)
		if err != nil {
			t.Fatal(err)
		}
		l.Tick(0, wall)
		if free := l.pools[0].freeUnits(); free != want {
			t.Errorf("at %s: got %d free units, want %d", at, free, want)
		}
	}
}

func TestCanEverFitNamesTheReason(t *testing.T) {
	catalog := newReserveCatalog(t)
	for _, c := range []struct {
		pool  string
		tasks int
		why   string // "": the tasks fit
	}{
		{"p", 6, ""},
		{"p", 7, "never gives it more than 6"},
		{"q", 1, `unknown licence pool "q"`},
	} {
		ok, why := catalog.CanEverFit(map[string]int{c.pool: 1}, "t", c.tasks)
		if ok != (c.why == "") || !strings.Contains(why, c.why) {
			t.Errorf("%d tasks of pool %s: got %v, reason %q, want reason %q", c.tasks, c.pool, ok, why, c.why)
		}
	}
}

// A count set at run time replaces the declared count until it is deleted. Outdated versions are ignored. After an
// invalid record, the count is 0 until it is set again.
func TestStoredCountReplacesDeclaredCount(t *testing.T) {
	catalog := newReserveCatalog(t)
	for _, step := range []struct {
		record  string // "": the deletion of the key
		version uint64
		count   int
		fails   bool
		isNewer bool
	}{
		{record: `{"count":30}`, version: 5, count: 30},
		{record: "", version: 4, count: 30},
		{record: "", version: 6, count: 10},
		{record: `{"count":-1}`, version: 7, count: 0, fails: true},
		{record: `{"v":2,"count":20}`, version: 8, count: 0, fails: true, isNewer: true},
		{record: `{"count":12}`, version: 9, count: 12},
	} {
		var err error
		if step.record == "" {
			catalog.ApplyDeletion(Key("p"), step.version)
		} else {
			err = catalog.ApplyRecord(Key("p"), []byte(step.record), step.version)
		}
		if (err != nil) != step.fails || catalog.Count(0) != step.count {
			t.Fatalf("record %q at version %d: got count %d, error %v, want count %d",
				step.record, step.version, catalog.Count(0), err, step.count)
		}
		var newer *rollout.NewerFormatError
		if errors.As(err, &newer) != step.isNewer {
			t.Errorf("record %q: got error %v, want a NewerFormatError: %v", step.record, err, step.isNewer)
		}
	}
}
