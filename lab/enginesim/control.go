package enginesim

import (
	"net/http"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// Control returns the handler of the fault controls: POST
// /cold?grace=DURATION, /freeze, /unfreeze, /die, /restart, and GET /record.
// It is served on a separate address, which stays open while the engine is
// down.
func (e *Engine) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cold", func(w http.ResponseWriter, r *http.Request) {
		grace, err := time.ParseDuration(r.URL.Query().Get("grace"))
		if err != nil {
			http.Error(w, "grace is not a duration such as 1s", http.StatusBadRequest)
			return
		}
		e.TurnCold(grace)
	})
	mux.HandleFunc("POST /freeze", func(http.ResponseWriter, *http.Request) { e.Freeze() })
	mux.HandleFunc("POST /unfreeze", func(http.ResponseWriter, *http.Request) { e.Unfreeze() })
	mux.HandleFunc("POST /die", func(http.ResponseWriter, *http.Request) { e.Kill() })
	mux.HandleFunc("POST /restart", func(w http.ResponseWriter, _ *http.Request) {
		if err := e.Restart(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		simhttp.WriteJSON(w, http.StatusOK, e.Record())
	})
	return mux
}
