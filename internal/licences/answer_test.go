package licences

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestParseAnswerChecksBounds(t *testing.T) {
	holders := func(n int) string {
		return fmt.Sprintf(`{"holders":[%s]}`, strings.TrimSuffix(strings.Repeat("{},", n), ","))
	}
	for _, c := range []struct {
		name, raw     string
		err           string // "": none
		isOutOfBounds bool
	}{
		{"no holders", `{"count":3,"holders":[]}`, "", false},
		{"largest units", `{"holders":[{"holder":"a","attempt":1,"units":1000000}]}`, "", false},
		{"most holders", holders(maxHolders), "", false},
		{"not JSON", `{`, "licence server: ", false},
		{"list missing", `{"count":3}`, `no list "holders"`, false},
		{"count negative", `{"count":-1,"holders":[]}`, "out of bounds", true},
		{"too many holders", holders(maxHolders + 1), "out of bounds", true},
		{"units negative", `{"holders":[{"holder":"a","units":-1}]}`, `holder "a" has -1 units`, true},
		{"too many units", `{"holders":[{"holder":"a","units":1000001}]}`, `holder "a" has 1000001 units`, true},
	} {
		_, err := ParseAnswer([]byte(c.raw))
		switch {
		case c.err == "" && err != nil:
			t.Errorf("%s: got error %v, want none", c.name, err)
		case c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)):
			t.Errorf("%s: got error %v, want one with %q", c.name, err, c.err)
		}
		if errors.Is(err, errOutOfBounds) != c.isOutOfBounds {
			t.Errorf("%s: got error %v, want errOutOfBounds: %v", c.name, err, c.isOutOfBounds)
		}
	}
}
