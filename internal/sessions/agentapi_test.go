package sessions

import (
	"errors"
	"strings"
	"testing"
)

// A heartbeat with a value that no agent would send is refused, and the error names the field.
func TestInvalidHeartbeatsAreRefusedByField(t *testing.T) {
	tooLong := strings.Repeat("x", maxHeartbeatString+1)
	for _, c := range []struct {
		name, body string
		field      string // "": accepted
	}{
		{"smallest", `{"attempt":1,"seq":1}`, ""},
		{"largest value", `{"attempt":1,"seq":1,"input_s":1e8}`, ""},
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
				t.Errorf("error %v doesn't name %s", err, c.field)
			}
		})
	}
}
