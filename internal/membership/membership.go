// Package membership decides which controller may act. Each controller keeps a hold with
// its own key; leader, term and part map change only in one transaction, and every later
// write of the leader is conditional on its leader key.
package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// Keys of this slice.
const (
	Prefix    = "h/c/"
	leaderKey = Prefix + "leader"
	termKey   = Prefix + "term"
	mapKey    = Prefix + "map"
	memberKey = Prefix + "n/"
)

// State is where this controller stands.
type State uint8

// The states of membership.
//
//	Arriving -> Clearing -> Holding -> Registering -> Member -> Campaigning -> Leading
//
// From any of them a lost hold leads back to Holding.
const (
	LoadingKeys      State = iota // the keys were not read yet
	RevokingOldLease              // ending the hold of this controller's former process
	AcquiringLease                // asking for a hold
	Registering                   // writing the member key
	Follower                      // alive, someone else may lead
	Campaigning                   // a campaign's outcome is open
	Leading                       // leader key is ours, as long as the hold is
)

func (s State) String() string {
	return [...]string{"arriving", "clearing", "holding", "registering", "member", "campaigning", "leading"}[s]
}

// Leader is the value of the leader key.
type Leader struct {
	Node   string `json:"node"`
	Term   uint64 `json:"term"`
	Lease  uint64 `json:"hold"`
	Public string `json:"public"`
	Secure string `json:"secure,omitempty"` // its address with TLS, if it has one
}

// ShardMap says which controllers own machines, and since which term.
type ShardMap struct {
	Term   uint64   `json:"term"`
	Owners []string `json:"owners"`
}

// Owner finds a machine's owner by rendezvous hash; "" if there is none.
func (p ShardMap) Owner(machine string) string {
	best, owner := uint64(0), ""
	for _, o := range p.Owners {
		h := fnv.New64a()
		_, _ = h.Write([]byte(o))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(machine))
		// FNV's high bits vary too little on short names: mix them.
		v := h.Sum64()
		v ^= v >> 33
		v *= 0xff51afd7ed558ccd
		v ^= v >> 33
		if owner == "" || v > best {
			best, owner = v, o
		}
	}
	return owner
}

// Config is what a controller brings along.
type Config struct {
	Node, Public, Secure string
	TTL                  time.Duration
	// StalenessBound is how old the followed keys may be while this controller acts: cancellations since are not known.
	StalenessBound time.Duration
	Rng            *rand.Rand
	// OnElected and OnDeposed tell the start and the end of a term of our own.
	OnElected func(now time.Duration, term uint64)
	OnDeposed func(now time.Duration)
	// Rollout says what releases and levels have to do with it.
	Rollout Rollout
}

// Rollout is what membership asks of package rollout.
type Rollout interface {
	// Compatible tells whether this controller may act at the cluster's level.
	Compatible() bool
	// Level is the cluster's.
	Level() rollout.Level
	// Announcement is written whenever this controller registers.
	Announcement(hold uint64) store.Op
	// PreferredLeaders counts the controllers that should lead rather than this one.
	PreferredLeaders() int
	// BootstrapConditions is what a campaign depends on and writes besides.
	BootstrapConditions() ([]store.Condition, []store.Op)
}

// Membership is the state machine; it belongs to the event loop.
type Membership struct {
	cfg   Config
	store *store.Client
	state State

	hold      uint64
	until     time.Duration // authority ends
	renewing  bool
	renewAt   time.Duration
	retryAt   time.Duration
	campaign  time.Duration // not before
	quiet     time.Duration // do not campaign before, after resigning
	busy      bool
	left      bool   // until Return
	leaving   uint64 // hold to be ended since
	releasing bool
	releaseAt time.Duration // not before
	synced    bool
	freshness func() time.Duration

	leader        Leader
	leaderVersion uint64
	term          uint64
	termVersion   uint64
	parts         ShardMap
	mapVersion    uint64

	// self is the hold that this controller's member key names, as last known; 0: there is none.
	self        uint64
	selfVersion uint64
}

// New makes a membership; fresh tells when the mirrored keys were last surely complete.
func New(cfg Config, c *store.Client, fresh func() time.Duration) *Membership {
	return &Membership{cfg: cfg, store: c, freshness: fresh}
}

// to is the only place where the state changes.
func (m *Membership) to(now time.Duration, s State) {
	if s == m.state {
		return
	}
	was := m.state
	m.state = s
	slog.Info("membership", "from", was.String(), "to", s.String(), "term", m.term, "hold", m.hold)
	if was == Leading {
		m.cfg.OnDeposed(now)
	}
	if s == Leading {
		m.cfg.OnElected(now, m.leader.Term)
	}
}

// State is the present state.
func (m *Membership) State() State { return m.state }

// Term is the term of our own lead.
func (m *Membership) Term() uint64 { return m.leader.Term }

// Leader is the leader as last seen; Node is "" if there is none.
func (m *Membership) Leader() Leader { return m.leader }

// LeaderCondition is the condition that every write of the leader carries.
func (m *Membership) LeaderCondition() store.Condition {
	return store.Condition{Key: leaderKey, Version: m.leaderVersion}
}

// HasAuthority tells whether this controller may answer reports and send commands. It ends a
// margin before the hold can, counted from when the last good renewal was sent, and also
// when the followed keys are too old: a renewal that succeeds, or a hold that outlives an
// outage, doesn't make an old picture of the jobs new.
func (m *Membership) HasAuthority(now time.Duration) bool {
	return m.state == Leading && now < m.until && now-m.freshness() < m.cfg.StalenessBound
}

// Owns tells whether a machine lies in our part.
func (m *Membership) Owns(machine string) bool {
	return m.state == Leading && m.parts.Owner(machine) == m.cfg.Node
}

// Owner is the controller that a machine's worker should report to; "" if not known.
func (m *Membership) Owner(machine string) string {
	if m.leader.Node == "" {
		return ""
	}
	return m.parts.Owner(machine)
}

// Resign ends the hold at once and stays away from campaigns for a while.
func (m *Membership) Resign(now time.Duration, why string) {
	slog.Info("resigning", "cause", why, "term", m.leader.Term)
	m.quiet = now + 15*time.Second
	if m.hold != 0 {
		m.store.RevokeLease(m.hold, func(bool) {})
	}
	m.lose(now)
}

// Withdraw ends the hold at once and stays away until Return: whoever takes over need not wait for it. Authority ends
// here, before the request goes out.
func (m *Membership) Withdraw(now time.Duration) {
	slog.Info("leaving", "term", m.leader.Term)
	m.left, m.leaving = true, m.hold
	m.lose(now)
	m.release(now)
}

// Rejoin takes part again after a Leave. A hold that could not be ended runs out by itself.
func (m *Membership) Rejoin(now time.Duration) {
	slog.Info("returning", "term", m.term)
	m.left, m.leaving, m.releasing, m.releaseAt = false, 0, false, 0
	m.retryAt = now
}

// release ends the hold that was left, again until that is known to be done.
func (m *Membership) release(now time.Duration) {
	if m.leaving == 0 || m.releasing || now < m.releaseAt {
		return
	}
	m.releasing = true
	m.store.RevokeLease(m.leaving, func(ok bool) {
		if m.releasing, m.releaseAt = false, m.store.Now()+300*time.Millisecond; ok {
			m.leaving = 0
		}
	})
}

func (m *Membership) lose(now time.Duration) {
	m.hold, m.until, m.busy, m.renewing = 0, 0, false, false
	m.retryAt = now + 100*time.Millisecond
	m.to(now, AcquiringLease)
}

// HandleReset takes a new reading of all keys: those it lacks are gone.
func (m *Membership) HandleReset(now time.Duration, items []store.Item) {
	seen := map[string]bool{}
	for _, item := range items {
		seen[item.Key] = true
	}
	if !seen[leaderKey] && m.leaderVersion != 0 {
		m.HandleDelete(now, leaderKey, ^uint64(0))
	}
	if !seen[memberKey+m.cfg.Node] {
		m.self, m.selfVersion = 0, 0
	}
}

// HandleSynced tells that the keys have been read.
func (m *Membership) HandleSynced(now time.Duration) {
	m.synced = true
	if m.state == LoadingKeys {
		m.to(now, RevokingOldLease)
	}
}

// HandleItem takes over one changed key. Its error says why the key can't be read.
func (m *Membership) HandleItem(now time.Duration, item store.Item) error {
	switch item.Key {
	case leaderKey:
		if item.Version <= m.leaderVersion {
			return nil
		}
		if f := rollout.FormatOf(item.Value); f > 1 {
			return fmt.Errorf("leader in format %d", f)
		}
		var l Leader
		if err := json.Unmarshal(item.Value, &l); err != nil {
			return err
		}
		mine := m.state == Leading && l.Term == m.leader.Term && l.Node == m.cfg.Node
		m.leader, m.leaderVersion = l, item.Version
		m.judge(now, mine)
	case termKey:
		// Who can't read the term doesn't know its version either, and can't campaign.
		if item.Version > m.termVersion {
			term, err := rollout.DecodeTerm(item.Value)
			if err != nil {
				return err
			}
			m.term, m.termVersion = term, item.Version
		}
	case mapKey:
		if item.Version > m.mapVersion {
			if f := rollout.FormatOf(item.Value); f > 1 {
				return fmt.Errorf("part map in format %d", f)
			}
			if err := json.Unmarshal(item.Value, &m.parts); err != nil {
				return err
			}
			m.mapVersion = item.Version
		}
	case memberKey + m.cfg.Node:
		m.ours(item)
	}
	return nil
}

// judge looks at a new leader key.
func (m *Membership) judge(now time.Duration, same bool) {
	if same {
		return
	}
	// A campaign of ours may land late: it counts as long as its hold is ours.
	if m.leader.Node == m.cfg.Node && m.leader.Lease == m.hold && m.hold != 0 {
		if m.state == Follower || m.state == Campaigning {
			m.busy = false
			m.to(now, Leading)
		}
		return
	}
	if m.state == Leading {
		m.lose(now)
	} else if m.state == Campaigning {
		m.busy = false
		m.to(now, Follower)
	}
}

// patience is how much longer a controller waits before a campaign for each other that should lead rather than it;
// one that should is there in time unless it has just ended too.
const (
	patience     = 300 * time.Millisecond
	mostPatience = 2
)

// HandleDelete takes over the end of a key.
func (m *Membership) HandleDelete(now time.Duration, key string, version uint64) {
	if key == memberKey+m.cfg.Node && version > m.selfVersion {
		m.self, m.selfVersion = 0, 0
	}
	if key != leaderKey || version <= m.leaderVersion {
		return
	}
	m.leader.Node = ""
	m.leaderVersion = 0
	m.campaign = now + time.Duration(m.cfg.Rng.Int64N(int64(150*time.Millisecond))) + patience*time.Duration(min(m.cfg.Rollout.PreferredLeaders(), mostPatience))
	if m.state == Leading {
		m.lose(now)
	}
}

// Tick sends what is due.
func (m *Membership) Tick(now time.Duration) {
	m.renew(now)
	if m.left {
		m.release(now)
		return
	}
	if m.busy || now < m.retryAt || !m.synced {
		return
	}
	retry := func() { m.busy, m.retryAt = false, m.store.Now()+300*time.Millisecond }
	switch m.state {
	case RevokingOldLease:
		m.busy = true
		m.store.Get(memberKey+m.cfg.Node, store.SafetyPriority, func(item store.Item, err error) {
			var v memberValue
			switch {
			case err != nil:
				retry()
			case item.Version == 0 || json.Unmarshal(item.Value, &v) != nil || v.Lease == 0:
				m.busy = false
				m.to(now, AcquiringLease)
			default:
				// The former process of this very controller is dead, so its hold
				// protects nobody: ending it spares the cluster its time to live.
				m.store.RevokeLease(v.Lease, func(ok bool) {
					if !ok {
						retry()
						return
					}
					m.busy = false
					m.to(m.store.Now(), AcquiringLease)
				})
			}
		})
	case AcquiringLease:
		m.busy = true
		m.store.GrantLease(m.cfg.TTL, func(id uint64, err error) {
			if err != nil {
				retry()
				return
			}
			m.busy = false
			m.hold = id
			m.renewed(now)
			m.to(m.store.Now(), Registering)
		})
	case Registering:
		m.register(now, retry)
	case Follower:
		if m.leader.Node == m.cfg.Node && m.leader.Lease != m.hold {
			// A campaign of this controller's former process has landed after its end was cleared away: its hold
			// protects nobody. It once kept everybody from leading for as long as it lived.
			m.busy = true
			m.store.RevokeLease(m.leader.Lease, func(bool) { retry() })
			return
		}
		if m.leader.Node == "" && now >= m.campaign && now >= m.quiet && now < m.until && m.cfg.Rollout.Compatible() {
			m.run(now, retry)
		}
	}
}

// run campaigns: one transaction takes the lead, the next term and the part map.
func (m *Membership) run(now time.Duration, retry func()) {
	m.busy = true
	m.to(now, Campaigning)
	next := m.term + 1
	lv, _ := json.Marshal(Leader{m.cfg.Node, next, m.hold, m.cfg.Public, m.cfg.Secure})
	tv := rollout.EncodeTerm(m.cfg.Rollout.Level(), next)
	pm := ShardMap{Term: next, Owners: []string{m.cfg.Node}}
	pv, _ := json.Marshal(pm)
	hold := m.hold
	// A controller that has missed a rise of the level must not lead: its campaign fails.
	ifs, then := m.cfg.Rollout.BootstrapConditions()
	m.store.Txn(store.Txn{
		If: append([]store.Condition{{Key: leaderKey}, {Key: termKey, Version: m.termVersion}}, ifs...),
		Then: append([]store.Op{
			{Put: leaderKey, Value: lv, Lease: m.hold},
			{Put: termKey, Value: tv},
			{Put: mapKey, Value: pv},
		}, then...),
	}, store.SafetyPriority, func(result store.Result) {
		now := m.store.Now()
		if m.state != Campaigning || m.hold != hold {
			return
		}
		switch result.Outcome {
		case store.Committed:
			for key, v := range map[string]json.RawMessage{termKey: tv, mapKey: pv} {
				_ = m.HandleItem(now, store.Item{Key: key, Value: v, Version: result.Revision})
			}
			_ = m.HandleItem(now, store.Item{Key: leaderKey, Value: lv, Version: result.Revision})
		case store.LeaseExpired:
			m.lose(now)
		default:
			// Lost, or open: the followed keys will show who leads.
			retry()
			m.campaign = now + 300*time.Millisecond
			m.to(now, Follower)
		}
	})
}

func (m *Membership) renewed(sent time.Duration) {
	m.until = sent + m.cfg.TTL - m.cfg.TTL/200 - 250*time.Millisecond
	m.renewAt = sent + m.cfg.TTL/4
}

func (m *Membership) renew(now time.Duration) {
	if m.hold == 0 || m.renewing || now < m.renewAt {
		return
	}
	m.renewing = true
	id := m.hold
	m.store.RenewLease(id, func(err error) {
		if m.hold != id {
			return
		}
		m.renewing = false
		switch at := m.store.Now(); {
		case err == nil:
			m.renewed(now)
		case errors.Is(err, store.ErrLeaseExpired):
			m.lose(at)
		default:
			m.renewAt = at + 250*time.Millisecond
		}
	})
}
