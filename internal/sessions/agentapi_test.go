package sessions

import (
	"errors"
	"strings"
	"testing"
)

// A heartbeat with an invalid value is refused with an error that names the field.
func TestParseHeartbeatNamesInvalidField(t *testing.T) {
	tooLong := strings.Repeat("x", maxHeartbeatString+1)
	for _, c := range []struct {
		name, body string
		field      string // that the error names, "": no error
	}{
		{"required fields only", `{"attempt":1,"seq":1}`, ""},
		{"largest age", `{"attempt":1,"seq":1,"input_s":1e8}`, ""},
		{"negative age", `{"attempt":1,"seq":1,"cell_s":-1}`, "cell_s"},
		{"amount too large", `{"attempt":1,"seq":1,"unsaved_mb":1e9}`, "unsaved_mb"},
		{"no attempt", `{"seq":1}`, "attempt and seq"},
		{"no sequence", `{"attempt":1}`, "attempt and seq"},
		{"long reference to resume from", `{"attempt":1,"seq":1,"resumed":"` + tooLong + `"}`, "save or resumed"},
		{"long cause", `{"attempt":1,"seq":1,"save":{"why":"` + tooLong + `"}}`, "save or resumed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseHeartbeat([]byte(c.body))
			if c.field == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var invalid *InvalidFieldError
			if !errors.As(err, &invalid) || invalid.Field != c.field {
				t.Errorf("got error %v, want an InvalidFieldError for %q", err, c.field)
			}
		})
	}
}
