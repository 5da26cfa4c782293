package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// Whatever a worker, or a sender that claims to be one, sends is either refused or applied without a panic.
func TestMalformedHeartbeatsAreHarmless(t *testing.T) {
	g := newRig(t, 1, map[string]json.RawMessage{})
	g.heartbeat("m", 1, fenced)
	g.submit(spec(1, 3))
	good := []byte(`{"den":"m","address":"10.1.0.2:9000","build":"ty","meadow":"z","stray":true,"run":1,"tally":88,"mark":1048576,
 "warning_s":null,"hops":[{"hop":"req-000001/1","try":2,"stance":"running"},{"hop":"req-000001/0","try":1,"stance":"exited","cause":"done"}]}`)
	heartbeat, err := ParseHeartbeat(good)
	if err != nil || len(heartbeat.Tasks) != 2 || heartbeat.Token != fenced || heartbeat.NoticeS != nil {
		t.Fatalf("%+v, %v", heartbeat, err)
	}
	rng := rand.New(rand.NewPCG(9, 9))
	accepted, refused := 0, 0
	for i := range 20_000 {
		raw := append([]byte(nil), good...)
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
		t.Fatalf("%d accepted, %d refused: the test decides nothing", accepted, refused)
	}
	for _, name := range []string{"", "/", "req-1", "req-1/", "req-1/-1", "req-1/x", "req-1/99999999999"} {
		if _, _, ok := parseTaskName(name); ok {
			t.Errorf("%q names a task", name)
		}
	}
}
