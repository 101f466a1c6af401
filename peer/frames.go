package peer

import (
	"net"

	"github.com/gravitational/trace"
)

// maxMessageBytes bounds one message. The largest are a reply with all node records, a
// bundle and an intents record, of 1 MB each, and expert maps. Gob itself would read
// several gigabytes into memory.
const maxMessageBytes = 16 << 20

// framedConn checks the lengths of the gob messages that are read from a connection.
type framedConn struct {
	net.Conn
	// remaining is the part of the current message that isn't read yet. While a length is
	// read, lengthBytes of it are missing, and length is its value so far.
	remaining   uint64
	lengthBytes int
	length      uint64
}

// Read implements net.Conn.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if lengthErr := c.check(p[:n]); lengthErr != nil {
		return 0, lengthErr
	}
	return n, err
}

// check follows the messages in p. In gob's encoding a length below 128 is one byte;
// others begin with the negated number of bytes that follow, big endian.
func (c *framedConn) check(p []byte) error {
	for len(p) > 0 {
		if c.remaining > 0 {
			skipped := min(c.remaining, uint64(len(p)))
			c.remaining -= skipped
			p = p[skipped:]
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case c.lengthBytes > 0:
			c.length = c.length<<8 | uint64(b)
			c.lengthBytes--
		case b < 128:
			c.length = uint64(b)
		default:
			c.length, c.lengthBytes = 0, -int(int8(b))
		}
		if c.lengthBytes > 8 || c.length > maxMessageBytes {
			return trace.LimitExceeded("a message of a peer exceeds %d bytes", maxMessageBytes)
		}
		if c.lengthBytes == 0 {
			c.remaining = c.length
		}
	}
	return nil
}
