package main

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// `harewalk dev` runs a whole cluster: the sample jobs end, the script's faults are injected, and the cluster stops
// without an error. Flags out of range are refused.
func TestDevRunsAWholeCluster(t *testing.T) {
	script := filepath.Join(t.TempDir(), "faults")
	writeFile(t, script, "100ms crash-task\n200ms outage 300ms\n")
	cluster := devCluster{
		machines: 6, controllers: 3, zones: []string{"a", "b"}, seed: 1, speed: 40,
		scriptFile: script, logLevel: "error",
		operatorFile: filepath.Join("..", "..", "deploy", "licences.hcl"),
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var out, errs lockedBuffer
	ended := make(chan error, 1)
	go func() { ended <- cluster.run(ctx, &out, &errs) }()
	waitUntil(t, "the instructions are printed", func() bool {
		return strings.Contains(out.String(), "Press Ctrl-C to stop the cluster.")
	})
	server := strings.Fields(out.String()[strings.Index(out.String(), "controller 0"):])[2]
	if !strings.HasPrefix(server, "127.0.0.1:") {
		t.Fatalf("address of controller 0: got %s, want one at 127.0.0.1", server)
	}
	for _, sample := range []string{sampleJob, sampleSuccessor} {
		resp, err := sendPlain("POST", "http://"+server+"/v2/runs", []byte(sample))
		if err != nil || resp.status != 201 {
			t.Fatalf("submit: got status %d, error %v, want 201: %s", resp.status, err, resp.body)
		}
	}
	waitUntil(t, "the sample job is done", func() bool {
		resp, _ := sendPlain("GET", "http://"+server+"/v2/runs/req-000001", nil)
		return bytes.Contains(resp.body, []byte(`"done","done":16`))
	})
	waitUntil(t, "the sample job's successor is done", func() bool {
		resp, _ := sendPlain("GET", "http://"+server+"/v2/runs/req-000002", nil)
		return bytes.Contains(resp.body, []byte(`"done","done":2`))
	})
	waitUntil(t, "the last fault is injected", func() bool { return strings.Contains(errs.String(), "outage 300ms") })
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	for _, bad := range []devCluster{
		{machines: 0, controllers: 3, zones: []string{"a"}, speed: 1},
		{machines: 1, controllers: 3, zones: []string{"a"}, speed: 0},
		{machines: 1, zones: []string{"a"}, speed: 1},
	} {
		if err := bad.run(ctx, &out, &errs); err == nil || !strings.HasPrefix(err.Error(), "--") {
			t.Errorf("%+v: got error %v, want one that names a flag", bad, err)
		}
	}
}

// lockedBuffer is a buffer for concurrent writes and reads.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// 4000 machines, the size of the operators' largest fleet, are accepted. A number out of range is refused.
func TestDevAcceptsLargeFleets(t *testing.T) {
	cluster := devCluster{machines: 4000, controllers: 3, speed: 1, zones: []string{"a"}}
	if err := cluster.check(); err != nil {
		t.Error(err)
	}
	for _, machines := range []int{-1, 0, maxDevMachines + 1} {
		if cluster.machines = machines; cluster.check() == nil {
			t.Errorf("%d machines: got no error, want one for --machines", machines)
		}
	}
}
