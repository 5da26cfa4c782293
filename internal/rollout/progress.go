package rollout

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// retryDelay is the time between a transaction that wasn't committed and the next.
const retryDelay = time.Second

// upgradeIsDue is the cause of state Ready where nothing but the leader's transaction is left to do.
const upgradeIsDue = "the leader lets the level rise"

// soakTimer measures for how long all controllers have been healthy without a break.
type soakTimer struct {
	running bool
	since   time.Duration
}

// elapsed returns the measured time, 0 while not all are healthy.
func (s soakTimer) elapsed(now time.Duration) time.Duration {
	if !s.running {
		return 0
	}
	return now - s.since
}

// updateSoak starts or stops the soak timer and reports whether all controllers have been healthy for long enough.
func (r *Rollout) updateSoak(now time.Duration) bool {
	for _, peer := range r.peers {
		if !peer.isHealthy(now) {
			r.soak.running = false
			return false
		}
	}
	if !r.soak.running {
		r.soak = soakTimer{running: true, since: now}
	}
	return r.soak.elapsed(now) >= r.cfg.Soak
}

// Tick evaluates the state and returns a transaction for the leader to send, if one is due; its outcome goes to
// HandleOutcome. term is 0 on a controller that doesn't lead or may not act. migration is what the leader has
// counted.
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
	r.evaluate(now, observed, soaked)
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

// evaluate sets the state by what has been read.
func (r *Rollout) evaluate(now time.Duration, observed Observation, soaked bool) {
	switch {
	case r.migrating():
		r.setState(now, Migrating, fmt.Sprintf("the level is %d", r.stored.level))
	case r.stored.level >= r.cfg.MaxLevel || r.needsBootstrap():
		r.setState(now, Settled, fmt.Sprintf("the level is %d", r.Level()))
	case observed.NextLevel(r.cfg.MaxLevel) <= observed.Level:
		r.setState(now, Mixed, strings.Join(r.missing(now), "; "))
	case observed.Mode.preventsUpgrade():
		r.setState(now, Paused, fmt.Sprintf("%s by %s", observed.Mode, r.stored.directive.operator))
	case observed.Mode == FinishRequested:
		r.setState(now, Ready, upgradeIsDue)
	case !r.cfg.Auto:
		r.setState(now, Ready, "operators are to say `rollout finish`")
	case !soaked:
		r.setState(now, Soaking, fmt.Sprintf("all have to be well for %v", r.cfg.Soak))
	default:
		r.setState(now, Ready, upgradeIsDue)
	}
}

// beginUpgrade enters state Upgrading and returns the transaction that upgrades the level.
func (r *Rollout) beginUpgrade(now time.Duration, observed Observation, term uint64) store.Txn {
	next := observed.NextLevel(r.cfg.MaxLevel)
	r.setState(now, Upgrading, fmt.Sprintf("all have announced level %d", next))
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

// HandleOutcome handles the outcome of the transaction that Tick returned: it applies one that was committed, and
// delays the next try otherwise.
func (r *Rollout) HandleOutcome(now time.Duration, txn store.Txn, result store.Result) {
	r.txnInFlight = false
	if result.Outcome == store.Committed {
		for _, op := range txn.Then {
			r.HandleItem(store.Item{Key: op.Put, Value: op.Value, Version: result.Revision})
		}
		return
	}
	// An indeterminate transaction may still be carried out. Because the next one has the same conditions, only one of
	// them can be.
	slog.Info("rollout write not committed", "outcome", result.Outcome.String(), "failed_keys", result.FailedKeys)
	r.retryAt = now + retryDelay
}

// HandleLeadershipLost ends what only a leader does: the outcome of a transaction in flight isn't awaited any
// longer, and the soak starts anew.
func (r *Rollout) HandleLeadershipLost() {
	r.txnInFlight = false
	r.soak.running = false
}
