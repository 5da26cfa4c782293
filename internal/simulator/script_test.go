package simulator

import (
	"strings"
	"testing"
	"time"
)

// TestParseScript checks that faults are returned in the order of their times, and that an error names its line.
func TestParseScript(t *testing.T) {
	text := "# a bad minute\n30s outage 5s\n\n12s hang 5s # one machine\n1m refuse 2 3s\n12s crash-task\n"
	s, err := ParseScript(strings.NewReader(text))
	if err != nil || len(s) != 4 || s[0].Text != "hang 5s" || s[1].Text != "crash-task" || s[3].After != time.Minute {
		t.Fatalf("%+v, %v", s, err)
	}
	for bad, want := range map[string]string{
		"hang 5s":        "line 1",
		"\n12s sleep 5s": "line 2",
		"12s hang":       "takes 1",
		"12s hang five":  "five is not",
		"1s refuse x 3s": "x is not",
		"-1s crash-task": "begin with a time",
	} {
		if _, err := ParseScript(strings.NewReader(bad)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v does not say %q", bad, err, want)
		}
	}
}
