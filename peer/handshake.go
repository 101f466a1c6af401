package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
)

// proof returns the HMAC-SHA256, under key, of the role ("client" or "server") and
// both nonces. The role prevents a reflection attack, in which a peer without the key
// returns the other side's proof to it as its response.
func proof(key []byte, role string, serverNonce, clientNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(serverNonce)
	mac.Write(clientNonce)
	return mac.Sum(nil)
}

func newNonce() ([]byte, error) {
	n := make([]byte, nonceBytes)
	_, err := rand.Read(n)
	return n, trace.Wrap(err)
}

// acceptHandshake authenticates an incoming connection: it sends a nonce, reads the
// client's nonce and proof, checks the proof, and sends the server's proof. It fails
// if this takes longer than handshakeTimeout.
func acceptHandshake(c net.Conn, key []byte) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	serverNonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := c.Write(serverNonce); err != nil {
		return trace.Wrap(err)
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(c, response); err != nil {
		return trace.Wrap(err)
	}
	clientNonce := response[:nonceBytes]
	if !hmac.Equal(response[nonceBytes:], proof(key, "client", serverNonce, clientNonce)) {
		return trace.AccessDenied("peer key does not match; set the same auth_key on all nodes")
	}
	if _, err := c.Write(proof(key, "server", serverNonce, clientNonce)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.SetDeadline(time.Time{}))
}

// dialHandshake authenticates an outgoing connection; it is the client's side of
// acceptHandshake.
func dialHandshake(c net.Conn, key []byte) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	serverNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, serverNonce); err != nil {
		return trace.Wrap(err)
	}
	clientNonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := c.Write(append(clientNonce[:nonceBytes:nonceBytes], proof(key, "client", serverNonce, clientNonce)...)); err != nil {
		return trace.Wrap(err)
	}
	response := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, response); err != nil {
		return trace.Wrap(err)
	}
	if !hmac.Equal(response, proof(key, "server", serverNonce, clientNonce)) {
		return trace.AccessDenied("peer key does not match; set the same auth_key on all nodes")
	}
	return trace.Wrap(c.SetDeadline(time.Time{}))
}
