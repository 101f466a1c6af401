package settings

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/bundle"
)

func validAgent() Agent {
	key := base64.StdEncoding.EncodeToString(make([]byte, 32))
	return Agent{
		Node: Node{
			ID: "a1", VM: "vm1", Zone: "z1", HTTPAddr: "127.0.0.1:7001", RPCAddr: "127.0.0.1:7002",
			Entries: []string{"127.0.0.1:7100"}, Members: []bundle.PublicKey{{Name: "m", Public: key}}, Threshold: 1, AuthKey: key,
		},
		Service: "knots", EndpointAddr: "127.0.0.1:7003",
	}
}

// Guards against a daemon that starts with invalid settings, and against an error
// that does not name the field and a remedy.
func TestInvalidSettingsNameTheField(t *testing.T) {
	cases := map[string]func(*Agent){
		"id":               func(a *Agent) { a.ID = "a.1" },
		"vm":               func(a *Agent) { a.VM = "" },
		"http_addr":        func(a *Agent) { a.HTTPAddr = "localhost:1" },
		"rpc_addr":         func(a *Agent) { a.RPCAddr = a.HTTPAddr },
		"source_ip":        func(a *Agent) { a.SourceIP = "eth0" },
		"entries":          func(a *Agent) { a.Entries = nil },
		"entries[0]":       func(a *Agent) { a.Entries = []string{"x"} },
		"threshold":        func(a *Agent) { a.Threshold = 2 },
		"members[0]":       func(a *Agent) { a.Members[0].Public = "AA==" },
		"auth_key":         func(a *Agent) { a.AuthKey = "short" },
		"service":          func(a *Agent) { a.Service = "" },
		"endpoint_addr":    func(a *Agent) { a.EndpointAddr = "127.0.0.1:0" },
		"rank":             func(a *Agent) { a.Rank = -1 },
		"memory_mb":        func(a *Agent) { a.MemoryMB = 63 },
		"file_descriptors": func(a *Agent) { a.FileDescriptors = -1 },
	}
	for field, invalidate := range cases {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			a := validAgent()
			invalidate(&a)
			data, err := json.Marshal(a)
			is.NoErr(err)
			err = Load(data, &Agent{})
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Field, field)
			is.True(e.Remedy != "")
		})
	}
}

// Guards against an entry that accepts bodies for which its VM has no memory, and against
// defaults that are refused.
func TestBodiesFitMemory(t *testing.T) {
	is := is.New(t)
	e := Entry{Node: validAgent().Node, StoreAddrs: []string{"127.0.0.1:8500"}}
	is.NoErr(e.Validate())
	is.Equal(e.MemoryMB, defaultMemoryMB)
	e.MemoryMB, e.MaxBodyBytes = 128, 4<<20
	is.NoErr(e.Validate())
	e.MaxBodyBytes = 5 << 20
	var invalid *Error
	is.True(errors.As(e.Validate(), &invalid))
	is.Equal(invalid.Field, "max_body_bytes")
}

// Guards against ignoring misspelled or unknown settings, trailing data and values
// of the wrong type.
func TestStrictDecoding(t *testing.T) {
	is := is.New(t)
	data, err := json.Marshal(validAgent())
	is.NoErr(err)
	is.NoErr(Load(data, &Agent{}))
	is.True(Load(append(data, '{'), &Agent{}) != nil)
	is.True(Load([]byte(`{"servise":"knots"}`), &Agent{}) != nil)
	is.True(Load([]byte(`{"rank":"one"}`), &Agent{}) != nil)
}

// Guards against an address in use that is reported as an untyped error, without
// the name of the setting.
func TestListenReportsAddressInUse(t *testing.T) {
	is := is.New(t)
	ln, err := Listen("http_listen", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	_, err = Listen("rpc_listen", ln.Addr().String())
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Field, "rpc_listen")
}

// Guards against a panic on malformed settings, and against an accepted agent
// without a service.
func FuzzLoad(f *testing.F) {
	data, _ := json.Marshal(validAgent())
	f.Add(data)
	f.Add([]byte(`{"rank":1e99}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		var a Agent
		if err := Load(in, &a); err == nil && a.Service == "" {
			t.Fatal("accepted settings without a service")
		}
		_ = Load(in, &Entry{})
	})
}

// Guards against limits of a process that are negative and would refuse everything.
func TestNegativeProcessLimitsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*PlatformNode){
		func(n *PlatformNode) { n.FileDescriptors = -1 },
		func(n *PlatformNode) { n.Limits.HeldMB = -1 },
		func(n *PlatformNode) { n.Limits.HeldMB = 1 << 44 }, // as bytes, it would be negative
		func(n *PlatformNode) { n.Limits.CallersConnections = -1 },
		func(n *PlatformNode) { n.Limits.WriteTimeoutMS = -1 },
	} {
		n := PlatformNode{ID: "a", Zone: "z", IP: "192.0.2.1", PeerPort: 7300, StoreAddr: "192.0.2.2:80", Bounds: Bounds{GracePeriodS: 1}}
		is.NoErr(n.Validate())
		change(&n)
		var invalid *Error
		is.True(errors.As(n.Validate(), &invalid))
	}
}
