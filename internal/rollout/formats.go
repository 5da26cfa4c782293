// Package rollout is how controllers of different releases share one cluster: which formats of stored records there
// are and who writes which, what each controller has announced, the cluster's level, which rises once when all
// have announced it, the migration that follows, and the order in which controllers are restarted.
//
// It owns the keys under h/r/. It has no I/O and no clock: changed keys and times come in, transactions go out, and
// its caller, the event loop, sends them under the leader's guard. It never decides who leads.
package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Level is how far the stored state and the controllers' behaviour have come, together. A behaviour or format of a
// level is used only when the cluster's level is at least that.
type Level int

// The levels.
const (
	Base     Level = 1 // what releases wrote before there were levels
	Paged    Level = 2 // plans stand in pages that many jobs share; the term is written so that those releases can't lead
	Archived Level = 3 // ended jobs leave the followed keys for the archive
	// DrainKeys has the drain request of each machine under a key of its own, in place of one document for all.
	DrainKeys Level = 4
	Newest          = DrainKeys
)

// Release is this program's, in the order of semantic versions.
const Release = "v0.23.0"

// behaviours names what each level switches on, for people.
var behaviours = map[Level]string{Base: "base", Paged: "plan-pages", Archived: "archive", DrainKeys: "drain-keys"}

// Guard is what keeps a controller from harm by a record whose format it doesn't know, or that is damaged.
type Guard string

// The guards.
const (
	// GuardStandDown: a controller that meets a newer format gives up the lead and stays out, for others can read it.
	// A damaged record is kept as it is; what depends on it waits.
	GuardStandDown Guard = "stand-down"
	// GuardQuarantine: nothing of the one job it belongs to is planned, started, told or written.
	GuardQuarantine Guard = "seal"
	// GuardIgnore: it counts as if it had not been written, where that is the safe side.
	GuardIgnore Guard = "unsaid"
	// GuardAdvisory: nothing depends on it.
	GuardAdvisory Guard = "hint"
)

// WriteFormat says that a format is written from a level on.
type WriteFormat struct {
	From   Level
	Format int
	Since  string // the release that began to
}

// RecordFormat is one kind of record: where it stands, which formats this release reads, and which it writes.
type RecordFormat struct {
	Kind         string
	Prefix       string
	ReadFormats  []int
	WriteFormats []WriteFormat // by rising level
	Guard        Guard
}

// first is the release that named formats; before it there was only format 1 of each.
const first = "v0.21.0"

// archiving is the release that began to archive ended jobs.
const archiving = "v0.22.0"

// draining is the release that began to give machines' drain requests keys of their own.
const draining = "v0.23.0"

func one(kind, prefix string, g Guard) RecordFormat {
	return RecordFormat{kind, prefix, []int{1}, []WriteFormat{{Base, 1, first}}, g}
}

// RecordFormats lists every kind of record in the state service. A test holds each slice's code against it.
var RecordFormats = []RecordFormat{
	one("job", "h/j/", GuardQuarantine),
	{"archived-job", "a/", []int{1}, []WriteFormat{{Base, 0, first}, {Archived, 1, archiving}}, GuardQuarantine},
	{"plan", "p/", []int{1}, []WriteFormat{{Base, 1, first}, {Paged, 0, first}}, GuardQuarantine}, // 0: no longer written by itself
	{"plan-page", "p/@/", []int{1}, []WriteFormat{{Base, 0, first}, {Paged, 1, first}}, GuardQuarantine},
	one("image-hints", "p/images", GuardAdvisory),
	one("leader", "h/c/leader", GuardStandDown),
	{"term", "h/c/term", []int{1, 2}, []WriteFormat{{Base, 1, first}, {Paged, 2, first}}, GuardStandDown},
	one("part-map", "h/c/map", GuardStandDown),
	one("member", "h/c/n/", GuardIgnore),
	one("machine-types", "h/c/types", GuardAdvisory),
	one("licence-count", "h/l/", GuardStandDown),
	one("session", "s/", GuardStandDown),
	one("operators-wishes", "h/o/wishes", GuardStandDown),
	{"drain-request", "h/o/machines/", []int{1}, []WriteFormat{{Base, 0, first}, {DrainKeys, 1, draining}}, GuardStandDown},
	one("zones", "h/z/", GuardAdvisory),
	one("announcement", announcePrefix, GuardIgnore),
	one("level", levelKey, GuardStandDown),
	one("migration", migrationKey, GuardStandDown),
	one("rollout-words", wordsKey, GuardStandDown),
}

// RecordFormatOf finds the kind of a key; false: none is known.
func RecordFormatOf(key string) (RecordFormat, bool) {
	best := -1
	for i, r := range RecordFormats {
		if strings.HasPrefix(key, r.Prefix) && (best < 0 || len(r.Prefix) > len(RecordFormats[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return RecordFormat{}, false
	}
	return RecordFormats[best], true
}

// WrittenAt is the format that is written at a level, 0: none.
func (r RecordFormat) WrittenAt(l Level) int {
	f := 0
	for _, w := range r.WriteFormats {
		if w.From <= l {
			f = w.Format
		}
	}
	return f
}

// FormatOf reads which format a record names. One that names none, or is no JSON object, is format 1.
func FormatOf(raw json.RawMessage) int {
	var v struct {
		Format int `json:"v"`
	}
	if json.Unmarshal(raw, &v) != nil || v.Format == 0 {
		return 1
	}
	return v.Format
}

// Newer tells whether a record names a format that this release doesn't read.
func (r RecordFormat) Newer(raw json.RawMessage) bool {
	return !slices.Contains(r.ReadFormats, FormatOf(raw)) && FormatOf(raw) > slices.Max(r.ReadFormats)
}

// reads and writes are what a controller announces: by kind, what it reads, and what it writes at a level.
func reads() map[string][]int {
	m := map[string][]int{}
	for _, r := range RecordFormats {
		m[r.Kind] = r.ReadFormats
	}
	return m
}

func writes(l Level) map[string]int {
	m := map[string]int{}
	for _, r := range RecordFormats {
		if f := r.WrittenAt(l); f > 0 {
			m[r.Kind] = f
		}
	}
	return m
}

// UnreadableRecord is a stored record that can't be read here.
type UnreadableRecord struct {
	Key   string `json:"key"`
	Kind  string `json:"kind"`
	Cause string `json:"cause"`
	Newer bool   `json:"newer"` // another release wrote it; otherwise it is damaged
	Guard Guard  `json:"guard"`
}

func recordOf(key string, raw json.RawMessage, cause error) UnreadableRecord {
	row, ok := RecordFormatOf(key)
	if !ok {
		row = RecordFormat{Kind: "unknown", Guard: GuardAdvisory}
	}
	return UnreadableRecord{Key: key, Kind: row.Kind, Cause: fmt.Sprint(cause), Newer: ok && row.Newer(raw), Guard: row.Guard}
}
