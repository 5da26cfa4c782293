package api

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/access"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/simulator/state"
)

// startServer serves the routes until the test ends and returns the server's address. Requests run at once, on the
// connection's goroutine, and every valid heartbeat gets 200.
func startServer(t *testing.T, routes Routes) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	post := func(f func()) bool {
		f()
		return true
	}
	routes.Post = post
	routes.PostHeartbeat = post
	routes.Now = func() time.Duration { return 0 }
	routes.Service = newTestService(state.New()).Service
	routes.Healthy = func() bool { return true }
	routes.HandleHeartbeat = func(_ time.Duration, _ *fleet.Heartbeat, reply func(Reply)) { reply(Reply{Status: 200}) }
	if routes.Leader == nil {
		routes.Leader = &LeaderAPI{}
	}
	go func() { _ = Serve(listener, routes) }() // ends when the listener is closed
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// newUsers returns a set with one user, who isn't an operator, and this user's token.
func newUsers(t *testing.T) (users *access.Users, token string) {
	t.Helper()
	token, sum := access.NewToken()
	file := filepath.Join(t.TempDir(), "users.hcl")
	block := fmt.Sprintf("user \"ada\" {\n tokens_sha256 = [%q]\n}\n", sum)
	if err := os.WriteFile(file, []byte(block), 0o600); err != nil {
		t.Fatal(err)
	}
	users, err := access.LoadUsers(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	return users, token
}

// requestStatus sends a request with the given method and path, and with a bearer token unless token is empty. It
// returns the status.
func requestStatus(t *testing.T, address, route, token string) int {
	t.Helper()
	method, path, _ := strings.Cut(route, " ")
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Where users have tokens, every route for users requires one, however its path is spelled. Commands to existing
// sessions, heartbeats and health checks require none.
func TestUserRoutesRequireToken(t *testing.T) {
	users, token := newUsers(t)
	address := startServer(t, Routes{
		MaxConns:          10,
		MaxKeepAliveConns: 10,
		Users:             users,
		Leader: &LeaderAPI{
			Licences: true,
			Sessions: true,
			Handle:   func(_ time.Duration, _ LeaderRequest, reply func(Reply)) { reply(Reply{Status: 200}) },
		},
	})
	for _, route := range []string{
		"POST /v2/runs",
		"GET /v2/runs",
		"GET /v2/runs/req-000001",
		"POST /v2/runs/req-000001/abort",
		"GET /v2/runs/req-000001/why",
		"GET /v2/runs/req-000001/events",
		"GET /v2/events",
		"GET /v2/admin",
		"POST /v2/admin",
		"GET /v2/licences",
		"GET /v2/licences/x",
		"POST /v2/licences/x",
		"GET /v2/sessions",
		"POST /v2/sessions",
		"GET /v2/sessions/req-000001",
		"GET /v2/sessions/req-000001/explain",
		"GET /V2/Runs",
		"GET /v2/runs/",
		"GET //v2/runs",
		"GET /v2/../v2/runs",
		"GET /v2/sessions/../runs",
		"GET /%76%32/runs",
		"POST /v2/sessions/../runs/req-000001/abort",
	} {
		if got := requestStatus(t, address, route, ""); got != 401 && got != 404 {
			t.Errorf("%s without a token: got %d, want 401 or 404", route, got)
		}
		if got := requestStatus(t, address, route, token+"x"); got != 401 && got != 404 {
			t.Errorf("%s with an unknown token: got %d, want 401 or 404", route, got)
		}
	}
	for route, want := range map[string]int{
		"GET /up":                             200,
		"POST /v2/sessions/req-000001/report": 200,
		"POST /v2/sessions/req-000001/attach": 200,
		"POST /checkin":                       400,
	} {
		if got := requestStatus(t, address, route, ""); got != want {
			t.Errorf("%s without a token: got %d, want %d", route, got, want)
		}
	}
	if got := requestStatus(t, address, "GET /v2/runs", token); got != 200 {
		t.Errorf("GET /v2/runs with a token: got %d, want 200", got)
	}
	if got := requestStatus(t, address, "POST /v2/admin", token); got != 403 {
		t.Errorf("operator's command from a user who isn't an operator: got %d, want 403", got)
	}
}

// While more than MaxKeepAliveConns connections are open, the server closes workers' connections after each reply, so
// that more machines can send heartbeats than there are sockets; users' connections stay open. Here 100 heartbeats are
// served with 20 sockets, 10 of which may stay open.
func TestHeartbeatsFromMoreWorkersThanSockets(t *testing.T) {
	address := startServer(t, Routes{MaxConns: 20, MaxKeepAliveConns: 10})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	send := func(method, path, body string) (status int, closes bool) {
		t.Helper()
		request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode, response.Close
	}
	for range 12 {
		openConnection(t, address)
	}
	for i := range 100 {
		body := fmt.Sprintf(
			`{"den":"i-%d","address":"x","build":"b","meadow":"a","run":1,"tally":%d,"hops":[]}`, i%50, i)
		if status, closes := send("POST", "/checkin", body); status != 200 || !closes {
			t.Fatalf("heartbeat %d: got status %d and connection closed %v, want 200 and true", i, status, closes)
		}
	}
	if status, closes := send("GET", "/up", ""); status != 200 || closes {
		t.Errorf("user's request: got connection closed %v and status %d, want false and 200", closes, status)
	}
}

// openConnection opens a connection, sends one request on it and leaves it open until the test ends.
func openConnection(t *testing.T, address string) {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	if _, err := connection.Write([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := connection.Read(make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
}
