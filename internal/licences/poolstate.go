package licences

import (
	"log/slog"
	"slices"
	"time"
)

// poolState is the state of one pool in one term: its checkouts, their totals, and the state of its licence server.
type poolState struct {
	*Pool
	catalog        *Catalog
	index          int32
	checkouts      map[Holder]*checkout
	active         map[TaskRef]Holder   // by task: the attempt whose checkout is Reserved or CheckedOut
	teams          map[int32]*teamUsage // by the dense index of the team
	outsideReserve int                  // units that are currently kept for outside holders

	countedUnits     int             // sum of checkout.countedUnits over all checkouts
	unitsByState     [stateCount]int // units that the ledger counts, by state
	unconfirmedUnits int             // units that are CheckedOut by holders with unknown attempt

	server serverStatus
}

// teamUsage is a team's quota of a pool and the units that it uses.
type teamUsage struct {
	TeamQuota
	units int // units that are Reserved, CheckedOut or AwaitingRelease
}

func newPoolState(catalog *Catalog, index int32, teamIndex func(string) int32, now time.Duration) *poolState {
	pool := catalog.pools[index]
	p := &poolState{
		Pool:           pool,
		catalog:        catalog,
		index:          index,
		checkouts:      map[Holder]*checkout{},
		active:         map[TaskRef]Holder{},
		teams:          map[int32]*teamUsage{},
		outsideReserve: pool.OutsideReserve,
		server:         serverStatus{changedAt: now, answeredAt: now},
	}
	for name, quota := range pool.Teams {
		p.teams[teamIndex(name)] = &teamUsage{TeamQuota: quota}
	}
	if pool.Server == "" && pool.ReleaseTimeout == 0 {
		p.server.state = serverReachable // no unit of an earlier term can still be checked out
	}
	return p
}

// acquire counts a holder's units from now on. If another attempt of its task is active, the holder replaces it.
func (p *poolState) acquire(now time.Duration, holder Holder, team int32, units int, to State) {
	if active, ok := p.active[holder.TaskRef]; ok {
		p.acquireAgain(now, active, holder, to)
		return
	}
	c := p.checkout(holder)
	if c.state == AwaitingRelease {
		// The attempt was believed to be gone, but is still on a machine.
		p.setState(now, holder, c, CheckedOut)
		return
	}
	before := c.countedUnits()
	c.team = team
	c.units = units
	p.countedUnits += c.countedUnits() - before
	p.setState(now, holder, c, to)
}

// acquireAgain applies a further acquire for a task that has an active attempt. A checkout that is CheckedOut doesn't
// become Reserved again.
func (p *poolState) acquireAgain(now time.Duration, active, holder Holder, to State) {
	if active != holder {
		p.changeAttempt(now, active, holder.Attempt)
	}
	c := p.checkouts[holder]
	isLaunched := c.state == CheckedOut && to == Reserved
	if c.state != to && !isLaunched {
		p.setState(now, holder, c, to)
	}
}

// changeAttempt moves an active checkout to another attempt of the same task, for example when a heartbeat reports
// the attempt of a task that was read from the durable plan. Units that the server reports for the old attempt stay
// counted.
func (p *poolState) changeAttempt(now time.Duration, from Holder, attempt uint64) {
	c := p.checkouts[from]
	state, team, units := c.state, c.team, c.units
	p.setState(now, from, c, Free)
	p.acquire(now, Holder{from.TaskRef, attempt}, team, units, state)
}

// release ends the active checkout of a task that is proven to be gone.
func (p *poolState) release(now time.Duration, ref TaskRef, end End) {
	holder, ok := p.active[ref]
	if !ok {
		return
	}
	c := p.checkouts[holder]
	if p.isReturned(c, end) {
		p.setState(now, holder, c, Free)
		return
	}
	c.releaseDeadline = now + p.ReleaseTimeout
	p.setState(now, holder, c, AwaitingRelease)
}

// isReturned reports whether it is certain that the units of a task that ended are no longer checked out.
func (p *poolState) isReturned(c *checkout, end End) bool {
	if c.state == Reserved {
		return true
	}
	if end == NeverStarted && c.reportedUnits == 0 {
		return true
	}
	return p.Server == "" && (end == CleanExit || p.ReleaseTimeout == 0)
}

// setState changes a checkout's state; every transition goes through it. It updates the totals, and removes a checkout
// that is Free and that the server doesn't report.
func (p *poolState) setState(now time.Duration, holder Holder, c *checkout, to State) {
	if c.state != to && !slices.Contains(transitions[c.state], to) {
		slog.Error("invalid licence checkout transition", "pool", p.Name, "from", c.state.String(), "to", to.String())
	}
	before := c.countedUnits()
	p.addToTotals(holder, c, -c.units)
	if !to.isActive() && p.active[holder.TaskRef] == holder {
		delete(p.active, holder.TaskRef)
	}
	p.setMissing(c, false)
	c.state = to
	c.changedAt = now
	if to == Free {
		c.units = 0
	}
	if to.isActive() {
		p.active[holder.TaskRef] = holder
	}
	p.addToTotals(holder, c, c.units)
	p.countedUnits += c.countedUnits() - before
	p.store(holder, c)
}

// addToTotals adds units, which may be negative, to the totals of a checkout's state and team.
func (p *poolState) addToTotals(holder Holder, c *checkout, units int) {
	if c.state == Free {
		return
	}
	p.unitsByState[c.state] += units
	p.team(c.team).units += units
	if c.state == CheckedOut && holder.Attempt == 0 {
		p.unconfirmedUnits += units
	}
}

// store stores a checkout, or removes it if neither the ledger nor the server counts any units for it.
func (p *poolState) store(holder Holder, c *checkout) {
	if c.state == Free && c.reportedUnits == 0 {
		delete(p.checkouts, holder)
	} else {
		p.checkouts[holder] = c
	}
}

// checkout returns a holder's checkout, or a new one that is Free and not stored yet.
func (p *poolState) checkout(holder Holder) *checkout {
	if c := p.checkouts[holder]; c != nil {
		return c
	}
	return &checkout{}
}

// team returns a team's usage, and creates an entry if there is none.
func (p *poolState) team(index int32) *teamUsage {
	usage := p.teams[index]
	if usage == nil {
		usage = &teamUsage{}
		p.teams[index] = usage
	}
	return usage
}

// quota returns a team's quota, the zero value if the team has none.
func (p *poolState) quota(team int32) TeamQuota {
	if usage := p.teams[team]; usage != nil {
		return usage.TeamQuota
	}
	return TeamQuota{}
}

// totalUnits returns the total number of units: the pool's count, or the server's own count if that is lower.
func (p *poolState) totalUnits() int {
	units := p.catalog.Count(p.index)
	if p.server.count != nil {
		units = min(units, *p.server.count)
	}
	return units
}

// freeUnits returns how many units are known to be free, 0 at least. It is 0 while the server isn't usable.
func (p *poolState) freeUnits() int {
	if !p.server.isUsable() {
		return 0
	}
	// Outside holders first use the units that are kept for them.
	outside := max(p.outsideUnits(), p.outsideReserve)
	return max(0, p.totalUnits()-p.countedUnits-outside)
}

// outsideUnits returns how many units outside holders have. While the server's answers lack checkouts that still
// exist, its last figure for outside holders may be too low as well, so the highest recent figure applies.
func (p *poolState) outsideUnits() int {
	units := p.server.outsideUnits
	if p.server.state != serverInconsistent && p.server.missingCheckouts == 0 {
		return units
	}
	for _, sample := range p.server.outsideSamples {
		units = max(units, sample.units)
	}
	return units
}
