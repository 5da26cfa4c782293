package controller

import "time"

// TickEvery is the interval of a controller's event loop.
const TickEvery = 50 * time.Millisecond

// summaryInterval spaces the log lines in which a leader sums up its fleet.
const summaryInterval = 30 * time.Second

// tick does all that is due at a time. The event loop calls it every TickEvery.
func (c *Controller) tick(now time.Duration) {
	c.watchCache.Tick(now)
	c.membership.Tick(now)
	c.api.Tick(now)
	c.refreshMachineTypes(now)
	c.sendStatus(now)
	if !c.lifecycle.isServing() {
		c.advanceDrain(now)
	}
	c.applyDrains(now)
	c.tickDependencies(now)
	c.advanceRollout(now)
	c.logFailoverTiming(now)
	if c.term.active() {
		c.tickTerm(now)
	}
}

// tickTerm does what is due in a leader's term, and resigns where the term can't go on.
func (c *Controller) tickTerm(now time.Duration) {
	hasAuthority := c.membership.HasAuthority(now)
	if !hasAuthority && c.cacheTooStale(now) {
		c.membership.Resign(now, "the followed keys are too old")
		return
	}
	if !c.term.loaded() {
		c.loadStoredState(now)
		return
	}
	if c.term.fleet.WritesStuck() {
		c.membership.Resign(now, "indeterminate writes no longer fit the state service's limits")
		return
	}
	if now >= c.nextSummaryAt {
		c.nextSummaryAt = now + summaryInterval
		c.term.fleet.LogSummary(now)
	}
	c.term.noteAuthority(now, hasAuthority)
	c.term.fleet.Tick(now, hasAuthority)
	if hasAuthority {
		c.tickAuthority(now)
	}
}

// tickAuthority does what only a leader with the authority to act may do, after the fleet's own tick.
func (c *Controller) tickAuthority(now time.Duration) {
	if c.term.sessions != nil {
		c.term.sessions.Tick(now)
	}
	c.queryLicenceServers(now)
	c.term.capacity.Tick(now, c.term.authoritySince)
	c.storeZones(now)
	c.resignIfUnreachable(now)
	c.cancelDoomedJobs(now)
	c.archiveEndedJobs(now)
}
