package controller

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/peers"
)

// fileCheckInterval is the time between two checks of the files of TLS keys and users for changes.
const fileCheckInterval = 5 * time.Second

// tlsConnectionDivisor sets the fraction of all connections, a quarter, that the TLS listener may accept if TLS is
// enabled.
const tlsConnectionDivisor = 4

// Run listens and serves until a listener fails, and returns the listener's error. The goroutines that it starts run
// until the process ends.
func (c *Controller) Run() error {
	publicListener, err := net.Listen("tcp4", c.settings.PublicAddr)
	if err != nil {
		return fmt.Errorf("setting \"public_addr\": %w", err)
	}
	peerListener, err := c.listenForPeers()
	if err != nil {
		return err
	}
	if addr := c.settings.Operator.DebugAddr; addr != "" {
		if err := c.serveDebug(addr); err != nil {
			return err
		}
	}
	go peers.Serve(peerListener, func(status peers.Status) {
		c.loop.Offer(func() { c.handlePeerStatus(status) })
	})
	failed := make(chan error, 2)
	routes := c.routes()
	if tlsSettings := c.settings.Operator.TLS; tlsSettings != nil {
		if routes, err = c.serveTLS(tlsSettings, routes, failed); err != nil {
			return err
		}
	}
	go func() { failed <- api.Serve(publicListener, routes) }()
	go c.checkFiles(fileCheckInterval)
	c.logArchiveProblem()
	c.logStart()
	go c.loop.Run(TickInterval, c.tick)
	return <-failed
}

// listenForPeers opens the listener for other controllers' connections.
func (c *Controller) listenForPeers() (net.Listener, error) {
	listener, err := net.Listen("tcp4", c.settings.PeerAddr)
	if err != nil {
		return nil, fmt.Errorf("setting \"back\": %w", err)
	}
	if tlsSettings := c.settings.Operator.TLS; tlsSettings != nil && tlsSettings.Peers {
		listener = tls.NewListener(listener, c.settings.Keys().PeerListenerConfig())
	}
	return listener, nil
}

// routes returns the routes of the public address.
func (c *Controller) routes() api.Routes {
	return api.Routes{
		Post:              c.loop.Offer,
		PostHeartbeat:     c.loop.OfferWorker,
		Now:               c.loop.Now,
		Service:           c.api,
		Healthy:           c.healthy,
		HandleHeartbeat:   c.handleHeartbeat,
		Leader:            c.leaderAPI(),
		MaxConns:          c.settings.Params.Limits.MaxConns(),
		MaxKeepAliveConns: c.settings.Params.Limits.KeepAliveConns(),
		Users:             c.settings.Users(),
		Counter:           &c.responses,
	}
}

// serveTLS starts the users' TLS listener and returns the routes of the plain listener with the connections that are
// left for it: the two listeners share the connections that this process may accept.
func (c *Controller) serveTLS(settings *config.TLSSettings, plain api.Routes, failed chan<- error) (api.Routes, error) {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return plain, fmt.Errorf("setting \"tls.listen\": %w", err)
	}
	secure := plain
	secure.MaxConns = max(1, plain.MaxConns/tlsConnectionDivisor)
	secure.MaxKeepAliveConns = max(1, plain.MaxKeepAliveConns/tlsConnectionDivisor)
	plain.MaxConns -= secure.MaxConns
	plain.MaxKeepAliveConns = max(1, plain.MaxKeepAliveConns-secure.MaxKeepAliveConns)
	plain.WorkersOnly = settings.PlainListener == "workers"
	go func() { failed <- api.Serve(tls.NewListener(listener, c.settings.Keys().UserListenerConfig()), secure) }()
	return plain, nil
}

// checkFiles reloads changed files of TLS keys and users at each interval, until the process ends.
func (c *Controller) checkFiles(interval time.Duration) {
	keys, users := c.settings.Keys(), c.settings.Users()
	if keys == nil && users == nil {
		return
	}
	for range time.Tick(interval) {
		if keys != nil {
			logFileCheck("keys", keys.Reload())
		}
		if users != nil {
			logFileCheck("users", users.Reload())
		}
	}
}

// logFileCheck logs that a changed file was not applied. It does nothing if err is nil.
func logFileCheck(file string, err error) {
	if err != nil {
		slog.Error("changed file not applied, the former content stays in force", "file", file, "error", err)
	}
}
