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

// proof returns the HMAC over the role and both nonces. The role keeps one
// side's proof from being reflected to it.
func proof(key []byte, role string, server, client []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(role))
	m.Write(server)
	m.Write(client)
	return m.Sum(nil)
}

func newNonce() ([]byte, error) {
	n := make([]byte, nonceBytes)
	_, err := rand.Read(n)
	return n, trace.Wrap(err)
}

// acceptHandshake authenticates an incoming connection.
func acceptHandshake(c net.Conn, key []byte) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	server, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := c.Write(server); err != nil {
		return trace.Wrap(err)
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(c, answer); err != nil {
		return trace.Wrap(err)
	}
	client := answer[:nonceBytes]
	if !hmac.Equal(answer[nonceBytes:], proof(key, "client", server, client)) {
		return trace.AccessDenied("peer key does not match; set the same auth_key on all nodes")
	}
	if _, err := c.Write(proof(key, "server", server, client)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.SetDeadline(time.Time{}))
}

// dialHandshake authenticates an outgoing connection.
func dialHandshake(c net.Conn, key []byte) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	server := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, server); err != nil {
		return trace.Wrap(err)
	}
	client, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := c.Write(append(client[:nonceBytes:nonceBytes], proof(key, "client", server, client)...)); err != nil {
		return trace.Wrap(err)
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, answer); err != nil {
		return trace.Wrap(err)
	}
	if !hmac.Equal(answer, proof(key, "server", server, client)) {
		return trace.AccessDenied("peer key does not match; set the same auth_key on all nodes")
	}
	return trace.Wrap(c.SetDeadline(time.Time{}))
}
