package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// The keys under h/r/ belong to this package. The member keys and the term key belong to package membership: an upgrade
// of the level depends on the members and rewrites the term.
const (
	ownPrefix      = "h/r/"
	levelKey       = ownPrefix + "level"
	directiveKey   = ownPrefix + "words"
	migrationKey   = ownPrefix + "migration"
	announcePrefix = ownPrefix + "n/"
	memberPrefix   = "h/c/n/"

	// TermKey is the key of the term.
	TermKey = "h/c/term"

	// watchedPrefix is the prefix of all keys that controllers watch.
	watchedPrefix = "h/"
)

// AnnounceKey returns the key of a controller's announcement.
func AnnounceKey(node string) string { return announcePrefix + node }

// MemberKey returns a controller's member key.
func MemberKey(node string) string { return memberPrefix + node }

// versionedRecord is a record that names its own format. If the record names none, recordFormat returns 0, which means
// format 1.
type versionedRecord interface{ recordFormat() int }

// announcementRecord is the announcement that a controller writes each time it joins the cluster. The record is stored
// without a lease, so it outlives the process.
type announcementRecord struct {
	Format      int              `json:"v,omitempty"`
	Node        string           `json:"node"`
	Zone        string           `json:"zone,omitempty"`
	Release     string           `json:"release"`
	Level       Level            `json:"level"`                // highest level that the controller supports
	Lease       uint64           `json:"hold"`                 // lease of the process
	StartedAtMS int64            `json:"at_ms"`                // start of the process, in wall-clock milliseconds
	Reads       map[string][]int `json:"reads,omitempty"`      // formats that the release reads, by kind of record
	Writes      map[string]int   `json:"writes,omitempty"`     // format that the release writes, by kind of record
	Behaviours  []string         `json:"behaviours,omitempty"` // names in levelBehaviours, up to Level
}

func (a *announcementRecord) recordFormat() int { return a.Format }

// memberRecord is the part of a member key's value that the rollout needs.
type memberRecord struct {
	Lease  uint64 `json:"hold"`
	Format int    `json:"v"`
}

func (m *memberRecord) recordFormat() int { return m.Format }

// levelRecord is the cluster's level.
type levelRecord struct {
	Format int    `json:"v,omitempty"`
	Level  Level  `json:"level"`
	By     string `json:"by"`    // the controller that upgraded the level
	AtMS   int64  `json:"at_ms"` // time of the upgrade, in wall-clock milliseconds
}

func (l *levelRecord) recordFormat() int { return l.Format }

// directiveRecord is the operators' latest directive about the rollout.
type directiveRecord struct {
	Format int    `json:"v,omitempty"`
	Mode   Mode   `json:"mode"`
	Level  Level  `json:"level,omitempty"` // the highest level to which FinishRequested allows an upgrade
	By     string `json:"by"`              // name of the operator
	AtMS   int64  `json:"at_ms"`           // time of the command, in wall-clock milliseconds
}

func (d *directiveRecord) recordFormat() int { return d.Format }

func (d *directiveRecord) directive() directive {
	return directive{mode: d.Mode, level: d.Level, operator: d.By}
}

// migrationRecord is the stored form of a migration.
type migrationRecord struct {
	Format  int    `json:"v,omitempty"`
	Level   Level  `json:"level"`
	Done    bool   `json:"done"`
	Left    int    `json:"left"`
	Term    uint64 `json:"term"`
	Leaders int    `json:"turns"`
}

func (m *migrationRecord) recordFormat() int { return m.Format }

func newMigrationRecord(m migration) migrationRecord {
	return migrationRecord{Level: m.level, Done: m.done, Left: m.left, Term: m.term, Leaders: m.leaders}
}

func (m *migrationRecord) migration() migration {
	return migration{level: m.Level, done: m.Done, left: m.Left, term: m.Term, leaders: m.Leaders}
}

// encode returns a record's stored form. Encoding a record of this package never fails.
func encode(record any) json.RawMessage {
	raw, _ := json.Marshal(record)
	return raw
}

// stringTermFormat is the format of the term key that stores the number as a string. This release reads none newer.
const stringTermFormat = 2

// numberTermRecord is the term key in its first format.
type numberTermRecord struct {
	Term uint64 `json:"term"`
}

// stringTermRecord is the term key in stringTermFormat.
type stringTermRecord struct {
	Format int    `json:"v"`
	Term   uint64 `json:"term,string"`
}

// anyTermRecord is the term key in either format.
type anyTermRecord struct {
	Term json.Number `json:"term"`
}

// EncodeTerm returns the value of the term key as it is written at a level. From Paged on the number is a string, which
// releases without levels can't read: a controller that can't read the term can't campaign.
func EncodeTerm(level Level, term uint64) json.RawMessage {
	if level < Paged {
		return encode(numberTermRecord{Term: term})
	}
	return encode(stringTermRecord{Format: stringTermFormat, Term: term})
}

// DecodeTerm decodes the value of the term key in either format. If the value's format is newer than stringTermFormat,
// the error is a *NewerFormatError.
func DecodeTerm(raw json.RawMessage) (uint64, error) {
	if format := FormatOf(raw); format > stringTermFormat {
		return 0, &NewerFormatError{Record: "term", Format: format}
	}
	var record anyTermRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return 0, err
	}
	term, err := strconv.ParseUint(record.Term.String(), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("term %q: %w", record.Term, err)
	}
	return term, nil
}
