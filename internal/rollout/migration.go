package rollout

import "github.com/harewalk/harewalk/internal/store"

// MigrationProgress is a leader's count of the records that are left in a former format.
type MigrationProgress struct {
	Left int
	Done bool // none is left
}

// hasRisen reports whether the cluster's level is stored and above Base.
func (r *Rollout) hasRisen() bool { return r.stored.levelVersion != 0 && r.stored.level > Base }

// migrating reports whether records of a former format may be left.
func (r *Rollout) migrating() bool {
	migration := r.stored.migration
	return r.hasRisen() && (migration.Level != r.stored.level || !migration.Done)
}

// Migrated reports whether it is durable that no record of a former format is left.
func (r *Rollout) Migrated() bool { return r.hasRisen() && !r.migrating() }

// recordMigration returns the write of the migration's progress. It is due when a leader takes the migration up, and
// when nothing is left.
func (r *Rollout) recordMigration(term uint64, progress MigrationProgress) (store.Txn, bool) {
	migration := r.stored.migration
	if migration.Level != r.stored.level {
		migration = Migration{Level: r.stored.level}
	}
	if migration.Term == term && !progress.Done {
		return store.Txn{}, false
	}
	if migration.Term != term {
		migration.Leaders++
	}
	migration.Term = term
	migration.Left = progress.Left
	migration.Done = progress.Done
	r.txnInFlight = true
	return store.Txn{
		If:   []store.Condition{r.LevelCondition(), {Key: migrationKey, Version: r.stored.migrationVersion}},
		Then: []store.Op{{Put: migrationKey, Value: encode(migration)}},
	}, true
}
