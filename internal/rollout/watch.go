package rollout

import (
	"encoding/json"
	"strings"

	"github.com/harewalk/harewalk/internal/store"
)

// HandleItem applies a changed key of any kind. It ignores keys that the rollout doesn't depend on, and versions no
// newer than the one applied last.
func (r *Rollout) HandleItem(item store.Item) {
	if item.Version <= r.keyVersions[item.Key] {
		return
	}
	if r.apply(item) {
		r.keyVersions[item.Key] = item.Version
	}
}

// apply applies a newer version of a key and reports whether HandleItem must store the version in keyVersions.
func (r *Rollout) apply(item store.Item) bool {
	switch item.Key {
	case levelKey:
		r.applyLevel(item)
		return true
	case directiveKey:
		r.applyDirective(item)
		return true
	case migrationKey:
		r.applyMigration(item)
		return true
	case TermKey:
		r.stored.bootstrapped = true
		return false
	}
	if node, ok := strings.CutPrefix(item.Key, announcePrefix); ok {
		return r.applyAnnouncement(r.peer(node), item)
	}
	if node, ok := strings.CutPrefix(item.Key, memberPrefix); ok {
		return r.applyMember(r.peer(node), item)
	}
	return false
}

// decode decodes a record, marks it as readable or unreadable, and reports whether it is readable. An unreadable record
// may be decoded in part.
func (r *Rollout) decode(item store.Item, record versionedRecord) bool {
	kind, _ := RecordKindOf(item.Key)
	err := json.Unmarshal(item.Value, record)
	if err == nil && record.recordFormat() > kind.newestRead() {
		err = &NewerFormatError{Format: record.recordFormat()}
	}
	if err != nil {
		r.MarkUnreadable(item.Key, item.Value, err)
		return false
	}
	r.MarkReadable(item.Key)
	return true
}

func (r *Rollout) applyLevel(item store.Item) {
	var record levelRecord
	// The level can be read in newer formats too: they all have the field.
	if r.decode(item, &record) || record.Level > 0 {
		r.stored.level = record.Level
	}
	r.stored.levelVersion = item.Version
}

func (r *Rollout) applyDirective(item store.Item) {
	var record directiveRecord
	if r.decode(item, &record) {
		r.stored.directive = record.directive()
	} else {
		r.stored.directive = directive{mode: PausedByOperator, operator: "a record that can't be read"}
	}
	r.stored.directiveVersion = item.Version
}

func (r *Rollout) applyMigration(item store.Item) {
	var record migrationRecord
	if r.decode(item, &record) {
		r.stored.migration = record.migration()
	}
	r.stored.migrationVersion = item.Version
}

func (r *Rollout) applyAnnouncement(peer *peer, item store.Item) bool {
	if peer == nil {
		return false
	}
	var record announcementRecord
	peer.unreadableCause = ""
	if !r.decode(item, &record) {
		record = announcementRecord{}
		peer.unreadableCause = "its announcement can't be read"
	}
	peer.release = record.Release
	peer.startedAtMS = record.StartedAtMS
	peer.AnnouncedLevel = record.Level
	peer.AnnouncedLease = record.Lease
	peer.AnnouncementVersion = item.Version
	return true
}

func (r *Rollout) applyMember(peer *peer, item store.Item) bool {
	if peer == nil {
		return false
	}
	var member memberRecord
	if !r.decode(item, &member) {
		member.Lease = 0 // the controller is up, but no announcement is valid for its process
	}
	peer.Lease = member.Lease
	peer.MemberVersion = item.Version
	return true
}

// HandleDelete applies the deletion of a key. version is the version of the deletion.
func (r *Rollout) HandleDelete(key string, version uint64) {
	if version <= r.keyVersions[key] {
		return
	}
	node, isMember := strings.CutPrefix(key, memberPrefix)
	if isMember {
		if peer := r.peer(node); peer != nil {
			peer.markDown()
		}
	}
	if isMember || strings.HasPrefix(key, ownPrefix) {
		r.keyVersions[key] = version
	}
	r.MarkReadable(key)
}

// HandleReset applies a new listing of all watched keys: controllers whose member key is absent are down, and absent
// records are no longer unreadable. The caller passes the items to HandleItem as well.
func (r *Rollout) HandleReset(items []store.Item) {
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
	}
	for _, peer := range r.peers {
		if !present[MemberKey(peer.Node)] {
			peer.markDown()
		}
	}
	for key := range r.unreadable {
		if strings.HasPrefix(key, watchedPrefix) && !present[key] {
			r.MarkReadable(key)
		}
	}
}

// HandleSynced records that all watched keys have been read at least once.
func (r *Rollout) HandleSynced() { r.synced = true }
