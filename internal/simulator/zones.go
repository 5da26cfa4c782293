package simulator

import (
	"time"
)

// Cut is how a zone is cut off from all that is outside it. What is inside goes on with each other.
type Cut uint8

// The ways of being cut off.
const (
	Whole   Cut = iota // nothing is cut
	Lost               // messages either way are lost
	Held               // messages either way wait, and arrive when the cut ends
	Refused            // connections either way are refused at once
	Deaf               // messages into the zone are lost, those out of it arrive
	Mute               // messages out of the zone are lost, those into it arrive
)

// held is a message that waits for a cut's end.
type held struct {
	from, to string
	f        func()
}

// CutZone cuts a zone off, or, with Whole, connects it again; what was held is delivered then, in its order but close
// together. It is for simulations.
func (w *World) CutZone(zone string, how Cut) {
	s := w.sim
	if s.cuts == nil {
		s.cuts = map[string]Cut{}
	}
	s.cuts[zone] = how
	if how != Whole {
		return
	}
	waiting := s.held
	s.held = nil
	for _, h := range waiting {
		s.carry(h.from, h.to, h.f, func() {})
	}
}

// PowerLost ends all machines of a zone with what is on them, and its controllers.
func (w *World) PowerLost(zone string) {
	w.mu.Lock()
	now := w.now()
	for _, m := range w.machines {
		if m.zone == zone && !m.dead {
			w.stats.MachinesKilled++
			w.end(now, m)
		}
	}
	w.mu.Unlock()
	for i := range w.settings {
		if w.settings[i].Zone == zone {
			w.KillController(i)
		}
	}
}

// crossing tells what becomes of a message from one zone to another; "" belongs to none and can't be cut off.
func (s *Sim) crossing(from, to string) Cut {
	if from == to {
		return Whole
	}
	out, in := s.cuts[from], s.cuts[to]
	if from == "" || out == Deaf {
		out = Whole
	}
	if to == "" || in == Mute {
		in = Whole
	}
	for _, c := range [...]Cut{out, in} {
		switch c {
		case Whole:
		case Deaf, Mute:
			return Lost
		default:
			return c
		}
	}
	return Whole
}

// carry delivers a message across zones, or does what a cut does to it.
func (s *Sim) carry(from, to string, f, refuse func()) {
	switch s.crossing(from, to) {
	case Whole:
		f()
	case Held:
		s.held = append(s.held, held{from, to, func() { s.after(jitter(s.rng, s.mean), f) }})
	case Refused:
		refuse()
	}
}

// cutFor is a script's fault: a zone is cut off for a time.
func cutFor(how Cut) func(duration time.Duration, _ int, zone string) func(*World) {
	return func(duration time.Duration, _ int, zone string) func(*World) {
		return func(w *World) {
			w.CutZone(zone, how)
			w.ground.after(duration, func() { w.CutZone(zone, Whole) })
		}
	}
}

// flaps is how often flap-zone cuts a zone off.
const flaps = 5

func flapZone(duration time.Duration, _ int, zone string) func(*World) {
	return func(w *World) {
		for i := range flaps {
			w.ground.after(time.Duration(2*i)*duration, func() { w.CutZone(zone, Lost) })
			w.ground.after(time.Duration(2*i+1)*duration, func() { w.CutZone(zone, Whole) })
		}
	}
}

func powerLost(duration time.Duration, _ int, zone string) func(*World) {
	return func(w *World) {
		w.PowerLost(zone)
		w.ground.after(duration, func() {
			for i := range w.settings {
				if w.settings[i].Zone == zone {
					w.StartController(i)
				}
			}
		})
	}
}
