package membership

// How a controller says that it is there: its member key, which hangs on its hold, and its announcement.

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

type memberValue struct {
	Node  string `json:"node"`
	Lease uint64 `json:"hold"`
}

// ours takes over this controller's own member key. Whatever can't be read there names none of its holds.
func (m *Membership) ours(item store.Item) {
	if item.Version <= m.selfVersion {
		return
	}
	var v memberValue
	_ = json.Unmarshal(item.Value, &v)
	m.self, m.selfVersion = v.Lease, item.Version
}

// register writes the member key and the announcement, as long as nobody else has written the key meanwhile: a former
// life's registration that lands late would otherwise take the key along when its hold ends, and this controller would
// count as not there for as long as it lives.
func (m *Membership) register(now time.Duration, retry func()) {
	m.busy = true
	hold, key := m.hold, memberKey+m.cfg.Node
	v, _ := json.Marshal(memberValue{m.cfg.Node, hold})
	txn := store.Txn{If: []store.Condition{{Key: key, Version: m.selfVersion}}, Then: []store.Op{{Put: key, Value: v, Lease: hold}, m.cfg.Rollout.Announcement(hold)}}
	m.store.Txn(txn, store.SafetyPriority, func(result store.Result) {
		if m.hold != hold {
			return // the hold was lost meanwhile, another attempt is under way
		}
		switch result.Outcome {
		case store.Committed:
			m.busy = false
			m.ours(store.Item{Value: v, Version: result.Revision})
			m.registered(m.store.Now())
		case store.LeaseExpired:
			m.lose(m.store.Now())
		case store.Conflict, store.Indeterminate:
			// Somebody wrote it, perhaps this very process with a request that was given up.
			m.store.Get(key, store.SafetyPriority, func(item store.Item, err error) {
				if m.hold != hold {
					return
				}
				if retry(); err != nil {
					return
				}
				m.retryAt = m.store.Now()
				if item.Version == 0 {
					m.self, m.selfVersion = 0, 0
				} else if m.ours(item); m.self == hold {
					m.registered(m.store.Now())
				}
			})
		default:
			retry()
		}
	})
}

// registered goes on once the member key names our hold.
func (m *Membership) registered(now time.Duration) {
	if m.state == Registering {
		m.to(now, Follower)
	}
}
