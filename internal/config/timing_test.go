package config

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func timed(t *testing.T, leaseS, cancelS float64, hcl string) (*Settings, error) {
	t.Helper()
	s, err := Parse([]byte(strings.Replace(settings, `"lease_s":19.0,"gang_wait_s":30.0,"gang_peer_s":5.0,"cancel_s":39.0`,
		fmt.Sprintf(`"lease_s":%g,"gang_wait_s":30.0,"gang_peer_s":5.0,"cancel_s":%g`, leaseS, cancelS), 1)))
	if err == nil && hcl != "" {
		err = s.ReadOperator("o.hcl", []byte(hcl))
	}
	return s, err
}

// For every lease and cancel_s the settings are refused by name, or the inequality holds for what is derived: an old picture, a
// lease with its drift and the commands under way fit in cancel_s, and a hold fits in the picture.
func TestCancelledIsGoneInTime(t *testing.T) {
	refused := 0
	for lease := 2.0; lease <= 90; lease += 4.25 {
		for cancel := 1.0; cancel <= 150; cancel += 1.5 {
			settings, err := timed(t, lease, cancel, "")
			if err != nil {
				if refused++; !strings.Contains(err.Error(), `"params.workers.cancel_s"`) {
					t.Fatal(err)
				}
				if room := cancel - lease*1.001; room > 4.6 {
					t.Errorf("lease %g, cancel %g: refused with %g s of room", lease, cancel, room)
				}
				continue
			}
			worst := settings.StalenessBound() + Seconds(lease*1.0005) + 2*time.Second
			if worst > Seconds(cancel*0.9995) || settings.StalenessBound() < settings.ControllerLeaseTTL() || settings.ControllerLeaseTTL() < 2*time.Second || settings.ControllerLeaseTTL() > 6*time.Second {
				t.Errorf("lease %g, cancel %g: picture %v, hold %v, gone after %v", lease, cancel, settings.StalenessBound(), settings.ControllerLeaseTTL(), worst)
			}
		}
	}
	if refused < 100 {
		t.Errorf("%d settings were refused", refused)
	}
}

// What the users run starts, with the hold it had; a hold that operators set too long for cancel_s is refused by name.
func TestHoldsAndCancel(t *testing.T) {
	for _, c := range []struct {
		lease, cancel float64
		hold, picture time.Duration
	}{
		{19, 39, 6 * time.Second, 17462 * time.Millisecond},
		{26.5, 46.5, 6 * time.Second, 17454 * time.Millisecond},
		{30, 60, 6 * time.Second, 18 * time.Second},
		{20, 26, 3474 * time.Millisecond, 3474 * time.Millisecond},
	} {
		settings, err := timed(t, c.lease, c.cancel, "")
		if err != nil || settings.ControllerLeaseTTL() != c.hold || settings.StalenessBound().Round(10*time.Millisecond) != c.picture.Round(10*time.Millisecond) {
			t.Errorf("%+v: %v, hold %v, picture %v", c, err, settings.ControllerLeaseTTL(), settings.StalenessBound())
		}
	}
	if _, err := timed(t, 19, 39, "hold_ttl_ms = 17000\n"); err != nil {
		t.Error(err)
	}
	if _, err := timed(t, 19, 39, "hold_ttl_ms = 18000\n"); err == nil || !strings.Contains(err.Error(), `"hold_ttl_ms"`) || !strings.Contains(err.Error(), "at most 174") {
		t.Errorf("%v", err)
	}
}
