package sessions

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"

	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

// Prefix is the key prefix of sessions' records in the state service. Only a leader reads the records.
const Prefix = "s/"

// Key returns the key of a session's record.
func Key(id string) string { return Prefix + id }

// maxRecordFormat is the newest format of Record that this release can decode.
const maxRecordFormat = 1

// Record is the durable part of a session. Apart from the owner, it holds only state whose loss would lose work: that
// the session was reclaimed, and its checkpoint.
type Record struct {
	Format           int         `json:"v,omitempty"`
	User             string      `json:"user"`
	Team             string      `json:"team"`
	UserTokenDigest  string      `json:"token"`     // SHA-256 of the user's token, in hex
	AgentTokenDigest string      `json:"agent"`     // SHA-256 of the agent's token, in hex
	OpenedMS         int64       `json:"opened_ms"` // time of day, in ms since 1970
	Reclaimed        bool        `json:"reclaimed,omitempty"`
	ReclaimedAtMS    int64       `json:"at_ms,omitempty"` // time of day, in ms since 1970; 0 unless Reclaimed
	Checkpoint       *Checkpoint `json:"saved,omitempty"`
}

// Checkpoint identifies the saved work of a session.
type Checkpoint struct {
	Ref  string  `json:"ref"` // the agent's name for the checkpoint, by which it resumes
	MB   float64 `json:"mb,omitempty"`
	AtMS int64   `json:"at_ms"` // time of day, in ms since 1970
}

// decodeRecord decodes a stored record. It returns a *rollout.NewerFormatError for a record in a newer format.
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

// encode returns the stored form of a record. It can't fail: every field of Record can be encoded.
func (r Record) encode() json.RawMessage {
	raw, _ := json.Marshal(r)
	return raw
}

// isOwnedBy reports whether a request to open a session is from the record's user, with the same token.
func (r Record) isOwnedBy(request *Request) bool {
	return r.UserTokenDigest == request.UserTokenDigest && r.User == request.User
}

// TokenDigest returns the SHA-256 of a token in hex. Only the digest is stored, not the token.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// tokenMatches reports whether a token has a digest. It compares in constant time.
func tokenMatches(token, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(TokenDigest(token)), []byte(digest)) == 1
}

// isTokenDigest reports whether a string is a SHA-256 digest in hex.
func isTokenDigest(digest string) bool {
	raw, err := hex.DecodeString(digest)
	return err == nil && len(raw) == sha256.Size
}
