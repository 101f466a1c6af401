package kvsim

import (
	"net/http"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// Control returns the handler of the fault controls: PUT and GET /faults, and
// GET /counters. It is served on a separate address, since the address of the
// service is closed during an outage.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		simhttp.WriteJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if !simhttp.ReadJSON(w, r, &f) {
			return
		}
		if err := s.SetFaults(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		simhttp.WriteJSON(w, http.StatusOK, f)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		simhttp.WriteJSON(w, http.StatusOK, s.Counters())
	})
	return mux
}
