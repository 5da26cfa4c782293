package membership

import (
	"log/slog"
	"time"
)

// State is a controller's progress from its start to leadership.
type State uint8

// The states of membership.
//
//	LoadingKeys -> RevokingOldLease -> AcquiringLease -> Registering -> Follower -> Campaigning -> Leading
//
// A failed campaign leads back to Follower. A campaign that turns out later to have been committed leads from Follower
// to Leading. The loss of the lease leads back to AcquiringLease from any state.
const (
	LoadingKeys      State = iota // waiting for the first complete read of the watched keys
	RevokingOldLease              // revoking the lease of this controller's former process
	AcquiringLease                // requesting a lease
	Registering                   // writing the member key
	Follower                      // registered, without the leader key
	Campaigning                   // waiting for the outcome of a campaign
	Leading                       // the leader key names this controller, until the lease expires at the latest
)

// String returns the name of the state in log lines.
func (s State) String() string {
	return [...]string{
		"loading_keys",
		"revoking_old_lease",
		"acquiring_lease",
		"registering",
		"follower",
		"campaigning",
		"leading",
	}[s]
}

// State returns the present state.
func (m *Membership) State() State { return m.state }

// transition changes the state and calls OnElected or OnDeposed. No other function changes the state.
func (m *Membership) transition(now time.Duration, to State, cause string) {
	if to == m.state {
		return
	}
	from := m.state
	m.state = to
	slog.Info("membership state changed",
		"from", from.String(), "to", to.String(), "cause", cause, "term", m.term, "lease", m.lease.id)
	if from == Leading {
		m.cfg.OnDeposed(now)
	}
	if to == Leading {
		m.cfg.OnElected(now, m.leader.Term)
	}
}
