package rollout

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// retryDelay is the delay before the next transaction after one that wasn't committed.
const retryDelay = time.Second

// upgradeDueCause is the cause of state Ready if only the leader's transaction is still missing.
const upgradeDueCause = "the leader is about to upgrade the level"

// soakTimer measures for how long all controllers have been healthy without interruption.
type soakTimer struct {
	running   bool
	startedAt time.Duration // valid while running
}

// elapsed returns the time since the timer was started, or 0 while the timer isn't running.
func (s soakTimer) elapsed(now time.Duration) time.Duration {
	if !s.running {
		return 0
	}
	return now - s.startedAt
}

// updateSoak starts or stops the soak timer and reports whether all controllers have been healthy for the soak time.
func (r *Rollout) updateSoak(now time.Duration) bool {
	for _, peer := range r.peers {
		if !peer.isHealthy(now) {
			r.soak.running = false
			return false
		}
	}
	if !r.soak.running {
		r.soak = soakTimer{running: true, startedAt: now}
	}
	return r.soak.elapsed(now) >= r.cfg.Soak
}

// Tick updates the state and returns a transaction for the leader to send, and false if none is due. The leader passes
// the transaction's outcome to HandleOutcome. term is 0 on a controller that doesn't lead or must not act. migration is
// the leader's count of the records left to migrate.
func (r *Rollout) Tick(now time.Duration, term uint64, migration MigrationProgress) (store.Txn, bool) {
	if !r.synced {
		return store.Txn{}, false
	}
	if cause := r.incompatibility(); cause != "" {
		r.setState(now, Incompatible, cause)
		return store.Txn{}, false
	}
	observed := r.observe()
	soaked := r.updateSoak(now)
	if r.txnInFlight {
		return store.Txn{}, false
	}
	r.updateState(now, observed, soaked)
	if term == 0 || now < r.retryAt || !r.stored.bootstrapped {
		return store.Txn{}, false
	}
	if r.migrating() {
		return r.recordMigration(term, migration)
	}
	if !observed.MayUpgrade(r.cfg.MaxLevel, soaked, r.cfg.Auto) {
		return store.Txn{}, false
	}
	return r.beginUpgrade(now, observed, term), true
}

// updateState sets the state from the keys and health reports received so far.
func (r *Rollout) updateState(now time.Duration, observed Observation, soaked bool) {
	switch {
	case r.migrating():
		r.setState(now, Migrating, fmt.Sprintf("the level is %d", r.stored.level))
	case r.stored.level >= r.cfg.MaxLevel || r.needsBootstrap():
		r.setState(now, Settled, fmt.Sprintf("the level is %d", r.Level()))
	case observed.NextLevel(r.cfg.MaxLevel) <= observed.Level:
		r.setState(now, Mixed, strings.Join(r.upgradeObstacles(now), "; "))
	case observed.Mode.preventsUpgrade():
		r.setState(now, Paused, fmt.Sprintf("%s by %s", observed.Mode, r.stored.directive.operator))
	case observed.Mode == FinishRequested:
		r.setState(now, Ready, upgradeDueCause)
	case !r.cfg.Auto:
		r.setState(now, Ready, "waiting for an operator to run `harewalk rollout finish`")
	case !soaked:
		r.setState(now, Soaking, fmt.Sprintf("waiting until all controllers have been healthy for %v", r.cfg.Soak))
	default:
		r.setState(now, Ready, upgradeDueCause)
	}
}

// beginUpgrade enters state Upgrading and returns the transaction that upgrades the level.
func (r *Rollout) beginUpgrade(now time.Duration, observed Observation, term uint64) store.Txn {
	next := observed.NextLevel(r.cfg.MaxLevel)
	r.setState(now, Upgrading, fmt.Sprintf("all controllers have announced level %d", next))
	r.txnInFlight = true
	level := levelRecord{Level: next, By: r.cfg.Node, AtMS: r.cfg.StartedAtMS + now.Milliseconds()}
	started := migration{level: next, term: term, leaders: 1}
	return store.Txn{
		If: observed.Conditions(r.nodeNames()),
		Then: []store.Op{
			{Put: levelKey, Value: encode(level)},
			{Put: migrationKey, Value: encode(newMigrationRecord(started))},
			{Put: TermKey, Value: EncodeTerm(next, term)},
		},
	}
}

// HandleOutcome handles the outcome of the transaction that Tick returned. It applies a committed transaction; after
// any other outcome it delays the next one by retryDelay.
func (r *Rollout) HandleOutcome(now time.Duration, txn store.Txn, result store.Result) {
	r.txnInFlight = false
	if result.Outcome == store.Committed {
		for _, op := range txn.Then {
			r.HandleItem(store.Item{Key: op.Put, Value: op.Value, Version: result.Revision})
		}
		return
	}
	// An indeterminate transaction may still be committed. Because the next one has the same conditions, at most one of
	// them is.
	slog.Info("rollout transaction not committed", "outcome", result.Outcome.String(), "failed_keys", result.FailedKeys)
	r.retryAt = now + retryDelay
}

// HandleLeadershipLost resets the state that only a leader has: a transaction in flight is no longer awaited, and the
// soak time starts again from 0.
func (r *Rollout) HandleLeadershipLost() {
	r.txnInFlight = false
	r.soak.running = false
}
