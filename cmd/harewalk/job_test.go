package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/simulator"
)

// Every controller returns the reasons why a job is pending. Lists and events contain only what matches the filter, and
// a wrong filter is refused with the column. The watch of a cancelled job ends with exit code 3.
func TestJobCommandsExplainPendingJobs(t *testing.T) {
	sim := newSimulation(t, simulator.Config{
		Seed:         24,
		MaxMachines:  2,
		Teams:        []config.Team{{Name: "red", CPUsMax: 4}, {Name: "blue"}},
		LicencePools: licenceCounts(),
	})
	startCluster(t, sim, fmt.Sprintf(licencePools, sim.Licences.Addr))
	users := sim.NewUsers(24)
	limited, large := plainJob(1, 10, 600), plainJob(2, 60, 600)
	large.Team = "blue"
	gang := plainJob(3, 4, 600)
	gang.Kind, gang.Team, gang.CPUs = jobs.Gang, "blue", 10
	licensed := plainJob(4, 9, 600)
	licensed.Licences, licensed.Team, licensed.Priority = map[string]int{"optimise": 2}, "blue", "prod"
	following := plainJob(5, 4, 600)
	following.Follows = []string{limited.ID, gang.ID}
	for _, spec := range []*jobs.Spec{licensed, limited, large, gang, following} {
		if status := users.Submit(spec); status != 201 {
			t.Fatalf("submit: got status %d, want 201", status)
		}
	}
	for id, want := range map[string]string{
		"req-000001": "team red is at its limit",
		"req-000002": "behind the tasks there",
		"req-000003": "a gang of 4 tasks needs room for all of them at once",
		"req-000004": "licence optimise: no seat is free",
		"req-000005": "2 predecessors are not done: req-000001, req-000003",
	} {
		out, code := "", 0
		waitUntil(t, id+": `job why` prints: "+want, func() bool {
			out, code = runCommand(t, "job", "why", id, "--server", sim.UserAddr(1))
			return code == 0 && strings.Contains(out, want)
		})
	}
	expectCommand(t, 2, "no such job", "job", "why", "req-000099", "--server", sim.UserAddr(2))
	expectCommand(t, 0, `"why": "gang_short"`, "job", "why", "req-000003", "-o", "json", "--server", sim.UserAddr(2))
	expectCommand(t, 0, "why: gang_short", "job", "why", "req-000003", "-o", "yaml", "--server", sim.UserAddr(2))
	expectCommand(t, 0, "req-000005", "job", "list", "--where", "predecessors = 2", "--server", sim.UserAddr(0))
	expectCommand(t, 2, `"xml"`, "job", "list", "-o", "xml", "--server", sim.UserAddr(2))
	out := expectExit(t, 0, "job", "events", "req-000004",
		"--where", "event = task_running and task < 4", "--server", sim.UserAddr(1))
	if strings.Count(out, "task_running") != 4 || !strings.Contains(out, "i-0000") {
		t.Fatal(out)
	}
	list := func(wantCode int, where string) string {
		t.Helper()
		return expectExit(t, wantCode, "job", "list", "--where", where, "--server", sim.UserAddr(2))
	}
	out = list(0, `team = blue and (waiting >= 4 or class ~ nothing) and not tasks = 60`)
	isOtherListed := strings.Contains(out, "req-000001") || strings.Contains(out, "req-000002")
	if isOtherListed || !strings.Contains(out, "req-000003") {
		t.Fatal(out)
	}
	out = list(2, "team = blue and waitin > 3")
	if !strings.Contains(out, "column 17") || !strings.Contains(out, `unknown field "waitin"`) {
		t.Fatal(out)
	}
	for i := 1; i <= 4; i++ {
		users.Cancel(fmt.Sprintf("req-%06d", i))
	}
	expectCommand(t, 3, "req-000001 cancelled", "job", "watch", "req-000001", "--server", sim.UserAddr(0))
	reportViolations(t, sim)
}
