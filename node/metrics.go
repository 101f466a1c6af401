package node

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/settings"
)

// pathMetrics is where a process's counters and latency histograms are read.
const pathMetrics = "/metrics"

const (
	// requestLinesPerSecond and requestBurst bound the log lines about requests; more
	// would take a noticeable part of a small VM's processor.
	requestLinesPerSecond = 100
	requestLineBurst      = 200
	// faultLinesPerSecond and rareBurst bound the lines about events that may come in
	// great numbers while something is away, such as lost datagrams.
	faultLinesPerSecond = 1
	faultLineBurst      = 5
)

// metricsPage serves a set in the text format of Prometheus.
func metricsPage(set *metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		set.WritePrometheus(w)
	}
}

// serveMetrics serves a set at addr, unless that is empty. A process whose
// metrics can't be read still does its work.
func serveMetrics(addr string, set *metrics.Set, l logr.Logger) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathMetrics, metricsPage(set))
	s := newServer(mux)
	if addr == "" {
		return s
	}
	ln, err := settings.Listen("metrics_addr", addr)
	if err != nil {
		l.Error(err, "No metrics.", "address", addr)
		return s
	}
	go serve(s, ln, l)
	return s
}
