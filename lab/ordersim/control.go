package ordersim

import (
	"net/http"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// Control returns the handler of the fault controls: POST /freeze, /unfreeze,
// /die, /restart, and GET /ledger. It is served on a separate address, which
// stays open while the service is down.
func (s *Service) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /freeze", func(http.ResponseWriter, *http.Request) { s.Freeze() })
	mux.HandleFunc("POST /unfreeze", func(http.ResponseWriter, *http.Request) { s.Unfreeze() })
	mux.HandleFunc("POST /die", func(http.ResponseWriter, *http.Request) { s.Kill() })
	mux.HandleFunc("POST /restart", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Restart(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		simhttp.WriteJSON(w, http.StatusOK, s.opt.Ledger.Counts())
	})
	return mux
}
