package httpio

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// runInline is an event loop that runs each function immediately.
func runInline(f func()) { f() }

// send sends one request and waits for its response.
func send(t *testing.T, client *Client, addr string, request Request) Response {
	t.Helper()
	responses := make(chan Response, 1)
	client.Send(addr, request, func(response Response) { responses <- response })
	select {
	case response := <-responses:
		return response
	case <-time.After(10 * time.Second):
		t.Fatal("no response within 10 s, want one")
		return Response{}
	}
}

// While the limit of requests in flight is reached, a request is refused at once and not sent.
func TestRequestAboveTheLimitIsRefused(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	client := New(1, runInline)
	request := Request{Method: http.MethodGet, Path: "/", Timeout: 10 * time.Second}
	first := make(chan Response, 1)
	client.Send(addr, request, func(response Response) { first <- response })
	<-arrived
	second := send(t, client, addr, request)
	close(release)
	if !errors.Is(second.Err, ErrBusy) || !second.Refused {
		t.Errorf("got error %v, refused %v; want ErrBusy, refused", second.Err, second.Refused)
	}
	if response := <-first; response.Err != nil || response.Status != http.StatusOK {
		t.Errorf("first request: got status %d, error %v; want 200, no error", response.Status, response.Err)
	}
	if n := len(arrived); n != 0 {
		t.Errorf("got %d further requests at the server, want none", n)
	}
}

// The server closes a connection without a response. The outcome is an error without Refused, since the server may
// have processed the request. The request is not sent again.
func TestRequestWithoutResponseIsNotRepeated(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var requests atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if n, _ := conn.Read(make([]byte, 1024)); n > 0 {
				requests.Add(1)
			}
			_ = conn.Close()
		}
	}()
	request := Request{Method: http.MethodGet, Path: "/", Timeout: 5 * time.Second}
	response := send(t, New(4, runInline), listener.Addr().String(), request)
	if response.Err == nil || response.Refused {
		t.Errorf("got status %d, refused %v; want an error, not refused", response.Status, response.Refused)
	}
	time.Sleep(50 * time.Millisecond) // a second request would arrive at once
	if n := requests.Load(); n != 1 {
		t.Errorf("got %d requests at the server, want 1", n)
	}
}
