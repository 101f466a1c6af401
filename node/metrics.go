package node

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/settings"
)

// pathMetrics is the HTTP path of a process's counters and latency histograms.
const pathMetrics = "/metrics"

const (
	// requestLinesPerSecond and requestLineBurst bound the log lines about
	// requests; more would take a noticeable part of a small VM's processor.
	requestLinesPerSecond = 100
	requestLineBurst      = 200
	// faultLinesPerSecond and faultLineBurst bound the log lines about faults
	// that occur in great numbers while a peer or link is down, such as lost
	// datagrams.
	faultLinesPerSecond = 1
	faultLineBurst      = 5
)

// metricsPage serves a set of metrics in the Prometheus text format.
func metricsPage(set *metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		set.WritePrometheus(w)
	}
}

// serveMetrics serves a set of metrics at addr unless addr is empty. If addr
// can't be opened, it logs the error and the process runs without metrics.
func serveMetrics(addr string, set *metrics.Set, b *bounds, l logr.Logger) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathMetrics, metricsPage(set))
	s := newInternalServer(mux)
	if addr == "" {
		return s
	}
	ln, err := settings.Listen("metrics_addr", addr)
	if err != nil {
		l.Error(err, "Metrics are not served.", "address", addr)
		return s
	}
	go serve(s, ln, b.internal(), l)
	return s
}
