package controller

import "time"

// TickInterval is the time between two ticks of a controller's event loop.
const TickInterval = 50 * time.Millisecond

// summaryInterval is the time between two log lines with a leader's summary of its fleet.
const summaryInterval = 30 * time.Second

// tick performs the periodic work that is due. The event loop calls it every TickInterval.
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

// tickTerm performs the periodic work of a leader term, and resigns if the term can't continue.
func (c *Controller) tickTerm(now time.Duration) {
	hasAuthority := c.membership.HasAuthority(now)
	if !hasAuthority && c.cacheTooStale(now) {
		c.membership.Resign(now, "the watched keys are too old")
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
	c.term.recordAuthority(now, hasAuthority)
	c.term.fleet.Tick(now, hasAuthority)
	if hasAuthority {
		c.tickAuthority(now)
	}
}

// tickAuthority performs the periodic work that requires the authority to act. It runs after the fleet's tick.
func (c *Controller) tickAuthority(now time.Duration) {
	if c.term.sessions != nil {
		c.term.sessions.Tick(now)
	}
	c.queryLicenceServers(now)
	c.term.capacity.Tick(now, c.term.authoritySince)
	c.storeZones(now)
	c.resignIfUnreachable(now)
	c.cancelDependentJobs(now)
	c.archiveEndedJobs(now)
}
