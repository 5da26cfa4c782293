package rollout

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestTermFormats: the term is read in both formats, and a release that reads only the first refuses the second.
func TestTermFormats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := rapid.Uint64().Draw(t, "term")
		for _, level := range []Level{Base, Paged} {
			if decoded, err := DecodeTerm(EncodeTerm(level, term)); err != nil || decoded != term {
				t.Fatalf("level %d: term %d, %v", level, decoded, err)
			}
		}
		former := struct {
			Term uint64 `json:"term"`
		}{7}
		if json.Unmarshal(EncodeTerm(Base, term), &former) != nil || former.Term != term {
			t.Fatal("the former release can't read its own format")
		}
		if json.Unmarshal(EncodeTerm(Paged, term), &former) == nil {
			t.Fatal("the former release reads the term and could lead")
		}
	})
	for _, raw := range []string{`{"v":3,"term":"1"}`, `{"term":"x"}`, `{"term":-1}`, `[]`} {
		if term, err := DecodeTerm([]byte(raw)); err == nil {
			t.Errorf("%s is read as term %d", raw, term)
		}
	}
}
