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

// HandleSynced takes over that the followed keys have been read completely.
func (m *Membership) HandleSynced(now time.Duration) {
	m.keysLoaded = true
	if m.state == LoadingKeys {
		m.transition(now, RevokingOldLease, "keys loaded")
	}
}

// HandleReset takes over a new reading of all followed keys: keys it lacks were deleted.
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

// HandleItem takes over one changed key. Keys of others and versions that were seen before are ignored. The error
// tells why a value can't be read; its version doesn't count as seen then.
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

// handleTermItem takes over the term. While it can't be read its version isn't taken over either, so that a
// campaign of this controller fails.
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
	if err := decode("part map", item.Value, &m.shardMap); err != nil {
		return err
	}
	m.shardMapVersion = item.Version
	return nil
}

// decode reads a stored value. Its error for a newer format is a *rollout.NewerFormatError with the name.
func decode(name string, raw json.RawMessage, value any) error {
	if format := rollout.FormatOf(raw); format > newestFormat {
		return &rollout.NewerFormatError{Record: name, Format: format}
	}
	return json.Unmarshal(raw, value)
}

// HandleDelete takes over the deletion of a key at a version.
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
