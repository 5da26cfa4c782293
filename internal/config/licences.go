package config

import (
	"fmt"

	"github.com/harewalk/harewalk/internal/calendar"
	"github.com/harewalk/harewalk/internal/licences"
)

// LicencePool declares one pool of licences, in HCL: licence "name" { ... }.
type LicencePool struct {
	Name string `hcl:"name,label" validate:"required,max=64,excludesall=/ "`
	// Count is how many seats there are, unless one was set at run time.
	Count int `hcl:"count" validate:"gte=0,lte=1000000"`
	// Server is asked who holds seats; without one only our own tasks are counted.
	Server string `hcl:"server,optional" validate:"omitempty,hostport"`
	// PollS is the time between two questions to it.
	PollS float64 `hcl:"poll_s,optional" validate:"gte=0,lte=60"`
	// LingerS is how long a crashed holder's seat may stay taken.
	LingerS float64 `hcl:"linger_s,optional" validate:"gte=0,lte=3600"`
	// Reserve is kept for others.
	Reserve int `hcl:"reserve,optional" validate:"gte=0"`
	// OnCountLowered says what happens when the count falls below what is in use: "wait" or "stop".
	OnCountLowered string          `hcl:"on_lower,optional" validate:"oneof=wait stop"`
	Teams          []LicenceTeam   `hcl:"team,block" validate:"dive"`
	ReserveWindows []ReserveWindow `hcl:"reserve_during,block" validate:"dive"`
}

// LicenceTeam is a team's part of a pool.
type LicenceTeam struct {
	Name      string `hcl:"name,label" validate:"required"`
	Guarantee int    `hcl:"guarantee,optional" validate:"gte=0"`
	Max       int    `hcl:"most,optional" validate:"gte=0"`
}

// ReserveWindow keeps more for others in named hours of a named time zone.
type ReserveWindow struct {
	Name  string `hcl:"name,label" validate:"required"`
	Seats int    `hcl:"seats" validate:"gte=0"`
	Days  string `hcl:"days" validate:"required"`
	From  string `hcl:"from" validate:"required"`
	To    string `hcl:"to" validate:"required"`
	Zone  string `hcl:"zone" validate:"required"`
}

// LicencePools are the declared licence pools.
func (s *Settings) LicencePools() []*licences.Pool { return s.pools }

// derivePools turns the declarations into pools; its error names the bad one.
func (s *Settings) derivePools() error {
	s.pools = nil
	teams := s.teamNames()
	seen := map[string]bool{}
	for i := range s.Operator.Licences {
		d := &s.Operator.Licences[i]
		if seen[d.Name] {
			return fmt.Errorf("licence %q is declared twice", d.Name)
		}
		seen[d.Name] = true
		pool := &licences.Pool{
			Name: d.Name, Count: d.Count, Server: d.Server, Poll: Seconds(d.PollS), Linger: Seconds(d.LingerS),
			Reserve: d.Reserve, Lowering: licences.Lower(d.OnCountLowered), Teams: map[string]licences.Share{},
		}
		if d.Reserve > d.Count {
			return fmt.Errorf("licence %q: reserve %d is more than its count %d", d.Name, d.Reserve, d.Count)
		}
		promised := 0
		for _, t := range d.Teams {
			switch _, twice := pool.Teams[t.Name]; {
			case !teams[t.Name]:
				return fmt.Errorf("licence %q: team %q is not one of the platform's", d.Name, t.Name)
			case twice:
				return fmt.Errorf("licence %q: team %q is named twice", d.Name, t.Name)
			case t.Max > 0 && t.Guarantee > t.Max:
				return fmt.Errorf("licence %q: team %q is guaranteed %d but may hold %d at most", d.Name, t.Name, t.Guarantee, t.Max)
			}
			pool.Teams[t.Name] = licences.Share{Guarantee: t.Guarantee, Most: t.Max}
			promised += t.Guarantee
		}
		if promised > d.Count-d.Reserve {
			return fmt.Errorf("licence %q: teams are guaranteed %d seats, and %d of %d can be given", d.Name, promised, d.Count-d.Reserve, d.Count)
		}
		for _, w := range d.ReserveWindows {
			win, err := calendar.Parse(w.Days, w.From, w.To, w.Zone)
			if err != nil {
				return fmt.Errorf("licence %q, reserve_during %q: %w", d.Name, w.Name, err)
			}
			pool.Windows = append(pool.Windows, licences.Reserve{Units: w.Seats, During: win})
		}
		s.pools = append(s.pools, pool)
	}
	return nil
}
