// Package calendar knows named hours of a named time zone: "Mon-Fri 09:00 to 18:00 in
// Asia/Tokyo". A window follows what a clock on the wall of that zone shows, so it is right
// over daylight-saving changes, midnight and month ends. The package holds no clock: the
// time is an argument.
package calendar

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	// Controllers have no disk: the zones come with the program.
	_ "time/tzdata"
)

const (
	dayMinutes = 24 * 60
	// horizon bounds the search for a change, in days: no window is silent for longer, since
	// each has at least one day of the week, and a clock change can swallow it for one week.
	horizon = 22
)

// Window is a weekly stretch of wall-clock time. The zero value contains nothing.
//
// A window whose end is not after its start runs over midnight and belongs to the day on which
// it begins. What the clock skips in spring is not in the window, and what it shows twice in
// autumn is in it twice.
type Window struct {
	days     [7]bool // by time.Weekday, of the start
	from, to int     // minutes of the day; from is below dayMinutes, to at most dayMinutes
	loc      *time.Location
}

var dayNames = [...]string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func weekday(s string) (int, error) {
	for i, n := range dayNames {
		if strings.EqualFold(strings.TrimSpace(s), n) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%q is no day of the week (use Mon, Tue, Wed, Thu, Fri, Sat, Sun)", strings.TrimSpace(s))
}

func minutes(s string) (int, error) {
	h, m, ok := strings.Cut(strings.TrimSpace(s), ":")
	hh, e1 := strconv.Atoi(h)
	mm, e2 := strconv.Atoi(m)
	if !ok || len(m) != 2 || e1 != nil || e2 != nil || hh < 0 || mm < 0 || mm > 59 || hh*60+mm > dayMinutes {
		return 0, fmt.Errorf("%q is no time of day (use HH:MM, 00:00 to 24:00)", strings.TrimSpace(s))
	}
	return hh*60 + mm, nil
}

// Parse makes a window from days ("Mon-Fri", "Fri,Sun", "daily"), two times of day ("18:00")
// and the name of a time zone ("Asia/Tokyo"). Its error says which of them is wrong.
func Parse(days, from, to, zone string) (Window, error) {
	w := Window{}
	if strings.EqualFold(strings.TrimSpace(days), "daily") {
		days = "Mon-Sun"
	}
	for _, part := range strings.Split(days, ",") {
		a, b, ranged := strings.Cut(part, "-")
		lo, err := weekday(a)
		if err != nil {
			return Window{}, err
		}
		hi := lo
		if ranged {
			if hi, err = weekday(b); err != nil {
				return Window{}, err
			}
		}
		for d := lo; ; d = (d + 1) % 7 {
			w.days[d] = true
			if d == hi {
				break
			}
		}
	}
	var err error
	if w.from, err = minutes(from); err != nil {
		return Window{}, err
	}
	if w.to, err = minutes(to); err != nil {
		return Window{}, err
	}
	if w.from == dayMinutes {
		return Window{}, fmt.Errorf("a window can't begin at 24:00; use 00:00 of the next day")
	}
	if zone == "" || zone == "Local" {
		return Window{}, fmt.Errorf("time zone %q: name one, as in \"Asia/Tokyo\" or \"UTC\"", zone)
	}
	if w.loc, err = time.LoadLocation(zone); err != nil {
		return Window{}, fmt.Errorf("time zone %q: %w", zone, err)
	}
	return w, nil
}

// Contains tells whether a moment lies in the window.
func (w Window) Contains(t time.Time) bool {
	if w.loc == nil {
		return false
	}
	l := t.In(w.loc)
	m, d := l.Hour()*60+l.Minute(), int(l.Weekday())
	if w.from < w.to {
		return w.days[d] && m >= w.from && m < w.to
	}
	return (w.days[d] && m >= w.from) || (w.days[(d+6)%7] && m < w.to)
}

// Next is the first moment after t at which Contains changes. ok is false for a window that
// never changes, such as one of every day from 00:00 to 00:00.
func (w Window) Next(t time.Time) (next time.Time, ok bool) {
	if w.loc == nil {
		return time.Time{}, false
	}
	now := w.Contains(t)
	end := t.Add(horizon * 24 * time.Hour)
	for at := t; at.Before(end); {
		// Between two clock changes of the zone, wall time runs as evenly as real time.
		_, change := at.In(w.loc).ZoneBounds()
		stop := end
		if !change.IsZero() && change.Before(stop) {
			stop = change
		}
		if c, found := w.evenly(at, stop, now); found {
			return c, true
		}
		if w.Contains(stop) != now {
			return stop, true
		}
		at = stop
	}
	return time.Time{}, false
}

// evenly finds the first change in (t, stop), in which the zone's offset stays the same.
func (w Window) evenly(t, stop time.Time, now bool) (time.Time, bool) {
	l := t.In(w.loc)
	midnight := t.Add(-time.Duration(l.Hour())*time.Hour - time.Duration(l.Minute())*time.Minute -
		time.Duration(l.Second())*time.Second - time.Duration(l.Nanosecond()))
	lo, hi := min(w.from, w.to), max(w.from, w.to)
	for day := 0; ; day++ {
		for _, m := range [...]int{lo, hi} {
			c := midnight.Add(time.Duration(day*dayMinutes+m) * time.Minute)
			if !c.Before(stop) {
				return time.Time{}, false
			}
			if c.After(t) && w.Contains(c) != now {
				return c, true
			}
		}
	}
}
