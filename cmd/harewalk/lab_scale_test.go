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

// childrenOf lists the processes that a process has started and that still run.
func childrenOf(t *testing.T, pid int) (pids []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil || len(stats) == 0 {
		t.Fatalf("no processes are listed: %v", err)
	}
	for _, stat := range stats {
		raw, err := os.ReadFile(stat)
		if err != nil {
			continue // it has ended
		}
		// The name is in parentheses and may hold anything; state and parent follow.
		fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
		if len(fields) > 1 && fields[0] != "Z" && fields[1] == strconv.Itoa(pid) {
			pids = append(pids, filepath.Base(filepath.Dir(stat)))
		}
	}
	return pids
}

// One small size of a scale run: the rules hold, every task began once, jobs were done, every process is measured,
// and none is left. The result doesn't depend on how fast this machine is.
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
		t.Errorf("%d rules were broken, the first: %s; %d tasks began again after they were done",
			step.Broken, step.FirstBroken, step.TasksRerun)
	}
	for _, name := range []string{
		"machines", "leader_rss", "follower_rss", "state_requests", "leader_read", "state_followed",
	} {
		if step.Values[name] <= 0 {
			t.Errorf("%s is %v", name, step.Values[name])
		}
	}
	if step.Values["machines"] != 20 || result.PeakProcesses != 5 {
		t.Errorf("%v machines, %d processes", step.Values["machines"], result.PeakProcesses)
	}
	if after := len(childrenOf(t, os.Getpid())); after != before {
		t.Errorf("%d processes are left of the run", after-before)
	}
}

// Ctrl-C ends a run and all its processes.
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
	waitUntil(t, "its processes run", func() bool { return len(childrenOf(t, cmd.Process.Pid)) >= 4 })
	started := childrenOf(t, cmd.Process.Pid)
	_ = cmd.Process.Signal(os.Interrupt)
	if err := cmd.Wait(); err == nil {
		t.Error("an interrupted run ended well")
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

// Wrong plans, and those that are too large, end with the exit code for wrong arguments and the cause.
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
			t.Errorf("%s: exit code %d: %s", name, code, out)
		}
	}
}
