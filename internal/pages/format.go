package pages

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/harewalk/harewalk/internal/rollout"
)

// StoredPage is a page as read from the state service.
type StoredPage struct {
	Number  int
	Version uint64                     // version of the page's key
	Values  map[string]json.RawMessage // values by name
}

// pageRecord is the value of a page's key in the state service.
type pageRecord struct {
	Format int                        `json:"v,omitempty"`
	Values map[string]json.RawMessage `json:"plans"`
}

// maxFormat is the newest format that Decode can read. A page without a format number is in format 1.
const maxFormat = 1

// Key returns the key of the page with the given number: prefix and at least five digits.
func Key(prefix string, number int) string { return fmt.Sprintf("%s%05d", prefix, number) }

// KeyError is the error for a key that has the prefix of pages, but no page number after it.
type KeyError struct{ Key string }

// Error implements the error interface.
func (e *KeyError) Error() string { return fmt.Sprintf("page %q has no number", e.Key) }

// Decode decodes the value raw of the page stored under key, with the key's version. If the value can't be decoded, it
// returns an error and a StoredPage with only the number, for Reserve. For a format newer than maxFormat the error is
// a *rollout.NewerFormatError. If the key has no page number, it returns a *KeyError and an empty StoredPage. The
// error's text is shown to operators next to the key, as the cause in the list of unreadable records.
func Decode(prefix, key string, raw json.RawMessage, version uint64) (StoredPage, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || number < 0 {
		return StoredPage{}, &KeyError{Key: key}
	}
	var stored pageRecord
	if err := json.Unmarshal(raw, &stored); err != nil {
		return StoredPage{Number: number}, err
	}
	if stored.Format > maxFormat {
		return StoredPage{Number: number}, &rollout.NewerFormatError{Record: "page", Format: stored.Format}
	}
	return StoredPage{Number: number, Version: version, Values: stored.Values}, nil
}

// encode returns the value that a page's key gets in the state service.
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
