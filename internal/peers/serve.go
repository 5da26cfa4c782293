package peers

import (
	"bufio"
	"errors"
	"log/slog"
	"net"
	"time"
)

const (
	// maxConns bounds the number of open connections from peers.
	maxConns = 16
	// acceptRetryDelay is the delay before the next accept after a failed one.
	acceptRetryDelay = 50 * time.Millisecond
	// readTimeout is the time without a complete frame after which a connection is closed. A peer sends a status every
	// second.
	readTimeout = 15 * time.Second
)

// Serve accepts connections of the other controllers and calls deliver with each status that it receives. deliver is
// called from several goroutines at once. Serve returns when ln is closed; open connections stay until the peer closes
// them or readTimeout expires.
func Serve(ln net.Listener, deliver func(Status)) {
	slots := make(chan struct{}, maxConns)
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() { <-slots }()
			receive(conn, deliver)
		}()
	}
}

// receive calls deliver with each status from a connection until reading fails, and closes the connection.
func receive(conn net.Conn, deliver func(Status)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
		content, err := ReadFrame(reader)
		if err != nil {
			return
		}
		status, err := Decode(content)
		if err != nil {
			// A peer of another release may have sent the frame. The frames after it may be readable.
			slog.Debug("peer frame skipped", "error", err)
			continue
		}
		deliver(status)
	}
}
