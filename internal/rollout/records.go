package rollout

import (
	"encoding/json"
	"fmt"
)

// The keys under h/r/ belong to this package. Those of the members and the term belong to package membership: a
// rise of the level depends on the members and rewrites the term.
const (
	prefix         = "h/r/"
	levelKey       = prefix + "level"
	directiveKey   = prefix + "words"
	migrationKey   = prefix + "migration"
	announcePrefix = prefix + "n/"
	memberPrefix   = "h/c/n/"
	termKey        = "h/c/term"

	// followedPrefix is the prefix of all keys that controllers watch.
	followedPrefix = "h/"
)

// AnnounceKey returns the key of a controller's announcement.
func AnnounceKey(node string) string { return announcePrefix + node }

func memberKey(node string) string { return memberPrefix + node }

// versionedRecord is a record that names the format in which it is written.
type versionedRecord interface{ recordFormat() int }

// Announcement is what a controller publishes of itself each time that it joins the cluster. It is stored without a
// lease, so that it outlives its process.
type Announcement struct {
	Format     int              `json:"v,omitempty"` // 0 means 1, here and below
	Node       string           `json:"node"`
	Zone       string           `json:"zone,omitempty"`
	Release    string           `json:"release"`
	Level      Level            `json:"level"` // the highest that it supports
	Lease      uint64           `json:"hold"`  // of its process
	AtMS       int64            `json:"at_ms"` // start of its process, in wall-clock milliseconds
	Reads      map[string][]int `json:"reads,omitempty"`
	Writes     map[string]int   `json:"writes,omitempty"`
	Behaviours []string         `json:"behaviours,omitempty"`
}

func (a *Announcement) recordFormat() int { return a.Format }

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
	By     string `json:"by"` // the controller that raised it
	AtMS   int64  `json:"at_ms"`
}

func (l *levelRecord) recordFormat() int { return l.Format }

// Directive is the operators' latest directive about the rollout.
type Directive struct {
	Format int    `json:"v,omitempty"`
	Mode   Mode   `json:"mode"`
	Level  Level  `json:"level,omitempty"` // to which FinishRequested lets the cluster rise
	By     string `json:"by"`
	AtMS   int64  `json:"at_ms"`
}

func (d *Directive) recordFormat() int { return d.Format }

// Migration is the progress of rewriting the records of a former format. The records themselves tell which of them
// are left, since a migrated one has left its old place. So a leader that takes over goes on with those, and none
// is migrated twice.
type Migration struct {
	Format  int    `json:"v,omitempty"`
	Level   Level  `json:"level"`
	Done    bool   `json:"done"`
	Left    int    `json:"left"`  // records left, as the last leader counted them
	Term    uint64 `json:"term"`  // of that leader
	Leaders int    `json:"turns"` // the number of leaders that have worked on it
}

func (m *Migration) recordFormat() int { return m.Format }

// encode returns a record's stored form. The records of this package contain nothing that can't be encoded.
func encode(record any) json.RawMessage {
	raw, _ := json.Marshal(record)
	return raw
}

// stringTermFormat is the format of the term key with the number as a string, the newest that this release reads.
const stringTermFormat = 2

// EncodeTerm returns the value of the term key as it is written at a level. From Paged on the number is a string:
// releases without levels refuse to read it, and a controller that can't read the term can't campaign.
func EncodeTerm(level Level, term uint64) json.RawMessage {
	if level < Paged {
		return encode(struct {
			Term uint64 `json:"term"`
		}{term})
	}
	return encode(struct {
		Format int    `json:"v"`
		Term   uint64 `json:"term,string"`
	}{stringTermFormat, term})
}

// DecodeTerm reads the value of the term key in either format.
func DecodeTerm(raw json.RawMessage) (uint64, error) {
	if format := FormatOf(raw); format > stringTermFormat {
		return 0, fmt.Errorf("term in format %d", format)
	}
	var record struct {
		Term json.Number `json:"term"`
	}
	if err := json.Unmarshal(raw, &record); err != nil {
		return 0, err
	}
	var term uint64
	if _, err := fmt.Sscan(record.Term.String(), &term); err != nil {
		return 0, fmt.Errorf("term %q: %w", record.Term, err)
	}
	return term, nil
}
