// Package calendar implements weekly windows of wall-clock time in a named time zone, such as Monday to Friday from
// 09:00 to 18:00 in Asia/Tokyo. A window follows the zone's local time across changes of daylight-saving time,
// midnight and month ends. The package reads no clock: callers pass the time. Package config parses windows. Licence
// pools and the policies of sessions evaluate them.
package calendar

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	// Controllers have no disk, so the time-zone database is part of the program.
	_ "time/tzdata"
)

const (
	daysPerWeek   = 7
	hoursPerDay   = 24
	minutesPerDay = hoursPerDay * 60

	// searchHorizon bounds the search for a window's next change. A window occurs at least once a week, except in a
	// week in which a clock change skips it.
	searchHorizon = 22 * hoursPerDay * time.Hour
)

// Window is a weekly window of wall-clock time. The zero value contains no time.
//
// If the end of a window is at or before its start, the window runs past midnight and belongs to the day on which it
// starts. A window doesn't contain a local time that a clock change skips. If a clock change repeats a local time in
// the window, the window contains both occurrences.
type Window struct {
	days     [daysPerWeek]bool // by time.Weekday: the window starts on this day
	start    int               // minute of the day, below minutesPerDay
	end      int               // minute of the day, at most minutesPerDay
	location *time.Location    // nil in the zero value
}

// Contains reports whether an instant lies in the window. The start is included, the end is not.
func (w Window) Contains(instant time.Time) bool {
	if w.location == nil {
		return false
	}
	local := instant.In(w.location)
	minute := local.Hour()*60 + local.Minute()
	today := int(local.Weekday())
	if w.start < w.end {
		return w.days[today] && minute >= w.start && minute < w.end
	}
	yesterday := (today + daysPerWeek - 1) % daysPerWeek
	return (w.days[today] && minute >= w.start) || (w.days[yesterday] && minute < w.end)
}

// NextChange returns the first instant after the given one at which the result of Contains changes. ok is false if the
// result never changes, such as for a daily window from 00:00 to 00:00.
func (w Window) NextChange(after time.Time) (next time.Time, ok bool) {
	if w.location == nil {
		return time.Time{}, false
	}
	isInside := w.Contains(after)
	horizon := after.Add(searchHorizon)
	for from := after; from.Before(horizon); {
		// Between two changes of the zone's UTC offset, local time advances at the same rate as absolute time.
		to := horizon
		if _, offsetChange := from.In(w.location).ZoneBounds(); !offsetChange.IsZero() && offsetChange.Before(to) {
			to = offsetChange
		}
		if change, found := w.nextAtFixedOffset(from, to, isInside); found {
			return change, true
		}
		if w.Contains(to) != isInside {
			return to, true
		}
		from = to
	}
	return time.Time{}, false
}

// nextAtFixedOffset returns the first instant after from and before to at which Contains differs from isInside. The
// zone's UTC offset must not change between from and to.
func (w Window) nextAtFixedOffset(from, to time.Time, isInside bool) (time.Time, bool) {
	midnight := w.midnightBefore(from)
	boundaries := [...]int{min(w.start, w.end), max(w.start, w.end)}
	for day := 0; ; day++ {
		for _, minute := range boundaries {
			boundary := midnight.Add(time.Duration(day*minutesPerDay+minute) * time.Minute)
			if !boundary.Before(to) {
				return time.Time{}, false
			}
			if boundary.After(from) && w.Contains(boundary) != isInside {
				return boundary, true
			}
		}
	}
}

// midnightBefore returns the last local midnight before an instant, computed with the UTC offset at the instant.
func (w Window) midnightBefore(instant time.Time) time.Time {
	local := instant.In(w.location)
	sinceMidnight := time.Duration(local.Hour())*time.Hour +
		time.Duration(local.Minute())*time.Minute +
		time.Duration(local.Second())*time.Second +
		time.Duration(local.Nanosecond())
	return instant.Add(-sinceMidnight)
}

// Errors of Parse. Each error of Parse wraps one of them, or the error of time.LoadLocation for an unknown time zone.
var (
	ErrWeekday         = errors.New("is not a day of the week (use Mon, Tue, Wed, Thu, Fri, Sat, Sun)")
	ErrTimeOfDay       = errors.New("is not a time of day (use HH:MM, 00:00 to 24:00)")
	ErrStartAtEndOfDay = errors.New("a window can't start at 24:00; use 00:00 of the next day")
	ErrNoTimeZone      = errors.New(`a name of the time-zone database is required, such as "Asia/Tokyo" or "UTC"`)
)

// Parse returns a window. days is a list of days and ranges ("Mon-Fri", "Fri,Sun") or "daily". from and to are times
// of day ("18:00"). zone is the name of a time zone ("Asia/Tokyo"). The error contains the invalid argument.
func Parse(days, from, to, zone string) (Window, error) {
	startDays, err := parseDays(days)
	if err != nil {
		return Window{}, err
	}
	start, err := parseTimeOfDay(from)
	if err != nil {
		return Window{}, err
	}
	end, err := parseTimeOfDay(to)
	if err != nil {
		return Window{}, err
	}
	if start == minutesPerDay {
		return Window{}, ErrStartAtEndOfDay
	}
	location, err := parseZone(zone)
	if err != nil {
		return Window{}, err
	}
	return Window{days: startDays, start: start, end: end, location: location}, nil
}

// parseDays parses a list of weekdays and ranges, or "daily". A range may extend past the end of the week.
func parseDays(text string) (days [daysPerWeek]bool, err error) {
	if strings.EqualFold(strings.TrimSpace(text), "daily") {
		text = "Mon-Sun"
	}
	for part := range strings.SplitSeq(text, ",") {
		firstName, lastName, isRange := strings.Cut(part, "-")
		first, err := parseWeekday(firstName)
		if err != nil {
			return days, err
		}
		last := first
		if isRange {
			if last, err = parseWeekday(lastName); err != nil {
				return days, err
			}
		}
		for day := first; day != last; day = (day + 1) % daysPerWeek {
			days[day] = true
		}
		days[last] = true
	}
	return days, nil
}

// weekdayNames contains the names of the days, in lower case, by time.Weekday.
var weekdayNames = [daysPerWeek]string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func parseWeekday(text string) (time.Weekday, error) {
	text = strings.TrimSpace(text)
	for day, name := range weekdayNames {
		if strings.EqualFold(text, name) {
			return time.Weekday(day), nil
		}
	}
	return 0, fmt.Errorf("%q %w", text, ErrWeekday)
}

// parseTimeOfDay parses a time of day such as "18:00" and returns its minute of the day, from 0 to minutesPerDay.
func parseTimeOfDay(text string) (int, error) {
	text = strings.TrimSpace(text)
	hourText, minuteText, hasColon := strings.Cut(text, ":")
	hour, hourErr := strconv.Atoi(hourText)
	minute, minuteErr := strconv.Atoi(minuteText)
	isNumeric := hasColon && len(minuteText) == 2 && hourErr == nil && minuteErr == nil
	if !isNumeric || hour < 0 || minute < 0 || minute > 59 || hour*60+minute > minutesPerDay {
		return 0, fmt.Errorf("%q %w", text, ErrTimeOfDay)
	}
	return hour*60 + minute, nil
}

// parseZone loads a time zone. It refuses "Local", the machine's own zone, which may differ between controllers.
func parseZone(name string) (*time.Location, error) {
	if name == "" || name == "Local" {
		return nil, fmt.Errorf("time zone %q: %w", name, ErrNoTimeZone)
	}
	location, err := time.LoadLocation(name)
	if err != nil {
		return nil, fmt.Errorf("time zone %q: %w", name, err)
	}
	return location, nil
}
