package ordersim

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a ledger that misses a second run of an order, or one run by
// another endpoint.
func TestLedgerCountsSecondRun(t *testing.T) {
	is := is.New(t)
	ledger := NewLedger()
	for range 2 {
		s, err := Listen("127.0.0.1:0", Options{Ledger: ledger})
		is.NoErr(err)
		defer s.Close()
		r, err := http.NewRequest("POST", "http://"+s.Addr()+"/orders", strings.NewReader(`{"order":"o-1","kit":"k"}`))
		is.NoErr(err)
		r.Header.Set("Idempotency-Key", "same")
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		var c Confirmation
		is.NoErr(json.NewDecoder(resp.Body).Decode(&c))
		is.NoErr(resp.Body.Close())
		is.Equal(c.Code, ConfirmationCode("o-1"))
	}
	is.Equal(ledger.Counts()["o-1"], 2)
}

// Guards against an order that runs after the service was killed before the
// order took effect.
func TestKillBeforeEffect(t *testing.T) {
	is := is.New(t)
	s, err := Listen("127.0.0.1:0", Options{ServiceTime: 200 * time.Millisecond})
	is.NoErr(err)
	defer s.Close()
	failed := make(chan error, 1)
	go func() {
		resp, err := http.Post("http://"+s.Addr()+"/orders", "application/json", strings.NewReader(`{"order":"o-2"}`))
		if err == nil {
			_ = resp.Body.Close()
		}
		failed <- err
	}()
	time.Sleep(20 * time.Millisecond)
	s.Kill()
	is.True(<-failed != nil)
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(s.Ledger().Counts()), 0)
	is.NoErr(s.Restart())
	resp, err := http.Get("http://" + s.Addr() + "/stock/blue")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
}
