// Package quota counts the resources that each team's tasks may be using, against the team's limit and guarantee. A
// limit or guarantee of 0 in the settings means that none is set.
//
// The fleet's admission gate calls Acquire and Release; the controller calls CouldEverFit for a submitted job. The
// package doesn't decide whether a task has started or ended, and has no clock. A Ledger is used by one goroutine.
package quota

import (
	"math"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/planner"
)

// Team is the account of one team.
type Team struct {
	Limit     planner.Size // +Inf where none is set
	Guarantee planner.Size // 0 where none is set
	Used      planner.Size // sum over the team's tasks that may be on a machine
}

// Ledger holds the accounts of all teams, by dense index. Its limits are the quota allocation of one controller: the
// whole limit if the fleet is not sharded.
type Ledger struct {
	teams map[int32]*Team
}

// New opens an account for every team in the settings. index returns the dense index of a team's name.
func New(teams []config.Team, index func(name string) int32) *Ledger {
	ledger := &Ledger{teams: map[int32]*Team{}}
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

// limitOrInf returns a limit of the settings, +Inf if none is set.
func limitOrInf(limit float64) float64 {
	if limit == 0 {
		return math.Inf(1)
	}
	return limit
}

// Team returns the account of a team, nil for an unknown team.
func (l *Ledger) Team(index int32) *Team { return l.teams[index] }

// Fits reports whether n more tasks of a size keep a team within its limit; false for an unknown team.
func (l *Ledger) Fits(team int32, size planner.Size, n int) bool {
	account := l.teams[team]
	return account != nil && account.Used.Add(size.Scale(float64(n))).Fits(account.Limit)
}

// CouldEverFit reports whether n tasks of a size could run together if the team ran nothing else; false for an
// unknown team.
func (l *Ledger) CouldEverFit(team int32, size planner.Size, n int) bool {
	account := l.teams[team]
	return account != nil && size.Scale(float64(n)).Fits(account.Limit)
}

// Acquire counts the size of a task that may be on a machine from now on.
func (l *Ledger) Acquire(team int32, size planner.Size) {
	if account := l.teams[team]; account != nil {
		account.Used = account.Used.Add(size)
	}
}

// Release reverts one Acquire once the task is certainly gone.
func (l *Ledger) Release(team int32, size planner.Size) {
	if account := l.teams[team]; account != nil {
		account.Used = account.Used.Sub(size)
	}
}

// WithinGuarantee reports whether a job is within its team's guarantee. The job has to use a guaranteed resource, and
// demand, the sum over the job and the team's jobs before it, must not exceed the guarantee of any resource. Resources
// without a guarantee are left out.
func (l *Ledger) WithinGuarantee(team int32, job, demand planner.Size) bool {
	account := l.teams[team]
	if account == nil {
		return false
	}
	guarantee := account.Guarantee
	usesCPUs := guarantee.CPUs > 0 && job.CPUs > 0
	usesGPUs := guarantee.GPUs > 0 && job.GPUs > 0
	if !usesCPUs && !usesGPUs {
		return false
	}
	return withinGuarantee(demand.CPUs, guarantee.CPUs) && withinGuarantee(demand.GPUs, guarantee.GPUs)
}

// roundingTolerance is how far a sum of demands may exceed a guarantee because of rounding.
const roundingTolerance = 1e-6

func withinGuarantee(demand, guarantee float64) bool {
	return guarantee == 0 || demand <= guarantee+roundingTolerance
}
