// Package zones keeps what is known of each zone as a domain of failure: whether its machines are heard, since when
// they are not, how often it has come and gone, and when it has proved itself again. What a zone's state changes is where work
// goes and in which order; never what counts as running. It owns no machines and has no clock: its caller counts
// machines and asks.
package zones

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// State is where a zone stands.
type State uint8

// The states of a zone.
//
//	Well      -> Doubted    a quarter of its machines are silent at once
//	Doubted   -> Well       they are heard
//	Well, Doubted -> Lost   most of its machines are silent, and those of other zones are not; or for long
//	Lost      -> Returning  half of them are heard again; or none is left, and it has been so for a while
//	Returning -> Proving    nearly all are, or those that are not have had their time
//	Proving   -> Well       it has stayed so for as long as its past asks for
//	Returning, Proving -> Lost  it falls silent again: a flap, as is any loss soon after the one before
const (
	Healthy State = iota
	Suspect
	Lost
	Returning
	OnProbation
)

func (s State) String() string {
	return [...]string{"well", "doubted", "lost", "returning", "proving"}[s]
}

// Count is how many machines of a zone there are, and of them how many have been silent for longer than a report and a
// bit (Quiet) and for so long that they would soon be given up (Silent).
type Count struct{ Machines, Quiet, Silent int }

// Config is what a zone is judged by; all of it follows from the workers' and the machines' times.
type Config struct {
	// ReturnGrace is how long machines that are not heard are kept once their zone returns; Prove how long it must stay
	// before it counts as well, doubled with each flap lately. Calm is how long makes up for one flap.
	ReturnGrace, ProbationTime, FlapForgiveness time.Duration
	// MaxProbation is how long a zone that is heard again is kept from any work, whatever its past; 0: for as long as that asks for.
	MaxProbation time.Duration
	// OnStateChange is told of every change of state; nil for nobody.
	OnStateChange func(now time.Duration, zone int32, from, to State, c Count)
}

// least is how many machines it takes to tell a zone's silence from theirs.
const least = 4

// mostFlaps bounds what the past asks for.
const mostFlaps = 4

// Zone is one zone.
type Zone struct {
	State      State
	Since      time.Duration // of the state
	LostAt     time.Duration // when it was lost last
	ReturnedAt time.Duration // when it was heard again last
	Flaps      int           // losses lately, beyond the first
	calm       time.Duration // the last time that a flap was made up for
	was        bool          // it was lost before
}

// Zones are all zones; they belong to the leader of a term.
type Zones struct {
	cfg   Config
	zones map[int32]*Zone
	dirty bool
}

// New makes zones that are all well.
func New(cfg Config) *Zones { return &Zones{cfg: cfg, zones: map[int32]*Zone{}} }

func (z *Zones) at(zone int32) *Zone {
	s := z.zones[zone]
	if s == nil {
		s = &Zone{}
		z.zones[zone] = s
	}
	return s
}

// to is the only place where a zone's state changes.
func (z *Zones) to(now time.Duration, zone int32, to State, c Count) {
	s := z.at(zone)
	from := s.State
	switch {
	case to == Lost:
		if from == Returning || from == OnProbation || (s.was && now-s.LostAt < z.cfg.FlapForgiveness) {
			s.Flaps = min(mostFlaps, s.Flaps+1)
		}
		s.LostAt, s.was = now, true
	case to == Returning:
		s.ReturnedAt = now
	case to == Healthy && from == OnProbation:
		s.calm = now
	}
	s.State, s.Since, z.dirty = to, now, z.dirty || to != Suspect && from != Suspect || to == Lost
	if z.cfg.OnStateChange != nil {
		z.cfg.OnStateChange(now, zone, from, to, c)
	}
}

// Evaluate looks at all zones by their present counts.
func (z *Zones) Evaluate(now time.Duration, counts map[int32]Count) {
	all := Count{}
	zones := make([]int32, 0, len(counts))
	for zone, c := range counts {
		all.Machines, all.Quiet = all.Machines+c.Machines, all.Quiet+c.Quiet
		zones = append(zones, zone)
	}
	for zone := range z.zones {
		if _, ok := counts[zone]; !ok {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	for _, zone := range zones {
		c := counts[zone]
		// Silence here while others are heard is this zone's; silence everywhere may be ours.
		others := Count{Machines: all.Machines - c.Machines, Quiet: all.Quiet - c.Quiet}
		heard := others.Machines >= least && 10*others.Quiet < 3*others.Machines
		z.evaluate(now, zone, c, heard)
	}
}

func (z *Zones) evaluate(now time.Duration, zone int32, c Count, othersHeard bool) {
	s := z.at(zone)
	silent := c.Machines >= least && (2*c.Silent > c.Machines || (othersHeard && 4*c.Quiet > 3*c.Machines))
	switch s.State {
	case Healthy, Suspect:
		doubt := c.Machines >= least && 4*c.Quiet > c.Machines
		switch {
		case silent:
			z.to(now, zone, Lost, c)
		case s.State == Healthy && doubt:
			z.to(now, zone, Suspect, c)
		case s.State == Suspect && !doubt:
			z.to(now, zone, Healthy, c)
		case s.State == Healthy && s.Flaps > 0 && now-s.calm >= z.cfg.FlapForgiveness:
			s.Flaps, s.calm, z.dirty = s.Flaps-1, now, true
		}
	case Lost:
		// Where no machine is left nobody will be heard: after a while it is tried again, or it would stay lost for ever.
		if c.Machines > 0 && 2*c.Quiet <= c.Machines || c.Machines == 0 && now-s.Since >= z.cfg.ReturnGrace {
			z.to(now, zone, Returning, c)
		}
	case Returning:
		switch {
		case silent:
			z.to(now, zone, Lost, c)
		case 10*c.Quiet <= c.Machines || now-s.Since >= z.cfg.ReturnGrace:
			z.to(now, zone, OnProbation, c)
		}
	case OnProbation:
		switch {
		case silent:
			z.to(now, zone, Lost, c)
		case now-s.Since >= z.cfg.ProbationTime<<s.Flaps:
			z.to(now, zone, Healthy, c)
		}
	}
}

// Zone is what is known of a zone.
func (z *Zones) Zone(zone int32) Zone {
	if s := z.zones[zone]; s != nil {
		return *s
	}
	return Zone{}
}

// AllowsRenting tells whether machines may be rented in a zone: not where they would not be heard, nor where it has flapped
// and not proved itself since.
func (z *Zones) AllowsRenting(zone int32) bool {
	switch s := z.Zone(zone); s.State {
	case Healthy, Suspect:
		return true
	case OnProbation:
		return s.Flaps == 0
	}
	return false
}

// RetainsMachines tells whether a machine of the zone that is not heard is to be kept: its zone is gone, not it, for as
// long as getting it back would be dearer; and once the zone returns it has its time to be heard.
func (z *Zones) RetainsMachines(now time.Duration, zone int32, dear time.Duration) bool {
	switch s := z.Zone(zone); s.State {
	case Lost:
		return now-s.Since < dear
	case Returning:
		return true
	case OnProbation:
		return now-s.Since < z.cfg.ReturnGrace
	}
	return false
}

// WorkKind is how much is lost with a place.
type WorkKind uint8

// The kinds of work, by what a loss takes.
const (
	Restartable WorkKind = iota // each task goes on by itself
	Together                    // gangs: all of it is lost with one
	Lasting                     // services: they stay where they are
)

// AcceptsWork tells whether new work of a kind may go to machines of a zone that are heard: restartable work always, gangs and
// then services as the zone proves itself. One that flaps gets no gangs before it is well, but not for longer than Most:
// with four flaps behind it, room there would stand idle for three minutes beside gangs that can go nowhere else.
func (z *Zones) AcceptsWork(now time.Duration, zone int32, w WorkKind) bool {
	s := z.Zone(zone)
	if (s.State == Returning || s.State == OnProbation) && z.cfg.MaxProbation > 0 && now-s.ReturnedAt >= z.cfg.MaxProbation {
		return true
	}
	switch w {
	case Restartable:
		return true
	case Together:
		return s.State == Healthy || s.State == Suspect || (s.Flaps == 0 && s.State != Lost)
	}
	return s.State == Healthy
}

// Unsettled tells whether any zone is on its way back: machines elsewhere are not given back meanwhile.
func (z *Zones) Unsettled() bool {
	for _, s := range z.zones {
		if s.State == Returning || s.State == OnProbation {
			return true
		}
	}
	return false
}

// Lost lists the zones that are lost.
func (z *Zones) Lost() (out []int32) {
	for zone, s := range z.zones {
		if s.State == Lost {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// Key is where it is kept for the next leader. Prefix is the slice's.
const (
	Prefix = "h/z/"
	Key    = Prefix + "zones"
)

// doc is the stored form. Times are on the wall, in milliseconds.
type doc struct {
	Format int      `json:"v,omitempty"`
	Zones  []stored `json:"zones"`
}

type stored struct {
	Zone  string `json:"zone"`
	State string `json:"state"`
	Since int64  `json:"since_ms"`
	Out   int64  `json:"out_ms,omitempty"`
	Flaps int    `json:"flaps,omitempty"`
}

// Dirty tells whether something has changed that the next leader should know; Clean, that it was written.
func (z *Zones) Dirty() bool { return z.dirty }

// MarkStored notes that what was encoded last is stored.
func (z *Zones) MarkStored() { z.dirty = false }

// MarkDirty notes that it was not stored after all.
func (z *Zones) MarkDirty() { z.dirty = true }

// Encode writes what the next leader should know: zones that are not simply well.
func (z *Zones) Encode(name func(int32) string, wallMS func(time.Duration) int64) json.RawMessage {
	d := doc{Zones: []stored{}}
	for zone, s := range z.zones {
		if s.State == Healthy && s.Flaps == 0 {
			continue
		}
		st := s.State
		if st == Suspect {
			st = Healthy
		}
		d.Zones = append(d.Zones, stored{name(zone), st.String(), wallMS(s.Since), wallMS(s.LostAt), s.Flaps})
	}
	slices.SortFunc(d.Zones, func(a, b stored) int { return cmp.Compare(a.Zone, b.Zone) })
	raw, _ := json.Marshal(d)
	return raw
}

// Restore takes over what an earlier leader has left. What it says is a hint: where machines are heard, the zone
// returns by itself.
func (z *Zones) Restore(raw json.RawMessage, index func(string) int32, steady func(wallMS int64) time.Duration) error {
	var d doc
	if err := json.Unmarshal(raw, &d); err != nil {
		return err
	}
	if d.Format > 1 {
		return fmt.Errorf("zones in format %d", d.Format)
	}
	for _, s := range d.Zones {
		for st := Healthy; st <= OnProbation; st++ {
			if st.String() == s.State {
				z.zones[index(s.Zone)] = &Zone{State: st, Since: steady(s.Since), LostAt: steady(s.Out), ReturnedAt: steady(s.Since), Flaps: min(max(0, s.Flaps), mostFlaps), was: s.Out > 0}
			}
		}
	}
	return nil
}
