package capacity

import "testing"

// The idle limit stays whole while the number of idle machines is within chance or the headroom. Beyond that, it is the
// shorter the more machines are idle.
func TestIdleLimitFactorFallsWithIdleMachinesBeyondChance(t *testing.T) {
	if got := idleLimitFactor(20, 8, 0.1); got != 1 {
		t.Fatalf("8 of 20 machines idle: factor %v, want 1", got)
	}
	if got := idleLimitFactor(1000, 90, 0.1); got != 1 {
		t.Fatalf("90 of 1000 machines idle: factor %v, want 1", got)
	}
	some, many := idleLimitFactor(1000, 200, 0.1), idleLimitFactor(1000, 350, 0.1)
	if some >= 0.6 || many >= some || many < 0.15 {
		t.Fatalf("200 and 350 of 1000 machines idle: factors %v and %v, want below 0.6 and decreasing, at least 0.15",
			some, many)
	}
}
