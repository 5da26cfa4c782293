package controller

import (
	"testing"
	"time"
)

// A leader that receives no heartbeats resigns early if other controllers receive heartbeats, since then workers are
// alive. Otherwise it resigns only once the workers' leases have expired.
func TestResignCauseWithoutHeartbeats(t *testing.T) {
	const (
		heartbeatInterval = 3.0
		lease             = 20 * time.Second
		longTimeout       = 10 * time.Second // 2 * heartbeatInterval + 4 s
	)
	cases := []struct {
		name               string // how many heartbeats the other controllers receive, and when
		sinceLastHeartbeat time.Duration
		expectedHeartbeats int
		peerHeartbeats     int
		want               string
	}{
		{"no machines", time.Hour, 0, 100, ""},
		{"over a quarter of the heartbeats", shortHeartbeatTimeout(heartbeatInterval), 100, 26, "workers reach other controllers"},
		{"a quarter of the heartbeats, before the long timeout", longTimeout - 1, 100, 25, ""},
		{"few heartbeats, after the long timeout", longTimeout, 100, 1, "no worker reaches this leader"},
		{"no heartbeats, after the long timeout", longTimeout, 100, 0, ""},
		{"no heartbeats, before the workers' leases expire", lease + 2*longTimeout - 1, 100, 0, ""},
		{"no heartbeats, after the workers' leases expire", lease + 2*longTimeout, 100, 0, "no worker reaches this leader"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			loss := heartbeatLoss{
				sinceLastHeartbeat: test.sinceLastHeartbeat,
				heartbeatInterval:  heartbeatInterval,
				lease:              lease,
				expectedHeartbeats: test.expectedHeartbeats,
				peerHeartbeats:     test.peerHeartbeats,
			}
			if got := loss.resignCause(); got != test.want {
				t.Errorf("cause %q, want %q", got, test.want)
			}
		})
	}
}

// Heartbeats of another leader's workers count in the window in which they arrive and in the next one.
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
