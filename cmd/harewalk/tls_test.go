package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/access/accesstest"
	"github.com/harewalk/harewalk/internal/simulator"
)

const tlsSettings = `
users_file = %q
tls {
  listen = "{tls}"
  cert   = %q
  key    = %q
  ca     = %q
  peers  = true
  plain  = "workers"
}
`

// Users are served over TLS only, with tokens, while workers need neither. Keys and users change without a restart, and
// every controller checks what a token permits.
func TestTLSAndTokens(t *testing.T) {
	sim := newSimulation(t, simulator.Config{Seed: 27, MaxMachines: 3})
	dir := t.TempDir()
	keys := accesstest.Write(t, dir, "node-0", "node-1", "node-2")
	users := filepath.Join(dir, "users.hcl")
	newToken := func(name string, args ...string) (file, block string) {
		t.Helper()
		out := expectExit(t, 0, append([]string{"token", "new", name}, args...)...)
		token, block, ok := strings.Cut(out, "\n\n")
		if !ok {
			t.Fatal(out)
		}
		file = filepath.Join(dir, name+".token")
		writeFile(t, file, token+"\n")
		return file, block
	}
	ada, adaBlock := newToken("ada", "--team", "red")
	bob, bobBlock := newToken("bob", "--team", "blue")
	ops, opsBlock := newToken("ops", "--operator")
	write := func(blocks ...string) {
		t.Helper()
		writeFile(t, users+".new", strings.Join(blocks, "\n"))
		if err := os.Rename(users+".new", users); err != nil {
			t.Fatal(err)
		}
	}
	write(adaBlock, bobBlock, opsBlock)
	cluster := startCluster(t, sim, fmt.Sprintf(tlsSettings, users, keys.Cert, keys.Key, keys.CA))
	job, err := json.Marshal(plainJob(1, 4, 600))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "job.json")
	writeFile(t, file, string(job))
	overTLS := func(i int, ca string, args ...string) []string {
		return append(args, "--server", "https://"+cluster.TLSAddrs[i], "--ca", ca)
	}
	try := func(want int, wantText, token string, i int, args ...string) {
		t.Helper()
		expectCommand(t, want, wantText, overTLS(i, keys.CA, append(args, "--token-file", token)...)...)
	}
	getJob := func(token string) []string { return []string{"job", "get", "req-000001", "--token-file", token} }
	try(2, "bob may not submit jobs of team red", bob, 0, "job", "submit", file)
	try(0, "req-000001", ada, 0, "job", "submit", file)
	waitUntil(t, "it runs: workers need neither", func() bool { return sim.Stats().TaskStarts >= 4 })
	try(2, "bob may not cancel jobs of team red", bob, 1, "job", "cancel", "req-000001")
	try(0, "running", bob, 2, "job", "get", "req-000001")
	try(0, "4 tasks", ada, 1, "job", "why", "req-000001")
	try(0, "req-000001", ada, 2, "job", "list")
	try(3, "ada is no operator", ada, 0, "admin", "drain", "node", "node-2")
	try(0, "alive", ops, 1, "admin", "status")
	waitUntil(t, "controllers hear each other over TLS", func() bool {
		out, _ := runCommand(t, overTLS(0, keys.CA, "admin", "status", "--token-file", ops)...)
		return !strings.Contains(out, "not heard")
	})
	expectCommand(t, 2, "over TLS only", append(getJob(ada), "--server", sim.UserAddr(0))...)
	expectCommand(t, 2, "token is missing", overTLS(0, keys.CA, "job", "get", "req-000001")...)
	write(adaBlock, opsBlock)
	waitUntil(t, "bob is known no more", func() bool {
		_, code := runCommand(t, overTLS(1, keys.CA, getJob(bob)...)...)
		return code == 2
	})
	old := filepath.Join(dir, "old-ca.pem")
	raw, err := os.ReadFile(keys.CA)
	if err == nil {
		err = os.WriteFile(old, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	accesstest.Write(t, dir, "node-0", "node-1", "node-2")
	waitUntil(t, "the new keys answer", func() bool {
		_, code := runCommand(t, overTLS(1, keys.CA, getJob(ada)...)...)
		return code == 0
	})
	expectCommand(t, 1, "certificate", overTLS(1, old, getJob(ada)...)...)
	try(0, "cancelled", ada, 1, "job", "cancel", "req-000001")
	reportViolations(t, sim)
}
