package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/harewalk/harewalk/internal/store"
)

// HandleItem takes over one changed key, of whatever kind.
func (r *Rollout) HandleItem(it store.Item) {
	if it.Version <= r.seen[it.Key] {
		return
	}
	read := func(v any, format func() int) bool {
		row, _ := RecordFormatOf(it.Key)
		err := json.Unmarshal(it.Value, v)
		if err == nil && format() > slices.Max(row.ReadFormats) {
			err = fmt.Errorf("format %d", format())
		}
		if err != nil {
			r.MarkUnreadable(it.Key, it.Value, err)
			return false
		}
		r.MarkReadable(it.Key)
		return true
	}
	switch {
	case it.Key == levelKey:
		// A newer release may write it in another form, but always with its level.
		var d levelDoc
		if read(&d, func() int { return d.Format }) || d.Level > 0 {
			r.level, r.by = d.Level, d.By
		}
		r.levelVersion = it.Version
	case it.Key == wordsKey:
		var w Directive
		if !read(&w, func() int { return w.Format }) {
			w = Directive{Mode: PausedByOperator, By: "a record that can't be read"}
		}
		r.words, r.wordsVersion = w, it.Version
	case it.Key == migrationKey:
		var m Migration
		if read(&m, func() int { return m.Format }) {
			r.migration = m
		}
		r.migVersion = it.Version
	case it.Key == termKey:
		r.founded = true
		return
	case strings.HasPrefix(it.Key, announcePrefix):
		p := r.peer(strings.TrimPrefix(it.Key, announcePrefix))
		if p == nil {
			return
		}
		var a Announcement
		if read(&a, func() int { return a.Format }) {
			p.said, p.AnnouncedLevel, p.AnnouncedLease, p.cause = a, a.Level, a.Lease, ""
		} else {
			p.said, p.AnnouncedLevel, p.AnnouncedLease, p.cause = Announcement{}, 0, 0, "its announcement can't be read"
		}
		p.AnnouncementVersion = it.Version
	case strings.HasPrefix(it.Key, memberPrefix):
		p := r.peer(strings.TrimPrefix(it.Key, memberPrefix))
		if p == nil {
			return
		}
		var v struct {
			Hold   uint64 `json:"hold"`
			Format int    `json:"v"`
		}
		if !read(&v, func() int { return v.Format }) {
			v.Hold = 0 // somebody is there, and nobody knows who
		}
		p.Lease, p.MemberVersion = v.Hold, it.Version
	default:
		return
	}
	r.seen[it.Key] = it.Version
}

// HandleDelete takes over the end of a key.
func (r *Rollout) HandleDelete(key string, version uint64) {
	if version <= r.seen[key] {
		return
	}
	if p := r.peer(strings.TrimPrefix(key, memberPrefix)); p != nil && strings.HasPrefix(key, memberPrefix) {
		p.Lease, p.MemberVersion = 0, 0
	}
	if strings.HasPrefix(key, memberPrefix) || strings.HasPrefix(key, prefix) {
		r.seen[key] = version
	}
	r.MarkReadable(key)
}

// HandleReset takes a new reading of all keys: members that it lacks are gone.
func (r *Rollout) HandleReset(items []store.Item) {
	there := map[string]bool{}
	for _, it := range items {
		there[it.Key] = true
	}
	for _, p := range r.peers {
		if !there[memberPrefix+p.Node] {
			p.Lease, p.MemberVersion = 0, 0
		}
	}
	for key := range r.unread {
		if strings.HasPrefix(key, "h/") && !there[key] {
			r.MarkReadable(key)
		}
	}
}

// HandleSynced tells that all keys have been read.
func (r *Rollout) HandleSynced() { r.synced = true }
