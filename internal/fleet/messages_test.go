package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Any heartbeat, also from a sender that only claims to be a worker, must be refused or applied without a panic.
func TestMalformedHeartbeatsDoNotPanic(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	g.submit(spec(1, 3))
	wellFormed := []byte(`{"den":"m","address":"10.1.0.2:9000","build":"ty","meadow":"z","stray":true,"run":1,"tally":88,"mark":1048576,
 "warning_s":null,"hops":[{"hop":"req-000001/1","try":2,"stance":"running"},{"hop":"req-000001/0","try":1,"stance":"exited","cause":"done"}]}`)
	heartbeat, err := ParseHeartbeat(wellFormed)
	if err != nil || len(heartbeat.Tasks) != 2 || heartbeat.Token != fenced || heartbeat.ReclaimInS != nil {
		t.Fatalf("well-formed heartbeat: got %+v, error %v, want 2 tasks, token 1048576, no notice", heartbeat, err)
	}
	rng := rand.New(rand.NewPCG(9, 9))
	accepted, refused := 0, 0
	for i := range 20_000 {
		raw := append([]byte(nil), wellFormed...)
		for range 1 + rng.IntN(4) {
			raw[rng.IntN(len(raw))] = byte(32 + rng.IntN(95))
		}
		heartbeat, err := ParseHeartbeat(raw)
		if err != nil {
			refused++
			continue
		}
		accepted++
		heartbeat.Seq = uint64(100 + i)
		g.HandleHeartbeat(g.now, heartbeat)
	}
	if accepted == 0 || refused == 0 {
		t.Fatalf("got %d accepted and %d refused heartbeats, want some of both", accepted, refused)
	}
	for _, name := range []string{"", "/", "req-1", "req-1/", "req-1/-1", "req-1/x", "req-1/99999999999"} {
		if _, _, ok := parseTaskName(name); ok {
			t.Errorf("parseTaskName(%q): got ok, want not ok", name)
		}
	}
}

// The encoded messages must have the protocol's names and forms, byte for byte. Decoding must reverse the encoding.
func TestMessageEncoding(t *testing.T) {
	notice := 29.5
	heartbeat := Heartbeat{
		Machine: "m", Addr: "10.1.0.2:9000", Type: "ty", Zone: "z", Spot: true, Session: 3, Seq: 88, Token: fenced,
		ReclaimInS: &notice,
		Tasks: []TaskReport{
			{Task: "req-000001/1", Attempt: 2, State: taskRunning},
			{Task: "req-000001/0", Attempt: 1, State: taskExited, ExitCause: exitError, Saved: true},
		},
	}
	commands := []Command{
		startCommand("req-000001/1", 7),
		stopCommand("req-000001/2", 8, 2.5),
		stopCommand("req-000001/2", 8, 0),
		forgetCommand("req-<&>/3", 9),
	}
	const encodedCommands = `[{"call":"launch","hop":"req-000001/1","try":7},` +
		`{"call":"halt","hop":"req-000001/2","try":8,"mercy_s":2.5},` +
		`{"call":"halt","hop":"req-000001/2","try":8,"mercy_s":0},` +
		`{"call":"forget","hop":"req-\u003c\u0026\u003e/3","try":9}]`
	cases := map[string]struct {
		message any
		want    string
	}{
		"heartbeat": {
			heartbeat.Wire(),
			`{"den":"m","address":"10.1.0.2:9000","build":"ty","meadow":"z","stray":true,"run":3,"tally":88,` +
				`"mark":1048576,"warning_s":29.5,"hops":[` +
				`{"hop":"req-000001/1","try":2,"stance":"running","cause":"","kept":false},` +
				`{"hop":"req-000001/0","try":1,"stance":"exited","cause":"error","kept":true}]}`,
		},
		"idle heartbeat": {
			(&Heartbeat{Machine: "m", Type: "ty", Zone: "z", Session: 1}).Wire(),
			`{"den":"m","address":"","build":"ty","meadow":"z","stray":false,"run":1,"tally":0,"mark":0,` +
				`"warning_s":null,"hops":[]}`,
		},
		"response": {
			HeartbeatResponse{Token: fenced, Commands: commands}.Wire(),
			`{"mark":1048576,"calls":` + encodedCommands + `}`,
		},
		"response without commands": {
			HeartbeatResponse{Token: fenced}.Wire(),
			`{"mark":1048576,"calls":[]}`,
		},
		"direct commands": {
			DirectCommands{Token: fenced, Session: 3, Commands: commands}.Wire(),
			`{"mark":1048576,"run":3,"calls":` + encodedCommands + `}`,
		},
	}
	for name, c := range cases {
		encoded, err := json.Marshal(c.message)
		if err != nil || string(encoded) != c.want {
			t.Errorf("%s: got %s, error %v\nwant %s", name, encoded, err, c.want)
		}
	}
	decoded, err := ParseHeartbeat([]byte(cases["heartbeat"].want))
	if err != nil || !reflect.DeepEqual(*decoded, heartbeat) {
		t.Errorf("decoded heartbeat: got %+v, error %v, want %+v", decoded, err, heartbeat)
	}
	var response WireResponse
	err = json.Unmarshal([]byte(cases["response"].want), &response)
	if err != nil || len(response.Commands) != len(commands) || response.Token != fenced {
		t.Fatalf("decoded response: got %+v, error %v, want 4 commands, token 1048576", response, err)
	}
	for i, wire := range response.Commands {
		if command := wire.Command(); command != commands[i] {
			t.Errorf("decoded command: got %+v, want %+v", command, commands[i])
		}
	}
}

// A decoded heartbeat must not share data with heartbeats decoded before or after it, since the decoder reuses memory.
func TestHeartbeatsAreDecodedIndependently(t *testing.T) {
	parse := func(body string) *Heartbeat {
		t.Helper()
		heartbeat, err := ParseHeartbeat([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return heartbeat
	}
	full := parse(`{"den":"m","address":"x","build":"ty","meadow":"z","stray":true,"run":3,"tally":88,"mark":5,` +
		`"warning_s":1,"hops":[{"hop":"a/0","try":2,"stance":"exited","cause":"done","kept":true},{"hop":"a/1"}]}`)
	if _, err := ParseHeartbeat([]byte(`{"den":"other","warning_s":7,"hops":[{"hop":"b/0","try":1,`)); err == nil {
		t.Fatal("truncated heartbeat: got no error, want one")
	}
	next := parse(`{"den":"n","build":"ty","meadow":"z","run":1,"hops":[{"hop":"c/0","try":9}]}`)
	want := &Heartbeat{
		Machine: "n", Type: "ty", Zone: "z", Session: 1, Tasks: []TaskReport{{Task: "c/0", Attempt: 9}},
	}
	if !reflect.DeepEqual(next, want) {
		t.Errorf("second heartbeat: got %+v, want %+v", next, want)
	}
	if len(full.Tasks) != 2 || full.Tasks[0].Task != "a/0" || full.Tasks[1].Task != "a/1" || *full.ReclaimInS != 1 {
		t.Errorf("first heartbeat after the second was decoded: got %+v, want it unchanged", full)
	}
}
