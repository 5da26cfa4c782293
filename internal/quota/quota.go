// Package quota keeps what each team's tasks may be using, against its limit and its
// guarantee. A limit or guarantee of 0 means that none is set.
package quota

import (
	"math"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/planner"
)

// Team is one team's account.
type Team struct {
	Limit     planner.Size // +Inf where none is set
	Guarantee planner.Size // 0 where none is set
	Used      planner.Size // by tasks that may be on a machine
}

// Ledger holds all accounts by dense team index. It is one controller's allotment: with a
// single part that is the whole limit.
type Ledger struct {
	teams map[int32]*Team
}

func limit(v float64) float64 {
	if v == 0 {
		return math.Inf(1)
	}
	return v
}

// New opens an account for every team in the settings.
func New(teams []config.Team, index func(string) int32) *Ledger {
	l := &Ledger{teams: map[int32]*Team{}}
	for _, t := range teams {
		l.teams[index(t.Name)] = &Team{
			Limit:     planner.Size{CPUs: limit(t.CPUsMax), GPUs: limit(t.GPUsMax), Mem: math.Inf(1)},
			Guarantee: planner.Size{CPUs: t.CPUs, GPUs: t.GPUs},
		}
	}
	return l
}

// Team finds an account; nil for an unknown team.
func (l *Ledger) Team(ix int32) *Team { return l.teams[ix] }

// Fits tells whether n more tasks of a size keep the team within its limit.
func (l *Ledger) Fits(team int32, size planner.Size, n int) bool {
	t := l.teams[team]
	if t == nil {
		return false
	}
	k := float64(n)
	return t.Used.Add(planner.Size{CPUs: size.CPUs * k, GPUs: size.GPUs * k}).Fits(t.Limit)
}

// Ever tells whether n tasks could run if the team ran nothing else.
func (l *Ledger) Ever(team int32, size planner.Size, n int) bool {
	t := l.teams[team]
	k := float64(n)
	return t != nil && planner.Size{CPUs: size.CPUs * k, GPUs: size.GPUs * k}.Fits(t.Limit)
}

// Take books a task that may be on a machine from now on.
func (l *Ledger) Take(team int32, size planner.Size) {
	if t := l.teams[team]; t != nil {
		t.Used = t.Used.Add(size)
	}
}

// Give takes a booking back.
func (l *Ledger) Give(team int32, size planner.Size) {
	if t := l.teams[team]; t != nil {
		t.Used = t.Used.Sub(size)
	}
}

// Within tells whether a team's demand, of which the last job's is one, fits into its
// guarantee. A job that asks for nothing that is guaranteed has no guarantee to lie in; a
// resource of which nothing is guaranteed does not count against one that does.
func (l *Ledger) Within(team int32, job, demand planner.Size) bool {
	t := l.teams[team]
	if t == nil {
		return false
	}
	g := t.Guarantee
	if !(g.CPUs > 0 && job.CPUs > 0) && !(g.GPUs > 0 && job.GPUs > 0) {
		return false
	}
	ok := func(need, have float64) bool { return have == 0 || need <= have+1e-6 }
	return ok(demand.CPUs, g.CPUs) && ok(demand.GPUs, g.GPUs)
}
