package membership

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

const (
	// maxCampaignJitter bounds the random delay of a campaign after the leader key was deleted.
	maxCampaignJitter = 150 * time.Millisecond
	// yieldDelay is how much longer a controller waits before a campaign for each other one that should lead rather
	// than it: one that is up has been elected by then.
	yieldDelay = 300 * time.Millisecond
	// maxYields bounds how many other controllers a campaign waits for.
	maxYields = 2
	// campaignBackoff passes between a campaign that wasn't won and the next one.
	campaignBackoff = 300 * time.Millisecond
)

// Leader is the stored value of the leader key.
type Leader struct {
	Node   string `json:"node"`
	Term   uint64 `json:"term"`
	Lease  uint64 `json:"hold"`
	Public string `json:"public"`
	// Secure is the leader's address with TLS; "" if it has none.
	Secure string `json:"secure,omitempty"`
}

// campaignDelay is how long this controller waits with a campaign after the leader key was deleted.
func (m *Membership) campaignDelay() time.Duration {
	jitter := time.Duration(m.cfg.Rng.Int64N(int64(maxCampaignJitter)))
	yields := min(m.cfg.Rollout.PreferredLeaders(), maxYields)
	return jitter + yieldDelay*time.Duration(yields)
}

// mayCampaign reports whether a campaign is due.
func (m *Membership) mayCampaign(now time.Duration) bool {
	return m.leader.Node == "" &&
		now >= m.campaignAt &&
		now >= m.noCampaignBefore &&
		now < m.lease.authorityUntil &&
		m.cfg.Rollout.Compatible()
}

// follow is the step of a follower: it campaigns when there is no leader.
func (m *Membership) follow(now time.Duration) {
	if m.leader.Node == m.cfg.Node && m.leader.Lease != m.lease.id {
		// A campaign of this controller's former process was carried out late. No running process uses the lease that
		// it names, and no controller can lead until that lease has ended.
		m.requestPending = true
		m.store.RevokeLease(m.leader.Lease, func(bool) { m.retryLater() })
		return
	}
	if m.mayCampaign(now) {
		m.campaign(now)
	}
}

// campaign sends the one transaction that takes leadership, the next term and the shard map.
func (m *Membership) campaign(now time.Duration) {
	m.requestPending = true
	m.transition(now, Campaigning, "no leader")
	won := m.leadershipValues()
	leaseID := m.lease.id
	m.store.Txn(m.campaignTxn(won), store.SafetyPriority, func(result store.Result) {
		if m.state != Campaigning || m.lease.id != leaseID {
			return
		}
		m.handleCampaignResult(won, result)
	})
}

// leadership is the three values that a campaign writes, as they are stored.
type leadership struct {
	leader, term, shardMap json.RawMessage
}

// leadershipValues encodes what a campaign in the next term writes.
func (m *Membership) leadershipValues() leadership {
	nextTerm := m.term + 1
	leader, _ := json.Marshal(Leader{
		Node:   m.cfg.Node,
		Term:   nextTerm,
		Lease:  m.lease.id,
		Public: m.cfg.Public,
		Secure: m.cfg.Secure,
	})
	shardMap, _ := json.Marshal(ShardMap{Term: nextTerm, Owners: []string{m.cfg.Node}})
	return leadership{
		leader:   leader,
		term:     rollout.EncodeTerm(m.cfg.Rollout.Level(), nextTerm),
		shardMap: shardMap,
	}
}

// campaignTxn depends on the absence of a leader, on the term as last seen, and on the cluster's level: a controller
// that has missed a rise of the level must not lead.
func (m *Membership) campaignTxn(won leadership) store.Txn {
	conditions, ops := m.cfg.Rollout.BootstrapConditions()
	return store.Txn{
		If: append([]store.Condition{
			{Key: leaderKey},
			{Key: rollout.TermKey, Version: m.termVersion},
		}, conditions...),
		Then: append([]store.Op{
			{Put: leaderKey, Value: won.leader, Lease: m.lease.id},
			{Put: rollout.TermKey, Value: won.term},
			{Put: shardMapKey, Value: won.shardMap},
		}, ops...),
	}
}

// handleCampaignResult takes over the outcome of the campaign under way.
func (m *Membership) handleCampaignResult(won leadership, result store.Result) {
	now := m.store.Now()
	switch result.Outcome {
	case store.Committed:
		// The leader key comes last: it makes this controller the leader, of the new term and the new shard map.
		for _, item := range []store.Item{
			{Key: rollout.TermKey, Value: won.term, Version: result.Revision},
			{Key: shardMapKey, Value: won.shardMap, Version: result.Revision},
			{Key: leaderKey, Value: won.leader, Version: result.Revision},
		} {
			_ = m.HandleItem(now, item) // values that were encoded here can be decoded
		}
	case store.LeaseExpired:
		m.dropLease(now, "lease expired")
	default:
		// Lost, or indeterminate: the followed keys will show who leads.
		m.retryLater()
		m.campaignAt = now + campaignBackoff
		m.transition(now, Follower, "campaign not won")
	}
}

// handleLeaderChange compares a new value of the leader key with this controller's state.
func (m *Membership) handleLeaderChange(now time.Duration) {
	// A campaign of this process may be carried out late: it counts as long as its lease is this controller's.
	if m.leader.Node == m.cfg.Node && m.leader.Lease == m.lease.id && m.lease.id != 0 {
		if m.state == Follower || m.state == Campaigning {
			m.requestPending = false
			m.transition(now, Leading, "elected")
		}
		return
	}
	switch m.state {
	case Leading:
		m.dropLease(now, "another leader")
	case Campaigning:
		m.requestPending = false
		m.transition(now, Follower, "another leader")
	}
}
