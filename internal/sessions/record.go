package sessions

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// Prefix is the prefix of the keys of sessions' records. Only a leader reads them.
const Prefix = "s/"

// Key returns the key of a session's record.
func Key(id string) string { return Prefix + id }

// maxRecordFormat is the newest format of records that this release reads.
const maxRecordFormat = 1

// Record is the durable part of a session: its owner, and, where losing it would lose work, that it was reclaimed and
// its checkpoint.
type Record struct {
	Format           int         `json:"v,omitempty"`
	User             string      `json:"user"`
	Team             string      `json:"team"`
	UserTokenDigest  string      `json:"token"` // SHA-256 of the user's token, in hex
	AgentTokenDigest string      `json:"agent"` // SHA-256 of the agent's token, in hex
	OpenedMS         int64       `json:"opened_ms"`
	Reclaimed        bool        `json:"reclaimed,omitempty"`
	ReclaimedAtMS    int64       `json:"at_ms,omitempty"` // 0 unless Reclaimed
	Checkpoint       *Checkpoint `json:"saved,omitempty"`
}

// Checkpoint names saved work of a session.
type Checkpoint struct {
	Ref  string  `json:"ref"` // the agent's reference, to resume from
	MB   float64 `json:"mb,omitempty"`
	AtMS int64   `json:"at_ms"`
}

// decodeRecord reads a stored record. It returns a *rollout.NewerFormatError for one in a newer format.
func decodeRecord(item store.Item) (Record, error) {
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return record, err
	}
	if record.Format > maxRecordFormat {
		return record, &rollout.NewerFormatError{Record: "session", Format: record.Format}
	}
	return record, nil
}

// encode returns the stored form. A record has no field that can't be encoded.
func (r Record) encode() json.RawMessage {
	raw, _ := json.Marshal(r)
	return raw
}

// isOwnedBy reports whether a request to open a session is by the record's user, with the same token.
func (r Record) isOwnedBy(request *Request) bool {
	return r.UserTokenDigest == request.UserTokenDigest && r.User == request.User
}

// TokenDigest returns what is stored of a token: its SHA-256 in hex.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// tokenMatches reports whether a digest is a token's, in constant time.
func tokenMatches(token, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(TokenDigest(token)), []byte(digest)) == 1
}

// isTokenDigest reports whether a string has the form of a digest.
func isTokenDigest(digest string) bool {
	raw, err := hex.DecodeString(digest)
	return err == nil && len(raw) == sha256.Size
}
