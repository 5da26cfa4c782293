package membership

import (
	"encoding/json"
	"math"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// newestFormat is the newest stored format of the leader key and the shard map that this release reads.
const newestFormat = 1

// HandleSynced records that all watched keys have been read.
func (m *Membership) HandleSynced(now time.Duration) {
	m.keysLoaded = true
	if m.state == LoadingKeys {
		m.transition(now, RevokingOldLease, "keys loaded")
	}
}

// HandleReset handles a new read of all watched keys: keys that items lacks were deleted.
func (m *Membership) HandleReset(now time.Duration, items []store.Item) {
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
	}
	if !present[leaderKey] && m.leaderVersion != 0 {
		m.HandleDelete(now, leaderKey, math.MaxUint64)
	}
	if !present[m.memberKey()] {
		m.registered = registration{}
	}
}

// HandleItem applies a changed key. Keys of other packages and versions that aren't newer are ignored. If a value can't
// be decoded, the error gives the reason, and the recorded value and version of the key stay.
func (m *Membership) HandleItem(now time.Duration, item store.Item) error {
	switch item.Key {
	case leaderKey:
		return m.handleLeaderItem(now, item)
	case rollout.TermKey:
		return m.handleTermItem(item)
	case shardMapKey:
		return m.handleShardMapItem(item)
	case m.memberKey():
		m.handleMemberItem(item)
	}
	return nil
}

func (m *Membership) handleLeaderItem(now time.Duration, item store.Item) error {
	if item.Version <= m.leaderVersion {
		return nil
	}
	var leader Leader
	if err := decode("leader", item.Value, &leader); err != nil {
		return err
	}
	isOwnTerm := m.state == Leading && leader.Term == m.leader.Term && leader.Node == m.cfg.Node
	m.leader, m.leaderVersion = leader, item.Version
	if !isOwnTerm {
		m.handleLeaderChange(now)
	}
	return nil
}

// handleTermItem applies a new term. If the term can't be decoded, the recorded version stays too, so that a campaign
// of this controller fails.
func (m *Membership) handleTermItem(item store.Item) error {
	if item.Version <= m.termVersion {
		return nil
	}
	term, err := rollout.DecodeTerm(item.Value)
	if err != nil {
		return err
	}
	m.term, m.termVersion = term, item.Version
	return nil
}

func (m *Membership) handleShardMapItem(item store.Item) error {
	if item.Version <= m.shardMapVersion {
		return nil
	}
	if err := decode("shard map", item.Value, &m.shardMap); err != nil {
		return err
	}
	m.shardMapVersion = item.Version
	return nil
}

// decode decodes a stored value. For a newer format the error is a *rollout.NewerFormatError with the record's name.
func decode(name string, raw json.RawMessage, value any) error {
	if format := rollout.FormatOf(raw); format > newestFormat {
		return &rollout.NewerFormatError{Record: name, Format: format}
	}
	return json.Unmarshal(raw, value)
}

// HandleDelete applies the deletion of a key at a version.
func (m *Membership) HandleDelete(now time.Duration, key string, version uint64) {
	if key == m.memberKey() && version > m.registered.version {
		m.registered = registration{}
	}
	if key != leaderKey || version <= m.leaderVersion {
		return
	}
	m.leader.Node = ""
	m.leaderVersion = 0
	m.campaignAt = now + m.campaignDelay()
	if m.state == Leading {
		m.dropLease(now, "leader key deleted")
	}
}
