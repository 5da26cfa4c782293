// Command standin2 runs one case of the review: the service's processes beside stand-ins of the state service, the cloud,
// the workers and the users, all on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// brightfork is the first deployment of the pages, with shorter boots.
func brightfork() site {
	zones := []string{"merrimack", "narragansett", "housatonic"}
	s := site{
		name: "brightfork-flags", zones: zones, controllers: 3,
		timing:   timing{3, 19, 30, 5, 39},
		state:    stateLimits{120, 30, 8, 24},
		cloudRPS: 8, listLagS: 6, cores: 0.3, memMB: 179, sockets: 1200,
		types: []machineType{
			{"clapboard", 8, 0, 16, 60, 0.4, 0.39, 0.16, 50, zones},
			{"lobsterpot", 12, 2, 96, 100, 1, 4.47, 1.96, 45, zones},
			{"granitehall", 32, 4, 256, 120, 1, 10.2, 4.58, 60, zones},
		},
		capacity: map[offerKey]int{},
		objectives: []objective{
			{"wait", "rollout-model-train", 12, 0.8, 0},
			{"finished", "rollout-model-train", 90, 0.8, 0},
			{"finished", "variant-scoring", 70, 0.78, 0},
			{"deadline", "audit-replay", 0, 0.85, 1},
			{"guarantee", "", 30, 0.92, 0},
		},
	}
	for i := range 12 {
		s.teams = append(s.teams, team{Name: fmt.Sprintf("rollout-safety-%02d", i), GPUs: 4, GPUsMax: 12})
	}
	for i, zone := range zones {
		s.capacity[offerKey{"clapboard", zone, false}] = 5 + i/2
		s.capacity[offerKey{"clapboard", zone, true}] = 3
		s.capacity[offerKey{"lobsterpot", zone, false}] = 1
		s.capacity[offerKey{"lobsterpot", zone, true}] = 1
	}
	return s
}

// harmonia is the second deployment of the pages, with the guest team.
func harmonia() site {
	zones := []string{"hakata", "aso", "beppu", "dejima"}
	s := site{
		name: "harmonia-rehearse", zones: zones, controllers: 3,
		timing:   timing{3, 30, 50, 5, 60},
		state:    stateLimits{250, 50, 32, 40},
		cloudRPS: 2, listLagS: 8, cores: 0.3, memMB: 234, sockets: 2500,
		types:    []machineType{{"sakurajima", 16, 2, 96, 90, 0.25, 6.41, 1.86, 45, zones}},
		capacity: map[offerKey]int{},
		objectives: []objective{
			{"wait", "attendance-train", 60, 0.88, 0},
			{"finished", "attendance-train", 300, 0.88, 0},
			{"deadline", "pitch-check", 0, 0.9, 1},
			{"wait", "seating-solve", 60, 0.94, 0},
			{"wait", "seating-solve", 90, 0.94, 0},
			{"finished", "seating-solve", 200, 0.94, 0},
			{"guarantee", "", 40, 0.88, 0},
		},
	}
	for i := range 8 {
		s.teams = append(s.teams, team{Name: fmt.Sprintf("core-app-%02d", i), GPUs: 8, GPUsMax: 12})
	}
	s.teams = append(s.teams, team{Name: "festival-desk"})
	for i, zone := range zones {
		s.capacity[offerKey{"sakurajima", zone, false}] = []int{5, 3, 5, 3}[i]
		s.capacity[offerKey{"sakurajima", zone, true}] = 3
	}
	return s
}

// startMachines adds the machines that are up at the start of harmonia.
func startMachines(c *cluster) {
	for i, zone := range c.site.zones {
		for range []int{2, 1, 2, 1}[i] {
			c.cloud.add("sakurajima", zone)
		}
	}
}

// cases are the cases of the review, and two searches that its report names.
var cases = map[string]func(*recorder, bool) error{
	"gang": gangCase, "seat": seatCase, "session": sessionCase, "repeat": repeatCase, "linger": lingerCase, "chaos": chaos, "many": manyTasks, "shapes": shapes,
}

// runLimit is the longest run of a case.
const runLimit = 117 * time.Second

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	ended := make(chan error, 1)
	go func() { ended <- cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0") }()
	limit := runLimit
	if os.Args[1] == "chaos" || os.Args[1] == "shapes" {
		limit = time.Hour
	}
	select {
	case err = <-ended:
	case <-stop:
		err = errStopped
	case <-time.After(limit):
		err = errTooLong
	}
	endProcesses()
	broken := rec.violations()
	for _, line := range broken {
		fmt.Println(line)
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
	}
	rec.close()
	switch {
	case err != nil:
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
