package config

import (
	"fmt"
	"net"

	"github.com/harewalk/harewalk/internal/access"
)

// TLSSettings enables TLS, in HCL: tls { ... }. Workers and the platform's load balancer don't use TLS, so the
// platform's plain listener stays open too.
type TLSSettings struct {
	// Listen is the address on which users are served over TLS.
	Listen string `hcl:"listen" validate:"required,hostport"`
	// Advertise is the TLS address that is advertised to users. The default is the host of the platform's public
	// address with the port of Listen.
	Advertise string `hcl:"advertise,optional" validate:"omitempty,hostport"`
	// Cert, Key and CA are the paths of PEM files. Cert is the certificate; it names the node and every host name that
	// users call. Key is the certificate's private key. CA is the authority of all controllers' certificates.
	Cert string `hcl:"cert" validate:"required"`
	Key  string `hcl:"key" validate:"required"`
	CA   string `hcl:"ca" validate:"required"`
	// Peers makes controllers call each other over TLS only, with their certificates as client certificates.
	Peers bool `hcl:"peers,optional"`
	// PlainListener is what the platform's plain listener serves: "all" requests, or "workers" for only those of
	// workers and health checks. "" means "all".
	PlainListener string `hcl:"plain,optional" validate:"omitempty,oneof=all workers"`
}

// Keys returns the controller's TLS keys, or nil without TLS.
func (s *Settings) Keys() *access.Keys { return s.keys }

// Users returns the users and their tokens, or nil if users need no token.
func (s *Settings) Users() *access.Users { return s.users }

// TLSAddr returns the address that is advertised to users for TLS, or "" without TLS.
func (s *Settings) TLSAddr() string {
	settings := s.Operator.TLS
	if settings == nil {
		return ""
	}
	if settings.Advertise != "" {
		return settings.Advertise
	}
	// Both addresses have been validated.
	host, _, _ := net.SplitHostPort(s.PublicAddr)
	_, port, _ := net.SplitHostPort(settings.Listen)
	return net.JoinHostPort(host, port)
}

// loadAccessFiles reads the files with TLS keys and users that the operators' settings name.
func (s *Settings) loadAccessFiles() error {
	if files := s.Operator.TLS; files != nil {
		keys, err := access.LoadKeys(files.Cert, files.Key, files.CA)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		s.keys = keys
	}
	if file := s.Operator.UsersFile; file != "" {
		users, err := access.LoadUsers(file, s.teamNames())
		if err != nil {
			return fmt.Errorf("users_file: %w", err)
		}
		s.users = users
	}
	return nil
}
