package simulator

import (
	"time"
)

// Partition is how a zone is cut off from all that is outside it. What is inside goes on with each other.
type Partition uint8

// The ways of being cut off.
const (
	Connected  Partition = iota // nothing is cut
	DropBoth                    // messages either way are lost
	DelayBoth                   // messages either way wait, and arrive when the cut ends
	RefuseBoth                  // connections either way are refused at once
	DropInto                    // messages into the zone are lost, those out of it arrive
	DropOutOf                   // messages out of the zone are lost, those into it arrive
)

// delayedMessage is a message that waits for a cut's end.
type delayedMessage struct {
	from, to string
	deliver  func()
}

// PartitionZone cuts a zone off, or, with Whole, connects it again; what was held is delivered then, in its order but close
// together. It is for simulations.
func (w *Simulation) PartitionZone(zone string, how Partition) {
	env := w.virtual
	if env.partitions == nil {
		env.partitions = map[string]Partition{}
	}
	env.partitions[zone] = how
	if how != Connected {
		return
	}
	waiting := env.delayed
	env.delayed = nil
	for _, h := range waiting {
		env.deliver(h.from, h.to, h.deliver, func() {})
	}
}

// PowerOffZone ends all machines of a zone with what is on them, and its controllers.
func (w *Simulation) PowerOffZone(zone string) {
	w.mu.Lock()
	now := w.now()
	for _, machine := range w.machines {
		if machine.zone == zone && !machine.dead {
			w.stats.MachinesKilled++
			w.terminate(now, machine)
		}
	}
	w.mu.Unlock()
	for i := range w.settings {
		if w.settings[i].Zone == zone {
			w.KillController(i)
		}
	}
}

// partitionBetween tells what becomes of a message from one zone to another; "" belongs to none and can't be cut off.
func (s *virtualTime) partitionBetween(from, to string) Partition {
	if from == to {
		return Connected
	}
	out, in := s.partitions[from], s.partitions[to]
	if from == "" || out == DropInto {
		out = Connected
	}
	if to == "" || in == DropOutOf {
		in = Connected
	}
	for _, c := range [...]Partition{out, in} {
		switch c {
		case Connected:
		case DropInto, DropOutOf:
			return DropBoth
		default:
			return c
		}
	}
	return Connected
}

// deliver delivers a message across zones, or does what a cut does to it.
func (s *virtualTime) deliver(from, to string, f, refuse func()) {
	switch s.partitionBetween(from, to) {
	case Connected:
		f()
	case DelayBoth:
		s.delayed = append(s.delayed, delayedMessage{from, to, func() { s.schedule(jitter(s.rng, s.meanDelay), f) }})
	case RefuseBoth:
		refuse()
	}
}

// partitionFault is a script's fault: a zone is cut off for a time.
func partitionFault(how Partition) func(duration time.Duration, _ int, zone string) func(*Simulation) {
	return func(duration time.Duration, _ int, zone string) func(*Simulation) {
		return func(sim *Simulation) {
			sim.PartitionZone(zone, how)
			sim.env.schedule(duration, func() { sim.PartitionZone(zone, Connected) })
		}
	}
}

// flapCount is how often flap-zone cuts a zone off.
const flapCount = 5

func flapZoneFault(duration time.Duration, _ int, zone string) func(*Simulation) {
	return func(sim *Simulation) {
		for i := range flapCount {
			sim.env.schedule(time.Duration(2*i)*duration, func() { sim.PartitionZone(zone, DropBoth) })
			sim.env.schedule(time.Duration(2*i+1)*duration, func() { sim.PartitionZone(zone, Connected) })
		}
	}
}

func powerZoneFault(duration time.Duration, _ int, zone string) func(*Simulation) {
	return func(sim *Simulation) {
		sim.PowerOffZone(zone)
		sim.env.schedule(duration, func() {
			for i := range sim.settings {
				if sim.settings[i].Zone == zone {
					sim.StartController(i)
				}
			}
		})
	}
}
