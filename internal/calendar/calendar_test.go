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

// TestMain sets a fixed seed, so that a run gives the same result every time.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// testZones include one that moves its clocks by half an hour.
var testZones = []string{"Asia/Tokyo", "America/New_York", "Australia/Lord_Howe", "Europe/Lisbon"}

// testWindow is a window as it is declared; days are full lists.
type testWindow struct{ days, from, to string }

// contains is the slow model of Window.Contains: it compares the texts that a local clock would print.
func (w testWindow) contains(local time.Time) bool {
	isDay := func(day time.Time) bool { return strings.Contains(w.days, day.Format("Mon")) }
	clock := local.Format("15:04")
	if w.from < w.to {
		return isDay(local) && clock >= w.from && clock < w.to
	}
	// The day before by the calendar, not 24 hours ago: days have 23 and 25 hours too.
	yesterday := time.Date(local.Year(), local.Month(), local.Day()-1, 12, 0, 0, 0, local.Location())
	return (isDay(local) && clock >= w.from) || (isDay(yesterday) && clock < w.to)
}

// Contains and Next agree with the model at every minute of two years in four zones.
func TestEveryMinuteOfTwoYears(t *testing.T) {
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
	moment := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	end := moment.AddDate(2, 0, 0)
	wasInside := model.contains(moment.In(location))
	next, ok := window.Next(moment)
	for ; moment.Before(end); moment = moment.Add(time.Minute) {
		local := moment.In(location)
		isInside := model.contains(local)
		if window.Contains(moment) != isInside {
			t.Fatalf("%s %v at %s: in the window is %v, want %v", zone, model, local, !isInside, isInside)
		}
		if isInside == wasInside {
			continue
		}
		if !ok || !next.Equal(moment) {
			t.Fatalf("%s %v changes at %s, not at %s", zone, model, local, next.In(location))
		}
		wasInside = isInside
		next, ok = window.Next(moment)
	}
}

// From any moment, Contains doesn't change before Next, and changes at Next.
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
		next, ok := window.Next(after)
		if !ok {
			if window.start != window.end {
				t.Fatal("a window that never changes")
			}
			return
		}
		for moment := after; moment.Before(next); moment = moment.Add(7 * time.Minute) {
			if window.Contains(moment) != isInside {
				t.Fatalf("it changed before %s, at %s", next, moment)
			}
		}
		if window.Contains(next) == isInside || window.Contains(next.Add(-time.Second)) != isInside {
			t.Fatalf("no change at %s", next)
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
		cause                error // nil: of package time
	}{
		{"Fry", "18:00", "23:00", "UTC", `"Fry" is no day`, ErrWeekday},
		{"Mon-", "18:00", "23:00", "UTC", "no day", ErrWeekday},
		{"Fri", "18", "23:00", "UTC", `"18" is no time`, ErrTimeOfDay},
		{"Fri", "18:00", "24:01", "UTC", `"24:01"`, ErrTimeOfDay},
		{"Fri", "24:00", "01:00", "UTC", "24:00", ErrStartAtEndOfDay},
		{"Fri", "18:00", "23:00", "Mars/Base", `"Mars/Base"`, nil},
		{"Fri", "18:00", "23:00", "", "name one", ErrNoTimeZone},
		{"Fri", "18:00", "23:00", "Local", "name one", ErrNoTimeZone},
	} {
		_, err := Parse(c.days, c.from, c.to, c.zone)
		if err == nil || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%v: error %v", c, err)
		}
		if c.cause != nil && !errors.Is(err, c.cause) {
			t.Errorf("%v: error %v is not %v", c, err, c.cause)
		}
	}
}

// Days may be given as lists and ranges, also over the end of the week, in any case.
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
			t.Errorf("%q: %v", text, err)
		}
		var names []string
		for day, isSet := range days {
			if isSet {
				names = append(names, time.Weekday(day).String()[:3])
			}
		}
		if got := strings.Join(names, " "); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}
