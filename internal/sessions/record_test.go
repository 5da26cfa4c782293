package sessions

import (
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// A record of a newer release is told from one that is damaged.
func TestRecordInANewerFormatIsNamed(t *testing.T) {
	var newer *rollout.NewerFormatError
	if _, err := decodeRecord(store.Item{Value: []byte(`{"v":2,"user":"kana"}`)}); !errors.As(err, &newer) {
		t.Errorf("a newer record: %v", err)
	}
	if _, err := decodeRecord(store.Item{Value: []byte(`{`)}); err == nil || errors.As(err, &newer) {
		t.Errorf("a damaged record: %v", err)
	}
}
