package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// platformJSON is a valid platform file with an unknown field, new_field.
const platformJSON = `{"node":"n-0","site":"a","public_addr":"10.0.0.1:8080","back":"10.0.0.1:8081","new_field":{"x":1},
 "others":[{"node":"n-1","site":"b","endpoint":"10.0.0.2:8081"}],"services":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
 "params":{"nodes":3,"zones":["a"],"teams":[{"name":"t","cpus":0.0,"cpus_max":0.0,"gpus":4.0,"gpus_max":12.0}],
 "objectives":[{"kind":"wait","class":"c","within_s":12.0,"share":0.8}],
 "workers":{"report_s":3.0,"lease_s":19.0,"gang_wait_s":30.0,"gang_peer_s":5.0,"cancel_s":39.0},
 "state":{"rps":120.0,"write_rps":30.0,"value_kb":8.0,"txn_ops":24},"cloud":{"rps":8.0,"list_lag_s":6.0},
 "machine_limits":{"cores":0.3,"mem_mb":179.0,"sockets":1200},"skew_ms":1000.0}}`

func TestParseDerivesDefaults(t *testing.T) {
	s, err := Parse([]byte(platformJSON))
	if err != nil {
		t.Fatal(err)
	}
	if s.ControllerLeaseTTL() != 6*time.Second || s.WorkerLease() != 19*time.Second ||
		s.Operator.Headroom != 0.1 || s.HasCostObjective() {
		t.Fatalf("controller lease %v, want 6s; worker lease %v, want 19s; headroom %g, want 0.1; "+
			"cost objective %v, want false",
			s.ControllerLeaseTTL(), s.WorkerLease(), s.Operator.Headroom, s.HasCostObjective())
	}
}

func TestParseErrorNamesTheInvalidSetting(t *testing.T) {
	for old, bad := range map[string][2]string{
		`"node":"n-0"`:                  {`"node":""`, `"node"`},
		`"lease_s":19.0`:                {`"lease_s":0`, `params.workers.lease_s`},
		`"state":"10.2.0.1:2"`:          {`"state":"nowhere"`, `services.state`},
		`"txn_ops":24`:                  {`"txn_ops":"24"`, `txn_ops`},
		`"endpoint":"10.0.0.2:8081"`:    {`"endpoint":""`, `others[0].endpoint`},
		`"gpus":4.0`:                    {`"gpus":-4.0`, `params.teams[0].gpus`},
		`"teams":[{"name":"t",`:         {`"teams":[{"name":"t"},{"name":"t",`, `params.teams`},
		`"public_addr":"10.0.0.1:8080"`: {`"public_addr":7`, `public_addr`},
		`"cores":0.3`:                   {`"cores":0.0`, `params.machine_limits.cores`},
		`"mem_mb":179.0`:                {`"mem_mb":8.0`, `params.machine_limits.mem_mb`},
		`"sockets":1200`:                {`"sockets":0`, `params.machine_limits.sockets`},
	} {
		_, err := Parse([]byte(strings.Replace(platformJSON, old, bad[0], 1)))
		if err == nil || !strings.Contains(err.Error(), bad[1]) {
			t.Errorf("%s: error %v, want one that contains %s", bad[0], err, bad[1])
		}
	}
}

// parseWithLimits returns platformJSON's settings with other machine_limits, which are given in JSON.
func parseWithLimits(t *testing.T, limits string) *Settings {
	t.Helper()
	s, err := Parse([]byte(strings.Replace(platformJSON, `{"cores":0.3,"mem_mb":179.0,"sockets":1200}`, limits, 1)))
	if err != nil {
		t.Fatalf("%s: %v", limits, err)
	}
	return s
}

// The numbers of connections, machines and tasks follow from the limits of the controller's machine. They are positive
// on a small machine too, and without any given limits.
func TestSizesFollowFromTheControllersMachine(t *testing.T) {
	for _, c := range []struct {
		limits          string
		conns, machines int
	}{
		{`{"cores":0.18,"mem_mb":130.0,"sockets":1200}`, 840, 1349},
		{`{"cores":0.18,"mem_mb":168.0,"sockets":2500}`, 1612, 1349},
		{`{"cores":0.01,"mem_mb":24.0,"sockets":32}`, 22, 75},
		{`{"cores":1.0,"mem_mb":130.0,"sockets":4000}`, 1248, 1880}, // bounded by memory
		{`{"cores":1.0,"mem_mb":512.0,"sockets":300}`, 210, 942},    // bounded by connections
		{`{}`, 716, 3222},
	} {
		s := parseWithLimits(t, c.limits)
		l, machines := s.Params.Limits, s.Operator.MaxMachines
		if l.MaxConns() != c.conns || machines != c.machines || l.MaxTasks() < MaxBody/2 || l.UsableCores() <= 0 {
			t.Errorf("%s: %d connections, want %d; %d machines, want %d; %d tasks, want at least %d; "+
				"%g cores, want more than 0", c.limits, l.MaxConns(), c.conns, machines, c.machines,
				l.MaxTasks(), MaxBody/2, l.UsableCores())
		}
		if bodiesMB := float64(l.MaxConns()*MaxBody) / (1 << 20); bodiesMB > 0.61*l.MemoryLimitMB() {
			t.Errorf("%s: request bodies may take %.0f of %.0f MB, want at most 61%%", c.limits, bodiesMB, l.MemoryLimitMB())
		}
	}
}

// MachinesBound names the resource or setting that bounds the number of machines, so that operators can raise it.
func TestMachineBoundIsNamed(t *testing.T) {
	for limits, want := range map[string]MachineBound{
		`{"cores":0.18,"mem_mb":168.0,"sockets":2500}`: BoundByProcessor,
		`{"cores":1.0,"mem_mb":130.0,"sockets":4000}`:  BoundByMemory,
		`{"cores":1.0,"mem_mb":512.0,"sockets":300}`:   BoundByConnections,
	} {
		s := parseWithLimits(t, limits)
		if got := s.Operator.MachinesBound; got != want {
			t.Errorf("%s: bound by %q, want %q", limits, got, want)
		}
		if err := s.ParseOperator("o.hcl", []byte("max_machines = 7")); err != nil {
			t.Fatal(err)
		}
		if s.Operator.MaxMachines != 7 || s.Operator.MachinesBound != BoundBySettings {
			t.Errorf("max_machines = 7: %d machines, bound by %q, want 7, bound by %q",
				s.Operator.MaxMachines, s.Operator.MachinesBound, BoundBySettings)
		}
	}
}

func TestOperatorFileOverridesDefaultsAndErrorsNameTheLine(t *testing.T) {
	dir := t.TempDir()
	file := func(name, body string) string {
		t.Helper()
		p := filepath.Join(dir, name)
		writeFile(t, p, body)
		return p
	}
	js := file("s.json", platformJSON)
	s, err := Load(js, file("good.hcl", "hold_ttl_ms = 4000\nidle_s = 20\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.ControllerLeaseTTL() != 4*time.Second || s.Operator.MachineIdleTimeoutS != 20 || s.Operator.MaxMachines == 0 {
		t.Fatalf("controller lease %v, want 4s; idle_s %g, want 20; max_machines %d, want the default",
			s.ControllerLeaseTTL(), s.Operator.MachineIdleTimeoutS, s.Operator.MaxMachines)
	}
	for body, want := range map[string]string{
		"hold_ttl_ms = 4000\nhold = 3\n": "bad.hcl:2",
		"idle_s = \"soon\"\n":            "bad.hcl:1",
		"hold_ttl_ms = 10\n":             "hold_ttl_ms",
	} {
		if _, err := Load(js, file("bad.hcl", body)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one that contains %s", body, err, want)
		}
	}
}

// Load validates licence pools, and its error names the invalid pool or value.
func TestLicencePoolsAreCheckedAtLoad(t *testing.T) {
	dir := t.TempDir()
	load := func(body string) (*Settings, error) {
		t.Helper()
		js, hcl := filepath.Join(dir, "s.json"), filepath.Join(dir, "o.hcl")
		for name, raw := range map[string]string{js: platformJSON, hcl: body} {
			writeFile(t, name, raw)
		}
		return Load(js, hcl)
	}
	s, err := load(`licence "p" {
  count = 10
  server = "10.0.0.9:5053"
  poll_s = 1.5
  reserve = 1
  team "t" {
    guarantee = 3
    most = 6
  }
  reserve_during "friday" {
    seats = 4
    days = "Fri"
    from = "18:00"
    to = "23:00"
    zone = "Asia/Tokyo"
  }
}
licence "q" { count = 0 }
`)
	if err != nil {
		t.Fatal(err)
	}
	pool := s.LicencePools()[0]
	friday := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	if len(s.LicencePools()) != 2 || pool.PollInterval != 1500*time.Millisecond || pool.OnCountLowered != "wait" ||
		pool.Teams["t"].Limit != 6 || pool.ReserveAt(friday) != 4 || pool.ReserveAt(friday.AddDate(0, 0, 1)) != 1 {
		t.Fatalf("%d pools, want 2; the first: %+v", len(s.LicencePools()), pool)
	}
	for body, want := range map[string]string{
		`licence "p" { count = -1 }`:  "count",
		`licence "p" {}`:              "o.hcl:1",
		`licence "a/b" { count = 1 }`: "licence[0].name",

		"licence \"p\" { count = 1 }\nlicence \"p\" { count = 1 }\n": "declared twice",

		`licence "p" {
  count = 1
  reserve = 2
}`: "reserve 2 is more",
		`licence "p" {
  count = 1
  on_lower = "kill"
}`: "on_lower",
		`licence "p" {
  count = 4
  team "nobody" {}
}`: `team "nobody"`,
		`licence "p" {
  count = 4
  team "t" { guarantee = 5 }
}`: "guaranteed 5 units",
		`licence "p" {
  count = 4
  team "t" {
    guarantee = 3
    most = 2
  }
}`: "limited to 2",
		`licence "p" {
  count = 4
  reserve_during "x" {
    seats = 1
    days = "Fri"
    from = "18:00"
    to = "23:00"
    zone = "Mars/Base"
  }
}`: "Mars/Base",
		`operator_token_file = "/nowhere"`: "operator_token_file",
	} {
		if _, err := load(body); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that contains %s", body, err, want)
		}
	}
}

// writePlatformFile writes platformJSON to a file and returns its path.
func writePlatformFile(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.json")
	writeFile(t, path, platformJSON)
	return path
}

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func loadDeployFile(t *testing.T, name string) *Settings {
	t.Helper()
	s, err := Load(writePlatformFile(t), filepath.Join("..", "..", "deploy", name))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return s
}

func TestDeployFilesEnableLicencesAndSessions(t *testing.T) {
	for _, name := range []string{"licences.hcl", "sessions.hcl"} {
		s := loadDeployFile(t, name)
		if len(s.LicencePools()) == 0 && !s.Sessions().Enabled {
			t.Fatalf("%s: no licence pools and no sessions, want either", name)
		}
	}
}

// Without operators' settings for them, rollouts and zones have positive default times.
func TestRolloutAndZonesHaveDefaults(t *testing.T) {
	s := loadDeployFile(t, "sessions.hcl")
	rollout, zones := s.Rollout(), s.Zones()
	if !rollout.Auto || rollout.Soak != time.Minute ||
		zones.ProbationTime <= 0 || zones.ReturnGrace <= 0 || zones.FlapDecayTime <= 0 {
		t.Fatalf("rollout %+v, want automatic with a soak time of 1m; zones %+v, want positive times", rollout, zones)
	}
}

func TestDeployFilesChangeRolloutAndZones(t *testing.T) {
	s := loadDeployFile(t, "rollout.hcl")
	if rollout := s.Rollout(); rollout.Auto || rollout.Soak != 10*time.Minute {
		t.Errorf("rollout %+v, want not automatic, with a soak time of 10m", rollout)
	}
	want := Zones{
		ReturnGrace:   time.Minute,
		ProbationTime: 20 * time.Second,
		FlapDecayTime: 10 * time.Minute,
		MaxProbation:  maxProbation,
	}
	if got := loadDeployFile(t, "zones.hcl").Zones(); got != want {
		t.Errorf("zones %+v, want %+v", got, want)
	}
}

func TestDeployedSessionPolicyHasItsWindow(t *testing.T) {
	policy := loadDeployFile(t, "sessions.hcl").Sessions().ForTeam("t")
	tokyo := time.FixedZone("", 9*3600)
	inWindow := time.Date(2026, 12, 4, 19, 0, 0, 0, tokyo)
	after := time.Date(2026, 12, 4, 23, 0, 0, 0, tokyo)
	if policy.At(inWindow).IdleLimit != 30*time.Minute || policy.At(after).IdleLimit != 2*time.Hour {
		t.Fatalf("idle limit %v in the window, want 30m; %v after it, want 2h",
			policy.At(inWindow).IdleLimit, policy.At(after).IdleLimit)
	}
}

// Load validates session policies, and its error names the policy, the setting, or file, line and column.
func TestErrorNamesTheInvalidSessionPolicy(t *testing.T) {
	platformFile := writePlatformFile(t)
	operatorFile := filepath.Join(t.TempDir(), "bad.hcl")
	for body, want := range map[string]string{
		"sessions {\n policy \"t\" {\n  idle = \"inputs > 3\"\n }\n}\n": "bad.hcl:3,10",
		"sessions {\n policy \"t\" {\n  idle = true\n }\n}\n":           "must be an expression in quotes",
		"sessions {\n policy \"x\" {\n  idle = \"cell\"\n }\n}\n":       `policy "x"`,
		"rollout {\n finish = \"never\"\n}\n":                           "rollout.finish",
		"sessions {\n warn_s = -1\n}\n":                                 "warn_s",
		"sessions {\n policy \"t\" {\n idle = \"cell\"\n}\n" +
			" policy \"t\" {\n idle = \"cell\"\n}\n}\n": "there are two",
		"sessions {\n policy \"t\" {\n idle = \"cell\"\n during \"x\" {\n days = \"Fri\"\n" +
			" from = \"1\"\n to = \"2:00\"\n zone = \"UTC\"\n}\n}\n}\n": `during "x"`,
	} {
		writeFile(t, operatorFile, body)
		if _, err := Load(platformFile, operatorFile); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that contains %s", body, err, want)
		}
	}
}
