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
	// renewRetryDelay is the delay before a renewal without an outcome is sent again.
	renewRetryDelay = 250 * time.Millisecond
	// clockDriftDivisor bounds the drift between this controller's clock and the state service's: one part in 200.
	clockDriftDivisor = 200
	// authorityMargin is the time between the end of authority and the earliest expiry of the lease, besides clock drift.
	authorityMargin = 250 * time.Millisecond
	// reacquireDelay is the delay between the loss of a lease and the request for the next one.
	reacquireDelay = 100 * time.Millisecond
	// resignBackoff is the time after a resignation during which the controller doesn't campaign.
	resignBackoff = 15 * time.Second
)

// lease is this controller's lease at the state service.
type lease struct {
	id             uint64        // 0: no lease
	authorityUntil time.Duration // 0: no authority
	renewing       bool          // a renewal is in flight
	renewAt        time.Duration // the next renewal is not sent before this time
}

// withdrawal is the state of a controller between Withdraw and Rejoin.
type withdrawal struct {
	active   bool
	leaseID  uint64        // the lease that is still to be revoked; 0: no lease
	revoking bool          // a revocation is in flight
	retryAt  time.Duration // the next revocation is not sent before this time
}

// extend records that the state service has granted or renewed the lease in response to a request sent at sentAt.
func (l *lease) extend(sentAt, ttl time.Duration) {
	l.authorityUntil = sentAt + ttl - ttl/clockDriftDivisor - authorityMargin
	l.renewAt = sentAt + ttl/renewalsPerTTL
}

// revokeOldLease revokes the lease that the member key names. This controller's former process held the lease and has
// ended. Without the revocation the cluster would have to wait for the lease's expiry.
func (m *Membership) revokeOldLease() {
	m.requestPending = true
	m.store.Get(m.memberKey(), store.CriticalPriority, func(item store.Item, err error) {
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

// renewLease sends a renewal of the lease if one is due.
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

// dropLease ends the use of the lease and this controller's authority. It doesn't revoke the lease.
func (m *Membership) dropLease(now time.Duration, cause string) {
	m.lease.id = 0
	m.lease.authorityUntil = 0
	m.lease.renewing = false
	m.requestPending = false
	m.retryAt = now + reacquireDelay
	m.transition(now, AcquiringLease, cause)
}

// Resign revokes the lease and prevents campaigns of this controller for resignBackoff. cause is logged.
func (m *Membership) Resign(now time.Duration, cause string) {
	slog.Info("resigning leadership", "cause", cause, "term", m.leader.Term)
	m.noCampaignBefore = now + resignBackoff
	if m.lease.id != 0 {
		m.store.RevokeLease(m.lease.id, func(bool) {})
	}
	m.dropLease(now, cause)
}

// Withdraw revokes the lease and keeps this controller out of the cluster until Rejoin. Because of the revocation the
// next leader need not wait for the lease's expiry. Authority ends before the revocation is sent.
func (m *Membership) Withdraw(now time.Duration) {
	slog.Info("withdrawing from the cluster", "term", m.leader.Term)
	m.withdrawal.active = true
	m.withdrawal.leaseID = m.lease.id
	m.dropLease(now, "withdrawn")
	m.revokeWithdrawnLease(now)
}

// Rejoin ends a withdrawal. If the lease has not been revoked by then, it is left to expire.
func (m *Membership) Rejoin(now time.Duration) {
	slog.Info("rejoining the cluster", "term", m.term)
	m.withdrawal = withdrawal{}
	m.retryAt = now
}

// revokeWithdrawnLease revokes the lease that Withdraw dropped. It is called on each tick until it has succeeded.
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
