package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// uploadBytes is the size of a request body that the socket buffers can't hold, so that
// it is still being written when the response arrives.
const uploadBytes = 64 << 20

// respondDuringUpload reads the first bytes of a request, writes response, and calls end
// once the client has read the head of the response.
func respondDuringUpload(t *testing.T, response string, headRead <-chan struct{}, end func(*net.TCPConn)) string {
	return serve(t, func(c net.Conn, _ int) {
		if _, err := io.ReadFull(c, make([]byte, 1024)); err != nil {
			return
		}
		io.WriteString(c, response)
		<-headRead
		end(c.(*net.TCPConn))
	})
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

func postUpload() *Request {
	return &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, uploadBytes)}
}

// Guards against a response without a length that is taken for a whole one although its
// connection was reset: the system reports a reset once, here to the write of the request.
func TestResetThatTheWriteMeetsTruncatesTheResponse(t *testing.T) {
	for name, response := range map[string]string{
		"part of a body": "HTTP/1.1 200 OK\r\n\r\npart",
		"no body yet":    "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\n\r\npart",
		"an error":       "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\npart",
		"a length":       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			headRead := make(chan struct{})
			addr := respondDuringUpload(t, response, headRead, reset)
			resp, err := NewClient(time.Second).Do(t.Context(), addr, postUpload())
			is.NoErr(err)
			defer resp.Close()
			close(headRead)
			<-resp.bodyWrite.done // the write has met the reset before the body is read
			is.True(resp.bodyWrite.err != nil)
			body, err := resp.ReadAll(100)
			if err == nil {
				t.Errorf("the body %q counts as whole", body)
			}
		})
	}
}

// Guards against losing whole responses that arrive before their request has been sent:
// the server ends its side of the connection in order, whatever it does then.
func TestResponseDuringUploadIsWholeAtAnOrderlyEnd(t *testing.T) {
	for name, afterwards := range map[string]func(*net.TCPConn){
		"the server reads no more": func(*net.TCPConn) {},
		"the server reads on":      func(c *net.TCPConn) { io.Copy(io.Discard, c) },
		"the server resets":        reset,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			headRead := make(chan struct{})
			addr := respondDuringUpload(t, "HTTP/1.1 200 OK\r\n\r\nwhole", headRead, func(c *net.TCPConn) {
				c.CloseWrite()
				afterwards(c)
			})
			resp, err := NewClient(time.Second).Do(t.Context(), addr, postUpload())
			is.NoErr(err)
			defer resp.Close()
			close(headRead)
			body, err := resp.ReadAll(100)
			is.NoErr(err)
			is.Equal(string(body), "whole")
		})
	}
}
