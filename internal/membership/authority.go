package membership

import (
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// HasAuthority reports whether this controller may answer heartbeats and send commands. Authority ends a margin before
// the lease can expire. The lease's time to live counts from when the last successful renewal was sent. Authority also
// ends when the watched keys are older than Config.StalenessBound: neither a successful renewal nor a lease that
// outlives an outage refreshes the keys.
func (m *Membership) HasAuthority(now time.Duration) bool {
	return m.state == Leading && now < m.lease.authorityUntil && now-m.freshAt() < m.cfg.StalenessBound
}

// Term returns the term in the leader key as last read: this controller's own term while it leads.
func (m *Membership) Term() uint64 { return m.leader.Term }

// Leader returns the leader key's value as last read; its Node is "" if there is no leader.
func (m *Membership) Leader() Leader { return m.leader }

// LeaderCondition returns the condition of every write that the leader sends: the leader key is unchanged.
func (m *Membership) LeaderCondition() store.Condition {
	return store.Condition{Key: leaderKey, Version: m.leaderVersion}
}

// Owner returns the controller that a machine's worker should send its heartbeats to, or "" if there is no leader.
func (m *Membership) Owner(machine string) string {
	if m.leader.Node == "" {
		return ""
	}
	return m.shardMap.Owner(machine)
}
