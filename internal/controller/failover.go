package controller

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/membership"
)

// failoverTiming logs, second by second, how a controller gets on in the seconds after it started or after the lead
// passed: what users and workers were answered, and where processor, requests and writes went. Those
// are the worst seconds of the service, and what they are short of isn't seen in means.
type failoverTiming struct {
	until time.Duration // log until then
	from  time.Duration // the turn
	next  time.Duration
	term  uint64
	was   processCounters
}

// failoverLogFor is how long after a turn each second is logged.
const failoverLogFor = 20 * time.Second

// processCounters is what was counted since the start.
type processCounters struct {
	api.ResponseCounts
	requests, writes uint64 // to the state service
	cpu              time.Duration
}

func (c *Controller) readCounters() processCounters {
	t := processCounters{ResponseCounts: c.answers.Read()}
	t.requests, t.writes = c.store.Sent()
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		t.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	return t
}

// logFailoverTiming logs the second that is over.
func (c *Controller) logFailoverTiming(now time.Duration) {
	p := &c.failoverTiming
	if term := c.membership.Leader().Term; term != p.term || p.from == 0 {
		p.term, p.from, p.until, p.next, p.was = term, max(1, now), now+failoverLogFor, now+time.Second, c.readCounters()
		return
	}
	if now < p.next || now >= p.until {
		return
	}
	p.next += time.Second
	t := c.readCounters()
	acting, known := 0, 0
	leads := c.term.fleet != nil && c.membership.State() == membership.Leading
	if leads {
		for _, machine := range c.term.fleet.Machines() {
			switch machine.Condition {
			case fleet.Ready, fleet.ReclaimNoticed:
				acting++
			case fleet.Registered:
				known++
			}
		}
	}
	w := p.was
	slog.Info("pace", "after_s", (now - p.from).Round(100*time.Millisecond).Seconds(), "term", p.term, "leads", leads,
		"served", t.Served-w.Served, "refused_429", t.Busy-w.Busy, "refused_503", t.Unable-w.Unable, "reports", t.Reports-w.Reports, "reports_refused", t.Void-w.Void,
		"state_requests", t.requests-w.requests, "writes", t.writes-w.writes, "cpu_ms", (t.cpu - w.cpu).Milliseconds(), "acting", acting, "silent", known)
	p.was = t
}
