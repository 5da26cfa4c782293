package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
)

// parseWithTiming returns platformJSON's settings with another lease_s and cancel_s and, unless hcl is empty, with
// operators' settings.
func parseWithTiming(t *testing.T, leaseS, cancelS float64, hcl string) (*Settings, error) {
	t.Helper()
	const timing = `"lease_s":%.1f,"gang_wait_s":30.0,"gang_peer_s":5.0,"cancel_s":%.1f`
	changed := strings.Replace(platformJSON,
		fmt.Sprintf(timing, 19.0, 39.0),
		fmt.Sprintf(strings.ReplaceAll(timing, "%.1f", "%g"), leaseS, cancelS), 1)
	s, err := Parse([]byte(changed))
	if err == nil && hcl != "" {
		err = s.ParseOperator("o.hcl", []byte(hcl))
	}
	return s, err
}

// For every lease_s and cancel_s, either the settings are rejected with an error that names cancel_s, or the derived
// times satisfy two conditions. The staleness bound, a worker's lease with its drift and the commands in flight fit in
// cancel_s together. A controller's lease fits in the staleness bound.
func TestCancelledTasksAreGoneWithinCancelS(t *testing.T) {
	rejected := 0
	for lease := 2.0; lease <= 90; lease += 4.25 {
		for cancel := 1.0; cancel <= 150; cancel += 1.5 {
			settings, err := parseWithTiming(t, lease, cancel, "")
			if err != nil {
				if rejected++; !strings.Contains(err.Error(), `"params.workers.cancel_s"`) {
					t.Fatal(err)
				}
				if room := cancel - lease*1.001; room > 4.6 {
					t.Errorf("lease_s %g, cancel_s %g: rejected although cancel_s exceeds the lease by %g s, want accepted",
						lease, cancel, room)
				}
				continue
			}
			goneAfter := settings.StalenessBound() + jobs.Seconds(lease*1.0005) + 2*time.Second
			staleness, ttl := settings.StalenessBound(), settings.ControllerLeaseTTL()
			if goneAfter > jobs.Seconds(cancel*0.9995) || staleness < ttl || ttl < 2*time.Second || ttl > 6*time.Second {
				t.Errorf("lease_s %g, cancel_s %g: tasks gone after %v, want at most cancel_s; controller lease %v, "+
					"want 2 s to 6 s and at most the staleness bound %v", lease, cancel, goneAfter, ttl, staleness)
			}
		}
	}
	if rejected < 100 {
		t.Errorf("%d settings were rejected, want at least 100", rejected)
	}
}

// The deployed settings are accepted with the expected controller lease and staleness bound.
func TestControllerLeaseOfDeployedSettings(t *testing.T) {
	for _, c := range []struct {
		lease, cancel  float64
		ttl, staleness time.Duration
	}{
		{19, 39, 6 * time.Second, 17462 * time.Millisecond},
		{26.5, 46.5, 6 * time.Second, 17454 * time.Millisecond},
		{30, 60, 6 * time.Second, 18 * time.Second},
		{20, 26, 3474 * time.Millisecond, 3474 * time.Millisecond},
	} {
		settings, err := parseWithTiming(t, c.lease, c.cancel, "")
		if err != nil {
			t.Errorf("%+v: %v", c, err)
			continue
		}
		staleness := settings.StalenessBound()
		const tolerance = 10 * time.Millisecond
		if settings.ControllerLeaseTTL() != c.ttl || staleness.Round(tolerance) != c.staleness.Round(tolerance) {
			t.Errorf("lease_s %g, cancel_s %g: controller lease %v, want %v; staleness bound %v, want %v",
				c.lease, c.cancel, settings.ControllerLeaseTTL(), c.ttl, staleness, c.staleness)
		}
	}
}

// A controller lease that is too long for cancel_s is rejected. The error names the setting and the maximum.
func TestTooLongControllerLeaseIsRejected(t *testing.T) {
	if _, err := parseWithTiming(t, 19, 39, "hold_ttl_ms = 17000\n"); err != nil {
		t.Error(err)
	}
	_, err := parseWithTiming(t, 19, 39, "hold_ttl_ms = 18000\n")
	if err == nil || !strings.Contains(err.Error(), `"hold_ttl_ms"`) || !strings.Contains(err.Error(), "at most 174") {
		t.Errorf("hold_ttl_ms = 18000: error %v, want one with \"hold_ttl_ms\" and \"at most 174\"", err)
	}
}
