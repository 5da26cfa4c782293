package controller

import (
	"testing"
	"time"
)

// A leader that receives no heartbeats resigns as early as other controllers' heartbeats show that workers are alive,
// and without them only once the workers' leases have expired.
func TestSilentLeaderResignsByWhatOthersReceive(t *testing.T) {
	const (
		heartbeatInterval = 3.0
		lease             = 20 * time.Second
		limit             = 10 * time.Second // 2 * heartbeatInterval + 4 s
	)
	cases := []struct {
		name            string
		silentFor       time.Duration
		expected        int
		reachedByOthers int
		want            string
	}{
		{"no machines", time.Hour, 0, 100, ""},
		{"more than a quarter reach others", minSilence(heartbeatInterval), 100, 26, "workers reach other controllers"},
		{"a quarter reaches others, early", limit - 1, 100, 25, ""},
		{"few reach others, after the limit", limit, 100, 1, "no worker reaches this leader"},
		{"none reaches others, after the limit", limit, 100, 0, ""},
		{"none reaches others, leases not expired", lease + 2*limit - 1, 100, 0, ""},
		{"none reaches others, leases expired", lease + 2*limit, 100, 0, "no worker reaches this leader"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			silence := workerSilence{
				silentFor:         test.silentFor,
				heartbeatInterval: heartbeatInterval,
				lease:             lease,
				expected:          test.expected,
				reachedByOthers:   test.reachedByOthers,
			}
			if got := silence.resignCause(); got != test.want {
				t.Errorf("cause %q, want %q", got, test.want)
			}
		})
	}
}

// Heartbeats of other owners' workers count for the window they arrive in and the next one.
func TestForeignHeartbeatsCountForTwoWindows(t *testing.T) {
	const window = time.Second
	var heartbeats foreignHeartbeats
	steps := []struct {
		at    time.Duration
		added uint32
		want  uint32
	}{
		{0, 2, 2},
		{window / 2, 1, 3},
		{window, 4, 7},
		{2 * window, 0, 4},
		{4 * window, 1, 1},
	}
	for _, step := range steps {
		if got := heartbeats.add(step.at, window, step.added); got != step.want {
			t.Errorf("at %v: %d heartbeats, want %d", step.at, got, step.want)
		}
	}
}
