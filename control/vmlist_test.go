package control

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an error response that is read as a list without leaving VMs, which then
// replaces the last list: endpoints on a leaving VM would get work again.
func TestErrorIsNoVMList(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"error":"not now","vms":[{"name":"vm1","state":"leaving"}]}`)
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	leaving, err := readVMs(t.Context(), http.DefaultClient, addr)
	is.NoErr(err)
	is.True(leaving["vm1"])
	for _, status = range []int{http.StatusNoContent, http.StatusNotFound, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		leaving, err := readVMs(t.Context(), http.DefaultClient, addr)
		if err == nil {
			t.Errorf("status %d: the list %v was used", status, leaving)
		}
	}
}
