package rollout

import (
	"encoding/json"
	"slices"
	"strings"
)

// Guard is what a controller does about a record that it can't read: a newer release wrote it, or it is damaged.
type Guard string

// The guards, by their names in answers to operators.
const (
	// GuardStandDown has a controller that reads a newer format give up the lead and stay out, as others can read
	// it. A damaged record is kept as it is, and what depends on it waits.
	GuardStandDown Guard = "stand-down"
	// GuardQuarantine excludes the one job of the record: nothing of it is planned, started, answered or written.
	GuardQuarantine Guard = "seal"
	// GuardIgnore treats the record as absent, where that is safe.
	GuardIgnore Guard = "unsaid"
	// GuardAdvisory needs no action, since nothing depends on the record.
	GuardAdvisory Guard = "hint"
)

// notWritten is the format of a kind of record that isn't written at a level.
const notWritten = 0

// WriteFormat is the format in which a kind of record is written from a level on.
type WriteFormat struct {
	From   Level
	Format int    // or notWritten
	Since  string // the release that introduced it
}

// RecordFormat is a kind of record: where it is stored, which formats this release reads, and which it writes.
type RecordFormat struct {
	Kind         string
	Prefix       string // of its keys
	ReadFormats  []int
	WriteFormats []WriteFormat // by ascending level
	Guard        Guard
}

// singleFormat returns a kind of record that has had one format at all levels.
func singleFormat(kind, prefix string, guard Guard) RecordFormat {
	return replacedFormats(kind, prefix, guard, WriteFormat{Base, 1, firstAnnouncingRelease})
}

// replacedFormats returns a kind of record that reads each format that it writes at some level.
func replacedFormats(kind, prefix string, guard Guard, writes ...WriteFormat) RecordFormat {
	var reads []int
	for _, write := range writes {
		if write.Format != notWritten {
			reads = append(reads, write.Format)
		}
	}
	return RecordFormat{Kind: kind, Prefix: prefix, ReadFormats: reads, WriteFormats: writes, Guard: guard}
}

// RecordFormats lists every kind of record in the state service. A test compares it with the code of each package.
var RecordFormats = []RecordFormat{
	// A pending job with predecessors has format 2, all other jobs have format 1. Format 2 is written as soon as all
	// controllers support its level (Rollout.AllSupport): one of a former release would quarantine the job.
	replacedFormats("job", "h/j/", GuardQuarantine,
		WriteFormat{Base, 1, firstAnnouncingRelease},
		WriteFormat{Dependencies, 2, firstDependencyRelease}),
	replacedFormats("archived-job", "a/", GuardQuarantine,
		WriteFormat{Base, notWritten, firstAnnouncingRelease},
		WriteFormat{Archived, 1, firstArchivingRelease}),
	replacedFormats("plan", "p/", GuardQuarantine,
		WriteFormat{Base, 1, firstAnnouncingRelease},
		WriteFormat{Paged, notWritten, firstAnnouncingRelease}), // it is a part of a plan page
	replacedFormats("plan-page", "p/@/", GuardQuarantine,
		WriteFormat{Base, notWritten, firstAnnouncingRelease},
		WriteFormat{Paged, 1, firstAnnouncingRelease}),
	singleFormat("image-hints", "p/images", GuardAdvisory),
	singleFormat("leader", "h/c/leader", GuardStandDown),
	replacedFormats("term", TermKey, GuardStandDown,
		WriteFormat{Base, 1, firstAnnouncingRelease},
		WriteFormat{Paged, 2, firstAnnouncingRelease}),
	singleFormat("part-map", "h/c/map", GuardStandDown),
	singleFormat("member", memberPrefix, GuardIgnore),
	singleFormat("machine-types", "h/c/types", GuardAdvisory),
	singleFormat("licence-count", "h/l/", GuardStandDown),
	singleFormat("session", "s/", GuardStandDown),
	singleFormat("operators-wishes", "h/o/wishes", GuardStandDown),
	replacedFormats("drain-request", "h/o/machines/", GuardStandDown,
		WriteFormat{Base, notWritten, firstAnnouncingRelease},
		WriteFormat{DrainKeys, 1, firstDrainKeysRelease}),
	singleFormat("zones", "h/z/", GuardAdvisory),
	singleFormat("announcement", announcePrefix, GuardIgnore),
	singleFormat("level", levelKey, GuardStandDown),
	singleFormat("migration", migrationKey, GuardStandDown),
	singleFormat("rollout-words", directiveKey, GuardStandDown),
}

// RecordFormatOf returns the kind of record of a key, the one with the longest prefix; false if there is none.
func RecordFormatOf(key string) (RecordFormat, bool) {
	longest := -1
	for i, format := range RecordFormats {
		if !strings.HasPrefix(key, format.Prefix) {
			continue
		}
		if longest < 0 || len(format.Prefix) > len(RecordFormats[longest].Prefix) {
			longest = i
		}
	}
	if longest < 0 {
		return RecordFormat{}, false
	}
	return RecordFormats[longest], true
}

// WrittenAt returns the format that is written at a level, 0 if none is.
func (f RecordFormat) WrittenAt(level Level) int {
	format := notWritten
	for _, write := range f.WriteFormats {
		if write.From <= level {
			format = write.Format
		}
	}
	return format
}

// newestRead returns the newest format that this release reads.
func (f RecordFormat) newestRead() int { return slices.Max(f.ReadFormats) }

// Newer reports whether a record names a newer format than this release reads.
func (f RecordFormat) Newer(raw json.RawMessage) bool { return FormatOf(raw) > f.newestRead() }

// FormatOf returns the format that a record names. One that names none, or isn't a JSON object, has format 1.
func FormatOf(raw json.RawMessage) int {
	var record struct {
		Format int `json:"v"`
	}
	if json.Unmarshal(raw, &record) != nil || record.Format == 0 {
		return 1
	}
	return record.Format
}

// readFormats returns the formats that this release reads, by kind of record.
func readFormats() map[string][]int {
	formats := map[string][]int{}
	for _, format := range RecordFormats {
		formats[format.Kind] = format.ReadFormats
	}
	return formats
}

// writtenFormats returns the formats that this release writes at a level, by kind of record.
func writtenFormats(level Level) map[string]int {
	formats := map[string]int{}
	for _, format := range RecordFormats {
		if written := format.WrittenAt(level); written != notWritten {
			formats[format.Kind] = written
		}
	}
	return formats
}
