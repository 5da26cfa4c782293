package membership

import (
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

const (
	// renewalsPerTTL is how many times a lease is renewed within its time to live.
	renewalsPerTTL = 4
	// renewRetryDelay passes before a renewal without an outcome is sent again.
	renewRetryDelay = 250 * time.Millisecond
	// clockDriftDivisor bounds the drift between this controller's clock and the state service's: one part in 200.
	clockDriftDivisor = 200
	// authorityMargin is how long before the lease can expire authority ends, besides the clocks' drift.
	authorityMargin = 250 * time.Millisecond
	// reacquireDelay passes between the loss of a lease and the request for the next one.
	reacquireDelay = 100 * time.Millisecond
	// resignBackoff is for how long a controller doesn't campaign after it has resigned.
	resignBackoff = 15 * time.Second
)

// lease is this controller's lease at the state service.
type lease struct {
	id             uint64        // 0: none
	authorityUntil time.Duration // 0: no authority
	renewing       bool          // a renewal is under way
	renewAt        time.Duration
}

// withdrawal is the state of a controller between Withdraw and Rejoin.
type withdrawal struct {
	active   bool
	leaseID  uint64 // still to be revoked; 0: none
	revoking bool   // a revocation is under way
	retryAt  time.Duration
}

// extend takes over that the state service has granted or renewed the lease on a request sent at a time.
func (l *lease) extend(sentAt, ttl time.Duration) {
	l.authorityUntil = sentAt + ttl - ttl/clockDriftDivisor - authorityMargin
	l.renewAt = sentAt + ttl/renewalsPerTTL
}

// revokeOldLease revokes the lease that the member key names. It was held by this controller's former process,
// which has ended: revoking it spares the cluster the wait for its expiry.
func (m *Membership) revokeOldLease() {
	m.requestPending = true
	m.store.Get(m.memberKey(), store.SafetyPriority, func(item store.Item, err error) {
		if err != nil {
			m.retryLater()
			return
		}
		var member memberValue
		if item.Version == 0 || json.Unmarshal(item.Value, &member) != nil || member.Lease == 0 {
			m.requestPending = false
			m.transition(m.store.Now(), AcquiringLease, "no old lease")
			return
		}
		m.store.RevokeLease(member.Lease, func(ok bool) {
			if !ok {
				m.retryLater()
				return
			}
			m.requestPending = false
			m.transition(m.store.Now(), AcquiringLease, "old lease revoked")
		})
	})
}

// acquireLease requests a lease.
func (m *Membership) acquireLease(now time.Duration) {
	m.requestPending = true
	m.store.GrantLease(m.cfg.TTL, func(id uint64, err error) {
		if err != nil {
			m.retryLater()
			return
		}
		m.requestPending = false
		m.lease.id = id
		m.lease.extend(now, m.cfg.TTL)
		m.transition(m.store.Now(), Registering, "lease granted")
	})
}

// renewLease renews the lease when that is due.
func (m *Membership) renewLease(now time.Duration) {
	if m.lease.id == 0 || m.lease.renewing || now < m.lease.renewAt {
		return
	}
	m.lease.renewing = true
	id := m.lease.id
	m.store.RenewLease(id, func(err error) {
		if m.lease.id != id {
			return
		}
		m.lease.renewing = false
		switch {
		case err == nil:
			m.lease.extend(now, m.cfg.TTL)
		case errors.Is(err, store.ErrLeaseExpired):
			m.dropLease(m.store.Now(), "lease expired")
		default:
			m.lease.renewAt = m.store.Now() + renewRetryDelay
		}
	})
}

// dropLease gives up the lease, and authority with it. It doesn't revoke the lease.
func (m *Membership) dropLease(now time.Duration, cause string) {
	m.lease.id = 0
	m.lease.authorityUntil = 0
	m.lease.renewing = false
	m.requestPending = false
	m.retryAt = now + reacquireDelay
	m.transition(now, AcquiringLease, cause)
}

// Resign revokes the lease and keeps this controller from campaigning for 15 seconds. cause is for the log.
func (m *Membership) Resign(now time.Duration, cause string) {
	slog.Info("resigning leadership", "cause", cause, "term", m.leader.Term)
	m.noCampaignBefore = now + resignBackoff
	if m.lease.id != 0 {
		m.store.RevokeLease(m.lease.id, func(bool) {})
	}
	m.dropLease(now, cause)
}

// Withdraw revokes the lease and keeps this controller out of the cluster until Rejoin: whoever takes over need not
// wait for the lease's expiry. Authority ends here, before the request goes out.
func (m *Membership) Withdraw(now time.Duration) {
	slog.Info("withdrawing from the cluster", "term", m.leader.Term)
	m.withdrawal.active = true
	m.withdrawal.leaseID = m.lease.id
	m.dropLease(now, "withdrawn")
	m.revokeWithdrawnLease(now)
}

// Rejoin takes part again after Withdraw. A lease that could not be revoked meanwhile is left to expire.
func (m *Membership) Rejoin(now time.Duration) {
	slog.Info("rejoining the cluster", "term", m.term)
	m.withdrawal = withdrawal{}
	m.retryAt = now
}

// revokeWithdrawnLease revokes the lease that Withdraw gave up, again until that has succeeded.
func (m *Membership) revokeWithdrawnLease(now time.Duration) {
	if m.withdrawal.leaseID == 0 || m.withdrawal.revoking || now < m.withdrawal.retryAt {
		return
	}
	m.withdrawal.revoking = true
	m.store.RevokeLease(m.withdrawal.leaseID, func(ok bool) {
		m.withdrawal.revoking = false
		m.withdrawal.retryAt = m.store.Now() + retryDelay
		if ok {
			m.withdrawal.leaseID = 0
		}
	})
}
