package simulator

import (
	"strings"
	"time"
)

// Partition is how a zone is partitioned from everything outside it. Inside, everything stays connected.
type Partition uint8

// The kinds of partition.
const (
	Connected  Partition = iota // none
	DropBoth                    // messages in both directions are lost
	DelayBoth                   // messages in both directions wait, and arrive when the partition ends
	RefuseBoth                  // connections in both directions are refused at once
	DropInto                    // messages into the zone are lost, those out of it arrive
	DropOutOf                   // messages out of the zone are lost, those into it arrive
)

// delayedMessage is a message that waits for a partition's end.
type delayedMessage struct {
	from, to string // zones
	deliver  func()
}

// PartitionZone partitions a zone or, with Connected, connects it again: messages that were delayed are then
// delivered in their order, each after a time of its own. It needs virtual time.
func (sim *Simulation) PartitionZone(zone string, how Partition) {
	network := &sim.virtual.network
	network.partitions[zone] = how
	if how != Connected {
		return
	}
	waiting := network.delayed
	network.delayed = nil
	for _, message := range waiting {
		sim.virtual.deliver(message.from, message.to, message.deliver, func() {})
	}
}

// PowerOffZone ends all machines of a zone with what is on them, and its controllers. It needs virtual time.
func (sim *Simulation) PowerOffZone(zone string) {
	sim.mu.Lock()
	now := sim.now()
	for _, machine := range sim.cloud.machines {
		if machine.zone == zone && !machine.dead {
			sim.stats.MachinesKilled++
			sim.terminate(now, machine)
		}
	}
	sim.mu.Unlock()
	for i := range sim.settings {
		if sim.settings[i].Zone == zone {
			sim.KillController(i)
		}
	}
}

// between returns what happens to a message from one zone to another: Connected, DropBoth, DelayBoth or RefuseBoth.
// What is in no zone ("") can't be partitioned.
func (n *network) between(from, to string) Partition {
	if from == to {
		return Connected
	}
	atSender, atReceiver := n.partitions[from], n.partitions[to]
	if from == "" || atSender == DropInto {
		atSender = Connected
	}
	if to == "" || atReceiver == DropOutOf {
		atReceiver = Connected
	}
	for _, partition := range [...]Partition{atSender, atReceiver} {
		switch partition {
		case Connected:
		case DropInto, DropOutOf:
			return DropBoth
		default:
			return partition
		}
	}
	return Connected
}

// deliver calls arrive for a message from one zone to another, or does what a partition does to it; a refused
// connection calls refuse.
func (env *virtualTime) deliver(from, to string, arrive, refuse func()) {
	switch env.network.between(from, to) {
	case Connected:
		arrive()
	case DelayBoth:
		afterwards := func() { env.schedule(jitter(env.rng, env.network.meanDelay), arrive) }
		env.network.delayed = append(env.network.delayed, delayedMessage{from, to, afterwards})
	case RefuseBoth:
		refuse()
	}
}

// Links is a set of a controller's links to its counterparts.
type Links uint8

// The links of a controller. They can be combined.
const (
	StateLink Links = 1 << iota
	PeerLinks
	WorkerLinks
	UserLinks
	CloudLink // to the cloud and the licence server
)

// CutLinks cuts some of a controller's links, and restores all others; 0 restores all. What is sent meanwhile is
// lost. It needs virtual time.
func (sim *Simulation) CutLinks(controller int, links Links) {
	public := sim.virtual.controllers[controller].settings.PublicAddr
	sim.virtual.network.cutLinks[public] = links
	if links != 0 {
		sim.stats.LinksCut++
	}
}

// linkCheck returns a function that reports whether a link of the controller with that address for users is cut at
// the moment of its call.
func (env *virtualTime) linkCheck(public string, link Links) func() bool {
	return func() bool { return env.network.cutLinks[public]&link != 0 }
}

// linkTo returns the link over which a controller reaches an address.
func linkTo(addr string) Links {
	switch {
	case strings.HasPrefix(addr, "state-"):
		return StateLink
	case strings.HasPrefix(addr, "cloud"), strings.HasPrefix(addr, "licences"):
		return CloudLink
	}
	return WorkerLinks
}

// partitionZoneFor partitions a zone for a time.
func (sim *Simulation) partitionZoneFor(zone string, how Partition, duration time.Duration) {
	sim.PartitionZone(zone, how)
	sim.env.schedule(duration, func() { sim.PartitionZone(zone, Connected) })
}

// flapCount is how often flapZone partitions a zone.
const flapCount = 5

// flapZone partitions a zone several times, for a time and with that time between.
func (sim *Simulation) flapZone(zone string, duration time.Duration) {
	for i := range flapCount {
		begin := time.Duration(2*i) * duration
		sim.env.schedule(begin, func() { sim.PartitionZone(zone, DropBoth) })
		sim.env.schedule(begin+duration, func() { sim.PartitionZone(zone, Connected) })
	}
}

// powerOffZoneFor ends a zone's machines and controllers, and starts the controllers again after a time.
func (sim *Simulation) powerOffZoneFor(zone string, duration time.Duration) {
	sim.PowerOffZone(zone)
	sim.env.schedule(duration, func() {
		for i := range sim.settings {
			if sim.settings[i].Zone == zone {
				sim.StartController(i)
			}
		}
	})
}
