package peers

import (
	"crypto/tls"
	"log/slog"
	"net"
	"time"
)

const (
	dialTimeout  = 1500 * time.Millisecond
	writeTimeout = 2 * time.Second
)

// Dial opens a connection to another controller, within dialTimeout.
type Dial func() (net.Conn, error)

// DialPlain returns a Dial that connects without TLS.
func DialPlain(addr string) Dial {
	return func() (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }
}

// DialTLS returns a Dial that connects over TLS. config is called for each connection.
func DialTLS(addr string, config func() *tls.Config) Dial {
	return func() (net.Conn, error) {
		return tls.DialWithDialer(&net.Dialer{Timeout: dialTimeout}, "tcp4", addr, config())
	}
}

// Link sends frames to one other controller. Its queue holds one frame: a newer frame replaces a frame that has not
// been sent yet. The link's goroutine owns the connection and runs as long as the process.
type Link struct {
	dial  Dial
	queue chan []byte

	conn       net.Conn      // nil: no connection is open
	connClosed chan struct{} // closed when the peer has closed conn
}

// NewLink returns a link and starts its goroutine. The goroutine dials whenever a frame is to be sent and no connection
// is open.
func NewLink(dial Dial) *Link {
	l := &Link{dial: dial, queue: make(chan []byte, 1)}
	go l.run()
	return l
}

// Send queues the content of a frame without blocking. Only one goroutine may call it.
func (l *Link) Send(content []byte) {
	select {
	case <-l.queue:
	default:
	}
	select {
	case l.queue <- content:
	default:
	}
}

func (l *Link) run() {
	for content := range l.queue {
		l.closeIfPeerClosed()
		if l.conn == nil && !l.connect() {
			continue
		}
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := WriteFrame(l.conn, content); err != nil {
			l.close()
		}
	}
}

// connect dials and reports whether it has opened a connection.
func (l *Link) connect() bool {
	conn, err := l.dial()
	if err != nil {
		slog.Debug("peer connection failed", "error", err)
		return false
	}
	l.conn = conn
	l.connClosed = make(chan struct{})
	go waitForClose(conn, l.connClosed)
	return true
}

func (l *Link) close() {
	_ = l.conn.Close()
	l.conn = nil
}

func (l *Link) closeIfPeerClosed() {
	if l.conn == nil {
		return
	}
	select {
	case <-l.connClosed:
		l.close()
	default:
	}
}

// waitForClose closes the channel closed when either side has closed the connection, on which the peer sends no data.
// Write errors alone would show too late that the peer has closed the connection: after a pause longer than the peer's
// read timeout, writes succeed as long as the socket buffers them, and the peer receives none of these statuses.
func waitForClose(conn net.Conn, closed chan<- struct{}) {
	defer close(closed)
	buffer := make([]byte, 16)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}
