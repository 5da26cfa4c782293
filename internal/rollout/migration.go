package rollout

import "github.com/harewalk/harewalk/internal/store"

// MigrationProgress is a leader's count of the records that are still in a former format.
type MigrationProgress struct {
	RecordsLeft int  // number of records still to be rewritten
	Done        bool // no record is left in a former format
}

// migration is the stored progress of rewriting the records of a former format. Which records are left isn't stored: a
// migrated record no longer exists under its old key. So a new leader continues with the records that are left, and no
// record is migrated twice.
type migration struct {
	level   Level
	done    bool
	left    int    // number of records left when the progress was last stored
	term    uint64 // term of the leader that last stored the progress
	leaders int    // number of leaders that have worked on the migration
}

// hasUpgraded reports whether a level is stored and above Base.
func (r *Rollout) hasUpgraded() bool { return r.stored.levelVersion != 0 && r.stored.level > Base }

// migrating reports whether records may still be in a former format.
func (r *Rollout) migrating() bool {
	stored := r.stored.migration
	return r.hasUpgraded() && (stored.level != r.stored.level || !stored.done)
}

// Migrated reports whether the level is above Base and the end of the migration to that level is durable.
func (r *Rollout) Migrated() bool { return r.hasUpgraded() && !r.migrating() }

// recordMigration returns the transaction that stores the migration's progress, and false if none is due. A write is
// due when a new leader starts working on the migration, and when no record is left.
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
	next.left = progress.RecordsLeft
	next.done = progress.Done
	r.txnInFlight = true
	return store.Txn{
		If:   []store.Condition{r.LevelCondition(), {Key: migrationKey, Version: r.stored.migrationVersion}},
		Then: []store.Op{{Put: migrationKey, Value: encode(newMigrationRecord(next))}},
	}, true
}
