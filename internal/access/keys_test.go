package access

import (
	"crypto/tls"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/access/accesstest"
)

// handshake connects a client to a server on loopback and returns the error of each side.
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
		// The server verifies the client's certificate after the client's handshake has completed, so the client
		// receives the error with the next read.
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = raw.Close()
	return <-served, clientErr
}

// serveOne accepts one connection and writes a byte after the handshake.
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

// requireHandshake fails the test if the handshake fails on either side.
func requireHandshake(t *testing.T, server, client *tls.Config, description string) {
	t.Helper()
	if serverErr, clientErr := handshake(t, server, client); serverErr != nil || clientErr != nil {
		t.Fatalf("handshake %s: server error %v, client error %v, want none", description, serverErr, clientErr)
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

// Controllers accept only certificates that their authority has signed, and as clients only those that name the called
// node. A user needs no certificate.
func TestPeersAuthenticateEachOther(t *testing.T) {
	keys := mustLoadKeys(t, accesstest.Write(t, t.TempDir(), "node-0", "node-1"))
	otherKeys := mustLoadKeys(t, accesstest.Write(t, t.TempDir(), "node-0", "node-1"))
	requireHandshake(t, keys.PeerListenerConfig(), keys.PeerClientConfig("node-1"), "of peers with the same authority")
	if _, err := handshake(t, keys.PeerListenerConfig(), keys.PeerClientConfig("node-2")); err == nil {
		t.Error("handshake with a server whose certificate doesn't name the node: no error, want one")
	}
	if _, err := handshake(t, otherKeys.PeerListenerConfig(), keys.PeerClientConfig("node-1")); err == nil {
		t.Error("handshake with a server of another authority: no error, want one")
	}
	// This client accepts the server, but has a certificate of another authority, and later no certificate.
	client := otherKeys.PeerClientConfig("node-1")
	client.RootCAs = keys.PeerClientConfig("node-1").RootCAs
	serverErr, clientErr := handshake(t, keys.PeerListenerConfig(), client)
	if serverErr == nil || clientErr == nil {
		t.Errorf("handshake with a client of another authority: server error %v, client error %v, want both",
			serverErr, clientErr)
	}
	client.Certificates = nil
	if serverErr, _ := handshake(t, keys.PeerListenerConfig(), client); serverErr == nil {
		t.Error("handshake with a peer without a certificate: no server error, want one")
	}
	requireHandshake(t, keys.UserListenerConfig(), client, "of a user without a certificate")
}

// Reload applies changed keys to a running listener. If the certificate doesn't match the key, as while only one of the
// files has been replaced, or if a file is missing, the former keys stay in use.
func TestKeysAreReloaded(t *testing.T) {
	dir := t.TempDir()
	files := accesstest.Write(t, dir, "node-0")
	keys := mustLoadKeys(t, files)
	formerClient := keys.PeerClientConfig("node-0")
	server := keys.UserListenerConfig() // made once, as for a running listener
	formerCert := readFile(t, files.Cert)
	accesstest.Write(t, dir, "node-0")
	newCert := readFile(t, files.Cert)

	// Only the key has been replaced: the former certificate with the new key.
	writeFile(t, files.Cert, formerCert)
	if err := keys.Reload(); err == nil || !strings.Contains(err.Error(), files.Cert) {
		t.Fatalf("reload of a key that doesn't match: error %v, want one that names %s", err, files.Cert)
	}
	requireHandshake(t, server, formerClient, "after a reload of a key that doesn't match")
	if err := keys.Reload(); err != nil {
		t.Fatalf("reload of unchanged files: error %v, want none", err)
	}

	writeFile(t, files.Cert, newCert)
	if err := keys.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t, server, formerClient); err == nil {
		t.Fatal("handshake with the former authority after the reload: no error, want one")
	}
	requireHandshake(t, server, keys.PeerClientConfig("node-0"), "with the new keys")

	if err := os.Remove(files.Key); err != nil {
		t.Fatal(err)
	}
	if err := keys.Reload(); err == nil {
		t.Fatal("reload with a missing file: no error, want one")
	}
	requireHandshake(t, server, keys.PeerClientConfig("node-0"), "after a reload with a missing file")
}
