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
	finalStates     []string // the job's state in each final answer, in order
	history         AnswerHistory
	cancelRequested bool
	status          int           // status of the latest answer to the submission; 0 before the first answer
	submittedAt     time.Duration // time of the first submission, set in chaos runs only
	predecessors    []*testUser   // their jobs have to be accepted before this one is submitted
	onAccepted      []func()      // called once the job is accepted
}

// request sends a request to a random controller and passes on the status and the job's state in the answer.
func (u *testUser) request(method, path string, body []byte, then func(int, string)) {
	u.simulation.Request(u.rng.IntN(u.simulation.Controllers()), method, path, body, func(status int, raw []byte) {
		var v jobView
		_ = json.Unmarshal(raw, &v)
		then(status, v.State)
	})
}

// isAccepted reports whether the job's submission was accepted.
func (u *testUser) isAccepted() bool { return u.status == 200 || u.status == 201 }

// submit submits the job, again every second until it is accepted, and then polls it. If a predecessor is not
// accepted yet, the submission starts once it is.
func (u *testUser) submit() {
	if u.awaitsPredecessor() {
		return
	}
	u.simulation.RecordSubmission(u.spec)
	body, _ := json.Marshal(u.spec)
	var post func()
	post = func() {
		u.request("POST", "/v2/runs", body, func(status int, _ string) {
			if u.status = status; u.isAccepted() {
				u.history = AnswerHistory{ID: u.spec.ID, Tasks: u.spec.Tasks}
				u.callAccepted()
				u.poll()
				return
			}
			u.simulation.After(time.Second, post)
		})
	}
	post()
}

// cancel requests the job's cancellation, again every second until a controller accepts the request.
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

// poll queries the job every 0.5 to 2 s until four final answers have been read.
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

// drawJob draws a job of any kind that fits the machines and teams of a chaos run.
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

// watchActingLeaders checks every 20 ms that at most one controller considers itself the acting leader.
func (sim *Simulation) watchActingLeaders() {
	if leaders := sim.ActingLeaders(); len(leaders) > 1 {
		sim.ReportViolation("controllers %v all act as the leader, want at most one", leaders)
	}
	sim.After(20*time.Millisecond, sim.watchActingLeaders)
}

// chaosPools are the operators' settings of chaos runs.
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

// readChaosPools reads the licence pool and the archive settings of chaos runs into a controller's settings.
func readChaosPools(settings *config.Settings) error {
	return settings.ParseOperator("o.hcl", []byte(chaosPools))
}

// chaosFault is a random fault of a chaos run. The controller and the duration matter only to some kinds.
type chaosFault struct {
	controller int
	duration   time.Duration
	kind       int // 0 to chaosFaultKinds-1, see injectChaosFault
}

// chaosFaultKinds is the number of kinds that injectChaosFault distinguishes.
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

// scheduleChaosFaults draws and schedules faults, one every few seconds until an end.
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

// scheduleChaosUsers draws jobs of all kinds and the times of their submissions until an end. About every sixth job
// is cancelled.
func (sim *Simulation) scheduleChaosUsers(rng *rand.Rand, count int, end time.Duration) []*testUser {
	users := make([]*testUser, 0, count)
	for i := range count {
		user := &testUser{simulation: sim, rng: rng, spec: drawJob(rng, i+1)}
		users = append(users, user)
		at := time.Duration(rng.Int64N(int64(end)))
		user.submittedAt = at
		sim.After(at, user.submit)
		if rng.IntN(6) == 0 {
			sim.After(at+time.Duration(rng.IntN(20000))*time.Millisecond, user.cancel)
		}
	}
	return users
}

// advanceUntilOver advances time in steps until every user has read its job's final state four times, or a limit has
// passed.
func (sim *Simulation) advanceUntilOver(users []*testUser, limit, step time.Duration) {
	isUnfinished := func(user *testUser) bool { return len(user.finalStates) < 4 }
	for end := sim.Now() + limit; sim.Now() < end && slices.ContainsFunc(users, isUnfinished); {
		sim.Advance(step)
	}
}

// runChaos simulates a period in which machines, controllers, the state service, the cloud and the network fail at
// random, several at once. It then ends all faults, waits for all jobs, and returns the simulation and its users.
func runChaos(t *testing.T, seed uint64, jobCount int, faulty time.Duration) (*Simulation, []*testUser) {
	t.Helper()
	return runChaosWith(t, seed, jobCount, faulty, func([]*testUser) {})
}

// runChaosWith is runChaos with a function that may change the users before the simulation starts.
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
	// From its next start on, one controller's wall clock is an hour fast, an hour slow, or right.
	sim.MoveWallClock(rng.IntN(sim.Controllers()), time.Duration(rng.IntN(3)-1)*time.Hour)
	sim.Advance(faulty + 25*time.Second)
	sim.SetNetwork(2*time.Millisecond, 0, 0, 0)
	sim.startControllers()
	sim.advanceUntilOver(users, 10*time.Minute, 5*time.Second)
	return sim, users
}

// TestChaos runs the real code of all controllers in virtual time through random overlapping faults. No rule of the
// protocol may break, every accepted job must get one final answer that never changes, and every job must end after
// the faults.
func TestChaos(t *testing.T) {
	seeds := 12
	if os.Getenv("HAREWALK_LONG") != "" {
		seeds = 400
	}
	var total Stats
	ends := map[string]int{}
	for seed := range seeds {
		sim, users := runChaos(t, uint64(seed+1), 60, 2*time.Minute)
		for _, b := range sim.Violations() {
			t.Errorf("seed %d: %s", seed+1, b)
		}
		for _, user := range users {
			switch {
			case len(user.finalStates) == 0:
				t.Errorf("seed %d: %s has no final state (last status of its submission: %d)", seed+1, user.spec.ID, user.status)
			case user.finalStates[0] == "cancelled" && !user.cancelRequested:
				t.Errorf("seed %d: %s is cancelled without a cancellation request", seed+1, user.spec.ID)
			default:
				ends[user.finalStates[0]]++
			}
			for _, s := range user.finalStates {
				if s != user.finalStates[0] {
					t.Errorf("seed %d: %s: final states %v, want all equal", seed+1, user.spec.ID, user.finalStates)
				}
			}
		}
		s := sim.Stats()
		total.TaskStarts += s.TaskStarts
		total.TasksCrashed += s.TasksCrashed
		total.MachinesKilled += s.MachinesKilled
		total.MachinesHung += s.MachinesHung
		total.ControllersKilled += s.ControllersKilled
		total.ControllersFrozen += s.ControllersFrozen
		total.ControllersDrained += s.ControllersDrained
		total.CommandsDelayed += s.CommandsDelayed
		if t.Failed() {
			break
		}
	}
	t.Logf("%d seeds: %v; %+v", seeds, ends, total)
	if total.ControllersKilled == 0 || total.ControllersFrozen == 0 || total.ControllersDrained == 0 ||
		total.MachinesHung == 0 ||
		total.MachinesKilled == 0 ||
		ends["cancelled"] == 0 {
		t.Error("a kind of fault or a cancellation never occurred, see the counts above")
	}
}

// TestSameSeedGivesSameRun checks that two runs with the same seed give the same statistics, start times and final
// states.
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
		t.Fatalf("two runs of the same seed differ:\n%s\n%s", a, b)
	}
}

// reportedEvent is an event as the API returns it.
type reportedEvent struct {
	Event, Note string
	Job         string `json:"name_id"`
	Task        *int
	Attempt     uint64
}

// eventReader reads a leader's events, page by page.
type eventReader struct {
	t      *testing.T
	sim    *Simulation
	since  string // the token of the next page
	events []reportedEvent
}

// readAll reads the events since the last call, until no page is left.
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
				r.t.Fatalf("GET /v2/events: status %d, want 200; decoding error %v; body %s", status, err, raw)
			}
			r.events = append(r.events, page.Events...)
			r.since = fmt.Sprintf("%d-%d", page.Term, page.Next)
			more = page.More
		})
		r.sim.Advance(200 * time.Millisecond)
	}
}

// taskEventsBefore lists, for each event of a task, the events that may directly precede it. An empty string means
// that the event may be the task's first.
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

// eventOrder is a state machine of jobs and their tasks that checks the order of their events.
type eventOrder struct {
	t         *testing.T
	state     map[string]string // last event of each job, by job ID, and of each task, by "job/task number"
	doneTasks map[string]int    // number of tasks that are done, by job
	notes     map[string]int    // number of task events by note
	kinds     map[string]int    // number of events by event name
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

// add checks the next event and counts it.
func (o *eventOrder) add(e reportedEvent) {
	o.t.Helper()
	o.kinds[e.Event]++
	switch e.Event {
	case "term", "machine", "zone", "rollout":
	case "job_accepted":
		if o.state[e.Job] != "" {
			o.t.Errorf("%s: job_accepted is reported twice", e.Job)
		}
		o.state[e.Job] = "accepted"
	case "job_done", "job_cancelled":
		if o.state[e.Job] != "accepted" {
			o.t.Errorf("%s: the job ends in state %q, want \"accepted\"", e.Job, o.state[e.Job])
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
		o.t.Errorf("%s: event %s while the job is in state %q, want \"accepted\"", name, e.Event, o.state[e.Job])
	}
	was := o.state[name]
	inOrder := was != "task_done" && slices.Contains(taskEventsBefore[e.Event], was)
	// For the other tasks of a gang, and for a task that is done on another machine, only the end is reported.
	onlyItsEnd := e.Event == "task_done" && was != "task_done"
	if !inOrder && !onlyItsEnd {
		o.t.Errorf("%s: event %s directly after %q, which is out of order", name, e.Event, was)
	}
	o.state[name] = e.Event
	if e.Event == "task_done" {
		o.doneTasks[e.Job]++
	}
	o.notes[e.Note]++
}

// checkUser checks that a user's job is done, by its answers and by its events.
func (o *eventOrder) checkUser(user *testUser) {
	o.t.Helper()
	job, tasks := user.spec.ID, user.spec.Tasks
	answeredDone := len(user.finalStates) > 0 && user.finalStates[0] == "done"
	if !answeredDone || o.doneTasks[job] != tasks || o.state[job] != "job_done" {
		o.t.Errorf(
			"%s: answers %v, want done; events report %d of %d tasks done and the job as %q, want job_done",
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

// TestEventsMatchWhatHappened checks the order of events against a state machine while tasks crash and machines are
// killed or hang. Each attempt of a task must be sent, may run, and must have one end, in this order. A job's
// acceptance must come first and its end last, and every task of a job must be reported done once.
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
		t.Fatalf("%d events, want the first to be \"term\": %+v", len(reader.events), reader.events)
	}
	order := newEventOrder(t)
	for _, e := range reader.events {
		order.add(e)
	}
	for _, user := range users {
		order.checkUser(user)
	}
	if order.notes["error"] == 0 || order.kinds["task_lost"] == 0 || order.kinds["machine"] == 0 {
		t.Errorf("want events task_lost and machine and a note error; got events %v, notes %v", order.kinds, order.notes)
	}
	reportViolations(t, sim)
}

// TestRequestsAfterAuthorityEndedAreRedirected freezes a leader for longer than its lease, so that its monotonic clock
// has jumped when it resumes. Requests of a worker, a user and an operator reach it before it has done anything else.
// It must act on none of them, nor forward them to the present leader. Users and operators must get a retry or the
// leader's address.
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
	frozen, _ := sim.Leader()
	sim.FreezeController(frozen, 12*time.Second)
	statuses := map[string][]int{}
	record := func(request string) func(int, []byte) {
		return func(status int, _ []byte) { statuses[request] = append(statuses[request], status) }
	}
	// These requests wait in the frozen leader's sockets and are the first that it reads.
	user.cancelRequested = true
	sim.After(11*time.Second+900*time.Millisecond, func() {
		sim.Request(frozen, "GET", "/v2/runs", nil, record("list"))
		sim.Request(frozen, "GET", "/v2/runs/req-000001/why", nil, record("why"))
		sim.Request(frozen, "POST", "/v2/runs/req-000001/abort", []byte("{}"), record("abort"))
		sim.Request(frozen, "GET", "/v2/runs/req-000001", nil, record("get"))
		machine := sim.cloud.machineByName[sim.BusiestMachine()]
		body, _ := json.Marshal(sim.heartbeat(sim.now(), machine))
		sim.Request(frozen, "POST", "/checkin", body, record("report"))
	})
	sim.Advance(13 * time.Second)
	for request, allowed := range map[string][]int{
		"list":   {421, 503},
		"why":    {421, 503},
		"report": {421, 503},
		"get":    {200, 503},
		"abort":  {200, 503},
	} {
		if len(statuses[request]) != 1 || !slices.Contains(allowed, statuses[request][0]) {
			t.Errorf(
				"%s: statuses %v, want one: 503, or 200 for get and abort, 421 for list, why and report",
				request,
				statuses[request],
			)
		}
	}
	sim.Advance(2 * time.Second)
	leader, _ := sim.Leader()
	if leader < 0 || leader == frozen {
		t.Fatalf("controller %d leads, want another one than the frozen leader", leader)
	}
	sim.Request(frozen, "GET", "/v2/runs", nil, func(status int, raw []byte) {
		if status != 421 || !strings.Contains(string(raw), sim.UserAddr(leader)) {
			t.Errorf("GET /v2/runs at the former leader: got %d %s, want 421 with the leader's address", status, raw)
		}
	})
	sim.Advance(time.Second)
	reportViolations(t, sim)
}

// TestFullBuffersShedLoad sends far more submissions at once to one controller than its buffers hold. Each must be
// answered within seconds, the rejected ones with a retry status, and all must be accepted in the end.
func TestFullBuffersShedLoad(t *testing.T) {
	sim, err := NewVirtualTime(
		Config{Seed: 6, MaxMachines: 20, Teams: []config.Team{{Name: "red"}}, TickInterval: 50 * time.Millisecond},
		nil,
	)
	if err != nil {
		t.Fatal(err)
	}
	sim.Advance(3 * time.Second)
	n, rejected, slowest, accepted := 3000, 0, time.Duration(0), 0
	for i := range n {
		spec := arraySpec(fmt.Sprintf("req-%06d", i+1), "c", "red")
		spec.ImageGB = 0.1
		spec.EstimateS = 1
		spec.Spot = false
		body, _ := json.Marshal(spec)
		sim.RecordSubmission(spec)
		var post func()
		post = func() {
			at := sim.Now()
			sim.Request(0, "POST", "/v2/runs", body, func(status int, _ []byte) {
				slowest = max(slowest, sim.Now()-at)
				switch status {
				case 200, 201:
					accepted++
				case 429, 503:
					rejected++
					sim.After(time.Duration(1000+i%700)*time.Millisecond, post)
				default:
					t.Errorf("%s: status %d, want 200, 201, 429 or 503", spec.ID, status)
				}
			})
		}
		post()
	}
	sim.Advance(3 * time.Minute)
	if accepted != n || rejected < n/2 || slowest > 3*time.Second {
		t.Fatalf("%d of %d jobs accepted, want all; %d rejections, want half as many; slowest answer %v, want 3s at most",
			accepted, n, rejected, slowest)
	}
	reportViolations(t, sim)
}
