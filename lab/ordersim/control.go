package ordersim

import (
	"net/http"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// Control returns the handler of the fault controls, served on an address of
// its own: POST /freeze, /unfreeze, /die, /restart, and GET /ledger.
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
