package access

import (
	"crypto/tls"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/access/accesstest"
)

// handshake connects a client to a server on loopback and returns each one's error.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func() { served <- serveOne(listener, server) }()
	raw, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := tls.Client(raw, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		// A server that refuses the client's certificate reports it after the client's handshake.
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = raw.Close()
	return <-served, clientErr
}

// serveOne accepts one connection, and writes a byte after its handshake.
func serveOne(listener net.Listener, config *tls.Config) error {
	raw, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = raw.Close() }()
	conn := tls.Server(raw, config)
	if err := conn.Handshake(); err != nil {
		return err
	}
	_, err = conn.Write([]byte("x"))
	return err
}

// requireHandshake fails the test if one of both ends refuses the other.
func requireHandshake(t *testing.T, server, client *tls.Config, what string) {
	t.Helper()
	if serverErr, clientErr := handshake(t, server, client); serverErr != nil || clientErr != nil {
		t.Fatalf("%s: server %v, client %v", what, serverErr, clientErr)
	}
}

func mustLoadKeys(t *testing.T, files accesstest.Files) *Keys {
	t.Helper()
	keys, err := LoadKeys(files.Cert, files.Key, files.CA)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Controllers accept only certificates of their authority that name the called node; others are refused on either side.
func TestPeersAuthenticateEachOther(t *testing.T) {
	keys := mustLoadKeys(t, accesstest.Write(t, t.TempDir(), "node-0", "node-1"))
	stranger := mustLoadKeys(t, accesstest.Write(t, t.TempDir(), "node-0", "node-1"))
	requireHandshake(t, keys.PeerListenerConfig(), keys.PeerClientConfig("node-1"), "of one authority")
	if _, err := handshake(t, keys.PeerListenerConfig(), keys.PeerClientConfig("node-2")); err == nil {
		t.Error("a certificate that doesn't name the node was accepted")
	}
	if _, err := handshake(t, stranger.PeerListenerConfig(), keys.PeerClientConfig("node-1")); err == nil {
		t.Error("a server of another authority was accepted")
	}
	// A client that accepts the server, with a certificate of another authority or none.
	client := stranger.PeerClientConfig("node-1")
	client.RootCAs = keys.PeerClientConfig("node-1").RootCAs
	serverErr, clientErr := handshake(t, keys.PeerListenerConfig(), client)
	if serverErr == nil || clientErr == nil {
		t.Error("a client of another authority was accepted")
	}
	client.Certificates = nil
	if serverErr, _ := handshake(t, keys.PeerListenerConfig(), client); serverErr == nil {
		t.Error("a client without a certificate was accepted")
	}
	requireHandshake(t, keys.UserListenerConfig(), client, "a user without a certificate")
}

// Changed keys are taken over without a restart. A pair that doesn't match, a change of one file, and a missing file
// leave the former keys.
func TestKeysAreReloaded(t *testing.T) {
	dir := t.TempDir()
	files := accesstest.Write(t, dir, "node-0")
	keys := mustLoadKeys(t, files)
	formerClient := keys.PeerClientConfig("node-0")
	server := keys.UserListenerConfig() // a listener's, made once
	formerCert := readFile(t, files.Cert)
	accesstest.Write(t, dir, "node-0")
	newCert := readFile(t, files.Cert)

	// One file of the change is there: the former certificate with the new key.
	writeFile(t, files.Cert, formerCert)
	if err := keys.Reload(); err == nil || !strings.Contains(err.Error(), files.Cert) {
		t.Fatalf("a pair that doesn't match: %v", err)
	}
	requireHandshake(t, server, formerClient, "after a pair that doesn't match")
	if err := keys.Reload(); err != nil {
		t.Fatalf("unchanged files: %v", err)
	}

	writeFile(t, files.Cert, newCert)
	if err := keys.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t, server, formerClient); err == nil {
		t.Fatal("the former key is still in use")
	}
	requireHandshake(t, server, keys.PeerClientConfig("node-0"), "with the new keys")

	if err := os.Remove(files.Key); err != nil {
		t.Fatal(err)
	}
	if err := keys.Reload(); err == nil {
		t.Fatal("a missing file is no error")
	}
	requireHandshake(t, server, keys.PeerClientConfig("node-0"), "with a file missing")
}
