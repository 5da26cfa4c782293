package peers

import (
	"bufio"
	"errors"
	"log/slog"
	"net"
	"time"
)

const (
	// maxConns bounds the connections that peers may open.
	maxConns = 16
	// acceptRetryDelay is the time between an accept that failed and the next one.
	acceptRetryDelay = 50 * time.Millisecond
	// readTimeout ends a connection on which nothing came for so long: a peer sends a status every second.
	readTimeout = 15 * time.Second
)

// Serve accepts connections of the other controllers and passes each status from them to deliver, which is called
// from several goroutines. It returns when ln is closed; open connections end with their peer or by a timeout.
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

// receive delivers what comes on a connection until it ends, and closes it.
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
			// It may be of another release: the frames after it may be readable.
			slog.Debug("peer frame skipped", "error", err)
			continue
		}
		deliver(status)
	}
}
