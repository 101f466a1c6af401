// Package vmlist simulates the platform's list of live and leaving VMs, which
// shows changes only after a lag.
package vmlist

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// States of a VM. A removed VM is not listed.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is a listed virtual machine.
type VM struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Listing is the response of GET /vms.
type Listing struct {
	VMs []VM `json:"vms"`
	// AsOf is the time at which this list was valid, in RFC 3339.
	AsOf time.Time `json:"as_of"`
}

type change struct {
	changedAt time.Time
	vm        VM
	removed   bool
}

// Server serves the VM list.
type Server struct {
	server *simhttp.Server

	mu      sync.Mutex
	lag     time.Duration
	listed  map[string]VM
	pending []change
}

// Listen starts the service on addr (IP:port) with the given lag.
func Listen(addr string, lag time.Duration) (*Server, error) {
	s := &Server{lag: lag, listed: make(map[string]VM)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		simhttp.WriteJSON(w, http.StatusOK, s.Listing())
	})
	h, err := simhttp.Listen(addr, mux)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.server = h
	return s, nil
}

// Addr returns the IP:port of the service.
func (s *Server) Addr() string { return s.server.Addr() }

// Close stops the service.
func (s *Server) Close() { s.server.Close() }

// SetLag sets the lag of all changes that are not listed yet.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Put adds or changes a VM; the list shows it after the lag.
func (s *Server) Put(vm VM) { s.addChange(change{vm: vm}) }

// Remove removes a VM; the list shows it after the lag.
func (s *Server) Remove(name string) { s.addChange(change{vm: VM{Name: name}, removed: true}) }

func (s *Server) addChange(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.changedAt = time.Now()
	s.pending = append(s.pending, c)
}

// Listing returns the list as it was one lag ago, sorted by name.
func (s *Server) Listing() Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-s.lag)
	for len(s.pending) > 0 && !s.pending[0].changedAt.After(asOf) {
		s.apply(s.pending[0])
		s.pending = s.pending[1:]
	}
	l := Listing{VMs: make([]VM, 0, len(s.listed)), AsOf: asOf}
	for _, vm := range s.listed {
		l.VMs = append(l.VMs, vm)
	}
	sort.Slice(l.VMs, func(i, j int) bool { return l.VMs[i].Name < l.VMs[j].Name })
	return l
}

func (s *Server) apply(c change) {
	if c.removed {
		delete(s.listed, c.vm.Name)
		return
	}
	s.listed[c.vm.Name] = c.vm
}

// Control returns the handler of the list controls, served on a separate
// address: PUT /vms with a VM, DELETE /vms/NAME, PUT /lag?lag=DURATION.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var vm VM
		if simhttp.ReadJSON(w, r, &vm) {
			s.Put(vm)
		}
	})
	mux.HandleFunc("DELETE /vms/{name}", func(_ http.ResponseWriter, r *http.Request) { s.Remove(r.PathValue("name")) })
	mux.HandleFunc("PUT /lag", func(w http.ResponseWriter, r *http.Request) {
		lag, err := time.ParseDuration(r.URL.Query().Get("lag"))
		if err != nil {
			http.Error(w, "lag is not a duration such as 5s", http.StatusBadRequest)
			return
		}
		s.SetLag(lag)
	})
	return mux
}
