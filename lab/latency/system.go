package latency

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/agent"
	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/entry"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
	"github.com/wasabinotch/wasabinotch/lab/vmlist"
)

// Names of the services.
const (
	modelService = "notes"
	plainService = "desk"
)

// endpointsPerService is the number of endpoints of each service.
const endpointsPerService = 2

// serviceTime is the duration of one call to the plain service.
const serviceTime = 5 * time.Millisecond

// system is the running deployment with simulated engines, plain services,
// store and VM list.
type system struct {
	deployment *deploy.Deployment
	client     *http.Client
	cancel     context.CancelFunc
	daemons    sync.WaitGroup
	closers    []func()
}

func start(ctx context.Context) (*system, error) {
	d, err := deploy.Plan{
		Name: "latency", Zones: []string{"zone-a", "zone-b"}, Entries: 2,
		ModelAgents: endpointsPerService, OrderAgents: endpointsPerService, Organisations: []string{"batinah"},
		Members: []string{"batinah"}, Threshold: 1, Operators: []string{"operator"},
		ModelService: modelService, PlainService: plainService, NextAddr: deploy.FreeAddrs("127.0.0.1"),
	}.Build()
	if err != nil {
		return nil, err
	}
	const idleConnsPerAddr = 1000
	s := &system{deployment: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerAddr}}}
	var daemonCtx context.Context
	daemonCtx, s.cancel = context.WithCancel(context.Background())
	for _, step := range []func() error{
		s.startSimulators,
		func() error { return s.startDaemons(daemonCtx) },
		func() error { return s.rollOutBundle(ctx) },
	} {
		if err := step(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *system) startSimulators() error {
	simulators := s.deployment.Simulators
	store, err := kvsim.Listen(simulators.Store.Addr)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, store.Close)
	vms, err := vmlist.Listen(simulators.VMList.Addr, 0)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, vms.Close)
	for _, p := range simulators.Engines {
		e, err := enginesim.Listen(p.Addr, enginesim.DefaultOptions())
		if err != nil {
			return err
		}
		s.closers = append(s.closers, e.Close)
	}
	for _, p := range simulators.OrderServices {
		o, err := ordersim.Listen(p.Addr, ordersim.Options{ServiceTime: serviceTime})
		if err != nil {
			return err
		}
		s.closers = append(s.closers, o.Close)
	}
	return nil
}

func (s *system) startDaemons(ctx context.Context) error {
	for _, settings := range s.deployment.Entries {
		e, err := entry.New(settings, logr.Discard())
		if err != nil {
			return err
		}
		s.daemons.Go(func() { _ = e.Run(ctx) }) // ends with ctx
	}
	for _, settings := range s.deployment.Agents {
		a, err := agent.New(settings, logr.Discard())
		if err != nil {
			return err
		}
		s.daemons.Go(func() { _ = a.Run(ctx) }) // ends with ctx
	}
	return nil
}

// rollOutBundle sends the signed bundle to the first entry, with retries until
// the entry has started.
func (s *system) rollOutBundle(ctx context.Context) error {
	member := s.deployment.Members[0]
	signed := bundle.Signed{Bundle: s.deployment.Bundle}
	sig, err := signed.Bundle.Sign(member.Name, member.Private())
	if err != nil {
		return trace.Wrap(err)
	}
	signed.Signatures = []bundle.Signature{sig}
	body, err := json.Marshal(signed)
	if err != nil {
		return trace.Wrap(err)
	}
	const attempts, retryInterval = 100, 100 * time.Millisecond
	for range attempts {
		if err = s.post(ctx, s.deployment.Entries[0].HTTPAddr, api.PathAdminBundle, body, func(io.Reader) error { return nil }); err == nil {
			return nil
		}
		time.Sleep(retryInterval)
	}
	return err
}

// post sends a JSON request to addr and passes the body of the response to
// read.
func (s *system) post(ctx context.Context, addr, path string, body []byte, read func(io.Reader) error) error {
	return s.send(ctx, http.MethodPost, addr, path, body, read)
}

func (s *system) send(ctx context.Context, method, addr, path string, body []byte, read func(io.Reader) error) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+s.deployment.Organisations[0].APIKey)
	resp, err := s.client.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // the status is reported in any case
		return trace.BadParameter("%s: %s %s", fmt.Sprint(method, " ", path), resp.Status, text)
	}
	return read(resp.Body)
}

func (s *system) close() {
	s.cancel()
	s.daemons.Wait()
	for _, c := range s.closers {
		c()
	}
}
