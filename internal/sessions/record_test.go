package sessions

import (
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// Decoding fails with a *rollout.NewerFormatError for a record of a newer release, and with another error for a damaged
// one.
func TestDecodeRecordDistinguishesNewerFormat(t *testing.T) {
	var newer *rollout.NewerFormatError
	if _, err := decodeRecord(store.Item{Value: []byte(`{"v":2,"user":"kana"}`)}); !errors.As(err, &newer) {
		t.Errorf("newer record: got error %v, want a NewerFormatError", err)
	}
	if _, err := decodeRecord(store.Item{Value: []byte(`{`)}); err == nil || errors.As(err, &newer) {
		t.Errorf("damaged record: got error %v, want one that is not a NewerFormatError", err)
	}
}
