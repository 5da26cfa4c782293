package membership

import (
	"errors"
	"testing"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// A value that this release can't read is refused, and its version doesn't count as seen. One in a newer format is
// told from one that is damaged.
func TestUnreadableValuesAreRefused(t *testing.T) {
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
				t.Fatal("no error")
			}
			var newer *rollout.NewerFormatError
			if errors.As(err, &newer) != c.isNewer {
				t.Errorf("error %v, in a newer format: %v", err, c.isNewer)
			}
			if m.leaderVersion != 0 || m.termVersion != 0 || m.shardMapVersion != 0 {
				t.Fatalf("versions are %d, %d and %d", m.leaderVersion, m.termVersion, m.shardMapVersion)
			}
		})
	}
}
