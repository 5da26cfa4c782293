// Package membership elects the controller that may answer heartbeats and send commands. It owns this controller's
// lease, its registration as a member, leader election, the term and the shard map.
//
// Each controller has a lease at the state service and a member key bound to the lease. The leader key, the term and
// the shard map are written together, in the transaction of a campaign. Every later write that the leader sends is
// conditional on its leader key, which is bound to its lease.
//
// A Membership is a state machine without a goroutine or a clock. It belongs to the controller's event loop, which
// passes in the time, the changes of the watched keys and the responses of the state service. The package never
// contacts workers or other controllers.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// Prefix is the common prefix of the leader key and the shard map's key.
const Prefix = "h/c/"

const (
	leaderKey   = Prefix + "leader"
	shardMapKey = Prefix + "map"
)

// memberKey returns this controller's member key.
func (m *Membership) memberKey() string { return rollout.MemberKey(m.cfg.Node) }

// retryDelay is the delay before a request that failed, or whose outcome is unknown, is sent again.
const retryDelay = 300 * time.Millisecond

// Config holds the settings and callbacks of a Membership.
type Config struct {
	// Node is this controller's name; PublicAddr and TLSAddr are its addresses without and with TLS.
	Node, PublicAddr, TLSAddr string
	// TTL is the lease's time to live.
	TTL time.Duration
	// StalenessBound is the age of the watched keys at which authority ends: cancellations since then have not been
	// read.
	StalenessBound time.Duration
	Rng            *rand.Rand
	// OnElected and OnDeposed are called at the start and at the end of a term that this controller leads.
	OnElected func(now time.Duration, term uint64)
	OnDeposed func(now time.Duration)
	Rollout   Rollout
}

// Rollout is the part of package rollout that membership uses.
type Rollout interface {
	// Compatible reports whether this controller may act: its release is not too old for the cluster's level and records.
	Compatible() bool
	// Level returns the cluster's level.
	Level() rollout.Level
	// Announcement returns the write that announces this controller's release. The registration's transaction includes it.
	Announcement(lease uint64) store.Op
	// PreferredLeaders returns the number of controllers that are preferred as leader over this one.
	PreferredLeaders() int
	// BootstrapConditions returns the conditions and writes that a campaign's transaction needs in addition.
	BootstrapConditions() ([]store.Condition, []store.Op)
}

// Membership is the state machine of one controller; it belongs to the event loop.
type Membership struct {
	cfg     Config
	store   *store.Client
	freshAt func() time.Duration // returns the last time at which the watched keys were complete for certain

	state          State
	keysLoaded     bool
	requestPending bool          // the request of the present state is in flight
	retryAt        time.Duration // the next request of the present state is not sent before this time

	lease      lease
	withdrawal withdrawal
	registered registration

	campaignAt       time.Duration // no campaign before this time, after the leader key was deleted or a campaign failed
	noCampaignBefore time.Duration // no campaign before this time, after this controller resigned

	leader          Leader
	leaderVersion   uint64
	term            uint64 // the newest term, of any leader
	termVersion     uint64
	shardMap        ShardMap
	shardMapVersion uint64
}

// New returns a Membership in state LoadingKeys. freshAt returns the last time at which the watched keys were complete
// for certain.
func New(cfg Config, client *store.Client, freshAt func() time.Duration) *Membership {
	return &Membership{cfg: cfg, store: client, freshAt: freshAt}
}

// Tick sends the renewal of the lease and the request of the present state, each if it is due.
func (m *Membership) Tick(now time.Duration) {
	m.renewLease(now)
	if m.withdrawal.active {
		m.revokeWithdrawnLease(now)
		return
	}
	if m.requestPending || now < m.retryAt || !m.keysLoaded {
		return
	}
	switch m.state {
	case RevokingOldLease:
		m.revokeOldLease()
	case AcquiringLease:
		m.acquireLease(now)
	case Registering:
		m.register()
	case Follower:
		m.tickFollower(now)
	}
}

// retryLater records that the request in flight has ended and lets Tick send it again after retryDelay.
func (m *Membership) retryLater() {
	m.requestPending = false
	m.retryAt = m.store.Now() + retryDelay
}
