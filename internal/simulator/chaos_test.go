package simulator

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
)

// TestMain discards the log unless HAREWALK_LOG is set.
func TestMain(m *testing.M) {
	if os.Getenv("HAREWALK_LOG") == "" {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	os.Exit(m.Run())
}

// testUser submits one job of a simulation, polls it and records its final states.
type testUser struct {
	simulation      *Simulation
	rng             *rand.Rand
	spec            *jobs.Spec
	finalStates     []string // final answers
	history         History
	cancelRequested bool
	status          int
	submitAt        time.Duration // of a chaotic run
	predecessors    []*testUser   // the job is submitted once theirs are accepted
	onAccepted      []func()      // called once its job is accepted
}

func (u *testUser) request(method, path string, body []byte, then func(int, string)) {
	u.simulation.Request(u.rng.IntN(u.simulation.Controllers()), method, path, body, func(status int, raw []byte) {
		var v jobView
		_ = json.Unmarshal(raw, &v)
		then(status, v.State)
	})
}

// isAccepted returns whether the job's submission was accepted.
func (u *testUser) isAccepted() bool { return u.status == 200 || u.status == 201 }

func (u *testUser) submit() {
	if u.awaitsPredecessor() {
		return
	}
	u.simulation.AddJob(u.spec)
	body, _ := json.Marshal(u.spec)
	var again func()
	again = func() {
		u.request("POST", "/v2/runs", body, func(status int, _ string) {
			if u.status = status; u.isAccepted() {
				u.history = History{ID: u.spec.ID, Tasks: u.spec.Tasks}
				u.callAccepted()
				u.poll()
				return
			}
			u.simulation.After(time.Second, again)
		})
	}
	again()
}

func (u *testUser) cancel() {
	u.cancelRequested = true
	u.request("POST", "/v2/runs/"+u.spec.ID+"/abort", []byte("{}"), func(status int, state string) {
		switch {
		case status != 200:
			u.simulation.After(time.Second, u.cancel)
		case state == "cancelled":
			u.simulation.ConfirmCancelled(u.spec.ID)
		}
	})
}

func (u *testUser) poll() {
	u.request("GET", "/v2/runs/"+u.spec.ID, nil, func(status int, state string) {
		u.simulation.CheckAnswer(&u.history, status, state, u.cancelRequested)
		if u.history.FinalAnswers > len(u.finalStates) {
			u.finalStates = append(u.finalStates, state)
		}
		if len(u.finalStates) < 4 {
			u.simulation.After(time.Duration(500+u.rng.IntN(1500))*time.Millisecond, u.poll)
		}
	})
}

// drawJob draws any kind of job that fits the machines and teams of a chaos run.
func drawJob(rng *rand.Rand, n int) *jobs.Spec {
	spec := &jobs.Spec{
		ID:        fmt.Sprintf("req-%06d", n),
		Class:     "c",
		Team:      []string{"red", "blue"}[rng.IntN(2)],
		Kind:      jobs.Array,
		Priority:  []string{"prod", "urgent", "standard", "best_effort"}[rng.IntN(4)],
		Tasks:     1 + rng.IntN(12),
		CPUs:      float64(1 + rng.IntN(3)),
		MemoryGB:  1,
		Image:     fmt.Sprintf("i-%d", rng.IntN(3)),
		ImageGB:   2,
		EstimateS: 1 + 8*rng.Float64(),
		Spot:      rng.IntN(2) == 0,
	}
	switch rng.IntN(5) {
	case 0:
		spec.Kind = jobs.Gang
		spec.Tasks = 2 + rng.IntN(4)
	case 1:
		spec.CheckpointS = 1
		spec.SaveS = 0.5
	case 2:
		spec.Licences = map[string]int{"transcribe": 1}
	}
	return spec
}

// watchActingLeaders checks that at most one controller may act by its own state, at every moment.
func (sim *Simulation) watchActingLeaders() {
	if leaders := sim.ActingLeaders(); len(leaders) > 1 {
		sim.ReportViolation("controllers %v believe that they may act", leaders)
	}
	sim.After(20*time.Millisecond, sim.watchActingLeaders)
}

const chaosPools = `licence "transcribe" {
  count    = 12
  server   = "licences:80"
  poll_s   = 0.5
  linger_s = 4.5
}
archive {
  retain_s = 2
}
`

// readChaosPools reads the licence pool and the archive of chaos runs into a controller's settings.
func readChaosPools(settings *config.Settings) error {
	return settings.ReadOperator("o.hcl", []byte(chaosPools))
}

// chaosFault is a random fault of a chaos run: what happens, to which controller, for how long.
type chaosFault struct {
	controller int
	duration   time.Duration
	kind       int // below chaosFaultKinds
}

// chaosFaultKinds is the number of kinds of injectChaosFault.
const chaosFaultKinds = 12

// injectChaosFault begins a random fault.
func (sim *Simulation) injectChaosFault(fault chaosFault) {
	i, duration := fault.controller, fault.duration
	switch fault.kind {
	case 0:
		sim.CrashTask()
	case 1:
		sim.KillMachine()
	case 2:
		sim.HangMachine(duration)
	case 3:
		sim.DelayMachineCommands(duration)
	case 4:
		sim.ReclaimSpotMachine(duration)
	case 5:
		sim.KillController(i)
		sim.After(duration, func() { sim.StartController(i) })
	case 6:
		if leader, _ := sim.Leader(); leader >= 0 {
			sim.KillController(leader)
			sim.After(duration/3, func() { sim.StartController(leader) })
		}
	case 7:
		if leader, _ := sim.Leader(); leader >= 0 && sim.ControllerRuns(leader) {
			sim.FreezeController(leader, duration)
		}
	case 8:
		sim.DrainController(i, func() { sim.After(duration/4, func() { sim.StartController(i) }) })
	case 9:
		sim.during(duration, sim.SetStateOutage)
	case 10:
		sim.during(duration, func(on bool) { sim.RefuseController(i, on) })
	case 11:
		sim.during(duration, sim.SetCloudOutage)
	}
}

// scheduleChaosFaults draws faults, one every few seconds until an end.
func (sim *Simulation) scheduleChaosFaults(rng *rand.Rand, end time.Duration) {
	upTo := func(maxSeconds int) time.Duration {
		return time.Duration(rng.IntN(maxSeconds*1000)) * time.Millisecond
	}
	for at := upTo(4); at < end; at += upTo(6) {
		fault := chaosFault{
			controller: rng.IntN(sim.Controllers()),
			duration:   500*time.Millisecond + upTo(9),
			kind:       rng.IntN(chaosFaultKinds),
		}
		sim.After(at, func() { sim.injectChaosFault(fault) })
	}
}

// scheduleChaosUsers draws jobs of all kinds and the times of their submissions until an end. Every sixth or so is
// cancelled.
func (sim *Simulation) scheduleChaosUsers(rng *rand.Rand, count int, end time.Duration) []*testUser {
	users := make([]*testUser, 0, count)
	for i := range count {
		user := &testUser{simulation: sim, rng: rng, spec: drawJob(rng, i+1)}
		users = append(users, user)
		at := time.Duration(rng.Int64N(int64(end)))
		user.submitAt = at
		sim.After(at, user.submit)
		if rng.IntN(6) == 0 {
			sim.After(at+time.Duration(rng.IntN(20000))*time.Millisecond, user.cancel)
		}
	}
	return users
}

// advanceUntilOver advances time until every user has polled its job's final state four times, or to a limit.
func (sim *Simulation) advanceUntilOver(users []*testUser, limit, step time.Duration) {
	isOpen := func(user *testUser) bool { return len(user.finalStates) < 4 }
	for end := sim.Now() + limit; sim.Now() < end && slices.ContainsFunc(users, isOpen); {
		sim.Advance(step)
	}
}

// runChaos plays a few simulated minutes in which machines, controllers, the state service, the cloud
// and the network fail at random, several at once, then ends all faults, and returns the simulation and its users.
func runChaos(t *testing.T, seed uint64, jobCount int, faulty time.Duration) (*Simulation, []*testUser) {
	t.Helper()
	return runChaosWith(t, seed, jobCount, faulty, func([]*testUser) {})
}

// runChaosWith does so with the users changed before they submit anything.
func runChaosWith(
	t *testing.T,
	seed uint64,
	jobCount int,
	faulty time.Duration,
	change func([]*testUser),
) (*Simulation, []*testUser) {
	t.Helper()
	sim, err := NewVirtualTime(Config{
		Seed:         seed,
		MaxMachines:  12,
		Controllers:  3 + 2*int(seed%2),
		LicencePools: map[string]int{"transcribe": 12},
		TickInterval: 20 * time.Millisecond,
		Teams:        []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}},
	}, readChaosPools)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 31))
	sim.SetNetwork(time.Duration(1+rng.IntN(20))*time.Millisecond, 0.01, 0.01, 8*time.Second)
	users := sim.scheduleChaosUsers(rng, jobCount, faulty)
	change(users)
	sim.scheduleChaosFaults(rng, faulty)
	sim.watchActingLeaders()
	// A clock on the wall that is off by an hour, forward or back, from a controller's next start on.
	sim.MoveWallClock(rng.IntN(sim.Controllers()), time.Duration(rng.IntN(3)-1)*time.Hour)
	sim.Advance(faulty + 25*time.Second)
	sim.SetNetwork(2*time.Millisecond, 0, 0, 0)
	sim.startControllers()
	sim.advanceUntilOver(users, 10*time.Minute, 5*time.Second)
	return sim, users
}

// TestChaos runs the real code of all controllers through random faults that overlap, in virtual time: no rule of
// the protocol breaks, every accepted job gets one final answer that never changes, and afterwards every job ends.
func TestChaos(t *testing.T) {
	seeds := 12
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 400
	}
	var all Stats
	ends := map[string]int{}
	for seed := range seeds {
		sim, users := runChaos(t, uint64(seed+1), 60, 2*time.Minute)
		for _, b := range sim.Violations() {
			t.Errorf("seed %d: %s", seed+1, b)
		}
		for _, user := range users {
			switch {
			case len(user.finalStates) == 0:
				t.Errorf("seed %d: %s is not over (status %d)", seed+1, user.spec.ID, user.status)
			case user.finalStates[0] == "cancelled" && !user.cancelRequested:
				t.Errorf("seed %d: %s is cancelled, and nobody asked for it", seed+1, user.spec.ID)
			default:
				ends[user.finalStates[0]]++
			}
			for _, s := range user.finalStates {
				if s != user.finalStates[0] {
					t.Errorf("seed %d: %s was answered %v", seed+1, user.spec.ID, user.finalStates)
				}
			}
		}
		s := sim.Stats()
		all.TaskStarts += s.TaskStarts
		all.TasksCrashed += s.TasksCrashed
		all.MachinesKilled += s.MachinesKilled
		all.MachinesHung += s.MachinesHung
		all.ControllersKilled += s.ControllersKilled
		all.ControllersFrozen += s.ControllersFrozen
		all.ControllersDrained += s.ControllersDrained
		all.CommandsDelayed += s.CommandsDelayed
		if t.Failed() {
			break
		}
	}
	t.Logf("%d seeds: %v; %+v", seeds, ends, all)
	if all.ControllersKilled == 0 || all.ControllersFrozen == 0 || all.ControllersDrained == 0 ||
		all.MachinesHung == 0 ||
		all.MachinesKilled == 0 ||
		ends["cancelled"] == 0 {
		t.Error("a kind of fault never came")
	}
}

// TestSameSeedGivesSameRun checks that the same seed gives the same run, to the last event.
func TestSameSeedGivesSameRun(t *testing.T) {
	digest := func() string {
		sim, users := runChaos(t, 7, 25, 40*time.Second)
		s := fmt.Sprint(sim.Stats(), sim.Now(), sim.StartTimes())
		for _, user := range users {
			s += fmt.Sprint(user.finalStates)
		}
		return s
	}
	if a, b := digest(), digest(); a != b {
		t.Fatalf("two runs differ:\n%s\n%s", a, b)
	}
}

// reportedEvent is an event as users and operators read it.
type reportedEvent struct {
	Event, Note string
	Job         string `json:"name_id"`
	Task        *int
	Attempt     uint64
}

// eventReader reads a leader's events page after page.
type eventReader struct {
	t      *testing.T
	sim    *Simulation
	since  string // the token of the next page
	events []reportedEvent
}

// readAll reads until no further page is left.
func (r *eventReader) readAll() {
	r.t.Helper()
	leader, _ := r.sim.Leader()
	for more := true; more; {
		r.sim.Request(leader, "GET", "/v2/events?since="+r.since, nil, func(status int, raw []byte) {
			var page struct {
				Term, Next uint64
				Events     []reportedEvent
				More       bool `json:"has_next"`
			}
			if err := json.Unmarshal(raw, &page); err != nil || status != 200 {
				r.t.Fatalf("status %d: %v: %s", status, err, raw)
			}
			r.events = append(r.events, page.Events...)
			r.since = fmt.Sprintf("%d-%d", page.Term, page.Next)
			more = page.More
		})
		r.sim.Advance(200 * time.Millisecond)
	}
}

// taskEventsBefore holds, for each event of a task, the events that may come directly before it; an empty one stands
// for none.
var taskEventsBefore = map[string][]string{
	"task_sent":     {"", "task_ended", "task_vanished", "task_lost"},
	"task_found":    {"task_sent"},
	"task_running":  {"task_sent", "task_found"},
	"task_stopping": {"task_sent", "task_found", "task_running"},
	"task_ended":    {"task_sent", "task_found", "task_running", "task_stopping"},
	"task_vanished": {"task_sent", "task_found", "task_running", "task_stopping"},
	"task_lost":     {"task_sent", "task_found", "task_running", "task_stopping"},
	"task_done":     {"task_sent", "task_found", "task_running", "task_stopping"},
}

// eventOrder is a plain automaton of jobs and their tasks, which checks the order of their events.
type eventOrder struct {
	t         *testing.T
	state     map[string]string // of a job, and of a task by its job and number
	doneTasks map[string]int    // by job
	notes     map[string]int
	kinds     map[string]int
}

func newEventOrder(t *testing.T) *eventOrder {
	return &eventOrder{
		t:         t,
		state:     map[string]string{},
		doneTasks: map[string]int{},
		notes:     map[string]int{},
		kinds:     map[string]int{},
	}
}

// add checks the next event.
func (o *eventOrder) add(e reportedEvent) {
	o.t.Helper()
	o.kinds[e.Event]++
	switch e.Event {
	case "term", "machine", "zone", "rollout":
	case "job_accepted":
		if o.state[e.Job] != "" {
			o.t.Errorf("%s is accepted twice", e.Job)
		}
		o.state[e.Job] = "accepted"
	case "job_done", "job_cancelled":
		if o.state[e.Job] != "accepted" {
			o.t.Errorf("%s ends and was %q", e.Job, o.state[e.Job])
		}
		o.state[e.Job] = e.Event
	default:
		o.addTaskEvent(e)
	}
}

func (o *eventOrder) addTaskEvent(e reportedEvent) {
	o.t.Helper()
	name := fmt.Sprintf("%s/%d", e.Job, *e.Task)
	if o.state[e.Job] != "accepted" && e.Event != "task_ended" {
		o.t.Errorf("%s: %s, its job is %q", name, e.Event, o.state[e.Job])
	}
	was := o.state[name]
	inOrder := was != "task_done" && slices.Contains(taskEventsBefore[e.Event], was)
	// Of a gang's other tasks, and where it is done elsewhere, only the end is reported.
	onlyItsEnd := e.Event == "task_done" && was != "task_done"
	if !inOrder && !onlyItsEnd {
		o.t.Errorf("%s: %s after %q", name, e.Event, was)
	}
	o.state[name] = e.Event
	if e.Event == "task_done" {
		o.doneTasks[e.Job]++
	}
	o.notes[e.Note]++
}

// checkUser checks that a user's job is done, in its answers and by the events.
func (o *eventOrder) checkUser(user *testUser) {
	o.t.Helper()
	job, tasks := user.spec.ID, user.spec.Tasks
	answeredDone := len(user.finalStates) > 0 && user.finalStates[0] == "done"
	if !answeredDone || o.doneTasks[job] != tasks || o.state[job] != "job_done" {
		o.t.Errorf(
			"%s: answered %v, %d of %d tasks done, %s",
			job,
			user.finalStates,
			o.doneTasks[job],
			tasks,
			o.state[job],
		)
	}
}

// scheduleMachineFaults crashes a task, kills a machine or hangs one, in turn, every five seconds.
func scheduleMachineFaults(sim *Simulation) {
	for i := range 12 {
		sim.After(time.Duration(10+5*i)*time.Second, func() {
			switch i % 3 {
			case 0:
				sim.CrashTask()
			case 1:
				sim.KillMachine()
			default:
				sim.HangMachine(8 * time.Second)
			}
		})
	}
}

// TestEventsMatchWhatHappened compares events with a plain automaton: through crashes and killed and hung machines
// each attempt of a task is sent, perhaps runs, and has one end, in this order; a job's acceptance comes first and
// its end last; and as many tasks are reported done as there are.
func TestEventsMatchWhatHappened(t *testing.T) {
	sim, err := NewVirtualTime(Config{
		Seed:         3,
		MaxMachines:  8,
		TickInterval: 20 * time.Millisecond,
		Teams:        []config.Team{{Name: "red"}, {Name: "blue"}},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 5))
	var users []*testUser
	for i := range 40 {
		spec := drawJob(rng, i+1)
		spec.Licences = nil
		user := &testUser{simulation: sim, rng: rng, spec: spec}
		users = append(users, user)
		sim.After(time.Duration(rng.IntN(60))*time.Second, user.submit)
	}
	scheduleMachineFaults(sim)
	reader := &eventReader{t: t, sim: sim}
	for range 40 {
		sim.Advance(5 * time.Second)
		reader.readAll()
	}
	if len(reader.events) == 0 || reader.events[0].Event != "term" {
		t.Fatalf("%d events, the first %+v", len(reader.events), reader.events)
	}
	order := newEventOrder(t)
	for _, e := range reader.events {
		order.add(e)
	}
	for _, user := range users {
		order.checkUser(user)
	}
	if order.notes["error"] == 0 || order.kinds["task_lost"] == 0 || order.kinds["machine"] == 0 {
		t.Errorf("not every kind was seen: %v, %v", order.kinds, order.notes)
	}
	reportViolations(t, sim)
}

// TestRequestsAfterAuthorityEndedAreRedirected freezes a leader for longer than its lease. Its steady clock has
// jumped when it goes on: requests of a worker, a user and an operator reach it before it has done anything else,
// and it acts on none; nor does the present leader receive them. Users and operators get a retry or the leader's
// address.
func TestRequestsAfterAuthorityEndedAreRedirected(t *testing.T) {
	sim, err := NewVirtualTime(Config{Seed: 5, MaxMachines: 4, Teams: []config.Team{{Name: "red"}}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	spec := arraySpec("req-000001", "c", "red")
	spec.Tasks = 20
	spec.EstimateS = 30
	user := &testUser{simulation: sim, rng: rand.New(rand.NewPCG(5, 5)), spec: spec}
	sim.After(3*time.Second, user.submit)
	sim.Advance(15 * time.Second)
	old, _ := sim.Leader()
	sim.FreezeController(old, 12*time.Second)
	said := map[string][]int{}
	note := func(what string) func(int, []byte) {
		return func(status int, _ []byte) { said[what] = append(said[what], status) }
	}
	// They wait in its sockets and are the first that it sees.
	user.cancelRequested = true
	sim.After(11*time.Second+900*time.Millisecond, func() {
		sim.Request(old, "GET", "/v2/runs", nil, note("list"))
		sim.Request(old, "GET", "/v2/runs/req-000001/why", nil, note("why"))
		sim.Request(old, "POST", "/v2/runs/req-000001/abort", []byte("{}"), note("abort"))
		sim.Request(old, "GET", "/v2/runs/req-000001", nil, note("get"))
		machine := sim.cloud.machineByName[sim.BusiestMachine()]
		body, _ := json.Marshal(sim.heartbeat(sim.now(), machine))
		sim.Request(old, "POST", "/checkin", body, note("report"))
	})
	sim.Advance(13 * time.Second)
	for what, ok := range map[string][]int{
		"list":   {421, 503},
		"why":    {421, 503},
		"report": {421, 503},
		"get":    {200, 503},
		"abort":  {200, 503},
	} {
		if len(said[what]) != 1 || !slices.Contains(ok, said[what][0]) {
			t.Errorf("%s was answered %v", what, said[what])
		}
	}
	sim.Advance(2 * time.Second)
	l, _ := sim.Leader()
	if l < 0 || l == old {
		t.Fatalf("controller %d leads", l)
	}
	sim.Request(old, "GET", "/v2/runs", nil, func(status int, raw []byte) {
		if status != 421 || !strings.Contains(string(raw), sim.UserAddr(l)) {
			t.Errorf("who leads: %d %s", status, raw)
		}
	})
	sim.Advance(time.Second)
	reportViolations(t, sim)
}

// TestFullBuffersShedLoad sends submissions and queries of far more users than buffers have room for, at one
// moment, to one controller: each is answered at once, those not served with a retry, and in the end all are
// served.
func TestFullBuffersShedLoad(t *testing.T) {
	sim, err := NewVirtualTime(
		Config{Seed: 6, MaxMachines: 20, Teams: []config.Team{{Name: "red"}}, TickInterval: 50 * time.Millisecond},
		nil,
	)
	if err != nil {
		t.Fatal(err)
	}
	sim.Advance(3 * time.Second)
	n, refused, slowest, done := 3000, 0, time.Duration(0), 0
	for i := range n {
		spec := arraySpec(fmt.Sprintf("req-%06d", i+1), "c", "red")
		spec.ImageGB = 0.1
		spec.EstimateS = 1
		spec.Spot = false
		body, _ := json.Marshal(spec)
		sim.AddJob(spec)
		var again func()
		again = func() {
			at := sim.Now()
			sim.Request(0, "POST", "/v2/runs", body, func(status int, _ []byte) {
				slowest = max(slowest, sim.Now()-at)
				switch status {
				case 200, 201:
					done++
				case 429, 503:
					refused++
					sim.After(time.Duration(1000+i%700)*time.Millisecond, again)
				default:
					t.Errorf("%s: status %d", spec.ID, status)
				}
			})
		}
		again()
	}
	sim.Advance(3 * time.Minute)
	if done != n || refused < n/2 || slowest > 3*time.Second {
		t.Fatalf("%d of %d accepted, %d times refused, the slowest answer took %v", done, n, refused, slowest)
	}
	reportViolations(t, sim)
}
