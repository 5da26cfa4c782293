package membership

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

const (
	// maxCampaignJitter bounds the random delay between the deletion of the leader key and a campaign.
	maxCampaignJitter = 150 * time.Millisecond
	// yieldDelay is added to the delay of a campaign for each controller that is preferred as leader over this one: a
	// preferred controller that is running has been elected by then.
	yieldDelay = 300 * time.Millisecond
	// maxYields bounds the number of preferred controllers for which a campaign is delayed.
	maxYields = 2
	// campaignBackoff is the delay between an unsuccessful campaign and the next one.
	campaignBackoff = 300 * time.Millisecond
)

// Leader is the stored value of the leader key.
type Leader struct {
	Node   string `json:"node"`
	Term   uint64 `json:"term"`
	Lease  uint64 `json:"hold"`
	Public string `json:"public"`
	// TLSAddr is the leader's address with TLS; "" if it has none.
	TLSAddr string `json:"secure,omitempty"`
}

// campaignDelay returns the delay between the deletion of the leader key and this controller's campaign.
func (m *Membership) campaignDelay() time.Duration {
	jitter := time.Duration(m.cfg.Rng.Int64N(int64(maxCampaignJitter)))
	yields := min(m.cfg.Rollout.PreferredLeaders(), maxYields)
	return jitter + yieldDelay*time.Duration(yields)
}

// mayCampaign reports whether this controller may campaign now.
func (m *Membership) mayCampaign(now time.Duration) bool {
	return m.leader.Node == "" &&
		now >= m.campaignAt &&
		now >= m.noCampaignBefore &&
		now < m.lease.authorityUntil &&
		m.cfg.Rollout.Compatible()
}

// tickFollower runs one tick of a follower. It campaigns if there is no leader.
func (m *Membership) tickFollower(now time.Duration) {
	if m.leader.Node == m.cfg.Node && m.leader.Lease != m.lease.id {
		// A campaign of this controller's former process was committed late. No running process uses the lease that the
		// leader key names, and no controller can lead until that lease has ended.
		m.requestPending = true
		m.store.RevokeLease(m.leader.Lease, func(bool) { m.retryLater() })
		return
	}
	if m.mayCampaign(now) {
		m.campaign(now)
	}
}

// campaign sends the transaction that writes the leader key, the next term and the shard map.
func (m *Membership) campaign(now time.Duration) {
	m.requestPending = true
	m.transition(now, Campaigning, "no leader")
	values := m.encodeCampaignValues()
	leaseID := m.lease.id
	m.store.Txn(m.campaignTxn(values), store.CriticalPriority, func(result store.Result) {
		if m.state != Campaigning || m.lease.id != leaseID {
			return
		}
		m.handleCampaignResult(values, result)
	})
}

// campaignValues are the encoded values that a campaign writes.
type campaignValues struct {
	leader, term, shardMap json.RawMessage
}

// encodeCampaignValues returns the values for a campaign in the next term.
func (m *Membership) encodeCampaignValues() campaignValues {
	nextTerm := m.term + 1
	leader, _ := json.Marshal(Leader{
		Node:    m.cfg.Node,
		Term:    nextTerm,
		Lease:   m.lease.id,
		Public:  m.cfg.PublicAddr,
		TLSAddr: m.cfg.TLSAddr,
	})
	shardMap, _ := json.Marshal(ShardMap{Term: nextTerm, Owners: []string{m.cfg.Node}})
	return campaignValues{
		leader:   leader,
		term:     rollout.EncodeTerm(m.cfg.Rollout.Level(), nextTerm),
		shardMap: shardMap,
	}
}

// campaignTxn returns the transaction of a campaign. It is conditional on the absence of a leader, on the term as last
// read, and on the cluster's level: a controller that has missed a rise of the level must not lead.
func (m *Membership) campaignTxn(values campaignValues) store.Txn {
	conditions, ops := m.cfg.Rollout.BootstrapConditions()
	return store.Txn{
		If: append([]store.Condition{
			{Key: leaderKey},
			{Key: rollout.TermKey, Version: m.termVersion},
		}, conditions...),
		Then: append([]store.Op{
			{Put: leaderKey, Value: values.leader, Lease: m.lease.id},
			{Put: rollout.TermKey, Value: values.term},
			{Put: shardMapKey, Value: values.shardMap},
		}, ops...),
	}
}

// handleCampaignResult applies the outcome of the campaign in flight.
func (m *Membership) handleCampaignResult(values campaignValues, result store.Result) {
	now := m.store.Now()
	switch result.Outcome {
	case store.Committed:
		// The leader key comes last: this controller starts to lead with it, and must have the new term and shard map.
		for _, item := range []store.Item{
			{Key: rollout.TermKey, Value: values.term, Version: result.Revision},
			{Key: shardMapKey, Value: values.shardMap, Version: result.Revision},
			{Key: leaderKey, Value: values.leader, Version: result.Revision},
		} {
			_ = m.HandleItem(now, item) // no error: the values were encoded by this process
		}
	case store.LeaseExpired:
		m.dropLease(now, "lease expired")
	default:
		// The campaign was lost, or its outcome is unknown: the watched keys will show the leader.
		m.retryLater()
		m.campaignAt = now + campaignBackoff
		m.transition(now, Follower, "campaign not won")
	}
}

// handleLeaderChange changes this controller's state after a new value of the leader key was read.
func (m *Membership) handleLeaderChange(now time.Duration) {
	// A campaign of this process may commit late. It is valid as long as this controller still has the campaign's lease.
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
