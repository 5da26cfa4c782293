package rollout

import (
	"encoding/json"
	"fmt"
)

// AnnounceKey is where a controller says what it is.
func AnnounceKey(node string) string { return announcePrefix + node }

// Announcement is what a controller says of itself whenever it takes part anew. It stands without a hold: what is
// known of a controller that is down is kept.
type Announcement struct {
	Format     int              `json:"v,omitempty"`
	Node       string           `json:"node"`
	Zone       string           `json:"zone,omitempty"`
	Release    string           `json:"release"`
	Level      Level            `json:"level"` // the highest that it knows
	Lease      uint64           `json:"hold"`
	AtMS       int64            `json:"at_ms"` // when its process began
	Reads      map[string][]int `json:"reads,omitempty"`
	Writes     map[string]int   `json:"writes,omitempty"`
	Behaviours []string         `json:"behaviours,omitempty"`
}

// levelDoc is the cluster's level.
type levelDoc struct {
	Format int    `json:"v,omitempty"`
	Level  Level  `json:"level"`
	By     string `json:"by"`
	AtMS   int64  `json:"at_ms"`
}

// Directive is operators' last word.
type Directive struct {
	Format int    `json:"v,omitempty"`
	Mode   Mode   `json:"mode"`
	Level  Level  `json:"level,omitempty"` // to which Finish lets the cluster rise
	By     string `json:"by"`
	AtMS   int64  `json:"at_ms"`
}

// Migration is how far the rewriting of what stands in a former format has come. Which records are left is known
// from the records themselves: one that was moved no longer stands in its old place. So a leader that takes over
// goes on with what is left, and nothing is moved twice.
type Migration struct {
	Format  int    `json:"v,omitempty"`
	Level   Level  `json:"level"`
	Done    bool   `json:"done"`
	Left    int    `json:"left"` // as of the last word of a leader
	Term    uint64 `json:"term"`
	Leaders int    `json:"turns"` // leaders that worked on it
}

// EncodeTerm writes the term key as it is written at a level. From Paged on the number is a string: releases that
// know nothing of levels refuse to read it, and who hasn't read the term can't campaign.
func EncodeTerm(l Level, term uint64) json.RawMessage {
	if l < Paged {
		raw, _ := json.Marshal(struct {
			Term uint64 `json:"term"`
		}{term})
		return raw
	}
	raw, _ := json.Marshal(struct {
		Format int    `json:"v"`
		Term   uint64 `json:"term,string"`
	}{2, term})
	return raw
}

// DecodeTerm reads the term key in either format.
func DecodeTerm(raw json.RawMessage) (uint64, error) {
	if f := FormatOf(raw); f > 2 {
		return 0, fmt.Errorf("term in format %d", f)
	}
	var v struct {
		Term json.Number `json:"term"`
	}
	if err := json.Unmarshal(raw, &v); err != nil {
		return 0, err
	}
	var n uint64
	if _, err := fmt.Sscan(v.Term.String(), &n); err != nil {
		return 0, fmt.Errorf("term %q: %w", v.Term, err)
	}
	return n, nil
}
