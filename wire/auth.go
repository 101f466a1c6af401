package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// ExecuteToken derives the bearer token that entries present to agents.
func ExecuteToken(key []byte) string {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("execute"))
	return hex.EncodeToString(m.Sum(nil))
}
