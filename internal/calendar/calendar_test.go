package calendar

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// testZones includes Australia/Lord_Howe, whose daylight-saving time is half an hour.
var testZones = []string{"Asia/Tokyo", "America/New_York", "Australia/Lord_Howe", "Europe/Lisbon"}

// testWindow contains the arguments of Parse. days lists every day by name, without ranges.
type testWindow struct{ days, from, to string }

// contains is a slow model of Window.Contains, which compares formatted local times.
func (w testWindow) contains(local time.Time) bool {
	isDay := func(day time.Time) bool { return strings.Contains(w.days, day.Format("Mon")) }
	clock := local.Format("15:04")
	if w.from < w.to {
		return isDay(local) && clock >= w.from && clock < w.to
	}
	// The previous calendar day, since a day may also have 23 or 25 hours.
	yesterday := time.Date(local.Year(), local.Month(), local.Day()-1, 12, 0, 0, 0, local.Location())
	return (isDay(local) && clock >= w.from) || (isDay(yesterday) && clock < w.to)
}

// Contains and NextChange agree with the model at every minute of two years in four zones.
func TestWindowMatchesModelEveryMinute(t *testing.T) {
	windows := []testWindow{
		{"Fri", "18:00", "23:00"},
		{"Mon,Tue,Wed,Thu,Fri", "09:00", "18:00"},
		{"Sat,Sun", "22:30", "02:15"},
		{"Sun", "01:30", "02:00"},
		{"Mon,Wed", "00:00", "24:00"},
	}
	for i, zone := range testZones {
		for k, window := range windows {
			if (i+k)%2 == 1 && testing.Short() {
				continue
			}
			checkEveryMinute(t, zone, window)
		}
	}
}

func checkEveryMinute(t *testing.T, zone string, model testWindow) {
	t.Helper()
	location, err := time.LoadLocation(zone)
	if err != nil {
		t.Fatal(err)
	}
	window, err := Parse(model.days, model.from, model.to, zone)
	if err != nil {
		t.Fatal(err)
	}
	instant := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	end := instant.AddDate(2, 0, 0)
	wasInside := model.contains(instant.In(location))
	next, ok := window.NextChange(instant)
	for ; instant.Before(end); instant = instant.Add(time.Minute) {
		local := instant.In(location)
		isInside := model.contains(local)
		if window.Contains(instant) != isInside {
			t.Fatalf("%s %v at %s: got Contains %v, want %v", zone, model, local, !isInside, isInside)
		}
		if isInside == wasInside {
			continue
		}
		if !ok || !next.Equal(instant) {
			t.Fatalf("%s %v: want a change at %s, got Next %s", zone, model, local, next.In(location))
		}
		wasInside = isInside
		next, ok = window.NextChange(instant)
	}
}

// From any instant on, Contains stays the same before NextChange and changes at NextChange.
func TestNextIsTheFirstChange(t *testing.T) {
	dayNames := []string{"Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat"}
	rapid.Check(t, func(t *rapid.T) {
		days := rapid.SliceOfNDistinct(rapid.SampledFrom(dayNames), 1, 7, rapid.ID[string]).Draw(t, "days")
		from := drawTimeOfDay(t, "from")
		to := drawTimeOfDay(t, "to")
		window, err := Parse(strings.Join(days, ","), from, to, rapid.SampledFrom(testZones).Draw(t, "zone"))
		if err != nil {
			t.Fatal(err)
		}
		after := time.Unix(rapid.Int64Range(1.7e9, 1.9e9).Draw(t, "after"), 0)
		isInside := window.Contains(after)
		next, ok := window.NextChange(after)
		if !ok {
			if window.start != window.end {
				t.Fatal("Next found no change for a window with different start and end, want one")
			}
			return
		}
		for instant := after; instant.Before(next); instant = instant.Add(7 * time.Minute) {
			if window.Contains(instant) != isInside {
				t.Fatalf("got Next %s, but Contains changes at or before %s", next, instant)
			}
		}
		if window.Contains(next) == isInside || window.Contains(next.Add(-time.Second)) != isInside {
			t.Fatalf("got Next %s, want an instant at which Contains changes", next)
		}
	})
}

func drawTimeOfDay(t *rapid.T, label string) string {
	minute := rapid.IntRange(0, minutesPerDay-1).Draw(t, label)
	return time.Unix(int64(60*minute), 0).UTC().Format("15:04")
}

func TestParseErrorsNameTheWrongArgument(t *testing.T) {
	for _, c := range []struct {
		days, from, to, zone string
		text                 string
		cause                error // nil: an error of package time
	}{
		{"Fry", "18:00", "23:00", "UTC", `"Fry" is not a day`, ErrWeekday},
		{"Mon-", "18:00", "23:00", "UTC", "not a day", ErrWeekday},
		{"Fri", "18", "23:00", "UTC", `"18" is not a time`, ErrTimeOfDay},
		{"Fri", "18:00", "24:01", "UTC", `"24:01"`, ErrTimeOfDay},
		{"Fri", "24:00", "01:00", "UTC", "24:00", ErrStartAtEndOfDay},
		{"Fri", "18:00", "23:00", "Mars/Base", `"Mars/Base"`, nil},
		{"Fri", "18:00", "23:00", "", "a name of the time-zone database is required", ErrNoTimeZone},
		{"Fri", "18:00", "23:00", "Local", "a name of the time-zone database is required", ErrNoTimeZone},
	} {
		_, err := Parse(c.days, c.from, c.to, c.zone)
		if err == nil || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%v: got error %v, want the text of the case", c, err)
		}
		if c.cause != nil && !errors.Is(err, c.cause) {
			t.Errorf("%v: got error %v, want one that wraps %v", c, err, c.cause)
		}
	}
}

// Days are lists and ranges, in upper or lower case. A range may extend past the end of the week.
func TestParseDays(t *testing.T) {
	for text, want := range map[string]string{
		"Mon-Fri":         "Mon Tue Wed Thu Fri",
		"sat-MON":         "Sun Mon Sat",
		" Fri , Sun ":     "Sun Fri",
		"Wed-Wed":         "Wed",
		"Mon-Tue,Sat":     "Mon Tue Sat",
		" Daily ":         "Sun Mon Tue Wed Thu Fri Sat",
		"Sun-Sat":         "Sun Mon Tue Wed Thu Fri Sat",
		"Mon,Mon,Mon-Wed": "Mon Tue Wed",
	} {
		days, err := parseDays(text)
		if err != nil {
			t.Errorf("%q: got error %v, want none", text, err)
		}
		var names []string
		for day, isSet := range days {
			if isSet {
				names = append(names, time.Weekday(day).String()[:3])
			}
		}
		if got := strings.Join(names, " "); got != want {
			t.Errorf("%q: got %s, want %s", text, got, want)
		}
	}
}
