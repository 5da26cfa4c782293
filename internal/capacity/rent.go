package capacity

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// offer is a kind of machine that can be asked for.
type offer struct {
	typ, zone int32
	spot      bool
}

// before orders offers, so that equal ones are chosen alike every time.
func (o offer) before(p offer) bool {
	if o.typ != p.typ {
		return o.typ < p.typ
	}
	if o.zone != p.zone {
		return o.zone < p.zone
	}
	return o.spot && !p.spot
}

func (c *Manager) typ(ix int32) *MachineType {
	if ix == jobs.None {
		return nil
	}
	name := c.Names.Types.Name(ix)
	for i, machineType := range c.Types() {
		if machineType.Name == name {
			return &c.Types()[i]
		}
	}
	return nil
}

// eager scales the horizon: below 1, machines are rented for work that those at hand would
// get to in time.
const eager = 0.25

// maxAsk is the protocol's bound on the machines of one request.
const maxAsk = 50

// rentalBin is a machine, at hand or booting, with the work it can do within a horizon.
type rentalBin struct {
	offer
	room planner.Size // resource-seconds left
}

// rent fits the unfinished work into the machines at hand, as resource-seconds over the
// time that a new machine would need to become useful, and rents for what is left over.
func (c *Manager) rent(now time.Duration) {
	types := c.Types()
	if len(types) == 0 || !c.Fleet.PlansLoaded() {
		return
	}
	horizon := 0.0
	for _, machineType := range types {
		h := machineType.BootS
		if machineType.FetchGB > 0 {
			h += c.Fleet.ImageGB() / machineType.FetchGB
		}
		horizon = max(horizon, h)
	}
	horizon *= eager
	var bins []*rentalBin
	total := len(c.boots)
	clear(c.zones)
	for _, machine := range c.Fleet.Machines() {
		if machine.Condition == fleet.LeaseExpired || machine.Condition == fleet.Terminated {
			continue
		}
		total++
		if machine.Condition == fleet.Ready {
			c.zones[machine.Zone]++
		}
		if machine.Condition == fleet.ReclaimNoticed || machine.Condition == fleet.OneWayUnreachable || machine.Quarantined || machine.Type == jobs.None || machine.Capacity == (planner.Size{}) {
			continue
		}
		b := &rentalBin{offer{machine.Type, machine.Zone, machine.Spot}, machine.Capacity.Times(horizon)}
		for _, u := range c.Fleet.ExpectedWork(now, machine) {
			b.room = b.room.Sub(u.Size.Times(min(u.Left, horizon)))
		}
		bins = append(bins, b)
	}
	c.noteFull(total)
	overdue := c.overdue(now)
	for _, name := range slices.Sorted(maps.Keys(c.boots)) { // in one order: the same run rents the same
		bt := c.boots[name]
		c.zones[bt.zone]++ // or one request after the other would go to the same zone
		// One that is far overdue is not counted on any more.
		if machineType := c.typ(bt.typ); machineType != nil && !overdue[name] {
			bins = append(bins, &rentalBin{bt.offer, machineType.Size().Times(horizon)})
		}
	}
	wanted := map[offer]int{}
	for _, d := range c.Fleet.Demand(now) {
		left := d.Tasks
		each := min(max(d.Seconds, 1), horizon)
		if d.Whole {
			each = horizon
		}
		need := d.Job.Spec.Size().Times(each)
		// What must stay apart finds no room in a zone that has its part already, however much is free there.
		lim, use := d.Job.Spec.ZoneLimit(), map[int32]int(nil)
		if lim > 0 {
			use = c.Fleet.TasksByZone(d.Job)
		}
		full := func(zone int32) bool { return lim > 0 && use[zone] >= lim }
		for _, b := range bins {
			if left == 0 {
				break
			}
			if need.Fits(b.room) && d.Job.Allows(b.typ, b.zone, b.spot) && !full(b.zone) {
				n := min(left, need.Copies(b.room))
				if lim > 0 {
					n = min(n, lim-use[b.zone])
					use[b.zone] += n
				}
				b.room = b.room.Sub(need.Times(float64(n)))
				left -= n
			}
		}
		for left > 0 && total < c.Settings.Operator.MaxMachines {
			offer, ok := c.choose(now, d.Job, full)
			if !ok {
				break
			}
			b := &rentalBin{offer, c.typ(offer.typ).Size().Times(horizon)}
			n := min(left, need.Copies(b.room))
			if n <= 0 {
				break
			}
			if lim > 0 {
				n = min(n, lim-use[offer.zone])
				use[offer.zone] += n
			}
			b.room = b.room.Sub(need.Times(float64(n)))
			left -= n
			total++
			bins = append(bins, b)
			wanted[offer]++
		}
	}
	// One request a turn: the offer of which most are wanted.
	var best offer
	for offer, n := range wanted {
		if n > wanted[best] || (n == wanted[best] && offer.before(best)) {
			best = offer
		}
	}
	if n := wanted[best]; n > 0 {
		c.ask(now, best, min(n, maxAsk))
		return
	}
	c.spare(now, total)
}

// prices adds up what the fleet costs in an hour, and what of it stands idle or boots.
func (c *Manager) prices() (all, idle float64) {
	price := func(o offer) float64 {
		machineType := c.typ(o.typ)
		switch {
		case machineType == nil:
			return 0
		case o.spot:
			return machineType.Spot
		}
		return machineType.Price
	}
	for _, machine := range c.Fleet.Machines() {
		if machine.Condition == fleet.LeaseExpired || machine.Condition == fleet.Terminated || machine.Type == jobs.None {
			continue
		}
		p := price(offer{machine.Type, machine.Zone, machine.Spot})
		all += p
		if len(machine.Tasks) == 0 {
			idle += p
		}
	}
	for _, b := range c.boots {
		all += price(b.offer)
		idle += price(b.offer)
	}
	return all, idle
}

// Full tells whether there are as many machines as max_machines allows: nothing more is rented.
func (c *Manager) Full() bool { return c.full }

// noteFull logs when the bound on the number of machines begins or ceases to bind, and what would raise it.
func (c *Manager) noteFull(total int) {
	o := c.Settings.Operator
	full := total >= o.MaxMachines
	if full == c.full {
		return
	}
	if c.full = full; full {
		slog.Warn("as many machines as are allowed: nothing more is rented",
			"machines", total, "max_machines", o.MaxMachines, "bound_by", string(o.MachinesBound))
	} else {
		slog.Info("fewer machines than are allowed", "machines", total, "max_machines", o.MaxMachines)
	}
}

// spare rents ahead of need: a part of what the fleet costs may stand idle, so that a burst
// does not have to wait for a boot. Each kind of job gets the cheapest machine for it.
func (c *Manager) spare(now time.Duration, total int) {
	all, idle := c.prices()
	budget := c.Settings.Operator.Headroom * all
	for _, job := range c.Fleet.WaitingShapes() {
		offer, ok := c.choose(now, job, func(int32) bool { return false })
		if !ok || total >= c.Settings.Operator.MaxMachines {
			continue
		}
		machineType := c.typ(offer.typ)
		p := machineType.Price
		if offer.spot {
			p = machineType.Spot
		}
		if n := int((budget - idle) / p); n > 0 {
			// Never beyond the bound: five at a time once went four over it.
			c.ask(now, offer, min(n, 5, c.Settings.Operator.MaxMachines-total))
			return
		}
	}
}

// choose finds the offer with the lowest price for a job's task that was not refused
// lately, in a zone that isn't full for it; where money does not count, cheap is still preferred.
func (c *Manager) choose(now time.Duration, job *jobs.Job, full func(zone int32) bool) (offer, bool) {
	best, price, ok := offer{}, math.Inf(1), false
	for _, machineType := range c.Types() {
		n := job.Spec.Size().Copies(machineType.Size())
		if n <= 0 {
			continue
		}
		ty := c.Names.Types.Index(machineType.Name)
		for _, z := range machineType.Zones {
			zone := c.Names.Zones.Index(z)
			for _, spot := range []bool{true, false} {
				o := offer{ty, zone, spot}
				p := machineType.Price
				if spot {
					p = machineType.Spot
				}
				if full(zone) || !c.Zones.AllowsRenting(zone) || p <= 0 || !job.Allows(ty, zone, spot) || now < c.refused[o] {
					continue
				}
				// A task must not take a GPU machine it has no use for, and zones are
				// filled evenly so that no single cut takes all.
				per := p/float64(n) + 1e-6*float64(c.zones[zone])
				if per < price {
					best, price, ok = o, per, true
				}
			}
		}
	}
	return best, ok
}

func (c *Manager) ask(now time.Duration, o offer, n int) {
	c.claims++
	claim := fmt.Sprintf("r-%d-%d", c.Term, c.claims)
	body := map[string]any{
		"claim": claim, "build": c.Names.Types.Name(o.typ), "meadow": c.Names.Zones.Name(o.zone),
		"stray": o.spot, "how_many": n,
	}
	c.renting = c.call("POST", "/machines", body, func(response httpio.Response) {
		c.renting = false
		at := c.Cloud.now()
		var b struct {
			Machines []string `json:"dens"`
		}
		switch {
		case response.Err == nil && response.Status == 200 && json.Unmarshal(response.Body, &b) == nil:
			for _, name := range b.Machines {
				c.boots[name] = &pendingBoot{o, now}
			}
			if len(b.Machines) < n {
				c.refused[o] = at + 20*time.Second
			}
			slog.Info("machines rented", "claim", claim, "type", c.Names.Types.Name(o.typ), "zone", c.Names.Zones.Name(o.zone),
				"spot", o.spot, "asked", n, "got", len(b.Machines), "term", c.Term)
		case response.Err == nil && response.Status == 429:
		default:
			// Refused, in trouble or open: if machines do come of it, the list shows them.
			c.refused[o] = at + 20*time.Second
		}
	})
	if c.renting {
		c.nextRent = now + 200*time.Millisecond
	}
}
