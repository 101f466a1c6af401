package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// ExecuteToken derives the bearer token that entries present to agents from the
// shared key.
func ExecuteToken(key []byte) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("execute"))
	return hex.EncodeToString(mac.Sum(nil))
}
