package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
	"github.com/wasabinotch/wasabinotch/lab/simhttp"
	"github.com/wasabinotch/wasabinotch/lab/vmlist"
	"github.com/wasabinotch/wasabinotch/logs"
)

// listenOptions are the options common to the simulators.
type listenOptions struct {
	Listen  string `long:"listen" default:"127.0.0.1:0" description:"address of the service, IP:port"`
	Control string `long:"control" description:"address of the fault control API, IP:port; none if empty"`
}

// simulator is a running simulator of a service of the platform or of an endpoint.
type simulator interface {
	Addr() string
	Close()
	Control() http.Handler
}

// signalContext returns a context that ends on SIGTERM or an interrupt.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// serve runs a simulator until SIGTERM or an interrupt. It returns err, the error of
// starting the simulator, if that is not nil.
func (o listenOptions) serve(name string, s simulator, err error) error {
	if err != nil {
		return err
	}
	defer s.Close()
	log := logs.New(os.Stdout).WithName(name)
	control := ""
	if o.Control != "" {
		c, err := simhttp.Listen(o.Control, s.Control())
		if err != nil {
			return err
		}
		defer c.Close()
		control = c.Addr()
	}
	log.Info("Listening.", "addr", s.Addr(), "control", control)
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	log.Info("Stopping.")
	return nil
}

type kvCommand struct{ listenOptions }

func (c *kvCommand) Execute([]string) error {
	s, err := kvsim.Listen(c.Listen)
	return c.serve("kv", s, err)
}

type vmsCommand struct {
	listenOptions
	Lag time.Duration     `long:"lag" default:"5s" description:"age of the list that is served"`
	VMs map[string]string `long:"vm" description:"a live VM as NAME:ZONE; may be repeated"`
}

func (c *vmsCommand) Execute([]string) error {
	s, err := vmlist.Listen(c.Listen, c.Lag)
	if err == nil {
		for name, zone := range c.VMs {
			s.Put(vmlist.VM{Name: name, Zone: zone, State: vmlist.StateLive})
		}
	}
	return c.serve("vms", s, err)
}

type engineCommand struct {
	listenOptions
	Name               string        `long:"name" description:"model name in responses"`
	ColdCapacity       int           `long:"cold-capacity" description:"concurrent requests that a cold engine sustains"`
	WarmCapacity       int           `long:"warm-capacity" description:"concurrent requests that a warm engine sustains"`
	BaseStepTime       time.Duration `long:"step-base" description:"duration of a decoding step with one request"`
	StepTimePerRequest time.Duration `long:"step-per-request" description:"time added to a step by each further request"`
	PrefillTimePerKiB  time.Duration `long:"prefill-per-kb" description:"time to process 1024 uncached prompt bytes"`
	CacheBytes         int           `long:"cache-bytes" description:"size of the prefix cache, in bytes"`
	ReportLag          time.Duration `long:"report-lag" description:"age of the load report that is served"`
	RestartDelay       time.Duration `long:"restart-delay" description:"time between a crash and the next start"`
}

func (c *engineCommand) Execute([]string) error {
	e, err := enginesim.Listen(c.Listen, enginesim.Options{
		Name:               c.Name,
		ColdCapacity:       c.ColdCapacity,
		WarmCapacity:       c.WarmCapacity,
		BaseStepTime:       c.BaseStepTime,
		StepTimePerRequest: c.StepTimePerRequest,
		PrefillTimePerKiB:  c.PrefillTimePerKiB,
		PrefixCacheBytes:   c.CacheBytes,
		ReportLag:          c.ReportLag,
		RestartDelay:       c.RestartDelay,
	})
	return c.serve("engine", e, err)
}

type ordersCommand struct {
	listenOptions
	ServiceTime time.Duration `long:"service-time" default:"5ms" description:"time to serve one call"`
	Capacity    int           `long:"capacity" default:"8" description:"calls served at once"`
}

func (c *ordersCommand) Execute([]string) error {
	s, err := ordersim.Listen(c.Listen, ordersim.Options{ServiceTime: c.ServiceTime, Capacity: c.Capacity})
	return c.serve("orders", s, err)
}
