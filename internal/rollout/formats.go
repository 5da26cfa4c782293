package rollout

import (
	"encoding/json"
	"slices"
	"strings"
)

// Guard is a controller's reaction to a record that it can't read, because a newer release wrote the record or because
// the record is damaged.
type Guard string

// The guards. The values are their names in answers to operators.
const (
	// GuardStandDown makes a controller resign as leader and stop acting if the record's format is newer than its
	// release, because other controllers can read the record. A damaged record is left unchanged, and work that
	// depends on it waits.
	GuardStandDown Guard = "stand-down"
	// GuardQuarantine excludes the record's job: the job isn't planned, started, reported to users or written.
	GuardQuarantine Guard = "seal"
	// GuardIgnore treats the record as absent, for kinds of record whose absence is safe.
	GuardIgnore Guard = "unsaid"
	// GuardAdvisory needs no action, since nothing depends on the record.
	GuardAdvisory Guard = "hint"
)

// notWritten is the WriteFormat.Format of a kind of record that isn't written from a level on.
const notWritten = 0

// WriteFormat is the format in which a kind of record is written from a level on.
type WriteFormat struct {
	From   Level
	Format int    // notWritten: records of this kind are no longer, or not yet, written
	Since  string // the release that introduced this format at this level
}

// RecordKind describes a kind of record: where its records are stored, and in which formats this release reads and
// writes them.
type RecordKind struct {
	Kind         string
	Prefix       string // prefix of the keys
	ReadFormats  []int
	WriteFormats []WriteFormat // formats in ascending order of level
	Guard        Guard         // reaction to an unreadable record of this kind
}

// singleFormat returns a kind of record that has the same format at all levels.
func singleFormat(kind, prefix string, guard Guard) RecordKind {
	return formatsByLevel(kind, prefix, guard, WriteFormat{Base, 1, firstAnnouncingRelease})
}

// formatsByLevel returns a kind of record whose format depends on the level. Every format that is written at some
// level is read.
func formatsByLevel(kind, prefix string, guard Guard, writes ...WriteFormat) RecordKind {
	var reads []int
	for _, write := range writes {
		if write.Format != notWritten {
			reads = append(reads, write.Format)
		}
	}
	return RecordKind{Kind: kind, Prefix: prefix, ReadFormats: reads, WriteFormats: writes, Guard: guard}
}

// RecordKinds lists every kind of record in the state service. A test compares it with the code of each package.
var RecordKinds = []RecordKind{
	// A pending job with predecessors has format 2; all other jobs have format 1. Format 2 is written once all
	// controllers support its level (Rollout.AllSupportLevel): one of a former release would quarantine the job.
	formatsByLevel("job", "h/j/", GuardQuarantine,
		WriteFormat{Base, 1, firstAnnouncingRelease},
		WriteFormat{Dependencies, 2, firstDependencyRelease}),
	formatsByLevel("archived-job", "a/", GuardQuarantine,
		WriteFormat{Base, notWritten, firstAnnouncingRelease},
		WriteFormat{Archived, 1, firstArchivingRelease}),
	formatsByLevel("plan", "p/", GuardQuarantine,
		WriteFormat{Base, 1, firstAnnouncingRelease},
		WriteFormat{Paged, notWritten, firstAnnouncingRelease}), // plans are part of plan pages
	formatsByLevel("plan-page", "p/@/", GuardQuarantine,
		WriteFormat{Base, notWritten, firstAnnouncingRelease},
		WriteFormat{Paged, 1, firstAnnouncingRelease}),
	singleFormat("image-hints", "p/images", GuardAdvisory),
	singleFormat("leader", "h/c/leader", GuardStandDown),
	formatsByLevel("term", TermKey, GuardStandDown,
		WriteFormat{Base, 1, firstAnnouncingRelease},
		WriteFormat{Paged, 2, firstAnnouncingRelease}),
	singleFormat("part-map", "h/c/map", GuardStandDown),
	singleFormat("member", memberPrefix, GuardIgnore),
	singleFormat("machine-types", "h/c/types", GuardAdvisory),
	singleFormat("licence-count", "h/l/", GuardStandDown),
	singleFormat("session", "s/", GuardStandDown),
	singleFormat("operators-wishes", "h/o/wishes", GuardStandDown),
	formatsByLevel("drain-request", "h/o/machines/", GuardStandDown,
		WriteFormat{Base, notWritten, firstAnnouncingRelease},
		WriteFormat{DrainKeys, 1, firstDrainKeysRelease}),
	singleFormat("zones", "h/z/", GuardAdvisory),
	singleFormat("announcement", announcePrefix, GuardIgnore),
	singleFormat("level", levelKey, GuardStandDown),
	singleFormat("migration", migrationKey, GuardStandDown),
	singleFormat("rollout-words", directiveKey, GuardStandDown),
}

// RecordKindOf returns the kind of record with the longest prefix of a key, and false if no prefix matches.
func RecordKindOf(key string) (RecordKind, bool) {
	longest := -1
	for i, kind := range RecordKinds {
		if !strings.HasPrefix(key, kind.Prefix) {
			continue
		}
		if longest < 0 || len(kind.Prefix) > len(RecordKinds[longest].Prefix) {
			longest = i
		}
	}
	if longest < 0 {
		return RecordKind{}, false
	}
	return RecordKinds[longest], true
}

// FormatAtLevel returns the format that is written at a level, or 0 if records of this kind are not written then.
func (f RecordKind) FormatAtLevel(level Level) int {
	format := notWritten
	for _, write := range f.WriteFormats {
		if write.From <= level {
			format = write.Format
		}
	}
	return format
}

// newestRead returns the newest format that this release reads.
func (f RecordKind) newestRead() int { return slices.Max(f.ReadFormats) }

// Newer reports whether a record's format is newer than all formats that this release reads.
func (f RecordKind) Newer(raw json.RawMessage) bool { return FormatOf(raw) > f.newestRead() }

// FormatOf returns the format that a record names. The format is 1 if the record names none or isn't a JSON object.
func FormatOf(raw json.RawMessage) int {
	var record struct {
		Format int `json:"v"`
	}
	if json.Unmarshal(raw, &record) != nil || record.Format == 0 {
		return 1
	}
	return record.Format
}

// readFormats returns the formats that this release reads, keyed by kind of record.
func readFormats() map[string][]int {
	formats := map[string][]int{}
	for _, kind := range RecordKinds {
		formats[kind.Kind] = kind.ReadFormats
	}
	return formats
}

// writtenFormats returns the format that this release writes at a level, keyed by kind of record.
func writtenFormats(level Level) map[string]int {
	formats := map[string]int{}
	for _, kind := range RecordKinds {
		if written := kind.FormatAtLevel(level); written != notWritten {
			formats[kind.Kind] = written
		}
	}
	return formats
}
