package simulator

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestParseScript checks that faults are returned in the order of their times, and that errors name the line or the
// wrong argument.
func TestParseScript(t *testing.T) {
	text := "# a bad minute\n30s outage 5s\n\n12s hang 5s # one machine\n1m refuse 2 3s\n12s crash-task\n"
	s, err := ParseScript(strings.NewReader(text))
	if err != nil || len(s) != 4 || s[0].Text != "hang 5s" || s[1].Text != "crash-task" || s[3].After != time.Minute {
		t.Fatalf("got faults %+v and error %v, want four faults in order of time", s, err)
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
			t.Errorf("%q: got error %v, want one that contains %q", bad, err, want)
		}
	}
}

// TestParseScriptErrorsAreTyped checks that the types of errors give a caller the line, its text and the cause.
func TestParseScriptErrorsAreTyped(t *testing.T) {
	_, err := ParseScript(strings.NewReader("12s hang 5s\n\n13s sleep 5s # at night\n"))
	var lineError *ScriptError
	if !errors.As(err, &lineError) || lineError.Line != 3 || lineError.Text != "13s sleep 5s" {
		t.Errorf("got error %#v, want a ScriptError with line 3 and its text", err)
	}
	if !errors.Is(err, errUnknownFault) {
		t.Errorf("got error %v, want errUnknownFault", err)
	}
	_, err = ParseScript(strings.NewReader("12s hang"))
	var countError *argumentCountError
	if !errors.As(err, &countError) || countError.fault != "hang" || countError.want != 1 {
		t.Errorf("got error %#v, want an argumentCountError for hang with 1 argument", err)
	}
	_, err = ParseScript(strings.NewReader("12s hang five"))
	var valueError *argumentError
	if !errors.As(err, &valueError) || valueError.value != "five" {
		t.Errorf("got error %#v, want an argumentError for the value five", err)
	}
	if _, err = ParseScript(strings.NewReader("12s")); !errors.Is(err, errNoTimeAndFault) {
		t.Errorf("got error %v, want errNoTimeAndFault", err)
	}
}
