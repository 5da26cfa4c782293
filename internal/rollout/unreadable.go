package rollout

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

// UnreadableRecord is a stored record that this release can't read.
type UnreadableRecord struct {
	Key   string `json:"key"`
	Kind  string `json:"kind"`
	Cause string `json:"cause"`
	Newer bool   `json:"newer"` // true: the format is newer than this release reads; false: the record is damaged
	Guard Guard  `json:"guard"`
}

func newUnreadableRecord(key string, raw json.RawMessage, cause error) UnreadableRecord {
	kind, known := RecordKindOf(key)
	if !known {
		kind = RecordKind{Kind: "unknown", Guard: GuardAdvisory}
	}
	return UnreadableRecord{
		Key:   key,
		Kind:  kind.Kind,
		Cause: fmt.Sprint(cause),
		Newer: known && kind.Newer(raw),
		Guard: kind.Guard,
	}
}

// MarkUnreadable records that a stored record of any package can't be read. It logs the record unless the same record
// is already marked with the same cause.
func (r *Rollout) MarkUnreadable(key string, raw json.RawMessage, cause error) {
	record := newUnreadableRecord(key, raw, cause)
	if former, known := r.unreadable[key]; !known || former != record {
		slog.Error("stored record unreadable",
			"key", key, "kind", record.Kind, "newer", record.Newer, "guard", string(record.Guard), "cause", cause)
	}
	r.unreadable[key] = record
}

// MarkReadable records that a stored record can be read or has been deleted.
func (r *Rollout) MarkReadable(key string) { delete(r.unreadable, key) }

// UnreadableCount returns the number of stored records that this controller can't read.
func (r *Rollout) UnreadableCount() int { return len(r.unreadable) }

// unreadableRecords returns the records that this controller can't read, sorted by key.
func (r *Rollout) unreadableRecords() []UnreadableRecord {
	records := []UnreadableRecord{}
	for _, record := range r.unreadable {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b UnreadableRecord) int { return strings.Compare(a.Key, b.Key) })
	return records
}
