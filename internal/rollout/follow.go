package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/harewalk/harewalk/internal/store"
)

// HandleItem takes over one changed key, of whatever kind.
func (r *Rollout) HandleItem(item store.Item) {
	if item.Version <= r.seen[item.Key] {
		return
	}
	read := func(v any, format func() int) bool {
		row, _ := RecordFormatOf(item.Key)
		err := json.Unmarshal(item.Value, v)
		if err == nil && format() > slices.Max(row.ReadFormats) {
			err = fmt.Errorf("format %d", format())
		}
		if err != nil {
			r.MarkUnreadable(item.Key, item.Value, err)
			return false
		}
		r.MarkReadable(item.Key)
		return true
	}
	switch {
	case item.Key == levelKey:
		// A newer release may write it in another form, but always with its level.
		var d levelDoc
		if read(&d, func() int { return d.Format }) || d.Level > 0 {
			r.level, r.by = d.Level, d.By
		}
		r.levelVersion = item.Version
	case item.Key == wordsKey:
		var w Directive
		if !read(&w, func() int { return w.Format }) {
			w = Directive{Mode: PausedByOperator, By: "a record that can't be read"}
		}
		r.words, r.wordsVersion = w, item.Version
	case item.Key == migrationKey:
		var m Migration
		if read(&m, func() int { return m.Format }) {
			r.migration = m
		}
		r.migVersion = item.Version
	case item.Key == termKey:
		r.founded = true
		return
	case strings.HasPrefix(item.Key, announcePrefix):
		peer := r.peer(strings.TrimPrefix(item.Key, announcePrefix))
		if peer == nil {
			return
		}
		var a Announcement
		if read(&a, func() int { return a.Format }) {
			peer.said, peer.AnnouncedLevel, peer.AnnouncedLease, peer.cause = a, a.Level, a.Lease, ""
		} else {
			peer.said, peer.AnnouncedLevel, peer.AnnouncedLease, peer.cause = Announcement{}, 0, 0, "its announcement can't be read"
		}
		peer.AnnouncementVersion = item.Version
	case strings.HasPrefix(item.Key, memberPrefix):
		peer := r.peer(strings.TrimPrefix(item.Key, memberPrefix))
		if peer == nil {
			return
		}
		var v struct {
			Hold   uint64 `json:"hold"`
			Format int    `json:"v"`
		}
		if !read(&v, func() int { return v.Format }) {
			v.Hold = 0 // somebody is there, and nobody knows who
		}
		peer.Lease, peer.MemberVersion = v.Hold, item.Version
	default:
		return
	}
	r.seen[item.Key] = item.Version
}

// HandleDelete takes over the end of a key.
func (r *Rollout) HandleDelete(key string, version uint64) {
	if version <= r.seen[key] {
		return
	}
	if peer := r.peer(strings.TrimPrefix(key, memberPrefix)); peer != nil && strings.HasPrefix(key, memberPrefix) {
		peer.Lease, peer.MemberVersion = 0, 0
	}
	if strings.HasPrefix(key, memberPrefix) || strings.HasPrefix(key, prefix) {
		r.seen[key] = version
	}
	r.MarkReadable(key)
}

// HandleReset takes a new reading of all keys: members that it lacks are gone.
func (r *Rollout) HandleReset(items []store.Item) {
	there := map[string]bool{}
	for _, item := range items {
		there[item.Key] = true
	}
	for _, peer := range r.peers {
		if !there[memberPrefix+peer.Node] {
			peer.Lease, peer.MemberVersion = 0, 0
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
