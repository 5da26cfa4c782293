// Command standin plays the cases of the review: it starts the project's controllers as processes with the command of
// the deploy file, beside stand-ins for state service, cloud, workers and users, all on loopback addresses.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld        = 0
	exitBroken      = 1
	exitCouldNotRun = 2
)

// timeLimit bounds a case: after it every process is ended.
const timeLimit = 119 * time.Second

// cases maps the number of a case to the function that plays it and reports whether the rule held.
var cases = map[string]func(*scene) bool{
	"1": playOneZoneGang,
	"2": playLongLines,
	"3": playReservedRoom,
}

// scene is what a case plays with.
type scene struct {
	*platform
	dir         string
	withTrouble bool
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitCouldNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(playCase func(*scene) bool, recordPath string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal(err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck // the temporary folder holds nothing else
	scratchDir = dir
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		fatal(fmt.Errorf("interrupted, or not over after %v", timeLimit))
	}()
	s := &scene{dir: dir, withTrouble: os.Getenv("TROUBLE") != "0"}
	s.platform = newPlatform(smallDeployment(), machineTypes(), newRecorder(recordPath))
	s.record.printf("case begins, with trouble: %v", s.withTrouble)
	held := playCase(s)
	stopNodes()
	if !held {
		s.record.printf("the rule was BROKEN")
		return exitBroken
	}
	s.record.printf("the rule held")
	return exitHeld
}

// zoneNames are the zones of the deployment brightfork-flags.
var zoneNames = []string{"merrimack", "narragansett", "housatonic"}

// smallDeployment returns settings with the values of the site brightfork-flags.
func smallDeployment() params {
	settings := params{
		Nodes:   3,
		Zones:   zoneNames,
		Workers: workerSettings{ReportS: 3, LeaseS: 19, GangWaitS: 30, GangPeerS: 5, CancelS: 39},
		State:   stateSettings{RPS: 120, WriteRPS: 30, ValueKB: 8, TxnOps: 24},
		Cloud:   cloudSettings{RPS: 8, ListLagS: 6},
		Limits:  map[string]any{"cores": 0.3, "mem_mb": 179.0, "sockets": 1200},
		SkewMS:  1000,
	}
	for i := range 12 {
		settings.Teams = append(settings.Teams, team{Name: teamName(i), GPUs: 4, GPUsMax: 12})
	}
	return settings
}

func teamName(i int) string { return fmt.Sprintf("rollout-safety-%02d", i) }

// machineTypes returns the machine types of the site brightfork-flags.
func machineTypes() []machineType {
	return []machineType{
		{"clapboard", 8, 0, 16, 60, 0.4, 0.39, 0.16, 50, zoneNames},
		{"lobsterpot", 12, 2, 96, 100, 1, 4.47, 1.96, 45, zoneNames},
		{"granitehall", 32, 4, 256, 120, 1, 10.2, 4.58, 60, zoneNames},
	}
}

// startServices starts the state service and the cloud, and prepares the controllers.
func (s *scene) startServices() {
	stateService := newStateStandIn()
	go stateService.expireLeases()
	stateAddr := serve(stateService)
	s.nodes = prepareNodes(s.dir, s.settings, func(int) string { return stateAddr }, serve(s.platform))
}

// submit submits a job until it is accepted or refused for good, for at most a minute.
func (s *scene) submit(j *job) {
	s.mu.Lock()
	s.jobs[j.ID] = j
	s.mu.Unlock()
	body, _ := json.Marshal(j)
	for i := range 60 {
		n := s.nodes[i%len(s.nodes)]
		status, answer := request(http.MethodPost, "http://"+n.public+"/v2/runs", body, 5*time.Second)
		s.record.printf("user submits %s (%s of %d) to %s: %d %s", j.ID, j.Kind, j.Tasks, n.name, status, answer)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			fatal(fmt.Errorf("%s was refused: %s", j.ID, answer))
		}
		time.Sleep(time.Second)
	}
	fatal(fmt.Errorf("%s was not accepted", j.ID))
}

// poll asks a node about a job and records the answer.
func (s *scene) poll(n *node, id string) {
	status, answer := request(http.MethodGet, "http://"+n.public+"/v2/runs/"+id, nil, 2*time.Second)
	s.record.printf("user asks %s about %s: %d %s", n.name, id, status, answer)
}

// waitUntil waits until a condition holds and reports whether it did within the limit.
func waitUntil(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
