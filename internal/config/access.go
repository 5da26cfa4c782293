package config

import (
	"fmt"
	"net"

	"github.com/harewalk/harewalk/internal/access"
)

// TLSSettings enables TLS, in HCL: tls { ... }. Workers and the platform's load balancer don't use it, so the
// platform's plain listener stays open too.
type TLSSettings struct {
	// Listen is the address on which users are served over TLS.
	Listen string `hcl:"listen" validate:"required,hostport"`
	// Advertise is the address for users that is given to them; by default the host of the platform's public address
	// with the port of Listen.
	Advertise string `hcl:"advertise,optional" validate:"omitempty,hostport"`
	// Cert, Key and CA are PEM files: the certificate, which names the node and every host name that users call, its
	// key, and the authority of all controllers' certificates.
	Cert string `hcl:"cert" validate:"required"`
	Key  string `hcl:"key" validate:"required"`
	CA   string `hcl:"ca" validate:"required"`
	// Peers makes controllers call each other over TLS only, each with its certificate.
	Peers bool `hcl:"peers,optional"`
	// PlainListener is what the platform's plain listener serves: "all", or "workers" and health checks only.
	PlainListener string `hcl:"plain,optional" validate:"omitempty,oneof=all workers"`
}

// Keys returns the controller's TLS keys, nil without TLS.
func (s *Settings) Keys() *access.Keys { return s.keys }

// Users returns the users and their tokens, nil where no user's token is required.
func (s *Settings) Users() *access.Users { return s.users }

// TLSAddr returns the address that is given to users for calls over TLS, "" without TLS.
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

// openAccess reads the files of TLS keys and users that the operators' settings name.
func (s *Settings) openAccess() error {
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
