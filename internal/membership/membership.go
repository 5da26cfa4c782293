// Package membership decides which controller may act. It owns this controller's lease, its registration as a member,
// leader election, the term and the shard map.
//
// Each controller has a lease at the state service and a member key bound to it. Leader, term and shard map change
// only in one transaction, a campaign; every later write of the leader is conditional on its leader key, which is
// bound to its lease.
//
// A Membership is a state machine without a goroutine or a clock: it belongs to the controller's event loop, which
// passes it the time, the changes of the followed keys and the answers of the state service. It never contacts
// workers or other controllers.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// Prefix is where the keys of membership are stored.
const Prefix = "h/c/"

const (
	leaderKey   = Prefix + "leader"
	shardMapKey = Prefix + "map"
)

// memberKey returns the key of this controller's membership.
func (m *Membership) memberKey() string { return rollout.MemberKey(m.cfg.Node) }

// retryDelay passes before a request that failed, or has no outcome, is sent again.
const retryDelay = 300 * time.Millisecond

// Config is what a Membership needs to run.
type Config struct {
	// Node is this controller's name; Public and Secure are its addresses without and with TLS.
	Node, Public, Secure string
	// TTL is the lease's time to live.
	TTL time.Duration
	// StalenessBound is how old the followed keys may be while this controller has authority: it has not seen
	// cancellations since.
	StalenessBound time.Duration
	Rng            *rand.Rand
	// OnElected and OnDeposed are called at the start and at the end of a term of this controller's own.
	OnElected func(now time.Duration, term uint64)
	OnDeposed func(now time.Duration)
	Rollout   Rollout
}

// Rollout is what membership needs of package rollout.
type Rollout interface {
	// Compatible reports whether this controller's release may act at the cluster's level.
	Compatible() bool
	// Level returns the cluster's level.
	Level() rollout.Level
	// Announcement returns the write of this controller's release that goes with its registration.
	Announcement(lease uint64) store.Op
	// PreferredLeaders counts the other controllers that should lead rather than this one.
	PreferredLeaders() int
	// BootstrapConditions returns further conditions and writes of a campaign.
	BootstrapConditions() ([]store.Condition, []store.Op)
}

// Membership is the state machine of one controller; it belongs to the event loop.
type Membership struct {
	cfg     Config
	store   *store.Client
	freshAt func() time.Duration // when the followed keys were last complete for certain

	state          State
	keysLoaded     bool
	requestPending bool          // the request of the present state is under way
	retryAt        time.Duration // the next request of the present state is not sent before

	lease      lease
	withdrawal withdrawal
	registered registration

	campaignAt       time.Duration // no campaign before, since the last leader was lost or a campaign failed
	noCampaignBefore time.Duration // no campaign before, since this controller resigned

	leader          Leader
	leaderVersion   uint64
	term            uint64 // the newest, whoever leads
	termVersion     uint64
	shardMap        ShardMap
	shardMapVersion uint64
}

// New returns a Membership in state LoadingKeys. freshAt returns when the followed keys were last complete for
// certain.
func New(cfg Config, client *store.Client, freshAt func() time.Duration) *Membership {
	return &Membership{cfg: cfg, store: client, freshAt: freshAt}
}

// Tick renews the lease and sends the request of the present state, if they are due.
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
		m.follow(now)
	}
}

// retryLater ends the request under way: it is sent again after a delay.
func (m *Membership) retryLater() {
	m.requestPending = false
	m.retryAt = m.store.Now() + retryDelay
}
