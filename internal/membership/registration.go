package membership

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// memberValue is the stored value of a controller's member key, which is bound to its lease.
type memberValue struct {
	Node  string `json:"node"`
	Lease uint64 `json:"hold"`
}

// registration is this controller's member key as last read.
type registration struct {
	leaseID uint64 // the lease that the key names; 0: no lease
	version uint64 // 0: the key doesn't exist
}

// handleMemberItem applies a change of this controller's member key. A value that can't be decoded names no lease.
func (m *Membership) handleMemberItem(item store.Item) {
	if item.Version <= m.registered.version {
		return
	}
	var member memberValue
	_ = json.Unmarshal(item.Value, &member)
	m.registered = registration{leaseID: member.Lease, version: item.Version}
}

// register writes the member key and the announcement, on the condition that the member key is unchanged since it was
// last read. Without the condition a late registration of this controller's former process could replace the member
// key. The key would then be deleted when the former lease ends, and this controller would count as absent until its
// restart.
func (m *Membership) register() {
	m.requestPending = true
	leaseID := m.lease.id
	key := m.memberKey()
	value, _ := json.Marshal(memberValue{Node: m.cfg.Node, Lease: leaseID})
	txn := store.Txn{
		If: []store.Condition{{Key: key, Version: m.registered.version}},
		Then: []store.Op{
			{Put: key, Value: value, Lease: leaseID},
			m.cfg.Rollout.Announcement(leaseID),
		},
	}
	m.store.Txn(txn, store.CriticalPriority, func(result store.Result) {
		if m.lease.id != leaseID {
			return // the lease has been lost: a registration with the next lease follows
		}
		m.handleRegistrationResult(value, result)
	})
}

// handleRegistrationResult applies the outcome of the registration in flight; value is the member key's value in it.
func (m *Membership) handleRegistrationResult(value json.RawMessage, result store.Result) {
	switch result.Outcome {
	case store.Committed:
		m.requestPending = false
		m.handleMemberItem(store.Item{Value: value, Version: result.Revision})
		m.finishRegistration(m.store.Now())
	case store.LeaseExpired:
		m.dropLease(m.store.Now(), "lease expired")
	case store.Conflict, store.Indeterminate:
		m.readRegistration()
	default:
		m.retryLater()
	}
}

// readRegistration reads the member key after a registration that conflicted or whose outcome is unknown. The key may
// have been written by the former process, or by an earlier request of this process that timed out.
func (m *Membership) readRegistration() {
	leaseID := m.lease.id
	m.store.Get(m.memberKey(), store.CriticalPriority, func(item store.Item, err error) {
		if m.lease.id != leaseID {
			return
		}
		m.retryLater()
		if err != nil {
			return
		}
		m.retryAt = m.store.Now()
		if item.Version == 0 {
			m.registered = registration{}
			return
		}
		m.handleMemberItem(item)
		if m.registered.leaseID == leaseID {
			m.finishRegistration(m.store.Now())
		}
	})
}

// finishRegistration makes this controller a follower, once the member key names its lease.
func (m *Membership) finishRegistration(now time.Duration) {
	if m.state == Registering {
		m.transition(now, Follower, "registered")
	}
}
