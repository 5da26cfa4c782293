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

// tlsSettings are operators' settings for TLS. Its arguments are the paths of the users' file, the certificate, the key
// and the CA certificate.
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

// Users are served only over TLS and with a token; workers need neither. Changed keys and users apply without a
// restart, and every controller enforces the permissions of a token.
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
	replaceUsersFile := func(blocks ...string) {
		t.Helper()
		writeFile(t, users+".new", strings.Join(blocks, "\n"))
		if err := os.Rename(users+".new", users); err != nil {
			t.Fatal(err)
		}
	}
	replaceUsersFile(adaBlock, bobBlock, opsBlock)
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
	expectOverTLS := func(wantCode int, wantText, token string, i int, args ...string) {
		t.Helper()
		expectCommand(t, wantCode, wantText, overTLS(i, keys.CA, append(args, "--token-file", token)...)...)
	}
	getJob := func(token string) []string { return []string{"job", "get", "req-000001", "--token-file", token} }
	expectOverTLS(2, "bob may not submit jobs of team red", bob, 0, "job", "submit", file)
	expectOverTLS(0, "req-000001", ada, 0, "job", "submit", file)
	waitUntil(t, "all 4 tasks start on workers without tokens", func() bool { return sim.Stats().TaskStarts >= 4 })
	expectOverTLS(2, "bob may not cancel jobs of team red", bob, 1, "job", "cancel", "req-000001")
	expectOverTLS(0, "running", bob, 2, "job", "get", "req-000001")
	expectOverTLS(0, "4 tasks", ada, 1, "job", "why", "req-000001")
	expectOverTLS(0, "req-000001", ada, 2, "job", "list")
	expectOverTLS(3, "ada is no operator", ada, 0, "admin", "drain", "node", "node-2")
	expectOverTLS(0, "alive", ops, 1, "admin", "status")
	waitUntil(t, "the leader receives the other controllers' heartbeats over TLS", func() bool {
		out, _ := runCommand(t, overTLS(0, keys.CA, "admin", "status", "--token-file", ops)...)
		return !strings.Contains(out, "no heartbeat")
	})
	expectCommand(t, 2, "over TLS only", append(getJob(ada), "--server", sim.UserAddr(0))...)
	expectCommand(t, 2, "token is missing", overTLS(0, keys.CA, "job", "get", "req-000001")...)
	replaceUsersFile(adaBlock, opsBlock)
	waitUntil(t, "the token of bob, who was removed from the users' file, is refused", func() bool {
		_, code := runCommand(t, overTLS(1, keys.CA, getJob(bob)...)...)
		return code == 2
	})
	oldCA := filepath.Join(dir, "old-ca.pem")
	raw, err := os.ReadFile(keys.CA)
	if err == nil {
		err = os.WriteFile(oldCA, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	accesstest.Write(t, dir, "node-0", "node-1", "node-2")
	waitUntil(t, "the controller serves with the new certificate", func() bool {
		_, code := runCommand(t, overTLS(1, keys.CA, getJob(ada)...)...)
		return code == 0
	})
	expectCommand(t, 1, "certificate", overTLS(1, oldCA, getJob(ada)...)...)
	expectOverTLS(0, "cancelled", ada, 1, "job", "cancel", "req-000001")
	reportViolations(t, sim)
}
