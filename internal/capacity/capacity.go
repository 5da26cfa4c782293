// Package capacity rents and returns machines: what the waiting work needs beyond the
// machines at hand, given how long a new one takes to boot. It reads the cloud's list,
// deletes machines that never come up and replaces those that died.
package capacity

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net/url"
	"slices"
	"sort"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/events"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
	"github.com/harewalk/harewalk/internal/zones"
)

// MachineType is a type as the cloud offers it.
type MachineType struct {
	Name    string   `json:"name"`
	CPUs    float64  `json:"cpus"`
	GPUs    float64  `json:"accelerators"`
	Mem     float64  `json:"memory_gb"`
	CacheGB float64  `json:"cache_gb"`
	FetchGB float64  `json:"fetch_gb_per_s"`
	Price   float64  `json:"price"`
	Spot    float64  `json:"low_price"`
	BootS   float64  `json:"ready_s"`
	Zones   []string `json:"meadows"`
}

// Size is what a machine of the type has.
func (t MachineType) Size() planner.Size { return planner.Size{CPUs: t.CPUs, GPUs: t.GPUs, Mem: t.Mem} }

// ParseTypes reads the cloud's answer about its types.
func ParseTypes(raw []byte) ([]MachineType, error) {
	var b struct {
		Types []MachineType `json:"builds"`
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, err
	}
	if len(b.Types) == 0 {
		return nil, fmt.Errorf("no machine types")
	}
	return b.Types, nil
}

// listed is one machine in the cloud's list.
type listed struct {
	Name  string  `json:"name_id"`
	Addr  string  `json:"address"`
	Type  string  `json:"build"`
	Zone  string  `json:"meadow"`
	Spot  bool    `json:"stray"`
	State string  `json:"stance"`
	AgeS  float64 `json:"age_s"`
}

const (
	booting = "starting"
	failed  = "failed"
)

// Cloud sends requests to the cloud within its rate.
type Cloud struct {
	addr   string
	send   httpio.Sender
	now    func() time.Duration
	budget *store.Budget
}

// NewCloud makes a client with a share of the cloud's rate.
func NewCloud(addr string, send httpio.Sender, now func() time.Duration, rps float64) *Cloud {
	return &Cloud{addr: addr, send: send, now: now, budget: store.NewBudget(rps, 0.8)}
}

func (c *Cloud) call(method, path string, body any, done func(httpio.Response)) bool {
	if !c.budget.Has(c.now(), 1, store.Safety) {
		return false
	}
	c.budget.Take(1)
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	c.send.Send(c.addr, httpio.Request{Method: method, Path: path, Body: raw, Timeout: 5 * time.Second}, done)
	return true
}

// Types asks for the machine types.
func (c *Cloud) Types(done func(raw []byte, types []MachineType)) bool {
	return c.call("GET", "/machine_types", nil, func(r httpio.Response) {
		if r.Err != nil || r.Status != 200 {
			done(nil, nil)
			return
		}
		types, err := ParseTypes(r.Body)
		if err != nil {
			done(nil, nil)
			return
		}
		done(r.Body, types)
	})
}

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

// boot is a machine that was rented and has not reported yet.
type boot struct {
	offer
	since time.Duration
}

// Manager rents for one term.
type Manager struct {
	Settings *config.Settings
	Cloud    *Cloud
	Fleet    *fleet.Fleet
	Door     *jobs.Door
	Types    func() []MachineType
	Term     uint64
	// Zones say where machines are heard.
	Zones *zones.Zones

	closed    bool
	since     time.Duration // of authority, see Tick
	claims    uint64
	boots     map[string]*boot
	took      bootTimes
	refused   map[offer]time.Duration
	renting   bool
	listing   bool
	returning bool
	nextList  time.Duration
	nextRent  time.Duration
	nextJudge time.Duration
	page      string
	gathered  []listed
	toReturn  map[string]string        // name -> cause
	gone      map[string]time.Duration // returned when: lagging lists may still show them
	listedAt  time.Duration
	excess    float64       // see excess
	zones     map[int32]int // machines by zone that act or boot, when rent last looked
}

// New starts a manager for a term.
func New(s *config.Settings, c *Cloud, f *fleet.Fleet, d *jobs.Door, types func() []MachineType, term uint64) *Manager {
	m := &Manager{Settings: s, Cloud: c, Fleet: f, Door: d, Types: types, Term: term,
		boots: map[string]*boot{}, took: bootTimes{}, zones: map[int32]int{}, refused: map[offer]time.Duration{}, toReturn: map[string]string{}, gone: map[string]time.Duration{}}
	z := s.Zones()
	m.Zones = zones.New(zones.Config{Patience: z.Patience, Prove: z.Prove, Calm: z.Calm, Most: z.Most, Turned: m.zoneTurned})
	f.Zones = func(zone int32, w zones.Work) bool { return m.Zones.Takes(f.Now(), zone, w) }
	return m
}

// Close ends the manager with its term. Answers that come later find a fleet whose tasks
// are no longer kept; touching it once ended the controller.
func (c *Manager) Close() { c.closed = true }

// call sends a request whose answer only counts within the term.
func (c *Manager) call(method, path string, body any, done func(httpio.Response)) bool {
	return c.Cloud.call(method, path, body, func(r httpio.Response) {
		if !c.closed {
			done(r)
		}
	})
}

// judgeEvery spaces the looks at every machine. All that they judge is counted in seconds.
const judgeEvery = 250 * time.Millisecond

// Tick does what is due. since is when this controller last came by its authority: before it
// no worker could make itself heard, so that silence only counts from then on.
func (c *Manager) Tick(now, since time.Duration) {
	c.since = since
	if !c.listing && now >= c.nextList {
		c.list(now)
	}
	if now >= c.nextJudge {
		c.nextJudge = now + judgeEvery
		c.judge(now, now-since > config.Seconds(c.Settings.Operator.SilentS))
	}
	c.giveBack(now)
	// The list must have been read once, or machines already at hand are rented again.
	if c.listedAt > 0 && !c.renting && now >= c.nextRent {
		c.nextRent = now + 700*time.Millisecond
		c.rent(now)
	}
}

func (c *Manager) list(now time.Duration) {
	path := "/machines?limit=500"
	if c.page != "" {
		path += "&since=" + url.QueryEscape(c.page)
	}
	c.listing = c.call("GET", path, nil, func(r httpio.Response) {
		c.listing = false
		at := c.Cloud.now()
		var b struct {
			Machines []listed `json:"dens"`
			More     bool     `json:"has_next"`
		}
		if r.Err != nil || r.Status != 200 || json.Unmarshal(r.Body, &b) != nil {
			c.page, c.gathered, c.nextList = "", nil, at+time.Second
			return
		}
		c.gathered = append(c.gathered, b.Machines...)
		if b.More && len(b.Machines) > 0 {
			c.page, c.nextList = b.Machines[len(b.Machines)-1].Name, at
			return
		}
		all := c.gathered
		c.page, c.gathered = "", nil
		c.nextList = at + config.Seconds(max(2, c.Settings.Params.Cloud.ListLagS/2))
		c.take(at, all)
	})
}

// take compares a list with what is known.
func (c *Manager) take(now time.Duration, all []listed) {
	c.listedAt = now
	lag := config.Seconds(2*c.Settings.Params.Cloud.ListLagS + 2)
	seen := map[string]bool{}
	for _, l := range all {
		seen[l.Name] = true
		if m := c.Fleet.Find(l.Name); (m != nil && m.Condition == fleet.Gone) || c.gone[l.Name] > 0 {
			continue // the list lags
		}
		switch l.State {
		case failed:
			m := c.Fleet.Machine(now, l.Name)
			c.Fleet.Describe(m, l.Addr, l.Type, l.Zone, l.Spot)
			c.Fleet.Returned(now, m, "failed")
			c.toReturn[l.Name] = "failed"
			delete(c.boots, l.Name)
		case booting:
			m := c.Fleet.Find(l.Name)
			if m != nil && m.Session > 0 {
				continue
			}
			b := c.boots[l.Name]
			if b == nil {
				b = &boot{offer: offer{c.Door.Types.Index(l.Type), c.Door.Zones.Index(l.Zone), l.Spot}}
				c.boots[l.Name] = b
			}
			b.since = now - config.Seconds(l.AgeS)
		default:
			m := c.Fleet.Machine(now, l.Name)
			if m.Type == jobs.None {
				c.Fleet.Describe(m, l.Addr, l.Type, l.Zone, l.Spot)
			}
			delete(c.boots, l.Name)
		}
	}
	for name, b := range c.boots {
		if !seen[name] && now-b.since > lag+20*time.Second {
			delete(c.boots, name)
		}
	}
	for name, at := range c.gone {
		// A list may be older than the one before, so that one without it proves nothing.
		if now-at > 10*lag {
			delete(c.gone, name)
		}
	}
	for _, m := range c.Fleet.Machines() {
		if !seen[m.Name] && m.Condition == fleet.Lost && now-m.Heard > lag+10*time.Second {
			c.Fleet.Returned(now, m, "no longer listed")
		}
	}
}

// judge finds machines that should go, if steady tells that authority has lasted long enough
// to hear every worker that can reach this controller: boots that never come up, silent and faulty
// machines, and idle ones where money counts.
func (c *Manager) judge(now time.Duration, steady bool) {
	for name, b := range c.boots {
		if m := c.Fleet.Find(name); m != nil && m.Session > 0 {
			c.took.took(b.offer, now-b.since)
			delete(c.boots, name)
			continue
		}
		// Some take several times as long as usual; far beyond that it is one of the
		// few that never come up.
		if t := c.typ(b.typ); t != nil && now-b.since > c.took.givenUp(b.offer, t.BootS) {
			c.toReturn[name] = "never came up"
		}
	}
	c.judgeZones(now)
	up, silent, idle := 0, 0, 0
	limit := config.Seconds(c.Settings.Operator.SilentS)
	for _, m := range c.Fleet.Machines() {
		if m.Condition.There() {
			up++
			if len(m.On) == 0 && m.Planned == 0 {
				idle++
			}
			if now-m.Heard > limit {
				silent++
			}
		}
	}
	c.excess = excess(up, idle, c.Settings.Operator.Headroom)
	// Many silent at once speak for a cut between us and them, not for their death.
	trust := steady && silent > 0 && silent <= max(1, up/4)
	for _, m := range c.Fleet.Machines() {
		quiet := now - m.Heard
		if quiet > limit && c.Zones.Keeps(now, m.Zone, c.cutPatience(m)) {
			continue
		}
		switch m.Condition {
		case fleet.Acting, fleet.Known, fleet.Deaf:
			switch {
			case quiet > limit && trust:
				c.toReturn[m.Name] = "silent"
			case m.Condition == fleet.Deaf && steady && silent < up && quiet > max(limit, c.cutPatience(m)):
				// It talks, so it isn't us who are cut off: kept for as long as getting it back would be dearer.
				c.toReturn[m.Name] = "deaf"
			case m.Condition == fleet.Acting && c.Fleet.Faulty(m):
				c.Fleet.Retire(m, "faulty")
			case m.Condition == fleet.Acting && len(m.On) == 0 && m.Planned == 0 &&
				now-m.IdleSince > c.idleLimit(m) && c.overBudget() && !c.Zones.Unsettled():
				c.Fleet.Retire(m, "idle")
			}
		case fleet.Lost:
			// However many they are: after a while what is kept in vain costs more than what it would spare.
			if steady && quiet > 2*limit && now-m.Spoke > limit && (silent <= max(1, up/4) || quiet > 2*limit+c.cutPatience(m) && silent < up) {
				c.toReturn[m.Name] = "lost"
			}
		}
		if m.Retiring && m.Condition == fleet.Noticed && len(m.On) == 0 {
			c.toReturn[m.Name] = "retired"
		}
	}
}

// QuietFor is after how long without a report a machine counts as quiet: a report is late, and another one due.
func (c *Manager) QuietFor() time.Duration {
	return config.Seconds(1.3*c.Settings.Params.Workers.ReportS + 1)
}

// zoneTurned tells of a zone's change of state.
func (c *Manager) zoneTurned(now time.Duration, zone int32, from, to zones.State, n zones.Count) {
	slog.Info("zone", "name", c.Door.Zones.Name(zone), "from", from.String(), "to", to.String(), "machines", n.Machines, "quiet", n.Quiet, "silent", n.Silent,
		"flaps", c.Zones.Of(zone).Flaps, "term", c.Term)
	c.Fleet.Events.Add(events.Event{At: now, Kind: events.Zone, Task: events.None, Machine: events.None, Note: c.Door.Zones.Name(zone) + " " + to.String()})
}

// judgeZones looks which zones have fallen silent, and puts what isn't heard there aside: returning it would cost a
// boot and all cached images, and what is planned there would wait for nobody. So is a single machine, once it has been silent
// for longer than one lost report explains: it may be cut off or reach nobody, and gangs were planned there until its lease
// was over. Silence counts from when we could hear.
func (c *Manager) judgeZones(now time.Duration) {
	// Well before the first of them is given up, or many would be gone when it shows.
	silent, quiet := config.Seconds(c.Settings.Operator.SilentS*0.6), c.QuietFor()
	counts := map[int32]zones.Count{}
	for _, m := range c.Fleet.Machines() {
		if m.Condition == fleet.Gone || m.Zone == jobs.None {
			continue
		}
		n := counts[m.Zone]
		n.Machines++
		switch q := now - max(m.Heard, c.since); {
		case q > silent:
			n.Silent++
			n.Quiet++
		case q > quiet:
			n.Quiet++
		}
		counts[m.Zone] = n
	}
	c.Zones.Judge(now, counts)
	late := c.Fleet.HearWithin()
	for _, m := range c.Fleet.Machines() {
		if q := now - max(m.Heard, c.since); m.Condition == fleet.Acting && q > quiet {
			if st := c.Zones.Of(m.Zone).State; st == zones.Lost || st == zones.Returning || q > late {
				c.Fleet.SetAside(m)
			}
		}
	}
}

// cutPatience is how long a machine in a silent zone is kept: twice as long as getting it
// back would take.
func (c *Manager) cutPatience(m *fleet.Machine) time.Duration {
	s := 60.0
	if t := c.typ(m.Type); t != nil {
		s = t.BootS
		if t.FetchGB > 0 {
			s += c.Fleet.ImageGB() / t.FetchGB
		}
	}
	return config.Seconds(2 * s)
}

// idleLimit is how long a machine is kept idle. By default that is the time for which the
// same money would be spent on getting it back: its boot and the fetch of one image. Nobody
// can know whether work comes first, and this bounds the regret to twice the best choice.
func (c *Manager) idleLimit(m *fleet.Machine) time.Duration {
	s := c.Settings.Operator.IdleS
	t := c.typ(m.Type)
	if s == 0 && t != nil {
		s = t.BootS
		if t.FetchGB > 0 {
			s += c.Fleet.ImageGB() / t.FetchGB
		}
	}
	if c.Settings.MoneyCounts() {
		s /= 2
	}
	s *= c.excess
	if c.Fleet.Quiet() {
		s = min(s, quietIdle)
	}
	return config.Seconds(s)
}

// excess shortens the time for which idle machines are kept when there are more of them
// than chance calls for. Of a small fleet several may be idle at once and be needed the next
// moment; the demand on a large one varies by about the root of its size, and what is idle
// beyond that is not needed soon.
func excess(up, idle int, headroom float64) float64 {
	target := max(headroom*float64(up), 2*math.Sqrt(float64(up)))
	return min(1, max(0.15, target/max(1, float64(idle))))
}

// overBudget tells whether more stands idle than the headroom allows.
func (c *Manager) overBudget() bool {
	all, idle := c.prices()
	return c.Fleet.Quiet() || idle > c.Settings.Operator.Headroom*all
}

// quietIdle is the limit while there is no job at all.
const quietIdle = 30

func (c *Manager) giveBack(now time.Duration) {
	if c.returning || len(c.toReturn) == 0 {
		return
	}
	var names []string
	for n := range c.toReturn {
		names = append(names, n)
	}
	sort.Strings(names)
	names = names[:min(len(names), 100)]
	c.returning = c.call("POST", "/machines/return", map[string]any{"dens": names}, func(r httpio.Response) {
		c.returning = false
		if r.Err != nil || r.Status != 200 {
			return
		}
		at := c.Cloud.now()
		for _, n := range names {
			slog.Info("machine returned", "name", n, "cause", c.toReturn[n], "term", c.Term)
			if m := c.Fleet.Find(n); m != nil {
				c.Fleet.Returned(at, m, c.toReturn[n])
			}
			delete(c.toReturn, n)
			delete(c.boots, n)
			c.gone[n] = at
		}
	})
}

func (c *Manager) typ(ix int32) *MachineType {
	if ix == jobs.None {
		return nil
	}
	name := c.Door.Types.Name(ix)
	for i, t := range c.Types() {
		if t.Name == name {
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

// bin is a machine, at hand or booting, with the work it can do within a horizon.
type bin struct {
	offer
	room planner.Size // resource-seconds left
}

// rent fits the unfinished work into the machines at hand, as resource-seconds over the
// time that a new machine would need to become useful, and rents for what is left over.
func (c *Manager) rent(now time.Duration) {
	types := c.Types()
	if len(types) == 0 || !c.Fleet.Loaded() {
		return
	}
	horizon := 0.0
	for _, t := range types {
		h := t.BootS
		if t.FetchGB > 0 {
			h += c.Fleet.ImageGB() / t.FetchGB
		}
		horizon = max(horizon, h)
	}
	horizon *= eager
	var bins []*bin
	total := len(c.boots)
	clear(c.zones)
	for _, m := range c.Fleet.Machines() {
		if m.Condition == fleet.Lost || m.Condition == fleet.Gone {
			continue
		}
		total++
		if m.Condition == fleet.Acting {
			c.zones[m.Zone]++
		}
		if m.Condition == fleet.Noticed || m.Condition == fleet.Deaf || m.Aside || m.Type == jobs.None || m.Size == (planner.Size{}) {
			continue
		}
		b := &bin{offer{m.Type, m.Zone, m.Spot}, m.Size.Times(horizon)}
		for _, u := range c.Fleet.Running(now, m) {
			b.room = b.room.Sub(u.Size.Times(min(u.Left, horizon)))
		}
		bins = append(bins, b)
	}
	overdue := c.overdue(now)
	for _, name := range slices.Sorted(maps.Keys(c.boots)) { // in one order: the same run rents the same
		bt := c.boots[name]
		c.zones[bt.zone]++ // or one request after the other would go to the same zone
		// One that is far overdue is not counted on any more.
		if t := c.typ(bt.typ); t != nil && !overdue[name] {
			bins = append(bins, &bin{bt.offer, t.Size().Times(horizon)})
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
			use = c.Fleet.InZones(d.Job)
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
			o, ok := c.choose(now, d.Job, full)
			if !ok {
				break
			}
			b := &bin{o, c.typ(o.typ).Size().Times(horizon)}
			n := min(left, need.Copies(b.room))
			if n <= 0 {
				break
			}
			if lim > 0 {
				n = min(n, lim-use[o.zone])
				use[o.zone] += n
			}
			b.room = b.room.Sub(need.Times(float64(n)))
			left -= n
			total++
			bins = append(bins, b)
			wanted[o]++
		}
	}
	// One request a turn: the offer of which most are wanted.
	var best offer
	for o, n := range wanted {
		if n > wanted[best] || (n == wanted[best] && o.before(best)) {
			best = o
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
		t := c.typ(o.typ)
		switch {
		case t == nil:
			return 0
		case o.spot:
			return t.Spot
		}
		return t.Price
	}
	for _, m := range c.Fleet.Machines() {
		if m.Condition == fleet.Lost || m.Condition == fleet.Gone || m.Type == jobs.None {
			continue
		}
		p := price(offer{m.Type, m.Zone, m.Spot})
		all += p
		if len(m.On) == 0 {
			idle += p
		}
	}
	for _, b := range c.boots {
		all += price(b.offer)
		idle += price(b.offer)
	}
	return all, idle
}

// spare rents ahead of need: a part of what the fleet costs may stand idle, so that a burst
// does not have to wait for a boot. Each kind of job gets the cheapest machine for it.
func (c *Manager) spare(now time.Duration, total int) {
	all, idle := c.prices()
	budget := c.Settings.Operator.Headroom * all
	for _, j := range c.Fleet.Kinds() {
		o, ok := c.choose(now, j, func(int32) bool { return false })
		if !ok || total >= c.Settings.Operator.MaxMachines {
			continue
		}
		t := c.typ(o.typ)
		p := t.Price
		if o.spot {
			p = t.Spot
		}
		if n := int((budget - idle) / p); n > 0 {
			// Never beyond the bound: five at a time once went four over it.
			c.ask(now, o, min(n, 5, c.Settings.Operator.MaxMachines-total))
			return
		}
	}
}

// choose finds the offer with the lowest price for a job's task that was not refused
// lately, in a zone that isn't full for it; where money does not count, cheap is still preferred.
func (c *Manager) choose(now time.Duration, j *jobs.Job, full func(zone int32) bool) (offer, bool) {
	best, price, ok := offer{}, math.Inf(1), false
	for _, t := range c.Types() {
		n := j.Spec.Size().Copies(t.Size())
		if n <= 0 {
			continue
		}
		ty := c.Door.Types.Index(t.Name)
		for _, z := range t.Zones {
			zone := c.Door.Zones.Index(z)
			for _, spot := range []bool{true, false} {
				o := offer{ty, zone, spot}
				p := t.Price
				if spot {
					p = t.Spot
				}
				if full(zone) || !c.Zones.Rents(zone) || p <= 0 || !j.Allows(ty, zone, spot) || now < c.refused[o] {
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
	body := map[string]any{"claim": claim, "build": c.Door.Types.Name(o.typ), "meadow": c.Door.Zones.Name(o.zone),
		"stray": o.spot, "how_many": n}
	c.renting = c.call("POST", "/machines", body, func(r httpio.Response) {
		c.renting = false
		at := c.Cloud.now()
		var b struct {
			Machines []string `json:"dens"`
		}
		switch {
		case r.Err == nil && r.Status == 200 && json.Unmarshal(r.Body, &b) == nil:
			for _, name := range b.Machines {
				c.boots[name] = &boot{o, now}
			}
			if len(b.Machines) < n {
				c.refused[o] = at + 20*time.Second
			}
			slog.Info("machines rented", "claim", claim, "type", c.Door.Types.Name(o.typ), "zone", c.Door.Zones.Name(o.zone),
				"spot", o.spot, "asked", n, "got", len(b.Machines), "term", c.Term)
		case r.Err == nil && r.Status == 429:
		default:
			// Refused, in trouble or open: if machines do come of it, the list shows them.
			c.refused[o] = at + 20*time.Second
		}
	})
	if c.renting {
		c.nextRent = now + 200*time.Millisecond
	}
}

// Booting tells how many machines are on their way that a job may use, and in how many seconds
// the first of them is expected, 0 where it is overdue.
func (c *Manager) Booting(now time.Duration, j *jobs.Job) (n int, next float64) {
	next = math.Inf(1)
	for _, b := range c.boots {
		t := c.typ(b.typ)
		if t == nil || !j.Allows(b.typ, b.zone, b.spot) || !j.Spec.Size().Fits(t.Size()) {
			continue
		}
		n++
		next = min(next, max(0, t.BootS-(now-b.since).Seconds()))
	}
	if n == 0 {
		return 0, 0
	}
	return n, next
}
