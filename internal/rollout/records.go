package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// The keys under h/r/ belong to this package. Those of the members and the term belong to package membership: an
// upgrade of the level depends on the members and rewrites the term.
const (
	prefix         = "h/r/"
	levelKey       = prefix + "level"
	directiveKey   = prefix + "words"
	migrationKey   = prefix + "migration"
	announcePrefix = prefix + "n/"
	memberPrefix   = "h/c/n/"

	// TermKey is where the term is stored.
	TermKey = "h/c/term"

	// followedPrefix is the prefix of all keys that controllers watch.
	followedPrefix = "h/"
)

// AnnounceKey returns the key of a controller's announcement.
func AnnounceKey(node string) string { return announcePrefix + node }

// MemberKey returns the key of a controller's membership.
func MemberKey(node string) string { return memberPrefix + node }

// versionedRecord is a record that names the format in which it is written; 0 means 1.
type versionedRecord interface{ recordFormat() int }

// announcementRecord is what a controller publishes of itself each time that it joins the cluster. It is stored without
// a lease, so that it outlives its process.
type announcementRecord struct {
	Format      int              `json:"v,omitempty"`
	Node        string           `json:"node"`
	Zone        string           `json:"zone,omitempty"`
	Release     string           `json:"release"`
	Level       Level            `json:"level"` // the highest that it supports
	Lease       uint64           `json:"hold"`  // of its process
	StartedAtMS int64            `json:"at_ms"` // start of its process, in wall-clock milliseconds
	Reads       map[string][]int `json:"reads,omitempty"`
	Writes      map[string]int   `json:"writes,omitempty"`
	Behaviours  []string         `json:"behaviours,omitempty"`
}

func (a *announcementRecord) recordFormat() int { return a.Format }

// memberRecord is the part of a member key that the rollout needs.
type memberRecord struct {
	Lease  uint64 `json:"hold"`
	Format int    `json:"v"`
}

func (m *memberRecord) recordFormat() int { return m.Format }

// levelRecord is the cluster's level.
type levelRecord struct {
	Format int    `json:"v,omitempty"`
	Level  Level  `json:"level"`
	By     string `json:"by"` // the controller that upgraded it
	AtMS   int64  `json:"at_ms"`
}

func (l *levelRecord) recordFormat() int { return l.Format }

// directiveRecord is the operators' latest directive about the rollout.
type directiveRecord struct {
	Format int    `json:"v,omitempty"`
	Mode   Mode   `json:"mode"`
	Level  Level  `json:"level,omitempty"`
	By     string `json:"by"`
	AtMS   int64  `json:"at_ms"`
}

func (d *directiveRecord) recordFormat() int { return d.Format }

func (d *directiveRecord) directive() directive {
	return directive{mode: d.Mode, level: d.Level, operator: d.By}
}

// migrationRecord is the progress of a migration.
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

// encode returns a record's stored form. The records of this package contain nothing that can't be encoded.
func encode(record any) json.RawMessage {
	raw, _ := json.Marshal(record)
	return raw
}

// stringTermFormat is the format of the term key with the number as a string, the newest that this release reads.
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

// EncodeTerm returns the value of the term key as it is written at a level. From Paged on the number is a string:
// releases without levels refuse to read it, and a controller that can't read the term can't campaign.
func EncodeTerm(level Level, term uint64) json.RawMessage {
	if level < Paged {
		return encode(numberTermRecord{Term: term})
	}
	return encode(stringTermRecord{Format: stringTermFormat, Term: term})
}

// DecodeTerm reads the value of the term key in either format. The error is a NewerFormatError if its format is
// newer.
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
