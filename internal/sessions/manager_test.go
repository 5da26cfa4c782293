package sessions

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// BenchmarkTick measures one simulated second of 10,000 open sessions whose agents send a heartbeat every 5 seconds.
func BenchmarkTick(b *testing.B) {
	p := testPolicies(b)
	p.MaxPerUser = 0
	p.MaxPerTeam = 0
	p.Default.IdleLimit = time.Hour
	m := New(Env{
		Policies:       p,
		Jobs:           jobs.NewTable(0),
		Now:            func() time.Duration { return 0 },
		Wall:           func(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) },
		TaskOf:         func(*jobs.Job) Task { return Task{OnMachine: true} },
		WaitingJobsFor: func(_ time.Duration, holders []*jobs.Job) []string { return make([]string, len(holders)) },
	}, 1)
	const n = 10_000
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("req-%06d", i)
		spec := &jobs.Spec{ID: ids[i], Team: "t", Kind: jobs.Service, Priority: "standard", Tasks: 1}
		if _, _, err := m.Jobs.Apply(ids[i], jobs.EncodeRecord(jobs.Pending, 0, 1, spec), 1); err != nil {
			b.Fatal(err)
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range ids {
		record := Record{
			User:             user,
			Team:             team,
			UserTokenDigest:  TokenDigest(userToken),
			AgentTokenDigest: TokenDigest(agentToken),
		}
		m.add(0, ids[i], record, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	now, heartbeats := time.Duration(0), 0
	b.ReportAllocs()
	for b.Loop() {
		for range 20 {
			now += 50 * time.Millisecond
			m.Tick(now)
		}
		for range n / 5 {
			heartbeats++
			heartbeat := Heartbeat{Attempt: 1, Seq: uint64(heartbeats/n + 1), SinceInputS: float64(heartbeats % 3600)}
			if _, err := m.HandleHeartbeat(now, ids[heartbeats%n], agentToken, heartbeat); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/session")
}
