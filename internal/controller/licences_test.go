package controller

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/httpio"
)

// The error about a malformed command names the field and the rule that it violates.
func TestMalformedLicenceCommandNamesItsField(t *testing.T) {
	count, negative, tooMany := 5, -1, maxLicenceCount+1
	const countRule = "count must be 0 to 1000000"
	for _, test := range []struct {
		name    string
		command licenceCommand
		want    string // "" if the command is well-formed
	}{
		{"count", licenceCommand{Count: &count}, ""},
		{"reset without a count", licenceCommand{Reset: true}, ""},
		{"no count", licenceCommand{}, countRule},
		{"negative count", licenceCommand{Count: &negative}, countRule},
		{"count above the limit", licenceCommand{Count: &tooMany}, countRule},
		{"unknown policy", licenceCommand{Count: &count, Lower: "x"}, `on_lower must be "wait" or "stop"`},
		{"long name", licenceCommand{Reset: true, By: strings.Repeat("x", 101)}, "by is longer than 100 characters"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			var invalid *licenceCommandError
			if err := test.command.validate(); errors.As(err, &invalid) {
				got = invalid.Error()
			} else if err != nil {
				t.Fatalf("error %v, want a *licenceCommandError", err)
			}
			if got != test.want {
				t.Errorf("error %q, want %q", got, test.want)
			}
		})
	}
}

// A licence server's response with another status than 200 results in an error with this status.
func TestLicenceServerErrorHasItsStatus(t *testing.T) {
	_, err := parseLicenceAnswer(httpio.Response{Status: http.StatusTeapot})
	var refused *licenceServerError
	if !errors.As(err, &refused) || err.Error() != "licence server answered 418" {
		t.Errorf("error %v, want a *licenceServerError with status 418", err)
	}
}
