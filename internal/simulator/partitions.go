package simulator

import (
	"strings"
	"time"
)

// Partition is the way in which a zone is partitioned from everything outside the zone. Connections inside the zone
// are never affected.
type Partition uint8

// The kinds of partition.
const (
	Connected  Partition = iota // no partition
	DropBoth                    // messages in both directions are lost
	DelayBoth                   // messages in both directions are delayed until the partition ends
	RefuseBoth                  // connections in both directions are refused immediately
	DropInto                    // messages into the zone are lost, messages out of the zone arrive
	DropOutOf                   // messages out of the zone are lost, messages into the zone arrive
)

// delayedMessage is a message that is delivered when a partition ends.
type delayedMessage struct {
	from, to string // zones of the sender and of the receiver
	deliver  func()
}

// PartitionZone partitions a zone or, with Connected, ends its partition. When a partition ends, the delayed messages
// are sent on in their order, each with a random delay. The simulation must be in virtual time.
func (sim *Simulation) PartitionZone(zone string, partition Partition) {
	network := &sim.virtual.network
	network.partitions[zone] = partition
	if partition != Connected {
		return
	}
	waiting := network.delayed
	network.delayed = nil
	for _, message := range waiting {
		sim.virtual.deliver(message.from, message.to, message.deliver, func() {})
	}
}

// PowerOffZone ends all machines of a zone, the tasks on them, and the zone's controllers. The simulation must be in
// virtual time.
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

// partitionBetween returns the effect of the partitions on a message from one zone to another: Connected, DropBoth,
// DelayBoth or RefuseBoth. Senders and receivers that belong to no zone ("") can't be partitioned.
func (n *network) partitionBetween(from, to string) Partition {
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

// deliver delivers a message from one zone to another: it calls arrive now or, for a delayed message, after the
// partition's end. A refused connection calls refuse. A lost message calls neither.
func (env *virtualTime) deliver(from, to string, arrive, refuse func()) {
	switch env.network.partitionBetween(from, to) {
	case Connected:
		arrive()
	case DelayBoth:
		afterwards := func() { env.schedule(jitter(env.rng, env.network.meanDelay), arrive) }
		env.network.delayed = append(env.network.delayed, delayedMessage{from, to, afterwards})
	case RefuseBoth:
		refuse()
	}
}

// Links is a set of a controller's network links, by the kind of the remote side.
type Links uint8

// The links of a controller. Values can be combined with |.
const (
	StateLink Links = 1 << iota
	PeerLinks
	WorkerLinks
	UserLinks
	CloudLink // link to the cloud and the licence server
)

// CutLinks cuts some of a controller's links, and restores all others; 0 restores all. Messages over a cut link are
// lost. The simulation must be in virtual time.
func (sim *Simulation) CutLinks(controller int, links Links) {
	public := sim.virtual.controllers[controller].settings.PublicAddr
	sim.virtual.network.cutLinks[public] = links
	if links != 0 {
		sim.stats.LinksCut++
	}
}

// linkCheck returns a function that reports whether a link is cut at the time of its call. The controller is
// identified by its address for users.
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

// partitionZoneFor partitions a zone for the duration.
func (sim *Simulation) partitionZoneFor(zone string, partition Partition, duration time.Duration) {
	sim.PartitionZone(zone, partition)
	sim.env.schedule(duration, func() { sim.PartitionZone(zone, Connected) })
}

// flapCount is the number of partitions that flapZone causes.
const flapCount = 5

// flapZone partitions a zone several times. Each partition lasts for the duration, and so does the time between two.
func (sim *Simulation) flapZone(zone string, duration time.Duration) {
	for i := range flapCount {
		begin := time.Duration(2*i) * duration
		sim.env.schedule(begin, func() { sim.PartitionZone(zone, DropBoth) })
		sim.env.schedule(begin+duration, func() { sim.PartitionZone(zone, Connected) })
	}
}

// powerOffZoneFor ends a zone's machines and controllers, and starts the controllers again after the duration.
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
