// Package admission decides whether a task may start on a machine. No other package does. It combines the team limits
// and the licences: a task starts only if all of them allow it, and its claim is taken from and released to all of
// them at the same time.
//
// A Gate belongs to the fleet of one term and is used only by the event loop that runs the fleet. It has no clock, and
// neither sends launches nor decides where tasks run.
package admission

import (
	"time"

	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/quota"
)

// Claim is the resources that one task takes while it may be on a machine.
type Claim struct {
	Team         int32 // dense index
	Size         planner.Size
	LicenceUnits []licences.Requirement // nil: none
}

// Denial is the reason why a task may not start. The zero value means that the task may start.
type Denial struct {
	TeamLimit bool            // the team's limit of CPUs or GPUs would be exceeded
	Licence   licences.Denial // licences.Granted unless licence units are missing
	Pool      int32           // dense index of the pool that lacks units
}

// OK reports whether the task may start.
func (d Denial) OK() bool { return !d.TeamLimit && d.Licence == licences.Granted }

// Gate decides whether tasks may start and counts the claims of the tasks that may be on machines.
//
// A task's claim goes through these states:
//
//	none     -> acquired  Acquire: its launch is about to be sent, or it was found on a machine
//	none     -> reserved  Reserve: its gang begins to start and its own launch follows later
//	reserved -> acquired  Acquire: its launch is about to be sent
//	reserved -> none      ReleaseReserved: it will not be launched
//	acquired -> none      Release: the task is certainly gone
//
// A reserved claim counts against all limits as an acquired one does.
type Gate struct {
	Quota    *quota.Ledger
	Licences *licences.Ledger
	reserved map[licences.TaskRef]Claim
}

// New returns a gate that takes claims from the ledgers of the teams and the licence pools.
func New(teams *quota.Ledger, pools *licences.Ledger) *Gate {
	return &Gate{Quota: teams, Licences: pools, reserved: map[licences.TaskRef]Claim{}}
}

// Check returns the reason why n more tasks with a claim may not start together now, or the zero Denial if they may.
func (g *Gate) Check(claim Claim, n int) Denial {
	if !g.Quota.Fits(claim.Team, claim.Size, n) {
		return Denial{TeamLimit: true}
	}
	if len(claim.LicenceUnits) == 0 {
		return Denial{}
	}
	denial, pool := g.Licences.Fits(claim.Team, claim.LicenceUnits, n)
	return Denial{Licence: denial, Pool: pool}
}

// Fits reports whether n more tasks with a claim may start together now.
func (g *Gate) Fits(claim Claim, n int) bool { return g.Check(claim, n).OK() }

// Reserved reports whether a task's claim is reserved and its launch has not been sent yet.
func (g *Gate) Reserved(ref licences.TaskRef) bool {
	if len(g.reserved) == 0 {
		return false
	}
	_, ok := g.reserved[ref]
	return ok
}

// Reserve reserves the claims of all tasks of a gang at once, so that no other job takes them between the launches of
// the gang's first and last task. The caller has to call Check for all tasks together first. Claims that are reserved
// already stay as they are.
func (g *Gate) Reserve(now time.Duration, refs []licences.TaskRef, attempt uint64, claim Claim) {
	for _, ref := range refs {
		if g.Reserved(ref) {
			continue
		}
		g.reserved[ref] = claim
		g.Quota.Acquire(claim.Team, claim.Size)
		g.Licences.Acquire(now, ref, attempt, claim.Team, claim.LicenceUnits, licences.Reserved)
	}
}

// ReleaseReserved releases the reserved claims of the tasks for which abandoned returns true. These tasks will not be
// launched.
func (g *Gate) ReleaseReserved(now time.Duration, abandoned func(licences.TaskRef) bool) {
	for ref, claim := range g.reserved {
		if abandoned(ref) {
			g.Release(now, ref, claim, licences.NeverStarted)
		}
	}
}

// Acquire takes a task's claim before the task's launch is sent. A reserved claim becomes acquired. attempt is 0 if it
// is unknown.
func (g *Gate) Acquire(now time.Duration, ref licences.TaskRef, attempt uint64, claim Claim) {
	if g.Reserved(ref) {
		delete(g.reserved, ref)
	} else {
		g.Quota.Acquire(claim.Team, claim.Size)
	}
	if len(claim.LicenceUnits) > 0 {
		g.Licences.Acquire(now, ref, attempt, claim.Team, claim.LicenceUnits, licences.CheckedOut)
	}
}

// Release releases a task's claim once the task is certainly gone. end decides when the claim's licence units are free
// again.
func (g *Gate) Release(now time.Duration, ref licences.TaskRef, claim Claim, end licences.End) {
	delete(g.reserved, ref)
	g.Quota.Release(claim.Team, claim.Size)
	if len(claim.LicenceUnits) > 0 {
		g.Licences.Release(now, ref, claim.LicenceUnits, end)
	}
}
