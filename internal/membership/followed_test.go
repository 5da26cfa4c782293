package membership

import (
	"testing"

	"github.com/harewalk/harewalk/internal/store"
)

// A value that this release can't read is refused, and its version doesn't count as seen.
func TestUnreadableValuesAreRefused(t *testing.T) {
	for _, c := range []struct{ name, key, value string }{
		{"leader in a newer format", leaderKey, `{"v":2,"node":"n-0","term":7}`},
		{"leader that isn't JSON", leaderKey, `{`},
		{"shard map in a newer format", mapKey, `{"v":2,"term":7,"owners":["n-0"]}`},
		{"shard map that isn't JSON", mapKey, `{`},
		{"term that isn't JSON", termKey, `{`},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Config{Node: "n-1"}, nil, nil)
			if err := m.HandleItem(0, store.Item{Key: c.key, Value: []byte(c.value), Version: 5}); err == nil {
				t.Fatal("no error")
			}
			if m.leaderVersion != 0 || m.termVersion != 0 || m.shardMapVersion != 0 {
				t.Fatalf("versions are %d, %d and %d", m.leaderVersion, m.termVersion, m.shardMapVersion)
			}
		})
	}
}
