package membership

import (
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// HasAuthority reports whether this controller may answer heartbeats and send commands. Authority ends a margin
// before the lease can, counted from when the last successful renewal was sent. It also ends when the followed keys
// are older than Config.StalenessBound: a renewal that succeeds, or a lease that outlives an outage, doesn't
// refresh them.
func (m *Membership) HasAuthority(now time.Duration) bool {
	return m.state == Leading && now < m.lease.authorityUntil && now-m.freshAt() < m.cfg.StalenessBound
}

// Term returns the term of the leader as last seen: this controller's own term while it leads.
func (m *Membership) Term() uint64 { return m.leader.Term }

// Leader returns the leader as last seen; its Node is "" if there is none.
func (m *Membership) Leader() Leader { return m.leader }

// LeaderCondition returns the condition that every write of the leader carries: the leader key is unchanged.
func (m *Membership) LeaderCondition() store.Condition {
	return store.Condition{Key: leaderKey, Version: m.leaderVersion}
}

// Owner returns the controller that a machine's worker should send its heartbeats to; "" if there is no leader.
func (m *Membership) Owner(machine string) string {
	if m.leader.Node == "" {
		return ""
	}
	return m.shardMap.Owner(machine)
}
