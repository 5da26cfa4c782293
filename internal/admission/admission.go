// Package admission is the one door to a machine: whether a task may start is decided here and
// nowhere else. Behind it stand the team limits and the licences, and whatever limits come
// later: all of them agree or nothing is taken, and what one of them books and releases the
// others book and release at the same moments. It belongs to the fleet of one term and holds
// no clock.
package admission

import (
	"time"

	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
)

// Claim is what one task takes while it may be on a machine.
type Claim struct {
	Team         int32
	Size         planner.Size
	LicenceUnits []licences.Unit // nil: none
}

// Denial says what keeps a task from starting; the zero value: nothing.
type Denial struct {
	TeamLimit bool // the team's limit of cores or accelerators
	Licence   licences.Denial
	Pool      int32 // of Seat
}

// OK tells whether nothing is in the way.
func (d Denial) OK() bool { return !d.TeamLimit && d.Licence == licences.Granted }

// Gate decides.
type Gate struct {
	Quota    *quota.Ledger
	Licences *licences.Ledger
	// booked are tasks of gangs that have begun to start: everything of theirs is taken,
	// but their own launch is put off.
	booked map[licences.Ref]Claim
}

// New makes a gate in front of two ledgers.
func New(q *quota.Ledger, s *licences.Ledger) *Gate {
	return &Gate{Quota: q, Licences: s, booked: map[licences.Ref]Claim{}}
}

// Ask tells whether n more tasks with a claim may start together now.
func (g *Gate) Ask(c Claim, n int) Denial {
	if !g.Quota.Fits(c.Team, c.Size, n) {
		return Denial{TeamLimit: true}
	}
	if len(c.LicenceUnits) == 0 {
		return Denial{}
	}
	d, pool := g.Licences.Fits(c.Team, c.LicenceUnits, n)
	return Denial{Licence: d, Pool: pool}
}

// Fits is Ask for callers that need no reason.
func (g *Gate) Fits(c Claim, n int) bool { return g.Ask(c, n).OK() }

// Reserved tells whether a task was let through with its gang.
func (g *Gate) Reserved(ref licences.Ref) bool {
	if len(g.booked) == 0 {
		return false
	}
	_, ok := g.booked[ref]
	return ok
}

// Reserve lets a whole gang through at once, so that nobody takes its place between the launches
// of its first and of its last task. The caller has asked for all of them.
func (g *Gate) Reserve(now time.Duration, refs []licences.Ref, attempt uint64, c Claim) {
	for _, r := range refs {
		if !g.Reserved(r) {
			g.booked[r] = c
			g.Quota.Take(c.Team, c.Size)
			g.Licences.Take(now, r, attempt, c.Team, c.LicenceUnits, licences.Booked)
		}
	}
}

// ReleaseReserved gives back what was booked for tasks that will not be launched now, as the caller says.
func (g *Gate) ReleaseReserved(now time.Duration, given func(licences.Ref) bool) {
	for r, c := range g.booked {
		if given(r) {
			g.Release(now, r, c, licences.Unstarted)
		}
	}
}

// Acquire counts a task as being on a machine, from before its launch is sent. Attempt is 0 where
// it is not known.
func (g *Gate) Acquire(now time.Duration, r licences.Ref, attempt uint64, c Claim) {
	if g.Reserved(r) {
		delete(g.booked, r)
	} else {
		g.Quota.Take(c.Team, c.Size)
	}
	if len(c.LicenceUnits) > 0 {
		g.Licences.Take(now, r, attempt, c.Team, c.LicenceUnits, licences.Held)
	}
}

// Release ends that, once the task is known to be gone.
func (g *Gate) Release(now time.Duration, r licences.Ref, c Claim, how licences.End) {
	delete(g.booked, r)
	g.Quota.Give(c.Team, c.Size)
	if len(c.LicenceUnits) > 0 {
		g.Licences.Give(now, r, c.LicenceUnits, how)
	}
}
