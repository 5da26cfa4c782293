package licences

import (
	"slices"
	"strings"
	"time"
)

// View is the representation of a pool for operators. Counts are in units.
type View struct {
	Pool            string         `json:"pool"`
	Count           int            `json:"count"`
	Declared        int            `json:"declared"`
	SetBy           string         `json:"set_by,omitempty"`
	Version         uint64         `json:"version"` // version of the key of a count set at run time; 0: none
	Lowering        LoweringPolicy `json:"on_lower"`
	Reserve         int            `json:"reserve"`
	CheckedOut      int            `json:"held"`   // CheckedOut
	Reserved        int            `json:"booked"` // Reserved
	AwaitingRelease int            `json:"lingering"`
	OutsideUnits    int            `json:"others"` // units of outside holders
	Free            int            `json:"free"`
	Server          string         `json:"server,omitempty"`
	ServerState     string         `json:"line,omitempty"`         // name of the server's state
	AnswerAgeS      float64        `json:"answer_age_s,omitempty"` // age of the last valid answer, in seconds
	Teams           []TeamView     `json:"teams,omitempty"`
}

// TeamView is a team's quota and usage of a pool, in units.
type TeamView struct {
	Team      string `json:"team"`
	Units     int    `json:"units"`
	Guarantee int    `json:"guarantee,omitempty"`
	Limit     int    `json:"most,omitempty"` // 0: no limit
}

// declaredView returns the part of a pool's view that doesn't depend on the leader's counts.
func (c *Catalog) declaredView(index int32) View {
	pool := c.pools[index]
	version, by := c.OverrideVersion(index)
	return View{
		Pool:     pool.Name,
		Count:    c.Count(index),
		Declared: pool.Count,
		SetBy:    by,
		Version:  version,
		Lowering: c.Lowering(index),
		Reserve:  pool.OutsideReserve,
		Server:   pool.Server,
	}
}

// View returns a pool's view, including the leader's counts. teamName returns a team's name by its dense index.
func (l *Ledger) View(now time.Duration, index int32, teamName func(int32) string) View {
	pool := l.pools[index]
	view := l.catalog.declaredView(index)
	view.Reserve = pool.outsideReserve
	view.CheckedOut = pool.unitsByState[CheckedOut]
	view.Reserved = pool.unitsByState[Reserved]
	view.AwaitingRelease = pool.unitsByState[AwaitingRelease]
	view.OutsideUnits = pool.outsideUnits()
	view.Free = pool.freeUnits()
	view.ServerState = pool.server.state.String()
	if pool.Server != "" && pool.server.state != serverUnknown {
		view.AnswerAgeS = (now - pool.server.answeredAt).Seconds()
	}
	view.Teams = pool.teamViews(teamName)
	return view
}

// teamViews returns the teams that use units or have a quota, sorted by name.
func (p *poolState) teamViews(teamName func(int32) string) []TeamView {
	var views []TeamView
	for team, usage := range p.teams {
		if usage.units > 0 || usage.Guarantee > 0 || usage.Limit > 0 {
			views = append(views, TeamView{teamName(team), usage.units, usage.Guarantee, usage.Limit})
		}
	}
	slices.SortFunc(views, func(a, b TeamView) int { return strings.Compare(a.Team, b.Team) })
	return views
}
