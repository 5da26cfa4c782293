package licences

import (
	"slices"
	"strings"
	"time"
)

// View is a pool as operators see it over HTTP.
type View struct {
	Pool            string         `json:"pool"`
	Count           int            `json:"count"`
	Declared        int            `json:"declared"`
	SetBy           string         `json:"set_by,omitempty"`
	Version         uint64         `json:"version"` // of the count set at run time, 0: none
	Lowering        LoweringPolicy `json:"on_lower"`
	Reserve         int            `json:"reserve"`
	Held            int            `json:"held"`
	Booked          int            `json:"booked"`
	AwaitingRelease int            `json:"lingering"` // awaiting release
	OutsideUnits    int            `json:"others"`    // units of outside holders
	Free            int            `json:"free"`
	Server          string         `json:"server,omitempty"`
	ServerState     string         `json:"line,omitempty"`         // state of the server
	AgeS            float64        `json:"answer_age_s,omitempty"` // of the last valid answer, in seconds
	Teams           []TeamView     `json:"teams,omitempty"`
}

// TeamView is a team's quota of a pool and its use, in units.
type TeamView struct {
	Team      string `json:"team"`
	Units     int    `json:"units"`
	Guarantee int    `json:"guarantee,omitempty"`
	Limit     int    `json:"most,omitempty"` // the limit, 0: none
}

// declaredView returns the part of a pool's view that is the same on every controller.
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

// View returns a pool's view with the leader's counts. teamName returns a team's name by its dense index.
func (l *Ledger) View(now time.Duration, index int32, teamName func(int32) string) View {
	pool := l.pools[index]
	view := l.catalog.declaredView(index)
	view.Reserve = pool.outsideReserve
	view.Held = pool.unitsByState[CheckedOut]
	view.Booked = pool.unitsByState[Reserved]
	view.AwaitingRelease = pool.unitsByState[AwaitingRelease]
	view.OutsideUnits = pool.outsideUnits()
	view.Free = pool.freeUnits()
	view.ServerState = pool.server.state.String()
	if pool.Server != "" && pool.server.state != serverUnknown {
		view.AgeS = (now - pool.server.answeredAt).Seconds()
	}
	view.Teams = pool.teamViews(teamName)
	return view
}

// teamViews returns the teams that use units or have a quota, by name.
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
