package node

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/store"
)

// oddRecords returns keys and values that no process of the system writes. They contain the address
// of a running endpoint where that may do harm.
func oddRecords(address string) map[string][]byte {
	record := func(service, address, slots, cold, born string) []byte {
		return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","slots":%s,"state":"ready","cold_remaining_ms":%s,"born":%s}`, service, address, slots, cold, born))
	}
	return map[string][]byte{
		"servers/nested":            []byte(strings.Repeat("[", 1<<20)),
		"servers/nested-closed":     []byte(strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000)),
		"servers/empty":             nil,
		"servers/null":              []byte("null"),
		"servers/port":              record("s", "127.0.0.1:70000", "9", "0", "7"),
		"servers/slots":             record("s", address, "999999999999", "0", "7"),
		"servers/cold":              record("s", address, "9", "1e300", "7"),
		"servers/born":              record("s", address, "9", "0", "9000000000000000000"),
		"servers/unknown-service":   record("nowhere", address, "9", "0", "7"),
		"servers/line\r\nTenant: x": record("s", address, "9", "0", "7"),
		"servers/\xff":              []byte("\xff\xfe\x00"),
		"wasabinotch/entries/x":     nil,
		"wasabinotch/entries/y":     []byte(`{"callers":"127.0.0.1:99999","peer":"","zone":7}`),
		"wasabinotch/entries/z":     []byte(`{"callers":"127.0.0.1:99999","peer":""}`),
		"wasabinotch/quarantine/":   []byte("{"),
		"wasabinotch/quarantine/%/": []byte(`{"crashes":1e99}`),
		"op/evacuate/":              nil,
		"other":                     make([]byte, 1<<20),
	}
}

// Guards against one record of another writer that stops an entry from following the
// store, takes an endpoint away, or appears in the directory: it was written before the
// entry starts or while it runs.
func TestOddRecordsCostOnlyThemselves(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprint("before=", before), func(t *testing.T) {
			is := is.New(t)
			sim, addr := storeWithEndpoint(t)
			write := func() {
				for key, value := range oddRecords(addr.String()) {
					sim.Put(key, value)
				}
			}
			if before {
				write()
			}
			e := startEntry(t, "a", sim.Addr())
			eventually(t, "the entry serves and is registered", func() bool { return e.sendOrder(t, "k1") == http.StatusOK && len(e.resolve(t)) > 0 })
			write()
			time.Sleep(3 * settleTime)
			for range 20 {
				is.Equal(e.sendOrder(t, "k1"), http.StatusOK)
			}
			is.Equal(e.resolve(t), []string{e.settings.CallersAddr})
			sim.Put("op/config", configWith(2, "k2")) // changes still arrive
			within(t, applyBound, "the configuration is in force", func() bool { return e.sendOrder(t, "k2") == http.StatusOK })
			is.Equal(e.resolve(t), []string{e.settings.CallersAddr})
		})
	}
}

// Guards against a log line at each write or listing of a record that is ignored.
func TestIgnoredRecordIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	e := newEndpointFollower(fleet.New("z1", nil), time.Second, &storeHealth{}, logs.New(&log))
	odd := store.KeyValue{Key: "servers/odd", Value: []byte("{")}
	for range 5 {
		e.Reset([]store.KeyValue{odd}, store.Position{Era: 1, Revision: 1})
		e.Apply(store.Event{KeyValue: odd})
	}
	is.Equal(strings.Count(log.String(), "Record ignored."), 1)
}

// Guards against a stale record of an unknown service that decides who is at an address.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	is := is.New(t)
	f := fleet.New("z1", nil)
	f.Update(fleet.Record{ID: "odd", Service: "unknown", Address: "10.0.0.1:1", Zone: "z1", Slots: 4, Incarnation: 9})
	f.Update(fleet.Record{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Zone: "z1", Slots: 4, Incarnation: 5})
	f.SetLimits("s", fleet.Limits{})
	f.Update(fleet.Record{ID: "odd", Service: "unknown", Address: "10.0.0.1:1", Zone: "z1", Slots: 4, Incarnation: 10})
	p, _ := f.Acquire(t.Context(), &fleet.Request{Service: "s"})
	is.True(p != nil)
}
