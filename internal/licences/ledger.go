package licences

import "time"

// Ledger counts the units in use of all pools during one term of one leader. It isn't safe for concurrent use.
type Ledger struct {
	catalog   *Catalog
	pools     []*poolState // pools by dense index
	startedAt time.Duration
}

// New returns the ledger for a term that begins at now. teamIndex returns the dense index of a team by its name.
func New(catalog *Catalog, teamIndex func(string) int32, now time.Duration) *Ledger {
	l := &Ledger{catalog: catalog, startedAt: now}
	for i := range catalog.pools {
		l.pools = append(l.pools, newPoolState(catalog, int32(i), teamIndex, now))
	}
	return l
}

// IsEmpty reports whether no pools are declared.
func (l *Ledger) IsEmpty() bool { return len(l.pools) == 0 }

// pool returns the state of a pool by its dense index, or nil if there is no such pool.
func (l *Ledger) pool(index int32) *poolState {
	if index < 0 || int(index) >= len(l.pools) {
		return nil
	}
	return l.pools[index]
}

// Acquire counts the units of a task as in use from now on. The state to is Reserved before the task's gang starts,
// and CheckedOut before the task's launch is sent or after the task was found on a machine. A further call for the
// same task changes only its attempt and state.
func (l *Ledger) Acquire(now time.Duration, ref TaskRef, attempt uint64, team int32, needs []Unit, to State) {
	for _, unit := range needs {
		if pool := l.pool(unit.Pool); pool != nil {
			pool.acquire(now, Holder{ref, attempt}, team, unit.N, to)
		}
	}
}

// SetAttempt sets the attempt of a task that is on its machine, after a heartbeat has reported the attempt.
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

// Release ends the use of a task's units. The task must be proven to be gone: by a fenced heartbeat, the cloud's
// confirmation, or the expiry of its worker's lease. Units that a server may still count become AwaitingRelease.
func (l *Ledger) Release(now time.Duration, ref TaskRef, needs []Unit, end End) {
	for _, unit := range needs {
		if pool := l.pool(unit.Pool); pool != nil {
			pool.release(now, ref, end)
		}
	}
}

// IsWithinGuarantee reports whether a team stays within its guarantees if it starts a number of further tasks. It
// checks each needed pool for which the team has a guarantee. It returns false if there is no such pool.
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
func (l *Ledger) IsAboveGuarantee(poolIndex, team int32) bool {
	pool := l.pool(poolIndex)
	if pool == nil {
		return false
	}
	usage := pool.teams[team]
	return usage == nil || usage.units > usage.Guarantee
}

// Shortage returns how many units of a pool are missing for a number of further tasks. It is 0 while the licence
// server's state is unknown.
func (l *Ledger) Shortage(unit Unit, tasks int) int {
	pool := l.pool(unit.Pool)
	if pool == nil || !pool.server.isUsable() {
		return 0
	}
	return max(0, unit.N*tasks-pool.freeUnits())
}

// Excess returns how many units have to be preempted because a pool's count was lowered. It is 0 unless the pool's
// policy is PreemptHolders. It is also 0 while the ledger counts units of tasks that an earlier term has planned and
// that may not be running.
func (l *Ledger) Excess(poolIndex int32) int {
	pool := l.pool(poolIndex)
	if pool == nil || pool.unconfirmedUnits > 0 || l.catalog.Lowering(poolIndex) != PreemptHolders {
		return 0
	}
	activeUnits := pool.unitsByState[CheckedOut] + pool.unitsByState[Reserved]
	return min(activeUnits, max(0, activeUnits+pool.server.outsideUnits-pool.totalUnits()))
}
