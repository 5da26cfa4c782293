package config

import "testing"

// The shares of a machine's sockets are rounded down. Even the smallest machine has connections and minOutgoing
// outgoing requests.
func TestSocketSharesAreRoundedDown(t *testing.T) {
	for _, c := range []struct{ sockets, conns, keepAlive, outgoing int }{
		{32, 22, 16, 4},
		{33, 23, 17, 4},
		{47, 32, 24, 4},
		{99, 69, 51, 9},
		{1200, 840, 630, 64},
	} {
		memoryMB := 4096.0
		limits := ControllerLimits{MemMB: &memoryMB, Sockets: &c.sockets}
		conns, keepAlive, outgoing := limits.MaxConns(), limits.KeepAliveConns(), limits.MaxOutgoing(64)
		if conns != c.conns || keepAlive != c.keepAlive || outgoing != c.outgoing {
			t.Errorf("%d sockets: %d connections, %d kept open, %d outgoing; want %d, %d, %d",
				c.sockets, conns, keepAlive, outgoing, c.conns, c.keepAlive, c.outgoing)
		}
	}
}
