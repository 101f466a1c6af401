package node

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against callers who read the operator's configuration, which holds all API keys,
// or who write to the quarantine: they reach the addresses of directory and readiness. What
// processes send each other is served at the internal address only.
func TestOnlyTheInternalAddressServesInternalPaths(t *testing.T) {
	is := is.New(t)
	sim, err := platformsim.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer sim.Close()
	sim.Put("op/config", configWith(1, "secret-key"))
	e := startEntry(t, "a", sim.Addr())
	eventually(t, "the entry is ready", func() bool {
		status, _ := get(t, "http://"+e.settings.ReadyAddr+platform.PathReady)
		return status == http.StatusOK
	})
	const operator = pathOperator + "?after=0&era=0&version=0"
	post := func(addr string) int {
		resp, err := http.Post("http://"+addr+wire.PathQuarantine, "application/json", strings.NewReader(`{"service":"s"}`))
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	for _, public := range []string{e.settings.CallersAddr, e.settings.DirectoryAddr, e.settings.ReadyAddr, e.settings.MetricsAddr} {
		status, body := get(t, "http://"+public+operator)
		is.True(status >= 400)                        // the operator's state
		is.True(!strings.Contains(body, `"config":`)) // the operator's state
		is.True(post(public) >= 400)                  // reports on prompt parts
		if public != e.settings.MetricsAddr {
			status, _ = get(t, "http://"+public+pathMetrics)
			is.True(status >= 400) // metrics
		}
	}
	for _, addr := range []string{e.settings.DirectoryAddr, e.settings.ReadyAddr} {
		for _, path := range []string{platform.PathReady, platform.PathDirectory + "?name=h.example"} {
			status, _ := get(t, "http://"+addr+path)
			is.Equal(status, http.StatusOK)
		}
	}
	internal := net.JoinHostPort("127.0.0.1", strconv.Itoa(e.settings.PeerPort))
	status, body := get(t, "http://"+internal+operator)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"config":`))
	is.True(post(internal) < 400)
	status, _ = get(t, "http://"+internal+pathMetrics)
	is.Equal(status, http.StatusOK)
}
