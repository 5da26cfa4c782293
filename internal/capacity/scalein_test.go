package capacity

import "testing"

// A small fleet may have several idle machines by chance. A large one returns more of them the sooner.
func TestIdleLimitIsShortenedBeyondChance(t *testing.T) {
	if got := idleLimitFactor(20, 8, 0.1); got != 1 {
		t.Fatalf("8 idle of 20 shorten the limit to %v", got)
	}
	if got := idleLimitFactor(1000, 90, 0.1); got != 1 {
		t.Fatalf("90 idle of 1000 shorten the limit to %v", got)
	}
	some, many := idleLimitFactor(1000, 200, 0.1), idleLimitFactor(1000, 350, 0.1)
	if some >= 0.6 || many >= some || many < 0.15 {
		t.Fatalf("200 and 350 idle of 1000 shorten the limit to %v and %v", some, many)
	}
}
