package rollout

import (
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/harewalk/harewalk/internal/store"
)

// TestTermIsReadInBothFormats checks that this release reads both formats of the term, and that a release without
// levels reads only the first format.
func TestTermIsReadInBothFormats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := rapid.Uint64().Draw(t, "term")
		for _, level := range []Level{Base, Paged} {
			if decoded, err := DecodeTerm(EncodeTerm(level, term)); err != nil || decoded != term {
				t.Fatalf("level %d: got term %d, error %v, want the encoded term", level, decoded, err)
			}
		}
		former := struct {
			Term uint64 `json:"term"`
		}{7}
		if json.Unmarshal(EncodeTerm(Base, term), &former) != nil || former.Term != term {
			t.Fatal("the former release can't read the term that is written at level Base")
		}
		if json.Unmarshal(EncodeTerm(Paged, term), &former) == nil {
			t.Fatal("the former release can read the term that is written at level Paged, so it could lead")
		}
	})
	for _, raw := range []string{`{"v":3,"term":"1"}`, `{"term":"x"}`, `{"term":-1}`, `[]`} {
		if term, err := DecodeTerm([]byte(raw)); err == nil {
			t.Errorf("%s: got term %d, want an error", raw, term)
		}
	}
}

// TestNewerFormatIsRefusedWithItsNumber checks that callers can distinguish a newer format, whose error contains its
// number, from a damaged record.
func TestNewerFormatIsRefusedWithItsNumber(t *testing.T) {
	var newer *NewerFormatError
	if _, err := DecodeTerm([]byte(`{"v":3,"term":"1"}`)); !errors.As(err, &newer) || newer.Format != 3 {
		t.Errorf("newer format: got error %v, want a NewerFormatError with format 3", err)
	}
	if _, err := DecodeTerm([]byte(`[]`)); err == nil || errors.As(err, &newer) {
		t.Errorf("damaged record: got error %v, want one that isn't a NewerFormatError", err)
	}
}

// TestStoredRecordsAreReadAsWritten checks that no field is lost when a record is stored and read, and that the stored
// bytes are those that former releases read.
func TestStoredRecordsAreReadAsWritten(t *testing.T) {
	written := migration{level: Paged, done: true, left: 3, term: 7, leaders: 2}
	raw := encode(newMigrationRecord(written))
	if want := `{"level":2,"done":true,"left":3,"term":7,"turns":2}`; string(raw) != want {
		t.Errorf("stored migration: got %s, want %s", raw, want)
	}
	r := newTestRollout(true)
	r.HandleItem(store.Item{Key: migrationKey, Value: raw, Version: 2})
	if r.stored.migration != written {
		t.Errorf("migration read: got %+v, want %+v", r.stored.migration, written)
	}

	stored := `{"mode":"finish","level":2,"by":"ana","at_ms":5}`
	r.HandleItem(store.Item{Key: directiveKey, Value: json.RawMessage(stored), Version: 3})
	if want := (directive{mode: FinishRequested, level: Paged, operator: "ana"}); r.stored.directive != want {
		t.Errorf("directive read: got %+v, want %+v", r.stored.directive, want)
	}
}

// TestDamagedTermIsRefused checks that a term that isn't a whole number is an error. Such a term was once read as its
// leading digits, which gave a smaller term.
func TestDamagedTermIsRefused(t *testing.T) {
	for _, raw := range []string{`{"term":1.5}`, `{"term":1e3}`, `{"v":2,"term":"2.5"}`, `{"term":-1}`, `{}`} {
		if term, err := DecodeTerm([]byte(raw)); err == nil {
			t.Errorf("%s: got term %d, want an error", raw, term)
		}
	}
}
