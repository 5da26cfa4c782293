package access

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	// tokenPrefix marks harewalk's tokens, so that a leaked token can be recognized.
	tokenPrefix = "hw_"
	// tokenBytes is the entropy of a token, in bytes.
	tokenBytes = 32
)

// NewToken returns a new random token, and its SHA-256 sum in hexadecimal for the users' file.
func NewToken() (token, sumHex string) {
	raw := make([]byte, tokenBytes)
	_, _ = rand.Read(raw) // never fails
	token = tokenPrefix + base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(token))
	return token, hex.EncodeToString(sum[:])
}
