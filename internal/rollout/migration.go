package rollout

import "github.com/harewalk/harewalk/internal/store"

// MigrationProgress is a leader's count of the records that are left in a former format.
type MigrationProgress struct {
	Left int
	Done bool // none is left
}

// migration is the progress of rewriting the records of a former format. The records themselves show which of them
// are left, since a migrated one has left its old place. So a leader that takes over goes on with those, and none
// is migrated twice.
type migration struct {
	level   Level
	done    bool
	left    int    // records left, as the last leader counted them
	term    uint64 // of that leader
	leaders int    // the number of leaders that have worked on it
}

// hasUpgraded reports whether the cluster's level is stored and above Base.
func (r *Rollout) hasUpgraded() bool { return r.stored.levelVersion != 0 && r.stored.level > Base }

// migrating reports whether records of a former format may be left.
func (r *Rollout) migrating() bool {
	stored := r.stored.migration
	return r.hasUpgraded() && (stored.level != r.stored.level || !stored.done)
}

// Migrated reports whether it is durable that no record of a former format is left.
func (r *Rollout) Migrated() bool { return r.hasUpgraded() && !r.migrating() }

// recordMigration returns the write of the migration's progress, false if none is due. One is due when a leader takes
// the migration up, and when nothing is left.
func (r *Rollout) recordMigration(term uint64, progress MigrationProgress) (store.Txn, bool) {
	next := r.stored.migration
	if next.level != r.stored.level {
		next = migration{level: r.stored.level}
	}
	if next.term == term && !progress.Done {
		return store.Txn{}, false
	}
	if next.term != term {
		next.leaders++
	}
	next.term = term
	next.left = progress.Left
	next.done = progress.Done
	r.txnInFlight = true
	return store.Txn{
		If:   []store.Condition{r.LevelCondition(), {Key: migrationKey, Version: r.stored.migrationVersion}},
		Then: []store.Op{{Put: migrationKey, Value: encode(newMigrationRecord(next))}},
	}, true
}
