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
	cluster func(t *testing.T) *rolling
	load    time.Duration // jobs arrive for so long
	length  time.Duration
	script  string
	begin   func(r *rolling) // plans what no script can say; nil: nothing
	reached func(r *rolling) // checks that the scenario led to what it is for; nil: nothing to check
}

func (s digestScenario) digest(t *testing.T) behaviourDigest {
	t.Helper()
	script, err := ParseScript(strings.NewReader(s.script))
	if err != nil {
		t.Fatal(err)
	}
	r := s.cluster(t)
	recorder := recordBehaviour(t, r.World, traceFile(t, s.name))
	r.Play(script, func(Fault) {})
	if s.begin != nil {
		s.begin(r)
	}
	if s.load > 0 {
		r.load(s.load)
	}
	r.Advance(s.length)
	if s.reached != nil {
		s.reached(r)
	}
	for _, b := range r.Broken() {
		t.Error(b)
	}
	d, err := recorder.end()
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// rollingCluster makes clusters of controllers that know levels up to one, with operators' words about the rollout.
func rollingCluster(seed uint64, controllers int, knows rollout.Level, words string) func(t *testing.T) *rolling {
	return func(t *testing.T) *rolling { return newRolling(t, seed, controllers, knows, words) }
}

// wideCluster makes clusters with many machines in each zone.
func wideCluster(seed uint64, controllers int) func(t *testing.T) *rolling {
	return func(t *testing.T) *rolling { return wide(t, seed, controllers) }
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
		begin:   func(r *rolling) { r.submitMany(24, 15) },
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
		begin:   func(r *rolling) { r.submitMany(24, 15) },
	},
	{
		name:    "zone held and flapping",
		cluster: wideCluster(513, 3),
		load:    40 * time.Second,
		length:  85 * time.Second,
		script:  "28s hold-zone b 10s\n45s flap-zone c 2s\n68s refuse-zone a 6s\n",
		begin:   func(r *rolling) { r.submitMany(24, 15) },
	},
	{
		name:    "zone loses power",
		cluster: wideCluster(514, 3),
		load:    40 * time.Second,
		length:  80 * time.Second,
		script:  "30s power-zone a 10s\n",
		begin:   func(r *rolling) { r.submitMany(24, 15); submitService(r) },
	},
	{
		name:    "rollout with a rise",
		cluster: rollingCluster(515, 3, rollout.Base, "soak_s = 5"),
		load:    60 * time.Second,
		length:  90 * time.Second,
		script:  "20s roll 1s\n",
		reached: hasRisen,
	},
	{
		name:    "rollout that operators finish",
		cluster: rollingCluster(516, 5, rollout.Base, `finish = "operator"`),
		load:    70 * time.Second,
		length:  100 * time.Second,
		script:  "10s roll 1s\n",
		begin:   func(r *rolling) { finishWhenRolled(r) },
		reached: hasRisen,
	},
	{
		name:    "rollout held, aborted and rolled back",
		cluster: rollingCluster(517, 3, rollout.Base, "soak_s = 4"),
		load:    70 * time.Second,
		length:  100 * time.Second,
		script:  "10s roll 1s\n50s roll-back 1s\n",
		begin: func(r *rolling) {
			r.wordAt(14*time.Second, "hold")
			r.wordAt(20*time.Second, "free")
			r.wordAt(24*time.Second, "abort")
		},
	},
	{
		name:    "rollout among faults",
		cluster: rollingCluster(518, 5, rollout.Base, "soak_s = 2"),
		load:    70 * time.Second,
		length:  110 * time.Second,
		script:  "10s roll 1s\n18s kill-leader 2s\n30s outage 3s\n40s crash-task\n",
		reached: hasRisen,
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
		reached: wereReclaimed,
	},
	{
		name:    "archived jobs are asked for",
		cluster: rollingCluster(521, 3, rollout.Newest, ""),
		load:    25 * time.Second,
		length:  80 * time.Second,
		script:  "50s kill-leader 1s\n",
		begin:   askForEnded,
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
		begin: func(r *rolling) { r.Network(8*time.Millisecond, 0.01, 0.01, 5*time.Second) },
	},
	{
		name:    "stored by an earlier release",
		cluster: clusterOnStored(525),
		length:  60 * time.Second,
		reached: hasRisen,
	},
}

func hasRisen(r *rolling) {
	if r.Level() != rollout.Newest {
		r.t.Errorf("level %d", r.Level())
	}
}

// submitService submits a service whose replicas stand in different zones.
func submitService(r *rolling) {
	spec := &jobs.Spec{
		ID: "req-000777", Class: "svc", Team: "blue", Kind: jobs.Service, Priority: "urgent",
		Tasks: 6, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, Spread: true,
	}
	(&simUser{w: r.World, rng: r.rng, spec: spec}).submit()
}

// wordAt gives the leader an operator's word about the rollout at a time.
func (r *rolling) wordAt(at time.Duration, op string) {
	r.askLeaderAt(at, "POST", "/v2/rollout", fmt.Sprintf(`{"op":%q,"by":"test"}`, op))
}

// askLeaderAt asks whoever leads at a time; nobody if no controller leads.
func (r *rolling) askLeaderAt(at time.Duration, method, path, body string) {
	r.After(at, func() {
		if l, _ := r.World.Leader(); l >= 0 {
			r.Ask(l, method, path, []byte(body), func(int, []byte) {})
		}
	})
}

// finishWhenRolled gives the word to finish again and again, until the level has risen.
func finishWhenRolled(r *rolling) {
	for at := 30 * time.Second; at < 80*time.Second; at += 5 * time.Second {
		r.wordAt(at, "finish")
	}
}

// callLeader asks the leader what has no route for Ask; the answer comes at once, and a frozen leader gives none.
func (r *rolling) callLeader(q api.LeaderRequest, then func(status int, body []byte)) {
	l, _ := r.World.Leader()
	if l < 0 || !r.Runs(l) {
		then(0, nil)
		return
	}
	n := r.sim.nodes[l]
	asked := request{from: or(q.Bearer, senderUser), method: q.Verb, path: q.Resource + "/" + q.Name, body: q.Body}
	r.sim.sent(requestTo(n.s.PublicAddr, asked))
	n.live(func() {
		n.c.Call(q, func(status int, body []byte) {
			r.sim.sent(answerFrom(n.s.PublicAddr, asked, status, body))
			then(status, body)
		})
	})()
}

// changeLicences changes how many seats the cluster may use, and then how many of the others outsiders hold.
func changeLicences(r *rolling) {
	r.After(45*time.Second, func() { r.Licences.Others("transcribe", 3) })
	r.After(50*time.Second, func() { r.Licences.Others("transcribe", 0) })
	r.licenceCallAt(20*time.Second, "set", `{"count":4,"lower":"stop","by":"test"}`)
	r.licenceCallAt(55*time.Second, "set", `{"count":9,"by":"test"}`)
	r.licenceCallAt(60*time.Second, "show", "")
}

func (r *rolling) licenceCallAt(at time.Duration, verb, body string) {
	r.After(at, func() {
		request := api.LeaderRequest{Resource: "licences", Name: "transcribe", Verb: verb, Body: []byte(body)}
		r.callLeader(request, func(int, []byte) {})
	})
}

// askForEnded asks for jobs long after their end, and submits and cancels them once more.
func askForEnded(r *rolling) {
	again := func() {
		for i, u := range r.users {
			path, body := "/v2/runs", []byte(nil)
			if body, _ = json.Marshal(u.spec); i%2 == 0 {
				path, body = "/v2/runs/"+u.spec.ID+"/abort", []byte("{}")
			}
			r.Ask(i%r.Controllers(), "GET", "/v2/runs/"+u.spec.ID, nil, func(int, []byte) {})
			r.Ask(i%r.Controllers(), "POST", path, body, func(int, []byte) {})
		}
	}
	r.After(45*time.Second, again)
	r.After(65*time.Second, again)
	r.askLeaderAt(70*time.Second, "GET", "/v2/runs", "")
	r.askLeaderAt(71*time.Second, "GET", "/v2/events", "")
}

// drainByOperator drains machines and a controller, and takes it back.
func drainByOperator(r *rolling) {
	for i, c := range []drain.Command{
		{Op: "drain", Kind: "machine"},
		{Op: "drain", Kind: "machine", Stop: true},
		{Op: "drain", Kind: "node", Name: "node-1"},
		{Op: "undrain", Kind: "node", Name: "node-1"},
		{Op: "drain", Kind: "node", Name: "node-0"},
		{Op: "undrain", Kind: "node", Name: "node-0"},
	} {
		r.After(time.Duration(12+8*i)*time.Second, func() {
			if c.Kind == "machine" {
				c.Name = r.Busiest()
			}
			c.By = "test"
			body, _ := json.Marshal(c)
			r.askLeaderAt(0, "POST", "/v2/admin", string(body))
		})
	}
	r.askLeaderAt(30*time.Second, "GET", "/v2/admin", "")
	r.askLeaderAt(31*time.Second, "GET", "/v2/zones", "")
}

// clusterOnStored makes clusters that start on what an earlier release has stored.
func clusterOnStored(seed uint64) func(t *testing.T) *rolling {
	return func(t *testing.T) *rolling {
		all := storedBefore(t)
		for _, key := range []string{"h/c/leader", "h/c/n/node-0", "h/c/n/node-1", "h/c/n/node-2", drain.DocumentKey} {
			delete(all, key) // of holds that have run out, and of machines that this world doesn't have
		}
		r := operatedCluster(t, Config{Seed: seed, Machines: 14, Stored: all}, "rollout { soak_s = 5 }\n")
		for key, raw := range all {
			var rec jobs.Record
			if strings.HasPrefix(key, jobs.Prefix) && json.Unmarshal(raw, &rec) == nil && rec.Spec != nil {
				r.Know((*jobs.Spec)(rec.Spec))
			}
		}
		return r
	}
}

// operatedCluster is a cluster with operators' settings beside those of licences and the archive.
func operatedCluster(t *testing.T, cfg Config, settings string) *rolling {
	t.Helper()
	cfg.Pools, cfg.Step = map[string]int{"transcribe": 12}, 20*time.Millisecond
	cfg.Teams = []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}}
	w, err := Simulated(cfg, func(s *config.Settings) error {
		return s.ReadOperator("o.hcl", []byte(chaosPools+settings))
	})
	if err != nil {
		t.Fatal(err)
	}
	r := &rolling{World: w, t: t, rng: rand.New(rand.NewPCG(cfg.Seed, 41))}
	r.watch()
	return r
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

func sessionCluster(seed uint64) func(t *testing.T) *rolling {
	return func(t *testing.T) *rolling { return operatedCluster(t, Config{Seed: seed, Machines: 3}, sessionPolicy) }
}

// simSession is an interactive session in simulated time, with its agent.
type simSession struct {
	*InteractiveSession
	r   *rolling
	seq uint64
}

// agentEvery is the time between two reports of an agent.
const agentEvery = 300 * time.Millisecond

// openSessions opens sessions that are used, left alone, reclaimed and attached again, and closed at last.
func openSessions(r *rolling) {
	for i := range 5 {
		spec := &jobs.Spec{
			ID: fmt.Sprintf("req-%06d", 900+i), Class: "notebook", Team: "red", Kind: jobs.Service,
			Priority: "standard", Tasks: 1, CPUs: 4, MemoryGB: 1, Image: "n", ImageGB: 1,
		}
		r.Know(spec)
		s := &simSession{r: r, InteractiveSession: &InteractiveSession{
			Spec: spec, User: fmt.Sprint("u", i%2), w: r.World,
			token: "user-" + spec.ID, agent: "agent-" + spec.ID, saves: map[string]int{},
		}}
		r.sessions = append(r.sessions, s)
		r.After(time.Duration(5+2*i)*time.Second, s.open)
		r.After(time.Duration(12+4*i)*time.Second, s.work)
		r.After(time.Duration(36+3*i)*time.Second, func() { s.call("attach", s.token, []byte("{}"), func(int, []byte) {}) })
		r.After(time.Duration(60+3*i)*time.Second, func() { s.call("close", s.token, []byte("{}"), func(int, []byte) {}) })
	}
	r.After(30*time.Second, func() { r.sessions[0].call("show", "", nil, func(int, []byte) {}) })
	r.After(31*time.Second, func() { r.sessions[0].call("explain", "", nil, func(int, []byte) {}) })
}

func wereReclaimed(r *rolling) {
	resumed := 0
	for _, s := range r.sessions {
		resumed += s.Resumes
	}
	if resumed == 0 {
		r.t.Error("no session was reclaimed and resumed")
	}
}

func (s *simSession) call(verb, token string, body []byte, then func(int, []byte)) {
	s.r.callLeader(api.LeaderRequest{Resource: "sessions", Name: s.Spec.ID, Verb: verb, Bearer: token, Body: body}, then)
}

// open asks for the session until it is opened, and starts its agent.
func (s *simSession) open() {
	s.r.callLeader(api.LeaderRequest{Resource: "sessions", Verb: "open", Body: s.opening()}, func(status int, _ []byte) {
		if status != 200 && status != 201 {
			s.r.After(time.Second, s.open)
			return
		}
		s.talk()
	})
}

// work is ten inputs, a second apart, and a cell at the end.
func (s *simSession) work() {
	for i := range 10 {
		s.r.After(time.Duration(i)*time.Second, func() { s.Use() })
	}
	s.r.After(10*time.Second, func() { s.Cell(3 * time.Second) })
}

// talk is the agent: it reports as long as a process of the session runs.
func (s *simSession) talk() {
	s.r.After(agentEvery, s.talk)
	k := s.process()
	if k == nil {
		return
	}
	if k.attempt != s.attempt {
		s.reset(s.r.Now(), k.attempt)
	}
	s.seq++
	report := s.report(s.r.Now(), s.seq)
	raw, _ := json.Marshal(report)
	s.call("report", s.agent, raw, func(status int, body []byte) {
		var o sessions.HeartbeatResponse
		if status == 200 && json.Unmarshal(body, &o) == nil {
			s.told(s.r.Now(), k, report, o)
		}
	})
}

// process is the session's task that runs, nil if there is none.
func (s *simSession) process() *task {
	for _, m := range s.r.machines {
		for _, k := range m.tasks {
			if !m.dead && k.spec.ID == s.Spec.ID && k.state == running {
				return k
			}
		}
	}
	return nil
}
