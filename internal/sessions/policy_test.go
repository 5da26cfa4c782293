package sessions

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/calendar"
)

// CompileRule refuses invalid expressions, and constructs whose run time isn't bounded by the size of the expression.
func TestRulesAreRestricted(t *testing.T) {
	for text, want := range map[string]string{
		"input_s >":                 "file.hcl:3,5",
		"inputs > 3":                "unknown name inputs",
		"input_s":                   "expected bool",
		`all(1..1000000000, # > 0)`: "not allowed",
		"1..1000000 == nil":         "not allowed",
		`user matches "(a+)+$"`:     "not allowed",
		`len(user) > 2`:             "not allowed",
		"let a = 1; a > 2":          "not allowed",
		strings.Repeat("input_s > 1 && ", 40) + "cell": "node",
	} {
		const position = "file.hcl:3,5"
		_, err := CompileRule(text, position)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), position) {
			t.Errorf("rule %.40s: got error %v, want one with the position and %q", text, err, want)
		}
		if errors.Is(err, ErrNotAllowed) != (want == "not allowed") {
			t.Errorf("rule %.40s: got error %v, want ErrNotAllowed exactly if the text is \"not allowed\": %q", text, err, want)
		}
	}
}

func TestRuleListsUnmetConditions(t *testing.T) {
	rule := mustCompile(t, `input_s > 900 && (cpu < 0.1 || team == "red") and gpu == 0`)
	activity := Activity{SinceInputS: 901, CPU: 3, Team: "red"}
	if !rule.Idle(activity) || rule.UnmetConditions(activity) != nil {
		t.Fatalf("got unmet conditions %v, want idle and none", rule.UnmetConditions(activity))
	}
	activity.SinceInputS = 12
	activity.GPU = 1
	unmet := rule.UnmetConditions(activity)
	if rule.Idle(activity) || len(unmet) != 2 ||
		!strings.Contains(unmet[0], "input_s > 900") || !strings.Contains(unmet[1], "gpu == 0") {
		t.Fatalf("got unmet conditions %q, want not idle, and those on input_s and gpu", unmet)
	}
}

func TestRunningCellIsNeverIdle(t *testing.T) {
	rule := mustCompile(t, `input_s > 900 && (cpu < 0.1 || team == "red") and gpu == 0`)
	if rule.Idle(Activity{SinceInputS: 1e6, CellRunning: true, CellRunningS: 60}) {
		t.Fatal("got idle with a cell running, want not idle")
	}
}

// A window's limits apply from its first second on, and an idle session is checked when the limits change.
func TestWindowLimitsApplyInTheirHours(t *testing.T) {
	policies := testPolicies(t)
	window, err := calendar.Parse("Fri", "18:00", "23:00", "Asia/Tokyo")
	if err != nil {
		t.Fatal(err)
	}
	friday := policies.Default.Limits
	friday.IdleLimit = 35 * time.Second
	friday.Source = "Friday"
	policies.Default.IdleLimit = 0
	policies.Default.Windows = []WindowLimits{{friday, window}}
	h := newHarness(t, policies)
	start := time.Date(2026, 12, 4, 17, 58, 0, 0, time.FixedZone("", 9*3600))
	base := h.now
	h.manager.Wall = func(now time.Duration) time.Time { return start.Add(now - base) }
	h.openSession()
	h.startTask()
	if h.advanceWithHeartbeats(118 * time.Second); h.state() != Idle {
		t.Fatalf("before the window: got state %s, want quiet", h.state())
	}
	if h.advanceWithHeartbeats(4 * time.Second); h.state() != Warned {
		t.Fatalf("in the window: got state %s, want warned: %v", h.state(), explanationOf(h))
	}
}
