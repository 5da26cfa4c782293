package access

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// Keys are a controller's certificate with its key, and the authority whose certificates the other
// controllers must have.
type Keys struct {
	files   watchedFiles
	current atomic.Pointer[keyMaterial]
}

// keyMaterial are what one reading of the files gave.
type keyMaterial struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// OpenKeys reads certificate, key and authority from PEM files.
func OpenKeys(cert, key, ca string) (*Keys, error) {
	k := &Keys{files: watchedFiles{names: []string{cert, key, ca}}}
	return k, k.load()
}

func (k *Keys) load() error {
	raws, changed, err := k.files.read()
	if err != nil || !changed {
		return err
	}
	cert, err := tls.X509KeyPair(raws[0], raws[1])
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", k.files.names[0], k.files.names[1], err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raws[2]) {
		return fmt.Errorf("authority %s: no certificate in it", k.files.names[2])
	}
	k.current.Store(&keyMaterial{cert, roots})
	return nil
}

// Check takes changed files over. Connections that stand keep what they began with.
func (k *Keys) Check() error {
	was := k.current.Load()
	err := k.load()
	if err == nil && k.current.Load() != was {
		slog.Info("keys", "change", "read anew", "until", k.NotAfter())
	}
	return err
}

// NotAfter is when the certificate ends.
func (k *Keys) NotAfter() time.Time {
	leaf := k.current.Load().cert.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// UserListenerConfig is the configuration of the listener for users: they need no certificate.
func (k *Keys) UserListenerConfig() *tls.Config { return k.server(tls.NoClientCert) }

// PeerListenerConfig is the configuration of the listener for the other controllers, which must have a
// certificate of the authority.
func (k *Keys) PeerListenerConfig() *tls.Config { return k.server(tls.RequireAndVerifyClientCert) }

func (k *Keys) server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		now := k.current.Load()
		// A ticket would let a peer in with the authority of yesterday.
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{now.cert}, ClientAuth: auth, ClientCAs: now.roots,
			SessionTicketsDisabled: true,
		}, nil
	}}
}

// PeerClientConfig is the configuration with which another controller is called: its certificate must be of the
// authority and name the node.
func (k *Keys) PeerClientConfig(node string) *tls.Config {
	now := k.current.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{now.cert}, RootCAs: now.roots, ServerName: node}
}

// ClientConfig is the configuration with which the command-line client calls; ca "" stands for the system's
// authorities.
func ClientConfig(ca []byte) (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if ca != nil {
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(ca) {
			return nil, errors.New("no certificate in it")
		}
	}
	return c, nil
}
