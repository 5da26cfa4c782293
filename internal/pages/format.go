package pages

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/harewalk/harewalk/internal/rollout"
)

// StoredPage is a page as it was read.
type StoredPage struct {
	Number  int
	Version uint64                     // of its key
	Values  map[string]json.RawMessage // by name
}

// storedFormat is the value of a page's key in the state service.
type storedFormat struct {
	Format int                        `json:"v,omitempty"`
	Values map[string]json.RawMessage `json:"plans"`
}

// maxFormat is the newest format that Decode reads. A page without a format is of the first.
const maxFormat = 1

// Key returns the key of a page under a prefix.
func Key(prefix string, number int) string { return fmt.Sprintf("%s%05d", prefix, number) }

// KeyError is the error for a key that lies among the pages and has no page number.
type KeyError struct{ Key string }

// Error returns the message.
func (e *KeyError) Error() string { return fmt.Sprintf("page %q has no number", e.Key) }

// Decode reads the page that is stored under a key. If its value can't be read, the error comes with a StoredPage that
// has only its number, for Reserve; it is a *rollout.NewerFormatError for a newer format. If the key has no number, a
// *KeyError comes with an empty StoredPage. Operators read the error's text, as the cause in the list of unreadable
// records, next to the key.
func Decode(prefix, key string, raw json.RawMessage, version uint64) (StoredPage, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || number < 0 {
		return StoredPage{}, &KeyError{Key: key}
	}
	var stored storedFormat
	if err := json.Unmarshal(raw, &stored); err != nil {
		return StoredPage{Number: number}, err
	}
	if stored.Format > maxFormat {
		return StoredPage{Number: number}, &rollout.NewerFormatError{Record: "page", Format: stored.Format}
	}
	return StoredPage{Number: number, Version: version, Values: stored.Values}, nil
}

// encode returns the value of a page's key.
func encode(entries []Entry) json.RawMessage {
	var encoded bytes.Buffer
	encoded.WriteString(`{"plans":{`)
	for i, entry := range entries {
		if i > 0 {
			encoded.WriteByte(',')
		}
		encoded.WriteByte('"')
		encoded.WriteString(entry.Name)
		encoded.WriteString(`":`)
		encoded.Write(entry.Value)
	}
	encoded.WriteString(`}}`)
	return encoded.Bytes()
}
