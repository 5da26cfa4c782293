package config

import (
	"fmt"
	"net"

	"github.com/harewalk/harewalk/internal/access"
)

// TLSSettings switch TLS on, in HCL: tls { ... }. Workers and the platform's load balancer don't
// speak it, so the platform's listener stays beside.
type TLSSettings struct {
	// Listen is where users are served over TLS; Advertise what they are told of it, by default
	// the host of the platform's address with the same port.
	Listen    string `hcl:"listen" validate:"required,hostport"`
	Advertise string `hcl:"advertise,optional" validate:"omitempty,hostport"`
	// PEM files: the certificate, which names the node and whatever users call it by, its key, and
	// the authority of all controllers' certificates.
	Cert string `hcl:"cert" validate:"required"`
	Key  string `hcl:"key" validate:"required"`
	CA   string `hcl:"ca" validate:"required"`
	// Peers lets controllers talk to each other over TLS only, each with its certificate.
	Peers bool `hcl:"peers,optional"`
	// PlainListener is what the platform's listener answers: "all", or "workers" and health checks only.
	PlainListener string `hcl:"plain,optional" validate:"omitempty,oneof=all workers"`
}

// Keys are the controller's keys, nil without TLS.
func (s *Settings) Keys() *access.Keys { return s.keys }

// Users are those whose tokens are known, nil where nobody is asked for one.
func (s *Settings) Users() *access.Users { return s.users }

// TLSAddr is the address at which users are told to call over TLS, "" without.
func (s *Settings) TLSAddr() string {
	t := s.Operator.TLS
	if t == nil {
		return ""
	}
	if t.Advertise != "" {
		return t.Advertise
	}
	host, _, _ := net.SplitHostPort(s.PublicAddr)
	_, port, _ := net.SplitHostPort(t.Listen)
	return net.JoinHostPort(host, port)
}

// openAccess reads keys and users.
func (s *Settings) openAccess() (err error) {
	if t := s.Operator.TLS; t != nil {
		if s.keys, err = access.OpenKeys(t.Cert, t.Key, t.CA); err != nil {
			return fmt.Errorf("tls: %w", err)
		}
	}
	if f := s.Operator.UsersFile; f != "" {
		if s.users, err = access.OpenUsers(f, s.teamNames()); err != nil {
			return fmt.Errorf("users_file: %w", err)
		}
	}
	return nil
}
