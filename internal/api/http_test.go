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

// Where tokens are asked for, every door for users is shut without one, however its path is spelled; what a
// session's own tokens open, workers' reports and health checks are not.
func TestDoorsAreShut(t *testing.T) {
	token, sum, err := access.NewToken()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "users.hcl")
	if err := os.WriteFile(file, []byte(fmt.Sprintf("user \"ada\" {\n tokens_sha256 = [%q]\n}\n", sum)), 0o600); err != nil {
		t.Fatal(err)
	}
	users, err := access.OpenUsers(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := newDesk(state.New())
	post := func(f func()) bool { f(); return true }
	go func() {
		_ = Serve(ln, Routes{
			Post: post, PostReport: post, Now: func() time.Duration { return 0 }, Intake: d.Service, Up: func() bool { return true },
			Report:   func(_ time.Duration, _ *fleet.Heartbeat, reply func(Reply)) { reply(Reply{Status: 200}) },
			Leader:   &LeaderAPI{Licences: true, Sessions: true, Answer: func(_ time.Duration, _ LeaderRequest, reply func(Reply)) { reply(Reply{Status: 200}) }},
			MaxConns: 10, Crowded: 10, Users: users,
		})
	}()
	defer func() { _ = ln.Close() }()
	ask := func(method, path, bearer string) int {
		q, err := http.NewRequest(method, "http://"+ln.Addr().String()+path, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		if bearer != "" {
			q.Header.Set("Authorization", "Bearer "+bearer)
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		return r.StatusCode
	}
	for _, door := range []string{
		"POST /v2/runs", "GET /v2/runs", "GET /v2/runs/req-000001", "POST /v2/runs/req-000001/abort", "GET /v2/runs/req-000001/why", "GET /v2/runs/req-000001/events",
		"GET /v2/events", "GET /v2/admin", "POST /v2/admin", "GET /v2/licences", "GET /v2/licences/x", "POST /v2/licences/x", "GET /v2/sessions", "POST /v2/sessions", "GET /v2/sessions/req-000001",
		"GET /v2/sessions/req-000001/explain", "GET /V2/Runs", "GET /v2/runs/", "GET //v2/runs", "GET /v2/../v2/runs", "GET /v2/sessions/../runs", "GET /%76%32/runs", "POST /v2/sessions/../runs/req-000001/abort",
	} {
		method, path, _ := strings.Cut(door, " ")
		if got := ask(method, path, ""); got != 401 && got != 404 {
			t.Errorf("%s without a token: %d", door, got)
		}
		if got := ask(method, path, token+"x"); got != 401 && got != 404 {
			t.Errorf("%s with somebody's token: %d", door, got)
		}
	}
	for door, want := range map[string]int{"GET /up": 200, "POST /v2/sessions/req-000001/report": 200, "POST /v2/sessions/req-000001/attach": 200, "POST /checkin": 400} {
		method, path, _ := strings.Cut(door, " ")
		if got := ask(method, path, ""); got != want {
			t.Errorf("%s without a token: %d, want %d", door, got, want)
		}
	}
	if got := ask("GET", "/v2/runs", token); got != 200 {
		t.Errorf("with a token: %d", got)
	}
	if got := ask("POST", "/v2/admin", token); got != 403 {
		t.Errorf("a user's command: %d", got)
	}
}

// Beyond a number of open connections those of workers end with each answer, so that many more machines report than there are
// sockets; users' stay. All hundred are answered over and over, with twenty sockets of which ten may be open.
func TestMoreWorkersThanSockets(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	post := func(f func()) bool { f(); return true }
	go func() {
		_ = Serve(ln, Routes{
			Post: post, PostReport: post, Now: func() time.Duration { return 0 }, Intake: newDesk(state.New()).Service, Up: func() bool { return true },
			Report: func(_ time.Duration, _ *fleet.Heartbeat, reply func(Reply)) { reply(Reply{Status: 200}) }, Leader: &LeaderAPI{}, MaxConns: 20, Crowded: 10,
		})
	}()
	defer func() { _ = ln.Close() }()
	stay := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	ask := func(method, path, body string) (status int, closes bool) {
		q, _ := http.NewRequest(method, "http://"+ln.Addr().String()+path, strings.NewReader(body))
		r, err := stay.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		return r.StatusCode, r.Close
	}
	var held []net.Conn
	for range 12 { // others that are connected
		c, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1024)); err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	for i := range 100 {
		body := fmt.Sprintf(`{"den":"i-%d","address":"x","build":"b","meadow":"a","run":1,"tally":%d,"hops":[]}`, i%50, i)
		if status, closes := ask("POST", "/checkin", body); status != 200 || !closes {
			t.Fatalf("report %d: status %d, the connection ends: %v", i, status, closes)
		}
	}
	if status, closes := ask("GET", "/up", ""); status != 200 || closes {
		t.Errorf("a user's connection ends: %v, status %d", closes, status)
	}
	for _, c := range held {
		_ = c.Close()
	}
}
