// Package quota keeps what each team's tasks may be using, against the team's limit and guarantee.
//
// A Ledger holds the limits of the settings. The leader's admission gate books tasks on one, from before their
// launch until they are proven gone, and the scheduling cycle reads it to order jobs. Every controller has another
// one, without bookings, to reject jobs that can never run. The package decides nothing about machines and stores
// nothing. A ledger isn't safe for concurrent use: it belongs to the event loop.
package quota

import (
	"math"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/planner"
)

// guaranteeTolerance makes up for rounding in sums of demands.
const guaranteeTolerance = 1e-6

// Team is one team's account.
type Team struct {
	Limit     planner.Size // +Inf where none is set
	Guarantee planner.Size // 0 where none is set
	Used      planner.Size // by tasks that may be on a machine
}

// Ledger holds the accounts by dense team index.
type Ledger struct {
	teams map[int32]*Team
}

// New returns a ledger with an empty account for every team of the settings; index gives a team's dense index.
func New(teams []config.Team, index func(name string) int32) *Ledger {
	ledger := &Ledger{teams: make(map[int32]*Team, len(teams))}
	for _, team := range teams {
		ledger.teams[index(team.Name)] = &Team{
			Limit: planner.Size{
				CPUs: limitOrInf(team.CPUsMax),
				GPUs: limitOrInf(team.GPUsMax),
				Mem:  math.Inf(1),
			},
			Guarantee: planner.Size{CPUs: team.CPUs, GPUs: team.GPUs},
		}
	}
	return ledger
}

// limitOrInf turns a limit of the settings, where 0 means none, into one that sums can be compared with.
func limitOrInf(setting float64) float64 {
	if setting == 0 {
		return math.Inf(1)
	}
	return setting
}

// Team returns a team's account, nil for an unknown team. It is the ledger's own: callers only read it.
func (l *Ledger) Team(index int32) *Team { return l.teams[index] }

// Fits reports whether n more tasks of a size keep the team within its limit. An unknown team has none.
func (l *Ledger) Fits(team int32, size planner.Size, n int) bool {
	account := l.teams[team]
	return account != nil && account.Used.Add(limitedResources(size, n)).Fits(account.Limit)
}

// Ever reports whether n tasks of a size could run if the team ran nothing else.
func (l *Ledger) Ever(team int32, size planner.Size, n int) bool {
	account := l.teams[team]
	return account != nil && limitedResources(size, n).Fits(account.Limit)
}

// limitedResources is what n tasks take of the resources that have limits: cores and GPUs, but not memory.
func limitedResources(size planner.Size, n int) planner.Size {
	count := float64(n)
	return planner.Size{CPUs: size.CPUs * count, GPUs: size.GPUs * count}
}

// Take books a task that may be on a machine from now on. For an unknown team it does nothing.
func (l *Ledger) Take(team int32, size planner.Size) {
	if account := l.teams[team]; account != nil {
		account.Used = account.Used.Add(size)
	}
}

// Give releases what Take has booked for a task, once that is proven gone.
func (l *Ledger) Give(team int32, size planner.Size) {
	if account := l.teams[team]; account != nil {
		account.Used = account.Used.Sub(size)
	}
}

// Within reports whether a team's demand, which includes a job of the given size, fits its guarantee. A job that
// needs nothing that is guaranteed is never within. A resource without a guarantee doesn't count against one that
// has it.
func (l *Ledger) Within(team int32, job, demand planner.Size) bool {
	account := l.teams[team]
	if account == nil {
		return false
	}
	guarantee := account.Guarantee
	needsGuaranteedCPUs := guarantee.CPUs > 0 && job.CPUs > 0
	needsGuaranteedGPUs := guarantee.GPUs > 0 && job.GPUs > 0
	if !needsGuaranteedCPUs && !needsGuaranteedGPUs {
		return false
	}
	return fitsGuarantee(demand.CPUs, guarantee.CPUs) && fitsGuarantee(demand.GPUs, guarantee.GPUs)
}

func fitsGuarantee(demand, guarantee float64) bool {
	return guarantee == 0 || demand <= guarantee+guaranteeTolerance
}
