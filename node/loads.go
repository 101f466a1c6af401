package node

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// subscribeInterval is the interval at which an entry renews its
	// subscriptions.
	subscribeInterval = 2 * time.Second
	// subscriptionTTL is the time without renewal after which an agent discards a
	// subscription.
	subscriptionTTL = 5 * time.Second
	// maxDatagramBytes bounds datagrams; it stays below the smallest link MTU.
	maxDatagramBytes = 1200
)

// subscribeLoads subscribes to the load reports of all endpoints' agents until
// ctx ends and records the reports in the fleet. Services without agents send
// none; their load is known from the headers of their responses.
func (e *Entry) subscribeLoads(ctx context.Context) {
	conn, err := net.ListenPacket("udp", e.peerAddr())
	if err != nil {
		e.log.Error(err, "Load reports are not received; the UDP port can't be opened.", "address", e.peerAddr())
		return
	}
	defer conn.Close()
	go e.receiveLoads(conn)
	go e.notices.run(ctx, conn)
	go e.tellReadings(ctx, conn)
	ticker := time.NewTicker(subscribeInterval / 8)
	defer ticker.Stop()
	subscribed := make(map[string]time.Time)
	for {
		now := time.Now()
		maps.DeleteFunc(subscribed, func(_ string, at time.Time) bool { return now.Sub(at) > subscriptionTTL })
		for _, r := range e.fleet.Records() {
			// A renewal is due half a tick early, so that jitter doesn't delay it by a tick.
			if now.Sub(subscribed[r.Address]) < subscribeInterval-subscribeInterval/16 || !e.hasAgent(r.Service) {
				continue
			}
			subscribed[r.Address] = now
			if addr, err := agentAddr(r.Address, e.cfg.PeerPort); err == nil {
				subscription, _ := json.Marshal(wire.LoadSubscription{Entry: e.cfg.ID, Endpoint: r.ID}) // strings always encode
				sendDatagram(conn, subscription, net.UDPAddrFromAddrPort(addr), e.metrics, e.limitedLog)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// longPrompt is a long prompt that this entry has sent to an endpoint.
type longPrompt struct {
	endpoint fleet.Record
	reading  time.Duration
}

// queueReading queues a long prompt for tellReadings. It doesn't block: without room, the
// other entries aren't told.
func (e *Entry) queueReading(endpoint fleet.Record, reading time.Duration) {
	select {
	case e.longPrompts <- longPrompt{endpoint, reading}:
	default:
		e.metrics.GetOrCreateCounter("wasabinotch_datagrams_lost_total").Inc()
	}
}

// tellReadings tells the agents of the long prompts that this entry sends, until ctx ends.
func (e *Entry) tellReadings(ctx context.Context, conn net.PacketConn) {
	told := e.metrics.NewCounter("wasabinotch_long_prompts_told_total")
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-e.longPrompts:
			addr, err := agentAddr(p.endpoint.Address, e.cfg.PeerPort)
			if err != nil {
				continue
			}
			datagram, _ := json.Marshal(wire.LoadSubscription{Entry: e.cfg.ID, Endpoint: p.endpoint.ID, ReadingMS: p.reading.Milliseconds()}) // always encodes
			sendDatagram(conn, datagram, net.UDPAddrFromAddrPort(addr), e.metrics, e.limitedLog)
			told.Inc()
			e.limitedLog.Info("Long prompt sent.", "endpoint", p.endpoint.ID, "reading_ms", p.reading.Milliseconds())
		}
	}
}

// hasAgent reports whether a service's endpoints are model engines; only these
// have agents.
func (e *Entry) hasAgent(service string) bool {
	c := e.handler.Config()
	if c == nil {
		return false
	}
	s := c.Service(service)
	return s != nil && s.Engine != nil
}

// sendDatagram sends a datagram without retry: it is superseded by the next one.
func sendDatagram(conn net.PacketConn, datagram []byte, to net.Addr, set *metrics.Set, limitedLog logr.Logger) {
	if _, err := conn.WriteTo(datagram, to); err != nil {
		set.GetOrCreateCounter("wasabinotch_datagrams_lost_total").Inc()
		limitedLog.Info("Datagram not sent.", "to", to.String(), "cause", err.Error())
	}
}

// receiveLoads records load reports, and what other entries report of endpoints, in the
// fleet until conn is closed.
func (e *Entry) receiveLoads(conn net.PacketConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			e.log.Info("Load reports are no longer received.", "cause", err.Error())
			return
		}
		var r wire.LoadReport
		if err := json.Unmarshal(buf[:n], &r); err != nil {
			e.limitedLog.Info("Malformed load report ignored.", "cause", err.Error())
			continue
		}
		if r.Endpoint == "" {
			e.notices.receive(buf[:n])
			continue
		}
		if r.RateLimit != "" {
			e.notices.recordRateLimit(r.Endpoint, r.RateLimit, "agent")
		}
		if r.Leaving {
			e.notices.recordLeaving(fleet.Run{ID: r.Endpoint, Incarnation: r.Incarnation}, "agent")
		}
		e.fleet.RecordLoad(r.Endpoint, fleet.Load{
			Running: max(0, r.Running), Waiting: max(0, r.Waiting), Stalled: r.Stalled,
			StepTime: time.Duration(r.StepTimeMS) * time.Millisecond, ColdFor: time.Duration(r.ColdRemainingMS) * time.Millisecond,
			Pace: float64(r.PacePercent) / 100, MemoryTotal: max(0, r.MemoryTotal), MemoryShare: memoryShare(&r),
			Reading: time.Duration(min(max(0, r.ReadingMS), maxReadingMS)) * time.Millisecond,
		})
	}
}

// memoryShare returns the fraction of an engine's memory that is in use at most. Reports
// round it down; without requests nothing is in use.
func memoryShare(r *wire.LoadReport) float64 {
	units := min(max(0, r.MemoryUsed), wire.MemoryUnits)
	if r.Running+r.Waiting > 0 {
		units = min(units+1, wire.MemoryUnits)
	}
	return float64(units) / wire.MemoryUnits
}
