package capacity

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// cloudOffer is the kind of machines by which simulatedCloud counts its available machines.
type cloudOffer struct {
	zone   string
	isSpot bool
}

// simulatedCloud is a cloud whose machines never finish booting. Responses are queued until the test delivers them.
// The names of the wire format are repeated here, so that tests fail if the package's names change.
type simulatedCloud struct {
	now            time.Duration
	available      map[cloudOffer]int
	machines       map[string]listedMachine // machines rented and not returned, by name
	rentedAt       map[string]time.Duration // time of renting by machine name
	claims         map[string]bool          // claims used so far
	rented         int                      // number of machines rented so far
	responses      []func()                 // deliver the queued responses, the oldest first
	delayResponses bool                     // runFor doesn't deliver responses
	returnRequests int                      // number of requests to return machines
}

// Send implements httpio.Sender.
func (c *simulatedCloud) Send(_ string, request httpio.Request, done func(httpio.Response)) {
	response := c.serve(request)
	c.responses = append(c.responses, func() { done(response) })
}

// deliverNext delivers the oldest queued response.
func (c *simulatedCloud) deliverNext() {
	next := c.responses[0]
	c.responses = c.responses[1:]
	next()
}

// deliverAll delivers all queued responses, including responses to requests that are sent while it runs.
func (c *simulatedCloud) deliverAll() {
	for len(c.responses) > 0 {
		c.deliverNext()
	}
}

func encodeResponse(status int, body any) httpio.Response {
	raw, _ := json.Marshal(body)
	return httpio.Response{Status: status, Body: raw}
}

func (c *simulatedCloud) serve(request httpio.Request) httpio.Response {
	switch {
	case request.Path == "/machines/return":
		return c.serveReturn(request)
	case request.Method == http.MethodPost:
		return c.serveRent(request)
	default:
		return c.serveList()
	}
}

func (c *simulatedCloud) serveReturn(request httpio.Request) httpio.Response {
	var body struct {
		Names []string `json:"dens"`
	}
	_ = json.Unmarshal(request.Body, &body)
	for _, name := range body.Names {
		delete(c.machines, name)
	}
	c.returnRequests++
	return encodeResponse(200, nil)
}

func (c *simulatedCloud) serveRent(request httpio.Request) httpio.Response {
	var body struct {
		Claim  string `json:"claim"`
		Type   string `json:"build"`
		Zone   string `json:"meadow"`
		IsSpot bool   `json:"stray"`
		Count  int    `json:"how_many"`
	}
	_ = json.Unmarshal(request.Body, &body)
	if c.claims[body.Claim] {
		panic("claim used twice: " + body.Claim)
	}
	c.claims[body.Claim] = true
	requested := cloudOffer{zone: body.Zone, isSpot: body.IsSpot}
	count := min(body.Count, c.available[requested])
	if count <= 0 {
		return encodeResponse(503, map[string]string{"error": "no capacity"})
	}
	c.available[requested] -= count
	var names []string
	for range count {
		c.rented++
		name := fmt.Sprintf("i-%06d", c.rented)
		names = append(names, name)
		c.rentedAt[name] = c.now
		c.machines[name] = listedMachine{
			Name:   name,
			Addr:   "x",
			Type:   body.Type,
			Zone:   body.Zone,
			IsSpot: body.IsSpot,
			State:  listedBooting,
		}
	}
	return encodeResponse(200, map[string]any{"dens": names})
}

func (c *simulatedCloud) serveList() httpio.Response {
	var machines []listedMachineBody
	for name, machine := range c.machines {
		machine.AgeS = (c.now - c.rentedAt[name]).Seconds()
		machines = append(machines, listedMachineBody(machine))
	}
	return encodeResponse(200, map[string]any{"dens": machines, "has_next": false})
}

// fixture is a manager with its fleet and a simulated cloud.
type fixture struct {
	*Manager
	cloud          *simulatedCloud
	table          *jobs.Table
	revision       uint64
	authoritySince time.Duration
}

func newFixture() *fixture {
	settings := &config.Settings{}
	settings.Params.Teams = []config.Team{{Name: "t"}}
	settings.Params.Workers = config.Workers{HeartbeatIntervalS: 3, LeaseS: 20}
	settings.Params.Cloud = config.Cloud{RPS: 100, ListLagS: 4}
	settings.Operator = config.Operator{MachineSilenceTimeoutS: 13, MaxMachines: 50, NetworkFactor: 1}
	types := []MachineType{{
		Name:          "m",
		CPUs:          4,
		MemoryGB:      16,
		CacheGB:       10,
		FetchGBPerS:   1,
		OnDemandPrice: 2,
		SpotPrice:     1,
		BootS:         40,
		Zones:         []string{"a", "b"},
	}}
	cloud := &simulatedCloud{
		available: map[cloudOffer]int{},
		machines:  map[string]listedMachine{},
		rentedAt:  map[string]time.Duration{},
		claims:    map[string]bool{},
	}
	table := jobs.NewTable(0)
	now := func() time.Duration { return cloud.now }
	fleetType := &fleet.MachineType{Size: types[0].Size(), CacheGB: 10, FetchGB: 1, BootS: 40}
	f := fleet.New(fleet.Env{
		Settings:  settings,
		Jobs:      table,
		Random:    rand.New(rand.NewPCG(1, 1)),
		MaxTxnOps: 20,
		Now:       now,
		Types:     func(int32) *fleet.MachineType { return fleetType },
		CanWrite:  func(int) bool { return true },
		Commit:    func(store.Txn, func(store.Result)) {},
	}, 1, 0)
	f.LoadPlans(0, nil)
	client := NewCloud("", cloud, now, 100)
	return &fixture{
		Manager:        New(settings, client, f, table.Names, func() []MachineType { return types }, 1),
		cloud:          cloud,
		table:          table,
		authoritySince: -time.Hour,
	}
}

// submit adds a job whose tasks take a quarter of a machine's CPUs each.
func (f *fixture) submit(t *testing.T, tasks int, allowsSpot bool) {
	t.Helper()
	f.revision++
	spec := &jobs.Spec{
		ID:        fmt.Sprintf("req-%06d", f.revision),
		Class:     "c",
		Team:      "t",
		Kind:      jobs.Array,
		Priority:  "standard",
		Tasks:     tasks,
		CPUs:      1,
		MemoryGB:  1,
		Image:     "i",
		ImageGB:   1,
		EstimateS: 100,
		Spot:      allowsSpot,
	}
	job, _, err := f.table.Apply(spec.ID, jobs.EncodeRecord(jobs.Pending, 0, tasks, spec), f.revision)
	if err != nil {
		t.Fatal(err)
	}
	f.Fleet.HandleJobChange(f.cloud.now, job)
	f.Fleet.RankJobs(f.cloud.now)
}

// heartbeat returns a heartbeat of machine i. Machines with an even number are in zone a, the others in zone b.
func heartbeat(i int, seq uint64) *fleet.Heartbeat {
	return &fleet.Heartbeat{
		Machine: fmt.Sprintf("i-%d", i),
		Addr:    "x",
		Type:    "m",
		Zone:    "ab"[i%2 : i%2+1],
		Session: 1,
		Seq:     seq,
		Token:   1 << 20,
	}
}

// runFor advances the clock in steps of 100 ms, with a tick and, unless delayResponses is set, the delivery of all
// responses at each step.
func (f *fixture) runFor(duration time.Duration) {
	for end := f.cloud.now + duration; f.cloud.now < end; f.cloud.now += 100 * time.Millisecond {
		f.Tick(f.cloud.now, f.authoritySince)
		if !f.cloud.delayResponses {
			f.cloud.deliverAll()
		}
	}
}
