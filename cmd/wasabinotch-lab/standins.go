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

// listenOptions are common to the stand-ins.
type listenOptions struct {
	Listen  string `long:"listen" default:"127.0.0.1:0" description:"address of the service, IP:port"`
	Control string `long:"control" description:"address of the fault controls, IP:port; none if empty"`
}

// standIn is a running stand-in.
type standIn interface {
	Addr() string
	Close()
	Control() http.Handler
}

func signalled() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// serve runs a stand-in until the process is asked to stop.
func (o listenOptions) serve(name string, s standIn, err error) error {
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
	log.Info("listening", "addr", s.Addr(), "control", control)
	ctx, cancel := signalled()
	defer cancel()
	<-ctx.Done()
	log.Info("stopping")
	return nil
}

type kvCommand struct{ listenOptions }

// Execute runs the key-value service.
func (c *kvCommand) Execute([]string) error {
	s, err := kvsim.Listen(c.Listen)
	return c.serve("kv", s, err)
}

type vmsCommand struct {
	listenOptions
	Lag time.Duration     `long:"lag" default:"5s" description:"age of the list"`
	VMs map[string]string `long:"vm" description:"a live VM as NAME:ZONE; may be repeated"`
}

// Execute runs the VM list.
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
	Name           string        `long:"name" description:"model name in answers"`
	ColdCapacity   int           `long:"cold-capacity" description:"concurrent requests that a cold engine sustains"`
	WarmCapacity   int           `long:"warm-capacity" description:"concurrent requests that a warm engine sustains"`
	StepBase       time.Duration `long:"step-base" description:"time of a step with one request"`
	StepPerRequest time.Duration `long:"step-per-request" description:"time added to a step by each further request"`
	PrefillPerKB   time.Duration `long:"prefill-per-kb" description:"time to process 1024 uncached prompt bytes"`
	CacheBytes     int           `long:"cache-bytes" description:"size of the prefix cache"`
	ReportLag      time.Duration `long:"report-lag" description:"age of the load report"`
	RestartDelay   time.Duration `long:"restart-delay" description:"time between a crash and the next start"`
}

// Execute runs an engine.
func (c *engineCommand) Execute([]string) error {
	e, err := enginesim.Listen(c.Listen, enginesim.Options{
		Name:           c.Name,
		ColdCapacity:   c.ColdCapacity,
		WarmCapacity:   c.WarmCapacity,
		StepBase:       c.StepBase,
		StepPerRequest: c.StepPerRequest,
		PrefillPerKB:   c.PrefillPerKB,
		CacheBytes:     c.CacheBytes,
		ReportLag:      c.ReportLag,
		RestartDelay:   c.RestartDelay,
	})
	return c.serve("engine", e, err)
}

type ordersCommand struct {
	listenOptions
	ServiceTime time.Duration `long:"service-time" default:"5ms" description:"time of one call"`
	Capacity    int           `long:"capacity" default:"8" description:"calls served at once"`
}

// Execute runs a plain service.
func (c *ordersCommand) Execute([]string) error {
	s, err := ordersim.Listen(c.Listen, ordersim.Options{ServiceTime: c.ServiceTime, Capacity: c.Capacity})
	return c.serve("orders", s, err)
}
