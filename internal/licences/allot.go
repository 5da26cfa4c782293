package licences

import (
	"slices"
	"time"
)

// Ask is a live job that waits for seats. Asks come in rank order, best first.
type Ask struct {
	Job   int32
	Team  int32
	Needs []Unit // of each task
	Tasks int    // that wait
	// Whole says that all tasks must have their seats at once.
	Whole bool
}

// Grant is the outcome of an Ask: how many of its tasks may be planned and started, and if
// that is not all, why.
type Grant struct {
	Tasks int
	Why   Denial
	Pool  int32 // in the way; -1: none
}

// round is what is left while seats are handed out.
type round struct {
	l    *Ledger
	free []int
	team []map[int32]int // units that a team has or was granted
}

// Allot hands out the free seats, in two rounds: first to jobs within their team's guaranteed
// number of seats, then to all; each round in rank order. A job that must have all its seats at
// once and can't yet keeps what is free from those behind it, of all its pools together: seats
// are never given to half of it, so two that need the same two pools can't stand in each
// other's way.
func (l *Ledger) Allot(asks []Ask) []Grant {
	r := &round{l: l}
	for _, a := range l.pools {
		r.free = append(r.free, l.free(a))
		r.team = append(r.team, make(map[int32]int, len(a.teams)))
		for ix, m := range a.teams {
			r.team[a.index][ix] = m.units
		}
	}
	out := make([]Grant, len(asks))
	for i := range out {
		out[i].Pool = -1
	}
	for _, guaranteed := range []bool{true, false} {
		for i := range asks {
			a := &asks[i]
			left := a.Tasks - out[i].Tasks
			if left <= 0 || !r.declared(a, &out[i]) {
				continue
			}
			n := r.most(a, left, guaranteed, &out[i])
			if a.Whole && n < left {
				n = 0
				if !guaranteed {
					r.keep(a)
				}
			}
			r.take(a, n)
			out[i].Tasks += n
		}
	}
	for i := range out {
		if out[i].Tasks >= asks[i].Tasks {
			out[i].Why, out[i].Pool = Granted, -1
		} else if p := out[i].Pool; p >= 0 && int(p) < len(l.pools) {
			l.pools[p].wanted = true
		}
	}
	return out
}

func (r *round) declared(a *Ask, g *Grant) bool {
	for _, unit := range a.Needs {
		if r.l.account(unit.Pool) == nil {
			g.Why, g.Pool = NoPool, unit.Pool
			return false
		}
	}
	return true
}

// most is how many of n tasks can have their seats now; g learns what is in the way.
func (r *round) most(a *Ask, n int, guaranteed bool, g *Grant) int {
	promised := false
	for _, unit := range a.Needs {
		acc := r.l.pools[unit.Pool]
		share := Share{}
		if m := acc.teams[a.Team]; m != nil {
			share = m.Share
		}
		had := r.team[unit.Pool][a.Team]
		limit := func(units int, why Denial) {
			if k := max(0, units) / unit.N; k < n {
				n, g.Why, g.Pool = k, why, unit.Pool
			}
		}
		if guaranteed && share.Guarantee > 0 {
			promised = true
			limit(share.Guarantee-had, OtherFirst)
		}
		if share.Most > 0 {
			limit(share.Most-had, TeamMost)
		}
		why := NoSeat
		switch {
		case acc.line == Unasked || acc.line == Silent:
			why = NoAnswer
		case r.l.free(acc) >= unit.N:
			why = OtherFirst
		}
		limit(r.free[unit.Pool], why)
	}
	if guaranteed && !promised {
		return 0
	}
	return n
}

func (r *round) take(a *Ask, n int) {
	if n == 0 {
		return
	}
	for _, unit := range a.Needs {
		r.free[unit.Pool] -= n * unit.N
		r.team[unit.Pool][a.Team] += n * unit.N
	}
}

// keep sets the free seats aside that a job which must have all at once waits for. One that
// could not have them even alone keeps nothing.
func (r *round) keep(a *Ask) {
	for _, unit := range a.Needs {
		acc := r.l.pools[unit.Pool]
		need := unit.N * a.Tasks
		if m := acc.teams[a.Team]; need > r.l.total(acc)-acc.reserve || (m != nil && m.Most > 0 && r.team[unit.Pool][a.Team]+need > m.Most) {
			return
		}
	}
	for _, unit := range a.Needs {
		r.free[unit.Pool] = max(0, r.free[unit.Pool]-unit.N*a.Tasks)
	}
}

// Promised tells whether a job's team would stay within its guaranteed number of seats with n
// more of its tasks, in every pool it needs and for which it has a guarantee.
func (l *Ledger) Promised(team int32, needs []Unit, n int) bool {
	promised := false
	for _, unit := range needs {
		a := l.account(unit.Pool)
		if a == nil {
			return false
		}
		if m := a.teams[team]; m != nil && m.Guarantee > 0 {
			if m.units+unit.N*n > m.Guarantee {
				return false
			}
			promised = true
		}
	}
	return promised
}

// Over tells whether a team holds more of a pool than it is guaranteed.
func (l *Ledger) Over(pool, team int32) bool {
	a := l.account(pool)
	if a == nil {
		return false
	}
	m := a.teams[team]
	return m == nil || m.units > m.Guarantee
}

// Short is how many units of a pool a job lacks for n more tasks, 0 if it lacks none.
func (l *Ledger) Short(unit Unit, n int) int {
	a := l.account(unit.Pool)
	if a == nil || a.line == Unasked || a.line == Silent {
		return 0
	}
	return max(0, unit.N*n-l.free(a))
}

// Excess is how many units must be given up since the count was lowered: 0 unless the pool's
// operators chose to have holders stopped, and while tasks of an earlier term are counted that
// may not run at all.
func (l *Ledger) Excess(pool int32) int {
	a := l.account(pool)
	if a == nil || a.unsure > 0 || l.cat.Lowering(pool) != Stop {
		return 0
	}
	held := a.byState[Held] + a.byState[Booked]
	return min(held, max(0, held+a.foreign-l.total(a)))
}

// View is what operators are shown of a pool.
type View struct {
	Pool      string     `json:"pool"`
	Count     int        `json:"count"`
	Declared  int        `json:"declared"`
	SetBy     string     `json:"set_by,omitempty"`
	Version   uint64     `json:"version"` // of the count set at run time, 0: none
	Lowering  Lower      `json:"on_lower"`
	Reserve   int        `json:"reserve"`
	Held      int        `json:"held"`
	Booked    int        `json:"booked"`
	Lingering int        `json:"lingering"`
	Others    int        `json:"others"`
	Free      int        `json:"free"`
	Server    string     `json:"server,omitempty"`
	Line      string     `json:"line,omitempty"`
	AgeS      float64    `json:"answer_age_s,omitempty"` // of the last good answer
	Teams     []TeamView `json:"teams,omitempty"`
}

// TeamView is a team's part of a pool.
type TeamView struct {
	Team      string `json:"team"`
	Units     int    `json:"units"`
	Guarantee int    `json:"guarantee,omitempty"`
	Most      int    `json:"most,omitempty"`
}

// Declare shows a pool as any controller knows it, without what only the leader counts.
func (c *Catalog) Declare(ix int32) View {
	pool := c.pools[ix]
	v := View{Pool: pool.Name, Count: c.Count(ix), Declared: pool.Count, Lowering: c.Lowering(ix), Reserve: pool.Reserve, Server: pool.Server}
	v.Version, v.SetBy = c.Stamp(ix)
	return v
}

// Show shows a pool as the leader counts it. team names a team by its dense index.
func (l *Ledger) Show(now time.Duration, ix int32, team func(int32) string) View {
	a := l.pools[ix]
	v := l.cat.Declare(ix)
	v.Reserve, v.Held, v.Booked, v.Lingering = a.reserve, a.byState[Held], a.byState[Booked], a.byState[Lingering]
	v.Others, v.Free, v.Line = a.others(), l.free(a), a.line.String()
	if a.Server != "" && a.line != Unasked {
		v.AgeS = (now - a.answered).Seconds()
	}
	for t, m := range a.teams {
		if m.units > 0 || m.Guarantee > 0 || m.Most > 0 {
			v.Teams = append(v.Teams, TeamView{team(t), m.units, m.Guarantee, m.Most})
		}
	}
	slices.SortFunc(v.Teams, func(x, y TeamView) int {
		if x.Team < y.Team {
			return -1
		}
		return 1
	})
	return v
}
