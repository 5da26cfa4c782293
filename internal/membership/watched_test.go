package membership

import (
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// If HandleItem can't decode a value, it returns an error and doesn't record the value's version. The error for a newer
// format is a rollout.NewerFormatError; the error for an invalid value is not.
func TestUndecodableValuesAreRejected(t *testing.T) {
	for _, c := range []struct {
		name, key, value string
		isNewer          bool
	}{
		{"leader in a newer format", leaderKey, `{"v":2,"node":"n-0","term":7}`, true},
		{"leader that isn't JSON", leaderKey, `{`, false},
		{"shard map in a newer format", shardMapKey, `{"v":2,"term":7,"owners":["n-0"]}`, true},
		{"shard map that isn't JSON", shardMapKey, `{`, false},
		{"term that isn't JSON", rollout.TermKey, `{`, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Config{Node: "n-1"}, nil, nil)
			err := m.HandleItem(0, store.Item{Key: c.key, Value: []byte(c.value), Version: 5})
			if err == nil {
				t.Fatal("got no error, want one")
			}
			var newer *rollout.NewerFormatError
			if errors.As(err, &newer) != c.isNewer {
				t.Errorf("got error %v, want a NewerFormatError: %v", err, c.isNewer)
			}
			if m.leaderVersion != 0 || m.termVersion != 0 || m.shardMapVersion != 0 {
				t.Fatalf("versions of leader, term, map: %d, %d, %d, want 0", m.leaderVersion, m.termVersion, m.shardMapVersion)
			}
		})
	}
}
