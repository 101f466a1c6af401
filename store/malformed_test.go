package store

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/rawhttp"
)

// Guards against a response of the service that reads as an empty store, or as a write that
// was made, although its head is malformed and the body may be a part of the whole one.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"length with a blank": "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length : 1000\r\n\r\n",
		"blank in a name":     "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nX Odd: 1\r\n\r\n",
		"another version":     "HTTP/2.0 200 OK\r\nX-Consul-Index: 7\r\n\r\n",
		"status 000":          "HTTP/1.1 000 Unknown\r\nX-Consul-Index: 7\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := func(body string) *Consul {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = ln.Close() })
				go rawhttp.Serve(ln, response+body)
				return NewConsul(ConsulConfig{Addrs: []string{ln.Addr().String()}, CallsPerSecond: 100, Burst: 100})
			}
			is := is.New(t)
			if kvs, index, err := client("[]").Watch(t.Context(), "p/", 0, time.Second); err == nil {
				t.Errorf("%d keys at %d were read", len(kvs), index)
			}
			is.True(client("true").CompareAndSwap(t.Context(), "p/k", nil, 1) != nil)
		})
	}
}
