package licences

import "time"

// Ledger counts the units of all pools for one term of one leader. It isn't safe for concurrent use.
type Ledger struct {
	catalog   *Catalog
	pools     []*poolState // by dense index
	startedAt time.Duration
}

// New returns the ledger of a term that begins at now. teamIndex maps a team's name to its dense index.
func New(catalog *Catalog, teamIndex func(string) int32, now time.Duration) *Ledger {
	l := &Ledger{catalog: catalog, startedAt: now}
	for i := range catalog.pools {
		l.pools = append(l.pools, newPoolState(catalog, int32(i), teamIndex, now))
	}
	return l
}

// IsEmpty reports whether there are no pools at all.
func (l *Ledger) IsEmpty() bool { return len(l.pools) == 0 }

// pool returns the state of a pool, or nil if the pool isn't declared here.
func (l *Ledger) pool(index int32) *poolState {
	if index < 0 || int(index) >= len(l.pools) {
		return nil
	}
	return l.pools[index]
}

// Acquire counts what a task holds from now on: before its launch is sent (to is CheckedOut), before its gang
// starts (to is Reserved), or since it was found on a machine (CheckedOut). A further call for the same task
// changes only the attempt and the state.
func (l *Ledger) Acquire(now time.Duration, ref TaskRef, attempt uint64, team int32, needs []Unit, to State) {
	for _, unit := range needs {
		if pool := l.pool(unit.Pool); pool != nil {
			pool.acquire(now, Holder{ref, attempt}, team, unit.N, to)
		}
	}
}

// SetAttempt sets which attempt of a task is on its machine, after a heartbeat has named it.
func (l *Ledger) SetAttempt(now time.Duration, ref TaskRef, attempt uint64, needs []Unit) {
	for _, unit := range needs {
		pool := l.pool(unit.Pool)
		if pool == nil {
			continue
		}
		if active, ok := pool.active[ref]; ok && active.Attempt != attempt {
			pool.changeAttempt(now, active, attempt)
		}
	}
}

// Release ends what a task holds once the task is proven to be gone: by a fenced heartbeat, the cloud's confirmation,
// or the expiry of its worker's lease. Units that a server may still count are AwaitingRelease.
func (l *Ledger) Release(now time.Duration, ref TaskRef, needs []Unit, how End) {
	for _, unit := range needs {
		if pool := l.pool(unit.Pool); pool != nil {
			pool.release(now, ref, how)
		}
	}
}

// IsWithinGuarantee reports whether a team stays within its guarantee with a number of further tasks, in every
// pool that they need and for which the team has a guarantee. Without any guarantee it is false.
func (l *Ledger) IsWithinGuarantee(team int32, needs []Unit, tasks int) bool {
	hasGuarantee := false
	for _, unit := range needs {
		pool := l.pool(unit.Pool)
		if pool == nil {
			return false
		}
		usage := pool.teams[team]
		if usage == nil || usage.Guarantee <= 0 {
			continue
		}
		if usage.units+unit.N*tasks > usage.Guarantee {
			return false
		}
		hasGuarantee = true
	}
	return hasGuarantee
}

// IsAboveGuarantee reports whether a team holds more units of a pool than its guarantee.
func (l *Ledger) IsAboveGuarantee(pool, team int32) bool {
	state := l.pool(pool)
	if state == nil {
		return false
	}
	usage := state.teams[team]
	return usage == nil || usage.units > usage.Guarantee
}

// Shortage returns how many units a number of further tasks lack of a pool, 0 if none or while the server's state is
// unknown.
func (l *Ledger) Shortage(unit Unit, tasks int) int {
	pool := l.pool(unit.Pool)
	if pool == nil || !pool.server.isUsable() {
		return 0
	}
	return max(0, unit.N*tasks-pool.freeUnits())
}

// Excess returns how many units have to be preempted since a pool's count was lowered. It is 0 unless the pool's
// policy is PreemptHolders, and while units of an earlier term's tasks are counted that may not run at all.
func (l *Ledger) Excess(pool int32) int {
	state := l.pool(pool)
	if state == nil || state.unconfirmedUnits > 0 || l.catalog.Lowering(pool) != PreemptHolders {
		return 0
	}
	held := state.unitsByState[CheckedOut] + state.unitsByState[Reserved]
	return min(held, max(0, held+state.server.outsideUnits-state.totalUnits()))
}
