package config

import (
	"errors"
	"fmt"

	"github.com/harewalk/harewalk/internal/calendar"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/licences"
)

// LicencePool declares one pool of licences, in HCL: licence "name" { ... }.
type LicencePool struct {
	Name string `hcl:"name,label" validate:"required,max=64,excludesall=/ "`
	// Count is the number of licence units, unless operators have set another number at run time.
	Count int `hcl:"count" validate:"gte=0,lte=1000000"`
	// Server is the address of the licence server that is polled for the units in use. Without a server, only units of
	// this cluster's tasks are counted.
	Server string `hcl:"server,optional" validate:"omitempty,hostport"`
	// PollS is the interval between two polls of the server, in seconds.
	PollS float64 `hcl:"poll_s,optional" validate:"gte=0,lte=60"`
	// LingerS is how long a licence unit may stay checked out at the server after its task crashed, in seconds.
	LingerS float64 `hcl:"linger_s,optional" validate:"gte=0,lte=3600"`
	// Reserve is the number of units kept for use outside this cluster.
	Reserve int `hcl:"reserve,optional" validate:"gte=0"`
	// OnCountLowered is what happens to running tasks when the count falls below the units in use: "wait" or "stop".
	OnCountLowered string          `hcl:"on_lower,optional" validate:"oneof=wait stop"`
	Teams          []LicenceTeam   `hcl:"team,block" validate:"dive"`
	ReserveWindows []ReserveWindow `hcl:"reserve_during,block" validate:"dive"`
}

// LicenceTeam is a team's quota of a pool, in licence units. Max 0 means no limit.
type LicenceTeam struct {
	Name      string `hcl:"name,label" validate:"required"`
	Guarantee int    `hcl:"guarantee,optional" validate:"gte=0"`
	Max       int    `hcl:"most,optional" validate:"gte=0"`
}

// ReserveWindow reserves Units for use outside this cluster in some hours of the week.
type ReserveWindow struct {
	Name  string `hcl:"name,label" validate:"required"`
	Units int    `hcl:"seats" validate:"gte=0"`
	Days  string `hcl:"days" validate:"required"`
	From  string `hcl:"from" validate:"required"`
	To    string `hcl:"to" validate:"required"`
	Zone  string `hcl:"zone" validate:"required"` // time zone
}

// LicencePools returns the declared licence pools.
func (s *Settings) LicencePools() []*licences.Pool { return s.licencePools }

// errDeclaredTwice means that two licence pools have the same name.
var errDeclaredTwice = errors.New("is declared twice")

// deriveLicencePools derives the licence pools from their declarations. An error names the invalid pool.
func (s *Settings) deriveLicencePools() error {
	s.licencePools = nil
	teams := s.teamNames()
	names := map[string]bool{}
	for i := range s.Operator.Licences {
		declared := &s.Operator.Licences[i]
		if names[declared.Name] {
			return fmt.Errorf("licence %q %w", declared.Name, errDeclaredTwice)
		}
		names[declared.Name] = true
		pool, err := declared.pool(teams)
		if err != nil {
			return err
		}
		s.licencePools = append(s.licencePools, pool)
	}
	return nil
}

// pool returns the declared pool, or an error if the declaration is invalid. teams holds the names of the platform's
// teams.
func (d *LicencePool) pool(teams map[string]bool) (*licences.Pool, error) {
	if d.Reserve > d.Count {
		return nil, d.errorf("reserve %d is more than its count %d", d.Reserve, d.Count)
	}
	pool := &licences.Pool{
		Name:           d.Name,
		Count:          d.Count,
		Server:         d.Server,
		PollInterval:   jobs.Seconds(d.PollS),
		ReleaseTimeout: jobs.Seconds(d.LingerS),
		OutsideReserve: d.Reserve,
		OnCountLowered: licences.LoweringPolicy(d.OnCountLowered),
	}
	var err error
	if pool.Teams, err = d.teamQuotas(teams); err != nil {
		return nil, err
	}
	for _, window := range d.ReserveWindows {
		hours, err := calendar.Parse(window.Days, window.From, window.To, window.Zone)
		if err != nil {
			return nil, fmt.Errorf("licence %q, reserve_during %q: %w", d.Name, window.Name, err)
		}
		pool.ReserveWindows = append(pool.ReserveWindows, licences.ReserveWindow{Units: window.Units, Window: hours})
	}
	return pool, nil
}

// teamQuotas returns the teams' quotas of the pool. It returns an error for an invalid quota, and if the guarantees add
// up to more than the units that aren't reserved.
func (d *LicencePool) teamQuotas(teams map[string]bool) (map[string]licences.TeamQuota, error) {
	quotas := map[string]licences.TeamQuota{}
	guaranteed := 0
	for _, team := range d.Teams {
		_, isRepeated := quotas[team.Name]
		switch {
		case !teams[team.Name]:
			return nil, d.errorf("team %q is not one of the platform's teams", team.Name)
		case isRepeated:
			return nil, d.errorf("team %q is named twice", team.Name)
		case team.Max > 0 && team.Guarantee > team.Max:
			return nil, d.errorf("team %q is guaranteed %d units but limited to %d",
				team.Name, team.Guarantee, team.Max)
		}
		quotas[team.Name] = licences.TeamQuota{Guarantee: team.Guarantee, Limit: team.Max}
		guaranteed += team.Guarantee
	}
	if available := d.Count - d.Reserve; guaranteed > available {
		return nil, d.errorf("teams are guaranteed %d units in all, but only %d of %d are available",
			guaranteed, available, d.Count)
	}
	return quotas, nil
}

// errorf returns a *SettingError for the declaration, with a formatted reason.
func (d *LicencePool) errorf(format string, values ...any) error {
	return &SettingError{Kind: KindLicencePool, Name: d.Name, Reason: fmt.Sprintf(format, values...)}
}
