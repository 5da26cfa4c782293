package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/lab/scale"
)

// smallScale is the plan of a scale run with one small size.
const smallScale = `
name      = "one small size"
settle_s  = 6
measure_s = 4
report_s  = 1
lease_s   = 10
cancel_s  = 30
poll_s    = 1
state {
  rps       = 500
  write_rps = 200
  value_kb  = 8
  txn_ops   = 24
}
step "small" {
  machines          = 20
  tasks_per_machine = 2
  task_s            = 1
  tasks_per_job     = 8
}
`

// childrenOf returns the ids of the child processes of a process that still run.
func childrenOf(t *testing.T, pid int) (pids []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil || len(stats) == 0 {
		t.Fatalf("list of processes in /proc: got none, error %v", err)
	}
	for _, stat := range stats {
		raw, err := os.ReadFile(stat)
		if err != nil {
			continue // the process has ended
		}
		// The process name is in parentheses and may contain any character. State and parent id follow.
		fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
		if len(fields) > 1 && fields[0] != "Z" && fields[1] == strconv.Itoa(pid) {
			pids = append(pids, filepath.Base(filepath.Dir(stat)))
		}
	}
	return pids
}

// A scale run of one small size breaks no protocol rule, starts no task again, measures every process and leaves none
// behind. The checked values don't depend on the speed of the machine.
func TestScaleRunMeasuresEveryProcess(t *testing.T) {
	plan, err := scale.Parse("small.hcl", []byte(smallScale))
	if err != nil {
		t.Fatal(err)
	}
	before := len(childrenOf(t, os.Getpid()))
	result, err := scale.Run(context.Background(), plan, scale.Options{
		Program:  []string{os.Args[0]},
		Env:      []string{runProgramEnv + "=1"},
		Progress: func(line string) { t.Log(line) },
	})
	if err != nil {
		t.Fatal(err)
	}
	step := result.Steps[0]
	if step.Broken != 0 || step.TasksRerun != 0 {
		t.Errorf("got %d broken rules, the first: %s; got %d tasks rerun after they were done; want 0 of both",
			step.Broken, step.FirstBroken, step.TasksRerun)
	}
	for _, name := range []string{
		"machines", "leader_rss", "follower_rss", "state_requests", "leader_read", "state_followed",
	} {
		if step.Values[name] <= 0 {
			t.Errorf("%s: got %v, want more than 0", name, step.Values[name])
		}
	}
	if step.Values["machines"] != 20 || result.PeakProcesses != 5 {
		t.Errorf("got %v machines and %d processes, want 20 and 5", step.Values["machines"], result.PeakProcesses)
	}
	if after := len(childrenOf(t, os.Getpid())); after != before {
		t.Errorf("child processes after the run: got %d more than before, want 0", after-before)
	}
}

// An interrupt ends a scale run and all its processes.
func TestInterruptEndsScaleRun(t *testing.T) {
	plan := filepath.Join(t.TempDir(), "long.hcl")
	longPlan := strings.Replace(smallScale, "settle_s  = 6", "settle_s  = 300", 1)
	writeFile(t, plan, longPlan)
	cmd := exec.Command(os.Args[0], "lab", "scale", plan)
	cmd.Env = append(os.Environ(), runProgramEnv+"=1")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the run has at least 4 child processes", func() bool { return len(childrenOf(t, cmd.Process.Pid)) >= 4 })
	started := childrenOf(t, cmd.Process.Pid)
	_ = cmd.Process.Signal(os.Interrupt)
	if err := cmd.Wait(); err == nil {
		t.Error("interrupted run: got exit code 0, want an error")
	}
	for _, pid := range started {
		waitUntil(t, "process "+pid+" has ended", func() bool {
			_, err := os.Stat("/proc/" + pid)
			if err != nil {
				return true
			}
			time.Sleep(50 * time.Millisecond)
			return false
		})
	}
}

// A wrong plan and a plan that is too large end with exitUsage and an error that names the cause.
func TestScaleRefusesWrongPlans(t *testing.T) {
	dir := t.TempDir()
	for name, test := range map[string]struct{ plan, wantText string }{
		"unknown.hcl": {strings.Replace(smallScale, "poll_s", "pole_s", 1), "pole_s"},
		"large.hcl":   {strings.Replace(smallScale, "= 20\n", "= 99999\n", 1), "half of the memory"},
	} {
		path := filepath.Join(dir, name)
		plan := strings.Replace(test.plan, "tasks_per_machine = 2", "tasks_per_machine = 64", 1)
		writeFile(t, path, plan)
		out, code := runCommand(t, "lab", "scale", path)
		if code != exitUsage || !strings.Contains(out, test.wantText) {
			t.Errorf("%s: got exit code %d, want 2 with the cause; output: %s", name, code, out)
		}
	}
}
