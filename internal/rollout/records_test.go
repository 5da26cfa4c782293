package rollout

import (
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/harewalk/harewalk/internal/store"
)

// TestTermIsReadInBothFormats: this release reads both formats, and one that reads only the first refuses the second.
func TestTermIsReadInBothFormats(t *testing.T) {
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

// TestNewerFormatIsRefusedWithItsNumber: callers can tell a newer record from a damaged one.
func TestNewerFormatIsRefusedWithItsNumber(t *testing.T) {
	var newer *NewerFormatError
	if _, err := DecodeTerm([]byte(`{"v":3,"term":"1"}`)); !errors.As(err, &newer) || newer.Format != 3 {
		t.Errorf("error %v, want one about format 3", err)
	}
	if _, err := DecodeTerm([]byte(`[]`)); err == nil || errors.As(err, &newer) {
		t.Errorf("error %v, want one that isn't about a format", err)
	}
}

// TestStoredRecordsAreReadAsWritten: no field is lost between a record and what the rollout keeps of it, and the
// stored bytes are those that former releases read.
func TestStoredRecordsAreReadAsWritten(t *testing.T) {
	written := migration{level: Paged, done: true, left: 3, term: 7, leaders: 2}
	raw := encode(newMigrationRecord(written))
	if want := `{"level":2,"done":true,"left":3,"term":7,"turns":2}`; string(raw) != want {
		t.Errorf("stored as %s, want %s", raw, want)
	}
	r := newTestRollout(true)
	r.HandleItem(store.Item{Key: migrationKey, Value: raw, Version: 2})
	if r.stored.migration != written {
		t.Errorf("read as %+v, want %+v", r.stored.migration, written)
	}

	stored := `{"mode":"finish","level":2,"by":"ana","at_ms":5}`
	r.HandleItem(store.Item{Key: directiveKey, Value: json.RawMessage(stored), Version: 3})
	if want := (directive{mode: FinishRequested, level: Paged, operator: "ana"}); r.stored.directive != want {
		t.Errorf("read as %+v, want %+v", r.stored.directive, want)
	}
}

// TestDamagedTermIsRefused: a term that is no whole number was read as the digits that it begins with, a smaller term.
func TestDamagedTermIsRefused(t *testing.T) {
	for _, raw := range []string{`{"term":1.5}`, `{"term":1e3}`, `{"v":2,"term":"2.5"}`, `{"term":-1}`, `{}`} {
		if term, err := DecodeTerm([]byte(raw)); err == nil {
			t.Errorf("%s was read as term %d", raw, term)
		}
	}
}
