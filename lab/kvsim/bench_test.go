package kvsim

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkPut measures a write over one keep-alive connection.
func BenchmarkPut(b *testing.B) {
	s, err := Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	for n := 0; b.Loop(); n++ {
		r, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s/v1/kv/k%d", s.Addr(), n%1000), strings.NewReader("value"))
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // a connection is reused only after its response was read
		_ = resp.Body.Close()
	}
}
