package controller

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/httpio"
)

// A malformed command is refused with its field and rule, as operators read them.
func TestMalformedLicenceCommandNamesItsField(t *testing.T) {
	count, negative, tooMany := 5, -1, maxLicenceCount+1
	const countRule = "count must be 0 to 1000000"
	for _, test := range []struct {
		name    string
		command licenceCommand
		want    string // "": it is well-formed
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
				t.Fatalf("untyped error %v", err)
			}
			if got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}

// A licence server that answers with another status than 200 gives an error with that status.
func TestLicenceServerErrorHasItsStatus(t *testing.T) {
	_, err := parseLicenceAnswer(httpio.Response{Status: http.StatusTeapot})
	var refused *licenceServerError
	if !errors.As(err, &refused) || err.Error() != "licence server answered 418" {
		t.Errorf("error %v", err)
	}
}
