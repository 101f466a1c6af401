package peer

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// scriptedConn returns what was written to it, in pieces of at most size bytes.
type scriptedConn struct {
	net.Conn
	bytes.Buffer
	size int
}

func (c *scriptedConn) Read(p []byte) (int, error)  { return c.Buffer.Read(p[:min(len(p), c.size)]) }
func (c *scriptedConn) Write(p []byte) (int, error) { return c.Buffer.Write(p) }

// Guards against a message that is read into memory whatever its length, and against
// messages that are refused although they are within the limit, however they arrive.
func TestMessageLengths(t *testing.T) {
	for _, size := range []int{1, 2, 7, 4096} {
		is := is.New(t)
		c := &scriptedConn{size: size}
		encoder := gob.NewEncoder(&c.Buffer)
		sent := []string{"", "short", string(make([]byte, 127)), string(make([]byte, 70000))}
		for _, s := range sent {
			is.NoErr(encoder.Encode(s))
		}
		decoder := gob.NewDecoder(&framedConn{Conn: c})
		for _, s := range sent {
			var got string
			is.NoErr(decoder.Decode(&got))
			is.Equal(got, s)
		}
		c.Reset()
		_, _ = c.Buffer.Write([]byte{0xfc, 0x01, 0x00, 0x00, 0x01, 'x'}) // maxMessageBytes + 1
		_, err := io.ReadAll(&framedConn{Conn: c})
		is.True(err != nil)
	}
}
