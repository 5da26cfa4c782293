package simulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/drain"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/sessions"
)

// digestScenario is a simulation whose behaviour is recorded as a digest: a cluster, its load and a script of faults.
type digestScenario struct {
	name    string
	cluster func(t *testing.T) *testCluster
	load    time.Duration // how long jobs are submitted; 0 for no jobs
	length  time.Duration // simulated time of the whole scenario
	script  string
	begin   func(cluster *testCluster) // schedules events that scripts don't support; may be nil
	reached func(cluster *testCluster) // checks that the scenario reached its purpose; may be nil
}

func (s digestScenario) digest(t *testing.T) behaviourDigest {
	t.Helper()
	script, err := ParseScript(strings.NewReader(s.script))
	if err != nil {
		t.Fatal(err)
	}
	cluster := s.cluster(t)
	recorder := recordBehaviour(t, cluster.Simulation, traceFile(t, s.name))
	cluster.Play(script, func(Fault) {})
	if s.begin != nil {
		s.begin(cluster)
	}
	if s.load > 0 {
		cluster.submitJobs(s.load)
	}
	cluster.Advance(s.length)
	if s.reached != nil {
		s.reached(cluster)
	}
	reportViolations(t, cluster.Simulation)
	d, err := recorder.end()
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// rollingCluster returns a function that creates a cluster of controllers that support levels up to maxLevel, with
// operators' rollout settings.
func rollingCluster(
	seed uint64,
	controllers int,
	maxLevel rollout.Level,
	settings string,
) func(t *testing.T) *testCluster {
	return func(t *testing.T) *testCluster { return newTestCluster(t, seed, controllers, maxLevel, settings) }
}

// wideCluster returns a function that creates a cluster with many machines in each zone.
func wideCluster(seed uint64, controllers int) func(t *testing.T) *testCluster {
	return func(t *testing.T) *testCluster { return newWideCluster(t, seed, controllers) }
}

// digestScenarios are the scenarios of TestBehaviourDigests. Their names are the keys of digestsFile.
var digestScenarios = []digestScenario{
	{
		name:    "calm load",
		cluster: rollingCluster(501, 3, rollout.Newest, ""),
		load:    50 * time.Second,
		length:  75 * time.Second,
	},
	{
		name:    "calm load on five controllers",
		cluster: wideCluster(502, 5),
		load:    30 * time.Second,
		length:  60 * time.Second,
		begin:   func(cluster *testCluster) { cluster.submitSmallJobs(24, 15) },
	},
	{
		name:    "former level",
		cluster: rollingCluster(503, 3, rollout.Base, ""),
		load:    30 * time.Second,
		length:  50 * time.Second,
	},
	{
		name:    "takeovers",
		cluster: rollingCluster(504, 3, rollout.Newest, ""),
		load:    60 * time.Second,
		length:  90 * time.Second,
		script:  "12s kill-leader 2s\n30s freeze-leader 9s\n50s drain-leader 1s\n65s cut-off-leader 6s\n",
	},
	{
		name:    "lead passes again and again",
		cluster: rollingCluster(505, 5, rollout.Newest, ""),
		load:    40 * time.Second,
		length:  75 * time.Second,
		script:  "10s flip-leaders 2s\n55s unheard-leader 8s\n",
	},
	{
		name:    "all controllers away",
		cluster: rollingCluster(506, 3, rollout.Newest, ""),
		load:    30 * time.Second,
		length:  70 * time.Second,
		script:  "15s kill-controllers 3s\n35s kill-controllers 12s\n",
	},
	{
		name:    "machines fail",
		cluster: rollingCluster(507, 3, rollout.Newest, ""),
		load:    50 * time.Second,
		length:  80 * time.Second,
		script: "10s crash-task\n12s kill-machine\n15s hang 4s\n20s hang 12s\n25s delay 3s\n" +
			"30s notice 5s\n36s restart-machine 300ms\n40s crash-task\n44s kill-machine\n",
	},
	{
		name:    "machines half reachable",
		cluster: rollingCluster(508, 3, rollout.Newest, ""),
		load:    50 * time.Second,
		length:  80 * time.Second,
		script: "8s deaf-machines c 20s\n10s deaf-machine 10s\n20s mute-machine 10s\n30s shut-machine 8s\n" +
			"40s shut-machines b 7s\n",
	},
	{
		name:    "state outages",
		cluster: rollingCluster(509, 3, rollout.Newest, ""),
		load:    60 * time.Second,
		length:  90 * time.Second,
		script:  "12s outage 4s\n25s refuse-leader 8s\n40s slow-state 6s\n50s stick-leader 6s\n60s outage 15s\n",
	},
	{
		name:    "state answers lost and writes late",
		cluster: rollingCluster(510, 3, rollout.Newest, ""),
		load:    50 * time.Second,
		length:  80 * time.Second,
		script:  "10s lost-answers 8s\n22s late-writes 8s\n35s lose-positions 1s\n40s small-limits 12s\n",
	},
	{
		name:    "cloud outage and late boots",
		cluster: wideCluster(511, 3),
		load:    50 * time.Second,
		length:  90 * time.Second,
		script:  "2s cloud-outage 8s\n12s late-boots 15s\n30s no-boots 10s\n42s fast-boots 10s\n",
	},
	{
		name:    "zone lost",
		cluster: wideCluster(512, 5),
		load:    40 * time.Second,
		length:  85 * time.Second,
		script:  "30s cut-zone a 15s\n60s deaf-zone b 8s\n",
		begin:   func(cluster *testCluster) { cluster.submitSmallJobs(24, 15) },
	},
	{
		name:    "zone held and flapping",
		cluster: wideCluster(513, 3),
		load:    40 * time.Second,
		length:  85 * time.Second,
		script:  "28s hold-zone b 10s\n45s flap-zone c 2s\n68s refuse-zone a 6s\n",
		begin:   func(cluster *testCluster) { cluster.submitSmallJobs(24, 15) },
	},
	{
		name:    "zone loses power",
		cluster: wideCluster(514, 3),
		load:    40 * time.Second,
		length:  80 * time.Second,
		script:  "30s power-zone a 10s\n",
		begin:   func(cluster *testCluster) { cluster.submitSmallJobs(24, 15); submitService(cluster) },
	},
	{
		name:    "rollout with a rise",
		cluster: rollingCluster(515, 3, rollout.Base, "soak_s = 5"),
		load:    60 * time.Second,
		length:  90 * time.Second,
		script:  "20s roll 1s\n",
		reached: checkLevelRose,
	},
	{
		name:    "rollout that operators finish",
		cluster: rollingCluster(516, 5, rollout.Base, `finish = "operator"`),
		load:    70 * time.Second,
		length:  100 * time.Second,
		script:  "10s roll 1s\n",
		begin:   func(cluster *testCluster) { finishAfterRolling(cluster) },
		reached: checkLevelRose,
	},
	{
		name:    "rollout held, aborted and rolled back",
		cluster: rollingCluster(517, 3, rollout.Base, "soak_s = 4"),
		load:    70 * time.Second,
		length:  100 * time.Second,
		script:  "10s roll 1s\n50s roll-back 1s\n",
		begin: func(cluster *testCluster) {
			cluster.rolloutCommandAt(14*time.Second, "hold")
			cluster.rolloutCommandAt(20*time.Second, "free")
			cluster.rolloutCommandAt(24*time.Second, "abort")
		},
	},
	{
		name:    "rollout among faults",
		cluster: rollingCluster(518, 5, rollout.Base, "soak_s = 2"),
		load:    70 * time.Second,
		length:  110 * time.Second,
		script:  "10s roll 1s\n18s kill-leader 2s\n30s outage 3s\n40s crash-task\n",
		reached: checkLevelRose,
	},
	{
		name:    "licences",
		cluster: rollingCluster(519, 3, rollout.Newest, ""),
		load:    50 * time.Second,
		length:  90 * time.Second,
		script:  "25s licence-down 6s\n40s kill-leader 1s\n",
		begin:   changeLicences,
	},
	{
		name:    "interactive sessions",
		cluster: sessionCluster(520),
		length:  80 * time.Second,
		script:  "40s kill-leader 1s\n",
		begin:   openSessions,
		reached: checkSessionsResumed,
	},
	{
		name:    "archived jobs are asked for",
		cluster: rollingCluster(521, 3, rollout.Newest, ""),
		load:    25 * time.Second,
		length:  80 * time.Second,
		script:  "50s kill-leader 1s\n",
		begin:   queryArchivedJobs,
	},
	{
		name:    "operators drain",
		cluster: rollingCluster(522, 3, rollout.Newest, ""),
		load:    50 * time.Second,
		length:  80 * time.Second,
		begin:   drainByOperator,
	},
	{
		name:    "cancellations and odd requests",
		cluster: rollingCluster(523, 3, rollout.Newest, ""),
		load:    50 * time.Second,
		length:  80 * time.Second,
		script: "8s close-looks 15s\n12s odd-requests 15s\n20s cancel-now 5 2s\n" +
			"30s cancel-at-end 15s\n40s outage-at-cancel 2s\n",
	},
	{
		name:    "late and copied messages",
		cluster: rollingCluster(524, 3, rollout.Newest, ""),
		load:    50 * time.Second,
		length:  90 * time.Second,
		script: "10s copies 20s\n15s keep-copies 30s\n25s kill-leader 1s\n" +
			"35s hold-orders 8s\n45s hold-answers 8s\n55s slow-links 8s\n",
		begin: func(cluster *testCluster) { cluster.SetNetwork(8*time.Millisecond, 0.01, 0.01, 5*time.Second) },
	},
	{
		name:    "stored by an earlier release",
		cluster: storedStateCluster(525),
		length:  60 * time.Second,
		reached: checkLevelRose,
	},
}

func checkLevelRose(cluster *testCluster) {
	if cluster.ClusterLevel() != rollout.Newest {
		cluster.t.Errorf("cluster level %d, want rollout.Newest", cluster.ClusterLevel())
	}
}

// submitService submits a service whose replicas stand in different zones.
func submitService(cluster *testCluster) {
	spec := spreadServiceSpec()
	cluster.newUser(spec).submit()
}

// rolloutCommandAt sends the leader an operator's command for the rollout at a time.
func (r *testCluster) rolloutCommandAt(at time.Duration, op string) {
	r.requestLeaderAt(at, "POST", "/v2/rollout", fmt.Sprintf(`{"op":%q,"by":"test"}`, op))
}

// requestLeaderAt sends a request to the controller that leads after a delay, and none if no controller leads.
func (r *testCluster) requestLeaderAt(at time.Duration, method, path, body string) {
	r.After(at, func() {
		if leader, _ := r.Leader(); leader >= 0 {
			r.Request(leader, method, path, []byte(body), func(int, []byte) {})
		}
	})
}

// finishAfterRolling sends the command to finish the rollout every 5 s from 30 s to 75 s.
func finishAfterRolling(cluster *testCluster) {
	for at := 30 * time.Second; at < 80*time.Second; at += 5 * time.Second {
		cluster.rolloutCommandAt(at, "finish")
	}
}

// callLeader calls the leader directly with a request that has no HTTP route in the simulation. The answer comes
// without delay. A frozen leader doesn't answer until it runs again. Without a running leader the status is 0.
func (r *testCluster) callLeader(request api.LeaderRequest, then func(status int, body []byte)) {
	leader, _ := r.Leader()
	if leader < 0 || !r.ControllerRuns(leader) {
		then(0, nil)
		return
	}
	controller := r.virtual.controllers[leader]
	httpReq := httpRequest{
		sender: valueOr(request.Bearer, senderUser),
		method: string(request.Verb),
		path:   string(request.Resource) + "/" + request.Name,
		body:   request.Body,
	}
	r.virtual.recordMessage(requestTo(controller.settings.PublicAddr, httpReq))
	controller.whileRunning(func() {
		controller.process.HandleLeaderRequest(request, func(status int, body []byte) {
			r.virtual.recordMessage(answerFrom(controller.settings.PublicAddr, httpReq, status, body))
			then(status, body)
		})
	})()
}

// changeLicences changes how many licence units the cluster may use and how many are used outside the cluster.
func changeLicences(cluster *testCluster) {
	cluster.After(45*time.Second, func() { cluster.Licences.SetForeignUse("transcribe", 3) })
	cluster.After(50*time.Second, func() { cluster.Licences.SetForeignUse("transcribe", 0) })
	cluster.licenceCallAt(20*time.Second, api.VerbSet, `{"count":4,"lower":"stop","by":"test"}`)
	cluster.licenceCallAt(55*time.Second, api.VerbSet, `{"count":9,"by":"test"}`)
	cluster.licenceCallAt(60*time.Second, api.VerbShow, "")
}

func (r *testCluster) licenceCallAt(at time.Duration, verb api.LeaderVerb, body string) {
	r.After(at, func() {
		request := api.LeaderRequest{
			Resource: api.ResourceLicences,
			Name:     "transcribe",
			Verb:     verb,
			Body:     []byte(body),
		}
		r.callLeader(request, func(int, []byte) {})
	})
}

// queryArchivedJobs queries jobs long after their end, and submits or cancels each of them again.
func queryArchivedJobs(cluster *testCluster) {
	repeat := func() {
		for i, user := range cluster.users {
			path, body := "/v2/runs", []byte(nil)
			if body, _ = json.Marshal(user.spec); i%2 == 0 {
				path, body = "/v2/runs/"+user.spec.ID+"/abort", []byte("{}")
			}
			cluster.Request(i%cluster.Controllers(), "GET", "/v2/runs/"+user.spec.ID, nil, func(int, []byte) {})
			cluster.Request(i%cluster.Controllers(), "POST", path, body, func(int, []byte) {})
		}
	}
	cluster.After(45*time.Second, repeat)
	cluster.After(65*time.Second, repeat)
	cluster.requestLeaderAt(70*time.Second, "GET", "/v2/runs", "")
	cluster.requestLeaderAt(71*time.Second, "GET", "/v2/events", "")
}

// drainByOperator drains two machines, and drains and undrains two controllers.
func drainByOperator(cluster *testCluster) {
	for i, c := range []drain.Command{
		{Op: "drain", Kind: "machine"},
		{Op: "drain", Kind: "machine", Stop: true},
		{Op: "drain", Kind: "node", Name: "node-1"},
		{Op: "undrain", Kind: "node", Name: "node-1"},
		{Op: "drain", Kind: "node", Name: "node-0"},
		{Op: "undrain", Kind: "node", Name: "node-0"},
	} {
		cluster.After(time.Duration(12+8*i)*time.Second, func() {
			if c.Kind == "machine" {
				c.Name = cluster.BusiestMachine()
			}
			c.By = "test"
			body, _ := json.Marshal(c)
			cluster.requestLeaderAt(0, "POST", "/v2/admin", string(body))
		})
	}
	cluster.requestLeaderAt(30*time.Second, "GET", "/v2/admin", "")
	cluster.requestLeaderAt(31*time.Second, "GET", "/v2/zones", "")
}

// storedStateCluster returns a function that creates a cluster on the stored keys of an earlier release.
func storedStateCluster(seed uint64) func(t *testing.T) *testCluster {
	return func(t *testing.T) *testCluster {
		stored := storedBefore(t)
		for _, key := range []string{"h/c/leader", "h/c/n/node-0", "h/c/n/node-1", "h/c/n/node-2", drain.DocumentKey} {
			delete(stored, key) // records of expired leases, or of machines that this simulation doesn't have
		}
		cluster := clusterWithSettings(
			t,
			Config{Seed: seed, MaxMachines: 14, InitialKeys: stored},
			"rollout { soak_s = 5 }\n",
		)
		for key, raw := range stored {
			var record jobs.Record
			if strings.HasPrefix(key, jobs.RecordPrefix) && json.Unmarshal(raw, &record) == nil && record.Spec != nil {
				cluster.RecordSubmission((*jobs.Spec)(record.Spec))
			}
		}
		return cluster
	}
}

// clusterWithSettings starts a cluster with further operators' settings besides those of licences and the archive.
func clusterWithSettings(t *testing.T, cfg Config, settings string) *testCluster {
	t.Helper()
	cfg.LicencePools = map[string]int{"transcribe": 12}
	cfg.TickInterval = 20 * time.Millisecond
	cfg.Teams = []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}}
	sim, err := NewVirtualTime(cfg, func(s *config.Settings) error {
		return s.ParseOperator("o.hcl", []byte(chaosPools+settings))
	})
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(cfg.Seed, 41))}
	cluster.watchInvariants()
	return cluster
}

// sessionPolicy are the session settings of sessionCluster.
const sessionPolicy = `sessions {
  warn_s   = 1
  save_s   = 2
  silent_s = 4
  per_user = 6
  policy "default" {
    idle     = "input_s > 4 && cpu < 0.5"
    limit_s  = 3
    wanted_s = 0
  }
}
`

// sessionCluster returns a function that creates a cluster with short timeouts of interactive sessions.
func sessionCluster(seed uint64) func(t *testing.T) *testCluster {
	return func(t *testing.T) *testCluster {
		return clusterWithSettings(t, Config{Seed: seed, MaxMachines: 3}, sessionPolicy)
	}
}

// testSession is an interactive session in simulated time, with its agent.
type testSession struct {
	*InteractiveSession
	r   *testCluster
	seq uint64
}

// testAgentInterval is the time between two reports of a session's agent.
const testAgentInterval = 300 * time.Millisecond

// openSessions schedules sessions that are opened, used, left idle, reclaimed, attached again and closed.
func openSessions(cluster *testCluster) {
	for i := range 5 {
		spec := &jobs.Spec{
			ID:       fmt.Sprintf("req-%06d", 900+i),
			Class:    "notebook",
			Team:     "red",
			Kind:     jobs.Service,
			Priority: "standard",
			Tasks:    1,
			CPUs:     4,
			MemoryGB: 1,
			Image:    "n",
			ImageGB:  1,
		}
		cluster.RecordSubmission(spec)
		session := &testSession{
			r: cluster,
			InteractiveSession: &InteractiveSession{
				Spec:       spec,
				User:       fmt.Sprint("u", i%2),
				simulation: cluster.Simulation,
				userToken:  "user-" + spec.ID,
				agentToken: "agent-" + spec.ID,
				savedSteps: map[string]int{},
			},
		}
		cluster.sessions = append(cluster.sessions, session)
		cluster.After(time.Duration(5+2*i)*time.Second, session.open)
		cluster.After(time.Duration(12+4*i)*time.Second, session.useSession)
		cluster.After(
			time.Duration(36+3*i)*time.Second,
			func() { session.call(api.VerbAttach, session.userToken, []byte("{}"), func(int, []byte) {}) },
		)
		cluster.After(
			time.Duration(60+3*i)*time.Second,
			func() { session.call(api.VerbClose, session.userToken, []byte("{}"), func(int, []byte) {}) },
		)
	}
	cluster.After(30*time.Second, func() { cluster.sessions[0].call(api.VerbShow, "", nil, func(int, []byte) {}) })
	cluster.After(31*time.Second, func() { cluster.sessions[0].call(api.VerbExplain, "", nil, func(int, []byte) {}) })
}

func checkSessionsResumed(cluster *testCluster) {
	resumed := 0
	for _, session := range cluster.sessions {
		resumed += session.resumes
	}
	if resumed == 0 {
		cluster.t.Error("0 sessions were reclaimed and resumed, want at least 1")
	}
}

func (s *testSession) call(verb api.LeaderVerb, token string, body []byte, then func(int, []byte)) {
	s.r.callLeader(
		api.LeaderRequest{
			Resource: api.ResourceSessions,
			Name:     s.Spec.ID,
			Verb:     verb,
			Bearer:   token,
			Body:     body,
		},
		then,
	)
}

// open requests the session every second until it is opened, and then starts its agent.
func (s *testSession) open() {
	s.r.callLeader(
		api.LeaderRequest{Resource: api.ResourceSessions, Verb: api.VerbOpen, Body: s.openRequest()},
		func(status int, _ []byte) {
			if status != 200 && status != 201 {
				s.r.After(time.Second, s.open)
				return
			}
			s.runAgentInVirtualTime()
		},
	)
}

// useSession schedules ten inputs, one a second, and then a cell that runs for 3 s.
func (s *testSession) useSession() {
	for i := range 10 {
		s.r.After(time.Duration(i)*time.Second, func() { s.Input() })
	}
	s.r.After(10*time.Second, func() { s.RunCell(3 * time.Second) })
}

// runAgentInVirtualTime simulates the session's agent, which reports while a process of the session runs.
func (s *testSession) runAgentInVirtualTime() {
	s.r.After(testAgentInterval, s.runAgentInVirtualTime)
	task := s.runningTask()
	if task == nil {
		return
	}
	if task.attempt != s.attempt {
		s.resetProcess(s.r.Now(), task.attempt)
	}
	s.seq++
	report := s.report(s.r.Now(), s.seq)
	raw, _ := json.Marshal(report)
	s.call(api.VerbHeartbeat, s.agentToken, raw, func(status int, body []byte) {
		var order sessions.HeartbeatResponse
		if status == 200 && json.Unmarshal(body, &order) == nil {
			s.applyOrder(s.r.Now(), task, order)
		}
	})
}

// runningTask returns the session's running task, or nil.
func (s *testSession) runningTask() *workerTask {
	for _, machine := range s.r.cloud.machines {
		for _, task := range machine.tasks {
			if !machine.dead && task.spec.ID == s.Spec.ID && task.state == taskRunning {
				return task
			}
		}
	}
	return nil
}
