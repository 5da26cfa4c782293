// Package admission decides whether a task may start: nothing is launched that the gate hasn't admitted. Behind the
// gate are team limits and licences. Either all of them admit a task or none books it, and all of them book and
// release at the same moments.
//
// The fleet makes one Gate for each term and calls it on the event loop. A gate reads no clock, and doesn't choose
// which task is next or on which machine.
package admission

import (
	"time"

	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
)

// Claim is what one task takes while it may be on a machine.
type Claim struct {
	Team  int32
	Size  planner.Size
	Seats []licences.Unit // licence units, nil: none
}

// Denial is why a task may not start. The zero value means that it may.
type Denial struct {
	TeamLimit bool            // the team's limit of cores or GPUs
	Licence   licences.Denial // licences.Granted: no licence is in the way
	Pool      int32           // of the missing licence
}

// OK reports whether the task may start.
func (d Denial) OK() bool { return !d.TeamLimit && d.Licence == licences.Granted }

// Gate admits tasks and keeps the bookings of the admitted ones.
type Gate struct {
	Quota    *quota.Ledger
	Licences *licences.Ledger
	// reserved are tasks of gangs that have begun to start: their claims are booked, and they aren't launched yet.
	reserved map[licences.Ref]Claim
}

// New returns a gate that books on two ledgers.
func New(quotaLedger *quota.Ledger, licenceLedger *licences.Ledger) *Gate {
	return &Gate{Quota: quotaLedger, Licences: licenceLedger, reserved: map[licences.Ref]Claim{}}
}

// Ask returns why n more tasks with a claim may not start together now.
func (g *Gate) Ask(claim Claim, n int) Denial {
	if !g.Quota.Fits(claim.Team, claim.Size, n) {
		return Denial{TeamLimit: true}
	}
	if len(claim.Seats) == 0 {
		return Denial{}
	}
	denial, pool := g.Licences.Fits(claim.Team, claim.Seats, n)
	return Denial{Licence: denial, Pool: pool}
}

// Fits reports whether n more tasks with a claim may start together now.
func (g *Gate) Fits(claim Claim, n int) bool { return g.Ask(claim, n).OK() }

// Reserved reports whether a task was admitted with its gang and isn't launched yet.
func (g *Gate) Reserved(task licences.Ref) bool {
	if len(g.reserved) == 0 {
		return false
	}
	_, ok := g.reserved[task]
	return ok
}

// Reserve books the claims of a whole gang, so that no other task takes their place between its first and its last
// launch. The caller has checked all of them with Ask. Tasks that are reserved already are skipped.
func (g *Gate) Reserve(now time.Duration, tasks []licences.Ref, attempt uint64, claim Claim) {
	for _, task := range tasks {
		if g.Reserved(task) {
			continue
		}
		g.reserved[task] = claim
		g.Quota.Take(claim.Team, claim.Size)
		g.Licences.Take(now, task, attempt, claim.Team, claim.Seats, licences.Booked)
	}
}

// ReleaseReserved releases the reserved tasks for which isAbandoned returns true: they won't be launched now.
func (g *Gate) ReleaseReserved(now time.Duration, isAbandoned func(licences.Ref) bool) {
	for task, claim := range g.reserved {
		if isAbandoned(task) {
			g.Release(now, task, claim, licences.Unstarted)
		}
	}
}

// Acquire counts a task as being on a machine, from before its launch is sent. A reserved task's booking is kept.
// attempt is 0 where it isn't known.
func (g *Gate) Acquire(now time.Duration, task licences.Ref, attempt uint64, claim Claim) {
	if g.Reserved(task) {
		delete(g.reserved, task)
	} else {
		g.Quota.Take(claim.Team, claim.Size)
	}
	if len(claim.Seats) > 0 {
		g.Licences.Take(now, task, attempt, claim.Team, claim.Seats, licences.Held)
	}
}

// Release releases a task's claim, once the task is proven gone or won't be launched. end is how it ended.
func (g *Gate) Release(now time.Duration, task licences.Ref, claim Claim, end licences.End) {
	delete(g.reserved, task)
	g.Quota.Give(claim.Team, claim.Size)
	if len(claim.Seats) > 0 {
		g.Licences.Give(now, task, claim.Seats, end)
	}
}
