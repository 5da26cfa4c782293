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

// minTLSVersion is the oldest TLS version that servers accept and clients offer.
const minTLSVersion = tls.VersionTLS13

// Keys holds a controller's certificate with its private key, and the authority that must have signed the other
// controllers' certificates. It is safe for concurrent use, except that calls of Reload must not overlap.
type Keys struct {
	files   watchedFiles
	current atomic.Pointer[keyMaterial]
}

// keyMaterial is the parsed content of the files. It is immutable.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadKeys reads a certificate, its private key and an authority from PEM files. An error names the invalid file.
func LoadKeys(certPath, keyPath, authorityPath string) (*Keys, error) {
	keys := &Keys{files: watchedFiles{paths: []string{certPath, keyPath, authorityPath}}}
	return keys, keys.load()
}

func (k *Keys) load() error {
	contents, changed, err := k.files.read()
	if err != nil || !changed {
		return err
	}
	certPath, keyPath, authorityPath := k.files.paths[0], k.files.paths[1], k.files.paths[2]
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", certPath, keyPath, err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(contents[2]) {
		return fmt.Errorf("authority %s: %w", authorityPath, errNoCertificate)
	}
	k.current.Store(&keyMaterial{certificate: certificate, authority: authority})
	return nil
}

// errNoCertificate means that an authority's PEM data contains no certificate.
var errNoCertificate = errors.New("PEM data contains no certificate")

// Reload applies the files if they have changed. On an error the former keys stay in use. Open connections aren't
// affected.
func (k *Keys) Reload() error {
	former := k.current.Load()
	if err := k.load(); err != nil {
		return err
	}
	if k.current.Load() != former {
		slog.Info("tls keys reloaded", "not_after", k.NotAfter())
	}
	return nil
}

// NotAfter returns when the certificate expires, or the zero time if that is unknown.
func (k *Keys) NotAfter() time.Time {
	leaf := k.current.Load().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// UserListenerConfig returns the configuration of the listener for users, who need no client certificate. Each new
// connection uses the keys that are current then.
func (k *Keys) UserListenerConfig() *tls.Config { return k.serverConfig(tls.NoClientCert) }

// PeerListenerConfig returns the configuration of the listener for the other controllers, which must have a certificate
// signed by the authority. Each new connection uses the keys that are current then.
func (k *Keys) PeerListenerConfig() *tls.Config {
	return k.serverConfig(tls.RequireAndVerifyClientCert)
}

func (k *Keys) serverConfig(clientAuth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: minTLSVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := k.current.Load()
			return &tls.Config{
				MinVersion:   minTLSVersion,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   clientAuth,
				ClientCAs:    current.authority,
				// A session ticket would admit a peer whose certificate was signed by a former authority.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// PeerClientConfig returns the configuration for calls to another controller, with the current keys. The other
// controller's certificate must be signed by the authority and name the node.
func (k *Keys) PeerClientConfig(node string) *tls.Config {
	current := k.current.Load()
	return &tls.Config{
		MinVersion:   minTLSVersion,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authority,
		ServerName:   node,
	}
}

// ClientConfig returns the configuration for the command-line client's calls. authorityPEM holds the certificates of the
// authority that must have signed the server's; nil means the system's authorities.
func ClientConfig(authorityPEM []byte) (*tls.Config, error) {
	config := &tls.Config{MinVersion: minTLSVersion}
	if authorityPEM == nil {
		return config, nil
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(authorityPEM) {
		return nil, errNoCertificate
	}
	return config, nil
}
