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

// digestScenario is a simulation that is played for its digest: a cluster under load, a script of faults, and more.
type digestScenario struct {
	name    string
	cluster func(t *testing.T) *testCluster
	load    time.Duration // jobs arrive for so long
	length  time.Duration
	script  string
	begin   func(cluster *testCluster) // plans what no script can say; nil: nothing
	reached func(cluster *testCluster) // checks that the scenario led to what it is for; nil: nothing to check
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

// rollingCluster makes clusters of controllers that know levels up to one, with operators' words about the rollout.
func rollingCluster(seed uint64, controllers int, maxLevel rollout.Level, words string) func(t *testing.T) *testCluster {
	return func(t *testing.T) *testCluster { return newTestCluster(t, seed, controllers, maxLevel, words) }
}

// wideCluster makes clusters with many machines in each zone.
func wideCluster(seed uint64, controllers int) func(t *testing.T) *testCluster {
	return func(t *testing.T) *testCluster { return newWideCluster(t, seed, controllers) }
}

// digestScenarios are played by TestBehaviourDigests.
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
		cluster.t.Errorf("level %d", cluster.ClusterLevel())
	}
}

// submitService submits a service whose replicas stand in different zones.
func submitService(cluster *testCluster) {
	spec := spreadServiceSpec()
	cluster.newUser(spec).submit()
}

// rolloutCommandAt gives the leader an operator's word about the rollout at a time.
func (r *testCluster) rolloutCommandAt(at time.Duration, op string) {
	r.requestLeaderAt(at, "POST", "/v2/rollout", fmt.Sprintf(`{"op":%q,"by":"test"}`, op))
}

// requestLeaderAt asks whoever leads at a time; nobody if no controller leads.
func (r *testCluster) requestLeaderAt(at time.Duration, method, path, body string) {
	r.After(at, func() {
		if l, _ := r.Leader(); l >= 0 {
			r.Request(l, method, path, []byte(body), func(int, []byte) {})
		}
	})
}

// finishAfterRolling gives the word to finish again and again, until the level has risen.
func finishAfterRolling(cluster *testCluster) {
	for at := 30 * time.Second; at < 80*time.Second; at += 5 * time.Second {
		cluster.rolloutCommandAt(at, "finish")
	}
}

// callLeader asks the leader what has no route for Ask; the answer comes at once, and a frozen leader gives none.
func (r *testCluster) callLeader(q api.LeaderRequest, then func(status int, body []byte)) {
	l, _ := r.Leader()
	if l < 0 || !r.ControllerRuns(l) {
		then(0, nil)
		return
	}
	controller := r.virtual.controllers[l]
	asked := httpRequest{
		sender: valueOr(q.Bearer, senderUser),
		method: string(q.Verb),
		path:   string(q.Resource) + "/" + q.Name,
		body:   q.Body,
	}
	r.virtual.recordMessage(requestTo(controller.settings.PublicAddr, asked))
	controller.whileRunning(func() {
		controller.process.Call(q, func(status int, body []byte) {
			r.virtual.recordMessage(answerFrom(controller.settings.PublicAddr, asked, status, body))
			then(status, body)
		})
	})()
}

// changeLicences changes how many units the cluster may use, and then how many are used outside the cluster.
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

// queryArchivedJobs asks for jobs long after their end, and submits and cancels them once more.
func queryArchivedJobs(cluster *testCluster) {
	again := func() {
		for i, user := range cluster.users {
			path, body := "/v2/runs", []byte(nil)
			if body, _ = json.Marshal(user.spec); i%2 == 0 {
				path, body = "/v2/runs/"+user.spec.ID+"/abort", []byte("{}")
			}
			cluster.Request(i%cluster.Controllers(), "GET", "/v2/runs/"+user.spec.ID, nil, func(int, []byte) {})
			cluster.Request(i%cluster.Controllers(), "POST", path, body, func(int, []byte) {})
		}
	}
	cluster.After(45*time.Second, again)
	cluster.After(65*time.Second, again)
	cluster.requestLeaderAt(70*time.Second, "GET", "/v2/runs", "")
	cluster.requestLeaderAt(71*time.Second, "GET", "/v2/events", "")
}

// drainByOperator drains machines and a controller, and takes it back.
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

// storedStateCluster makes clusters that start on what an earlier release has stored.
func storedStateCluster(seed uint64) func(t *testing.T) *testCluster {
	return func(t *testing.T) *testCluster {
		all := storedBefore(t)
		for _, key := range []string{"h/c/leader", "h/c/n/node-0", "h/c/n/node-1", "h/c/n/node-2", drain.DocumentKey} {
			delete(all, key) // of leases that have expired, and of machines that this simulation doesn't have
		}
		cluster := clusterWithSettings(
			t,
			Config{Seed: seed, MaxMachines: 14, InitialKeys: all},
			"rollout { soak_s = 5 }\n",
		)
		for key, raw := range all {
			var rec jobs.Record
			if strings.HasPrefix(key, jobs.Prefix) && json.Unmarshal(raw, &rec) == nil && rec.Spec != nil {
				cluster.AddJob((*jobs.Spec)(rec.Spec))
			}
		}
		return cluster
	}
}

// clusterWithSettings is a cluster with operators' settings beside those of licences and the archive.
func clusterWithSettings(t *testing.T, cfg Config, settings string) *testCluster {
	t.Helper()
	cfg.LicencePools = map[string]int{"transcribe": 12}
	cfg.TickInterval = 20 * time.Millisecond
	cfg.Teams = []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}}
	sim, err := NewVirtualTime(cfg, func(s *config.Settings) error {
		return s.ReadOperator("o.hcl", []byte(chaosPools+settings))
	})
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(cfg.Seed, 41))}
	cluster.watchInvariants()
	return cluster
}

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

// agentEvery is the time between two reports of an agent.
const agentEvery = 300 * time.Millisecond

// openSessions opens sessions that are used, left alone, reclaimed and attached again, and closed at last.
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
		cluster.AddJob(spec)
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
		cluster.t.Error("no session was reclaimed and resumed")
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

// open asks for the session until it is opened, and starts its agent.
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

// useSession is ten inputs, a second apart, and a cell at the end.
func (s *testSession) useSession() {
	for i := range 10 {
		s.r.After(time.Duration(i)*time.Second, func() { s.Input() })
	}
	s.r.After(10*time.Second, func() { s.RunCell(3 * time.Second) })
}

// runAgentInVirtualTime is the agent: it reports as long as a process of the session runs.
func (s *testSession) runAgentInVirtualTime() {
	s.r.After(agentEvery, s.runAgentInVirtualTime)
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
		var o sessions.HeartbeatResponse
		if status == 200 && json.Unmarshal(body, &o) == nil {
			s.applyOrder(s.r.Now(), task, o)
		}
	})
}

// runningTask is the session's task that runs, nil if there is none.
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
