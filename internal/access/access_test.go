package access

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/access/accesstest"
)

// shake lets two ends meet on loopback and tells what each thinks of the other.
func shake(server, client *tls.Config) (s, c error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err, err
	}
	defer func() { _ = ln.Close() }()
	done := make(chan error, 1)
	go func() {
		a, err := ln.Accept()
		if err != nil {
			done <- err
			return
		}
		conn := tls.Server(a, server)
		if err = conn.Handshake(); err == nil {
			_, err = conn.Write([]byte("x"))
		}
		_ = conn.Close()
		done <- err
	}()
	b, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		return err, err
	}
	conn := tls.Client(b, client)
	if c = conn.Handshake(); c == nil {
		_, c = conn.Read(make([]byte, 1)) // a server that refuses the client says so now
	}
	_ = b.Close()
	return <-done, c
}

func open(t *testing.T, f accesstest.Files) *Keys {
	t.Helper()
	k, err := OpenKeys(f.Cert, f.Key, f.CA)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Controllers trust those whose certificate is of their authority and names the node they called; anybody
// else is refused, on either side.
func TestPeersKnowEachOther(t *testing.T) {
	one, other := accesstest.Write(t, t.TempDir(), "node-0", "node-1"), accesstest.Write(t, t.TempDir(), "node-0", "node-1")
	k, stranger := open(t, one), open(t, other)
	if s, c := shake(k.PeerListenerConfig(), k.PeerClientConfig("node-1")); s != nil || c != nil {
		t.Fatalf("of one authority: %v, %v", s, c)
	}
	if _, c := shake(k.PeerListenerConfig(), k.PeerClientConfig("node-2")); c == nil {
		t.Error("a certificate that doesn't name the node was taken")
	}
	if _, c := shake(stranger.PeerListenerConfig(), k.PeerClientConfig("node-1")); c == nil {
		t.Error("a server of another authority was taken")
	}
	lax := stranger.PeerClientConfig("node-1")
	lax.RootCAs = k.PeerClientConfig("node-1").RootCAs
	if s, c := shake(k.PeerListenerConfig(), lax); s == nil || c == nil {
		t.Error("a client of another authority was let in")
	}
	lax.Certificates = nil
	if s, _ := shake(k.PeerListenerConfig(), lax); s == nil {
		t.Error("a client without a certificate was let in")
	}
	if s, c := shake(k.UserListenerConfig(), lax); s != nil || c != nil {
		t.Errorf("a user needs none: %v, %v", s, c)
	}
}

// Keys that change are taken over without a restart; a pair that doesn't fit, or half a change, leaves
// what was there.
func TestKeysAreReadAnew(t *testing.T) {
	dir := t.TempDir()
	f := accesstest.Write(t, dir, "node-0")
	k := open(t, f)
	old := k.PeerClientConfig("node-0")
	server := k.UserListenerConfig() // the listener's, made once
	cert, err := os.ReadFile(f.Cert)
	if err != nil {
		t.Fatal(err)
	}
	accesstest.Write(t, dir, "node-0")
	fresh, err := os.ReadFile(f.Cert)
	if err != nil {
		t.Fatal(err)
	}
	// Half of the change is there: the old certificate with the new key.
	if err := os.WriteFile(f.Cert, cert, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := k.Check(); err == nil || !strings.Contains(err.Error(), f.Cert) {
		t.Fatalf("a pair that doesn't fit: %v", err)
	}
	if s, c := shake(server, old); s != nil || c != nil {
		t.Fatalf("what was there counts: %v, %v", s, c)
	}
	if err := k.Check(); err != nil {
		t.Fatalf("the same again: %v", err)
	}
	if err := os.WriteFile(f.Cert, fresh, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := k.Check(); err != nil {
		t.Fatal(err)
	}
	if _, c := shake(server, old); c == nil {
		t.Fatal("the old key still answers")
	}
	if s, c := shake(server, k.PeerClientConfig("node-0")); s != nil || c != nil {
		t.Fatalf("the new ones: %v, %v", s, c)
	}
	if err := os.Remove(f.Key); err != nil {
		t.Fatal(err)
	}
	if err := k.Check(); err == nil {
		t.Fatal("a missing file is no error")
	}
	if s, c := shake(server, k.PeerClientConfig("node-0")); s != nil || c != nil {
		t.Fatalf("with a file missing: %v, %v", s, c)
	}
}

// Tokens are known by their sums, two while one is replaced; a file with a mistake leaves what was there.
func TestUsers(t *testing.T) {
	file := filepath.Join(t.TempDir(), "users.hcl")
	token := func() (string, string) {
		a, b, err := NewToken()
		if err != nil {
			t.Fatal(err)
		}
		return a, b
	}
	a, sa := token()
	b, sb := token()
	c, sc := token()
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ada, ops := fmt.Sprintf("user \"ada\" {\n tokens_sha256 = [%q, %q]\n teams = [\"red\"]\n}\n", sa, sb), fmt.Sprintf("user \"ops\" {\n tokens_sha256 = [%q]\n operator = true\n}\n", sc)
	write(ada + ops)
	u, err := OpenUsers(file, map[string]bool{"red": true, "blue": true})
	if err != nil {
		t.Fatal(err)
	}
	for tok, want := range map[string]string{a: "ada", b: "ada", c: "ops", a + "x": "", "": "", sa: ""} {
		got := ""
		if w := u.Authenticate(tok); w != nil {
			got = w.Name
		}
		if got != want {
			t.Errorf("%q is %q, want %q", tok, got, want)
		}
	}
	if w := u.Authenticate(a); !w.MayActFor("red") || w.MayActFor("blue") || w.Operator {
		t.Errorf("%+v", w)
	}
	if w := u.Authenticate(c); !w.MayActFor("blue") || !w.Operator {
		t.Errorf("%+v", w)
	}
	for bad, want := range map[string]string{
		ops + ops: "one block", strings.Replace(ada, "red", "green", 1): `no team "green"`, strings.Replace(ops, sc, sc[1:], 1): "64 hexadecimal",
		ada + strings.Replace(ops, sc, sa, 1): "somebody's already", "user \"x\" {\n": "users.hcl", `user "x" { tokens_sha256 = [] }`: "empty",
	} {
		write(bad)
		if err := u.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v does not say %q", bad, err, want)
		}
		if u.Authenticate(a) == nil || u.Authenticate(c) == nil {
			t.Fatal("a mistake shut users out")
		}
	}
	write(ops)
	if err := u.Check(); err != nil || u.Authenticate(a) != nil || u.Authenticate(c) == nil {
		t.Fatalf("ada is gone: %v, %v", err, u.Authenticate(a))
	}
}
