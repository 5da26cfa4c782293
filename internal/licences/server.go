package licences

import (
	"log/slog"
	"time"
)

// Timing of the queries to a licence server.
const (
	// QueryTimeout is the timeout of one query.
	QueryTimeout = 2 * time.Second

	defaultPollInterval = 2 * time.Second
	urgentPollDivisor   = 16 // divides the poll interval while an answer is urgent
	minPollInterval     = 100 * time.Millisecond

	unreachableAfterPolls = 3 // poll intervals without a valid answer
	minUnreachableAfter   = 3 * time.Second
	minSampleWindow       = 5 * time.Second // time for which the figures of earlier answers are kept
)

// An answer is inconsistent if it lacks more than maxMissingTolerated running holders and more than one in
// missingShareDivisor of them. Fewer missing holders may be tasks that are just ending.
const (
	maxMissingTolerated = 2
	missingShareDivisor = 4
)

// serverState is whether a pool's licence server is reachable, and whether its answers are consistent.
type serverState uint8

// The states of a server and its transitions:
//
//	Unknown      -> Reachable     the first answer of the term
//	Reachable    -> Unreachable   no valid answer for unreachableAfter: no task starts
//	Unreachable  -> Reachable     an answer
//	Reachable    -> Inconsistent  an answer lacks many running holders: its figure for outside holders applies
//	                              only if no recent figure is higher
//	Inconsistent -> Reachable     a sample window has passed, and an answer no longer lacks many running holders
//	Inconsistent -> Unreachable   no valid answer for unreachableAfter
//
// A pool without a server starts as Reachable, or as Unknown while units of an earlier term may still be checked out.
const (
	serverUnknown serverState = iota
	serverReachable
	serverUnreachable
	serverInconsistent
)

// String returns the state's name for operators, in View.ServerState.
func (s serverState) String() string { return [...]string{"unasked", "open", "silent", "doubted"}[s] }

// serverStatus is the last known status of a pool's licence server.
type serverStatus struct {
	state            serverState
	changedAt        time.Duration // time of the last change of state
	answeredAt       time.Duration // send time of the newest query with a valid answer
	isQueryInFlight  bool
	queriedAt        time.Duration   // send time of the last query; 0: none in this term
	isAnswerAwaited  bool            // a job waits for units: the next query is urgent
	count            *int            // total units by the last answer; nil: not reported
	outsideUnits     int             // units of outside holders by the last answer
	outsideSamples   []outsideSample // the oldest first
	missingCheckouts int             // CheckedOut checkouts that the last answer lacks although an earlier one had them
}

// outsideSample is the number of units that outside holders had by one answer.
type outsideSample struct {
	at    time.Duration
	units int
}

// isUsable reports whether the server's answers suffice to grant units.
func (s *serverStatus) isUsable() bool {
	return s.state == serverReachable || s.state == serverInconsistent
}

// addOutsideSample records the units of outside holders in an answer, and drops samples older than window.
func (s *serverStatus) addOutsideSample(now time.Duration, units int, window time.Duration) {
	s.outsideUnits = units
	s.outsideSamples = append(s.outsideSamples, outsideSample{now, units})
	for len(s.outsideSamples) > 1 && now-s.outsideSamples[0].at > window {
		s.outsideSamples = s.outsideSamples[1:]
	}
}

// StartDueQueries returns the pools whose servers are to be queried now. It marks their queries as in flight until
// ApplyAnswer or QueryFailed is called. A server gets one query at a time: one in every poll interval, and more while
// its state is unknown, units await release or a job waits for units.
func (l *Ledger) StartDueQueries(now time.Duration) []*Pool {
	var duePools []*Pool
	for _, pool := range l.pools {
		if pool.isQueryDue(now) {
			pool.server.isQueryInFlight = true
			pool.server.queriedAt = now
			pool.server.isAnswerAwaited = false
			duePools = append(duePools, pool.Pool)
		}
	}
	return duePools
}

func (p *poolState) isQueryDue(now time.Duration) bool {
	if p.Server == "" || p.server.isQueryInFlight {
		return false
	}
	interval := p.pollInterval()
	isUrgent := p.server.state == serverUnknown || p.unitsByState[AwaitingRelease] > 0 || p.server.isAnswerAwaited
	if isUrgent {
		interval = max(minPollInterval, interval/urgentPollDivisor)
	}
	return p.server.queriedAt == 0 || now-p.server.queriedAt >= interval
}

func (p *poolState) pollInterval() time.Duration {
	if p.PollInterval > 0 {
		return p.PollInterval
	}
	return defaultPollInterval
}

// unreachableAfter returns the time without a valid answer after which a server is Unreachable.
func (p *poolState) unreachableAfter() time.Duration {
	return max(unreachableAfterPolls*p.pollInterval(), minUnreachableAfter)
}

// sampleWindow returns how long the figures of earlier answers are kept.
func (p *poolState) sampleWindow() time.Duration { return max(p.ReleaseTimeout, minSampleWindow) }

// setServerState changes a server's state; every transition goes through it.
func (p *poolState) setServerState(now time.Duration, to serverState, cause string) {
	if p.server.state == to {
		return
	}
	slog.Warn("licence server state changed",
		"pool", p.Name, "from", p.server.state.String(), "to", to.String(), "cause", cause)
	p.server.state = to
	p.server.changedAt = now
}

// QueryFailed ends a pool's query in flight that got no valid answer.
func (l *Ledger) QueryFailed(pool string) {
	if index, ok := l.catalog.Index(pool); ok {
		l.pools[index].server.isQueryInFlight = false
	}
}

// ApplyAnswer applies a server's answer to a query that was sent at sentAt. ownTask returns the cluster's task with a
// name, and false for the name of an outside holder.
func (l *Ledger) ApplyAnswer(
	now, sentAt time.Duration,
	pool string,
	answer Answer,
	ownTask func(task string) (TaskRef, bool),
) {
	if index, ok := l.catalog.Index(pool); ok {
		l.pools[index].applyAnswer(now, sentAt, answer, ownTask)
	}
}

func (p *poolState) applyAnswer(now, sentAt time.Duration, answer Answer, ownTask func(task string) (TaskRef, bool)) {
	p.server.isQueryInFlight = false
	p.server.answeredAt = max(p.server.answeredAt, sentAt)
	if !p.server.isUsable() {
		p.setServerState(now, serverReachable, "answered")
	}
	p.server.count = answer.Count
	reported := make(map[Holder]int, len(answer.Holders))
	outsideUnits := 0
	for _, entry := range answer.Holders {
		ref, isOwn := ownTask(entry.Task)
		if !isOwn {
			outsideUnits += entry.Units
			continue
		}
		reported[p.reportedHolder(ref, entry.Attempt)] += entry.Units
	}
	p.setReportedUnits(reported)
	p.releaseReturned(now, sentAt)
	p.server.addOutsideSample(now, outsideUnits, p.sampleWindow())
	p.checkConsistency(now)
}

// reportedHolder returns the holder of an entry in an answer. If the entry has no attempt, it is the active holder.
func (p *poolState) reportedHolder(ref TaskRef, attempt uint64) Holder {
	if attempt == 0 {
		if active, ok := p.active[ref]; ok && active.Attempt != 0 {
			return active
		}
	}
	return Holder{ref, attempt}
}

// setReportedUnits sets the units that the server reports for each of the cluster's own holders.
func (p *poolState) setReportedUnits(reported map[Holder]int) {
	for holder, c := range p.checkouts {
		units := reported[holder]
		before := c.countedUnits()
		wasReported := c.reportedUnits > 0
		c.reportedUnits = units
		p.countedUnits += c.countedUnits() - before
		switch {
		case c.state != CheckedOut:
		case units > 0:
			p.setMissing(c, false)
		case wasReported:
			p.setMissing(c, true)
		}
		p.store(holder, c)
	}
	for holder, units := range reported {
		if _, ok := p.checkouts[holder]; !ok {
			p.checkouts[holder] = &checkout{reportedUnits: units}
			p.countedUnits += units
		}
	}
}

// setMissing sets whether the last answer lacks a checkout that an earlier one had.
func (p *poolState) setMissing(c *checkout, isMissing bool) {
	if c.isMissing == isMissing {
		return
	}
	c.isMissing = isMissing
	if isMissing {
		p.server.missingCheckouts++
	} else {
		p.server.missingCheckouts--
	}
}

// releaseReturned frees the checkouts AwaitingRelease that an answer lacks, if its query was sent after their task had
// ended. An answer that also lacks running holders is no proof; then a checkout becomes Free only after its deadline.
func (p *poolState) releaseReturned(now, sentAt time.Duration) {
	for holder, c := range p.checkouts {
		if c.state != AwaitingRelease || c.reportedUnits > 0 || sentAt <= c.changedAt {
			continue
		}
		if !p.lacksRunningHolders() || now >= c.releaseDeadline {
			p.setState(now, holder, c, Free)
		}
	}
}

// lacksRunningHolders reports whether the last answer lacks more running holders than may just be ending.
func (p *poolState) lacksRunningHolders() bool {
	missing := p.server.missingCheckouts
	return missing > maxMissingTolerated && missing*missingShareDivisor > len(p.active)
}

// checkConsistency updates the server's state by whether the last answer lists the running holders.
func (p *poolState) checkConsistency(now time.Duration) {
	isConsistent := !p.lacksRunningHolders()
	switch {
	case p.server.state == serverReachable && !isConsistent:
		p.setServerState(now, serverInconsistent, "the answer lacks running holders")
	case p.server.state == serverInconsistent && isConsistent && now-p.server.changedAt > p.sampleWindow():
		p.setServerState(now, serverReachable, "the answers list the running holders again")
	}
}

// Tick applies the passing of time. It marks servers without recent answers as Unreachable, frees expired checkouts of
// pools without a server, and updates the units kept for outside holders to the time of day.
func (l *Ledger) Tick(now time.Duration, wall time.Time) {
	for _, pool := range l.pools {
		pool.outsideReserve = pool.ReserveAt(wall)
		if pool.Server == "" {
			pool.releaseExpired(now, l.startedAt)
			continue
		}
		if pool.server.state != serverUnknown && now-pool.server.answeredAt > pool.unreachableAfter() {
			pool.setServerState(now, serverUnreachable, "no answer")
		}
	}
}

// releaseExpired frees the units of crashed holders of a pool without a server after Pool.ReleaseTimeout. Units of an
// earlier term, of which this ledger has no record, count as returned ReleaseTimeout after the start of the term.
func (p *poolState) releaseExpired(now, termStartedAt time.Duration) {
	if p.server.state == serverUnknown && now-termStartedAt >= p.ReleaseTimeout {
		p.setServerState(now, serverReachable, "checkouts of earlier terms have expired")
	}
	if p.unitsByState[AwaitingRelease] == 0 {
		return
	}
	for holder, c := range p.checkouts {
		if c.state == AwaitingRelease && now >= c.releaseDeadline {
			p.setState(now, holder, c, Free)
		}
	}
}
