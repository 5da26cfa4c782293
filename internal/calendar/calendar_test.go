package calendar

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same verdict every time.
func init() { _ = flag.Set("rapid.seed", "1") }

var zones = []string{"Asia/Tokyo", "America/New_York", "Australia/Lord_Howe", "Europe/Lisbon"}

// plain says the same as Contains by what a clock would print: the slow model.
func plain(days, from, to string, t time.Time) bool {
	has := func(t time.Time) bool { return strings.Contains(days, t.Format("Mon")) }
	clock := t.Format("15:04")
	if from < to {
		return has(t) && clock >= from && clock < to
	}
	// The day before by the calendar, not 24 hours ago: days have 23 and 25 hours too.
	before := time.Date(t.Year(), t.Month(), t.Day()-1, 12, 0, 0, 0, t.Location())
	return (has(t) && clock >= from) || (has(before) && clock < to)
}

// Every minute of two years in four zones, one of which moves its clocks by half an hour:
// whether it lies in the window, and when that changes next.
func TestEveryMinute(t *testing.T) {
	windows := []struct{ days, from, to string }{
		{"Fri", "18:00", "23:00"},
		{"Mon,Tue,Wed,Thu,Fri", "09:00", "18:00"},
		{"Sat,Sun", "22:30", "02:15"},
		{"Sun", "01:30", "02:00"},
		{"Mon,Wed", "00:00", "24:00"},
	}
	for i, zone := range zones {
		loc, err := time.LoadLocation(zone)
		if err != nil {
			t.Fatal(err)
		}
		for k, win := range windows {
			if (i+k)%2 == 1 && testing.Short() {
				continue
			}
			w, err := Parse(win.days, win.from, win.to, zone)
			if err != nil {
				t.Fatal(err)
			}
			at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			was := plain(win.days, win.from, win.to, at.In(loc))
			next, ok := w.Next(at)
			for end := at.AddDate(2, 0, 0); at.Before(end); at = at.Add(time.Minute) {
				is := plain(win.days, win.from, win.to, at.In(loc))
				if w.Contains(at) != is {
					t.Fatalf("%s %v at %s: in the window is %v", zone, win, at.In(loc), !is)
				}
				if is == was {
					continue
				}
				if was = is; !ok || !next.Equal(at) {
					t.Fatalf("%s %v changes at %s, not at %s", zone, win, at.In(loc), next.In(loc))
				}
				next, ok = w.Next(at)
			}
		}
	}
}

// From any moment: nothing changes before Next, and at Next it does.
func TestNextIsTheFirstChange(t *testing.T) {
	names := []string{"Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat"}
	rapid.Check(t, func(t *rapid.T) {
		days := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 7, rapid.ID[string]).Draw(t, "days")
		clock := func(label string) string {
			return time.Unix(int64(60*rapid.IntRange(0, dayMinutes-1).Draw(t, label)), 0).UTC().Format("15:04")
		}
		w, err := Parse(strings.Join(days, ","), clock("from"), clock("to"), rapid.SampledFrom(zones).Draw(t, "zone"))
		if err != nil {
			t.Fatal(err)
		}
		at := time.Unix(rapid.Int64Range(1.7e9, 1.9e9).Draw(t, "at"), 0)
		next, ok := w.Next(at)
		if !ok {
			if w.from != w.to {
				t.Fatal("a window that never changes")
			}
			return
		}
		for p := at; p.Before(next); p = p.Add(7 * time.Minute) {
			if w.Contains(p) != w.Contains(at) {
				t.Fatalf("it changed before %s, at %s", next, p)
			}
		}
		if w.Contains(next) == w.Contains(at) || w.Contains(next.Add(-time.Second)) != w.Contains(at) {
			t.Fatalf("no change at %s", next)
		}
	})
}

func TestWrongWindowsAreNamed(t *testing.T) {
	for _, c := range [][5]string{
		{"Fry", "18:00", "23:00", "UTC", `"Fry" is no day`},
		{"Mon-", "18:00", "23:00", "UTC", "no day"},
		{"Fri", "18", "23:00", "UTC", `"18" is no time`},
		{"Fri", "18:00", "24:01", "UTC", `"24:01"`},
		{"Fri", "24:00", "01:00", "UTC", "24:00"},
		{"Fri", "18:00", "23:00", "Mars/Base", `"Mars/Base"`},
		{"Fri", "18:00", "23:00", "", "name one"},
	} {
		if _, err := Parse(c[0], c[1], c[2], c[3]); err == nil || !strings.Contains(err.Error(), c[4]) {
			t.Errorf("%v: error %v", c, err)
		}
	}
}
