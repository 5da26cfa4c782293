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

// Users are served over TLS only, with tokens, while workers go on without; keys and users change
// without a restart, and what a token may is checked by every controller.
func TestTLSAndTokens(t *testing.T) {
	sim, err := simulator.NewRealTime(simulator.Config{Seed: 27, MaxMachines: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	dir := t.TempDir()
	keys := accesstest.Write(t, dir, "node-0", "node-1", "node-2")
	users := filepath.Join(dir, "users.hcl")
	newToken := func(name string, args ...string) (file, block string) {
		out, code := command(t, append([]string{"token", "new", name}, args...)...)
		token, block, ok := strings.Cut(out, "\n\n")
		if code != 0 || !ok {
			t.Fatalf("exit %d: %s", code, out)
		}
		file = filepath.Join(dir, name+".token")
		if err := os.WriteFile(file, []byte(token+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return file, block
	}
	ada, adaBlock := newToken("ada", "--team", "red")
	bob, bobBlock := newToken("bob", "--team", "blue")
	ops, opsBlock := newToken("ops", "--operator")
	write := func(blocks ...string) {
		if err := os.WriteFile(users+".new", []byte(strings.Join(blocks, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(users+".new", users); err != nil {
			t.Fatal(err)
		}
	}
	write(adaBlock, bobBlock, opsBlock)
	c := cluster(t, sim, fmt.Sprintf("users_file = %q\ntls {\n listen = \"{tls}\"\n cert = %q\n key = %q\n ca = %q\n peers = true\n plain = \"workers\"\n}\n", users, keys.Cert, keys.Key, keys.CA))
	job, err := json.Marshal(plainJob(1, 4, 600))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "job.json")
	if err := os.WriteFile(file, job, 0o600); err != nil {
		t.Fatal(err)
	}
	try := func(want int, says, token string, i int, args ...string) {
		t.Helper()
		out, code := command(t, append(args, "--server", "https://"+c.TLSAddrs[i], "--ca", keys.CA, "--token-file", token)...)
		if code != want || !strings.Contains(out, says) {
			t.Fatalf("%v: exit %d, want %d with %q: %s", args, code, want, says, out)
		}
	}
	try(2, "bob may not submit jobs of team red", bob, 0, "job", "submit", file)
	try(0, "req-000001", ada, 0, "job", "submit", file)
	until(t, "it runs: workers need neither", func() bool { return sim.Stats().TaskStarts >= 4 })
	try(2, "bob may not cancel jobs of team red", bob, 1, "job", "cancel", "req-000001")
	try(0, "running", bob, 2, "job", "get", "req-000001")
	try(0, "4 tasks", ada, 1, "job", "why", "req-000001")
	try(0, "req-000001", ada, 2, "job", "list")
	try(3, "ada is no operator", ada, 0, "admin", "drain", "node", "node-2")
	try(0, "alive", ops, 1, "admin", "status")
	until(t, "controllers hear each other over TLS", func() bool {
		out, _ := command(t, "admin", "status", "--server", "https://"+c.TLSAddrs[0], "--ca", keys.CA, "--token-file", ops)
		return !strings.Contains(out, "not heard")
	})
	if out, code := command(t, "job", "get", "req-000001", "--server", sim.UserAddr(0), "--token-file", ada); code != 2 || !strings.Contains(out, "over TLS only") {
		t.Fatalf("without TLS: exit %d: %s", code, out)
	}
	if out, code := command(t, "job", "get", "req-000001", "--server", "https://"+c.TLSAddrs[0], "--ca", keys.CA); code != 2 || !strings.Contains(out, "token is missing") {
		t.Fatalf("without a token: exit %d: %s", code, out)
	}
	write(adaBlock, opsBlock)
	until(t, "bob is known no more", func() bool {
		_, code := command(t, "job", "get", "req-000001", "--server", "https://"+c.TLSAddrs[1], "--ca", keys.CA, "--token-file", bob)
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
	until(t, "the new keys answer", func() bool {
		_, code := command(t, "job", "get", "req-000001", "--server", "https://"+c.TLSAddrs[1], "--ca", keys.CA, "--token-file", ada)
		return code == 0
	})
	if out, code := command(t, "job", "get", "req-000001", "--server", "https://"+c.TLSAddrs[1], "--ca", old, "--token-file", ada); code != 1 || !strings.Contains(out, "certificate") {
		t.Fatalf("the old authority: exit %d: %s", code, out)
	}
	try(0, "cancelled", ada, 1, "job", "cancel", "req-000001")
	for _, b := range sim.Violations() {
		t.Error(b)
	}
}
