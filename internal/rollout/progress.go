package rollout

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/store"
)

// soaked tells whether all have been well for long enough.
func (r *Rollout) soaked(now time.Duration) bool {
	for _, peer := range r.peers {
		if !peer.isWell(now) {
			r.soaking = false
			return false
		}
	}
	if !r.soaking {
		r.soaking, r.soakFrom = true, now
	}
	return now-r.soakFrom >= r.cfg.Soak
}

// MigrationProgress is what a leader does about migration: how many records are left in a former format, and whether none is.
type MigrationProgress struct {
	Left int
	Done bool
}

// Tick judges where the rollout stands and gives the leader a transaction to send, if one is due; its outcome goes
// to Done. term is 0 for a controller that doesn't lead or may not act.
func (r *Rollout) Tick(now time.Duration, term uint64, w MigrationProgress) (store.Txn, bool) {
	if !r.synced {
		return store.Txn{}, false
	}
	if why := r.incompatibility(); why != "" {
		r.to(now, Incompatible, why)
		return store.Txn{}, false
	}
	seen, soaked := r.seenNow(), r.soaked(now)
	if !r.busy {
		r.judge(now, seen, soaked)
	}
	if term == 0 || r.busy || now < r.retryAt || !r.founded {
		return store.Txn{}, false
	}
	if r.migrating() {
		return r.migrate(now, term, w)
	}
	if !seen.MayRaise(r.cfg.MaxLevel, soaked, r.cfg.Auto) {
		return store.Txn{}, false
	}
	next := seen.NextLevel(r.cfg.MaxLevel)
	r.to(now, Upgrading, fmt.Sprintf("all have announced level %d", next))
	r.busy = true
	doc, _ := json.Marshal(levelDoc{Level: next, By: r.cfg.Node, AtMS: r.cfg.StartedAtMS + now.Milliseconds()})
	mig, _ := json.Marshal(Migration{Level: next, Term: term, Leaders: 1})
	return store.Txn{If: seen.Conditions(r.names()), Then: []store.Op{
		{Put: levelKey, Value: doc},
		{Put: migrationKey, Value: mig},
		{Put: termKey, Value: EncodeTerm(next, term)},
	}}, true
}

// migrating tells whether something may stand in a former format.
func (r *Rollout) migrating() bool {
	return r.levelVersion != 0 && r.level > Base && (r.migration.Level != r.level || !r.migration.Done)
}

// Migrated tells whether it is durable that nothing stands in a former format any more.
func (r *Rollout) Migrated() bool { return !r.migrating() && r.levelVersion != 0 && r.level > Base }

// migrate tells how far it has come: at its end, and when a leader takes it up.
func (r *Rollout) migrate(now time.Duration, term uint64, w MigrationProgress) (store.Txn, bool) {
	m := r.migration
	if m.Level != r.level {
		m = Migration{Level: r.level}
	}
	if m.Term == term && !w.Done {
		return store.Txn{}, false
	}
	if m.Term != term {
		m.Leaders++
	}
	m.Term, m.Left, m.Done = term, w.Left, w.Done
	raw, _ := json.Marshal(m)
	r.busy = true
	return store.Txn{If: []store.Condition{r.LevelCondition(), {Key: migrationKey, Version: r.migVersion}}, Then: []store.Op{{Put: migrationKey, Value: raw}}}, true
}

// HandleOutcome takes the outcome of the transaction that Tick gave.
func (r *Rollout) HandleOutcome(now time.Duration, txn store.Txn, result store.Result) {
	r.busy = false
	if result.Outcome == store.Committed {
		for _, o := range txn.Then {
			r.HandleItem(store.Item{Key: o.Put, Value: o.Value, Version: result.Revision})
		}
		return
	}
	// What is not known may land yet; sent again with the same conditions it lands once.
	slog.Info("rollout: not written", "outcome", result.Outcome.String(), "failed", result.FailedKeys)
	r.retryAt = now + time.Second
}

// HandleLeadLost tells that the lead is lost: an outcome that was awaited is nobody's any more.
func (r *Rollout) HandleLeadLost() { r.busy, r.soaking = false, false }

// judge finds the state by what is known.
func (r *Rollout) judge(now time.Duration, observed Observation, soaked bool) {
	next := observed.NextLevel(r.cfg.MaxLevel)
	switch {
	case r.migrating():
		r.to(now, Migrating, fmt.Sprintf("the level is %d", r.level))
	case r.level >= r.cfg.MaxLevel || r.levelVersion == 0 && !r.founded:
		r.to(now, Settled, fmt.Sprintf("the level is %d", r.Level()))
	case next <= observed.Level:
		r.to(now, Mixed, strings.Join(r.missing(now), "; "))
	case observed.Mode == PausedByOperator || observed.Mode == AbortedByOperator:
		r.to(now, Paused, fmt.Sprintf("%s by %s", observed.Mode, r.words.By))
	case !r.cfg.Auto && observed.Mode != FinishRequested:
		r.to(now, Ready, "operators are to say `rollout finish`")
	case !soaked && observed.Mode != FinishRequested:
		r.to(now, Soaking, fmt.Sprintf("all have to be well for %v", r.cfg.Soak))
	default:
		r.to(now, Ready, "the leader lets the level rise")
	}
}
