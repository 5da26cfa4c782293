package sessions

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/calendar"
)

// Rules are checked when they are compiled, and can't run for long.
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
			t.Errorf("%.40s: error %v does not contain %q", text, err, want)
		}
		if errors.Is(err, ErrNotAllowed) != (want == "not allowed") {
			t.Errorf("%.40s: error %v, wanted for %q", text, err, want)
		}
	}
}

func TestRuleListsUnmetConditions(t *testing.T) {
	r := mustCompile(t, `input_s > 900 && (cpu < 0.1 || team == "red") and gpu == 0`)
	a := Activity{SinceInputS: 901, CPU: 3, Team: "red"}
	if !r.Idle(a) || r.UnmetConditions(a) != nil {
		t.Fatalf("not idle: %v", r.UnmetConditions(a))
	}
	a.SinceInputS = 12
	a.GPU = 1
	unmet := r.UnmetConditions(a)
	if r.Idle(a) || len(unmet) != 2 ||
		!strings.Contains(unmet[0], "input_s > 900") || !strings.Contains(unmet[1], "gpu == 0") {
		t.Fatalf("unmet: %q", unmet)
	}
}

func TestRunningCellIsNeverIdle(t *testing.T) {
	r := mustCompile(t, `input_s > 900 && (cpu < 0.1 || team == "red") and gpu == 0`)
	if r.Idle(Activity{SinceInputS: 1e6, CellRunning: true, CellRunningS: 60}) {
		t.Fatal("idle with a cell running")
	}
}

// A window's limits apply in its hours, to the second, and an idle session is checked when they change.
func TestWindowLimitsApplyInTheirHours(t *testing.T) {
	p := testPolicies(t)
	w, err := calendar.Parse("Fri", "18:00", "23:00", "Asia/Tokyo")
	if err != nil {
		t.Fatal(err)
	}
	friday := p.Default.Limits
	friday.IdleLimit = 35 * time.Second
	friday.Source = "Friday"
	p.Default.IdleLimit = 0
	p.Default.Windows = []WindowLimits{{friday, w}}
	h := newHarness(t, p)
	start := time.Date(2026, 12, 4, 17, 58, 0, 0, time.FixedZone("", 9*3600))
	base := h.now
	h.manager.Wall = func(now time.Duration) time.Time { return start.Add(now - base) }
	h.openSession()
	h.startTask()
	if h.advanceWithHeartbeats(118 * time.Second); h.state() != Idle {
		t.Fatalf("%s before the hour", h.state())
	}
	if h.advanceWithHeartbeats(4 * time.Second); h.state() != Warned {
		t.Fatalf("%s in the hour: %v", h.state(), explanationOf(h))
	}
}
