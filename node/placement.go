package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

// maxPlacementQueryBytes bounds a query, maxPlacementReplyBytes the reply.
const (
	maxPlacementQueryBytes = 64 << 10
	maxPlacementReplyBytes = 4 << 20
)

// servePlacement says where a request would go now. It sends nothing to endpoints and
// changes no state.
func (e *Entry) servePlacement(w http.ResponseWriter, r *http.Request) {
	var q wire.PlacementQuery
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlacementQueryBytes)).Decode(&q); err != nil {
		http.Error(w, "the query can't be read; send a PlacementQuery object: "+err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := e.explainPlacement(&q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		e.limitedLog.Info("Explanation not sent.", "cause", err.Error())
	}
}

var (
	errNoConfig      = errors.New("this entry has no configuration yet; ask another one")
	errNoRoute       = errors.New("no route matches host and path; check them, or name the service")
	errNoSuchService = errors.New("the configuration in force has no such service; check its name")
)

func (e *Entry) explainPlacement(q *wire.PlacementQuery) (*wire.PlacementReply, error) {
	c := e.handler.Config()
	if c == nil {
		return nil, errNoConfig
	}
	reply := &wire.PlacementReply{Entry: e.cfg.ID, EntryZone: e.cfg.Zone, Config: c.Version, Service: q.Service}
	target := time.Duration(min(max(0, q.TargetMS), math.MaxInt32)) * time.Millisecond
	request := &fleet.Request{Work: fleet.Work{
		PromptTokens: max(0, q.PromptTokens), ResponseTokens: max(0, q.ResponseTokens), MaxResponseTokens: max(0, q.MaxResponseTokens),
	}}
	for _, part := range q.Parts {
		request.Work.Parts = append(request.Work.Parts, fleet.PromptPart{ID: part.ID, Tokens: max(0, part.Tokens)})
	}
	if q.Service == "" {
		route := c.Match(q.Host, q.Path)
		if route == nil {
			return nil, errNoRoute
		}
		reply.Route, reply.Service = route.Name, c.Target(route, q.RequestID)
		request.Kind, request.Priority = route.Name, c.Rank(reply.Service, route, nil)
		if target == 0 {
			target = route.TargetLatency
		}
	}
	service := c.Service(reply.Service)
	if service == nil {
		return nil, errNoSuchService
	}
	if service.Engine != nil {
		request.Cost = service.Engine.SlotSeconds(request.Work.PromptTokens, request.Work.ResponseTokens)
	}
	request.Service = reply.Service
	if target > 0 {
		request.Aim = time.Now().Add(target)
	}
	x := e.fleet.Explain(request)
	reply.Outcome, reply.Waiting, reply.Entries = outcome(&x), x.Waiting, x.Entries
	reply.MemoryTokens = x.Demand.Tokens
	reply.Endpoints = make([]wire.PlacementEndpoint, 0, len(x.Endpoints))
	for i := range x.Endpoints {
		reply.Endpoints = append(reply.Endpoints, placementEndpoint(&x.Endpoints[i]))
	}
	return reply, nil
}

// outcome says what would happen to a request now.
func outcome(x *fleet.Explanation) string {
	switch {
	case x.Availability == fleet.Available && x.Waiting > 0:
		return fmt.Sprintf("goes to an endpoint below after those of the %d waiting requests that come before it", x.Waiting)
	case x.Availability == fleet.Available:
		return "goes to an endpoint below at once"
	case x.Availability == fleet.Unavailable:
		return "refused: no endpoint can take it, now or soon"
	case x.Availability == fleet.TooLarge:
		return "refused: its prompt exceeds the memory of every endpoint"
	case x.Availability == fleet.OutOfMemory:
		return fmt.Sprintf("waits behind %d requests: endpoints with a free slot lack memory for it", x.Waiting)
	}
	return fmt.Sprintf("waits behind %d requests: all endpoints are busy or at a limit", x.Waiting)
}

func placementEndpoint(x *fleet.EndpointExplanation) wire.PlacementEndpoint {
	state := "candidate"
	switch {
	case x.Obstacle != "":
		state = "excluded: " + x.Obstacle
	case x.LastResort != "":
		state = "last resort: " + x.LastResort
	}
	return wire.PlacementEndpoint{
		ID: x.ID, Address: x.Address, Zone: x.Zone, State: state, Chance: x.Chance,
		Cost: x.Score.Total(), Load: x.Score.Load, Reading: x.Score.Reading, Held: x.Score.Held, Failures: x.Score.Failures, ZoneCost: x.Score.Zone,
		Requests: x.Load, OwnRequests: x.Own, UsableSlots: x.UsableSlots, HeldTokens: x.Held, MemoryRoom: x.Room,
		ReportAgeMS: x.ReportAge.Milliseconds(), StepTimeMS: x.StepTime.Milliseconds(), Pace: x.Pace,
	}
}

// AskPlacement asks the entry at an internal address where a request would go.
func AskPlacement(ctx context.Context, addr string, q *wire.PlacementQuery) (*wire.PlacementReply, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req := &upstream.Request{Method: http.MethodPost, Target: wire.PathPlacement, Host: addr, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
	status, response, err := upstream.NewClient(dialTimeout).Call(ctx, addr, req, maxPlacementReplyBytes)
	if err != nil {
		return nil, fmt.Errorf("no reply from %s: %w; give the entry's internal address: its ip and peer_port", addr, err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("entry %s: %s", addr, bytes.TrimSpace(response))
	}
	var reply wire.PlacementReply
	if err := json.Unmarshal(response, &reply); err != nil {
		return nil, fmt.Errorf("the reply of %s can't be read: %w; it may run another version", addr, err)
	}
	return &reply, nil
}

// WritePlacement writes a reply as a table.
func WritePlacement(w io.Writer, r *wire.PlacementReply) error {
	var b bytes.Buffer // writes to it never fail
	fmt.Fprintf(&b, "entry %s in zone %s, configuration %d, service %s", r.Entry, r.EntryZone, r.Config, r.Service)
	if r.Route != "" {
		fmt.Fprintf(&b, ", route %s", r.Route)
	}
	fmt.Fprintf(&b, "\n%s\nneeds %d tokens of memory; %d requests wait here; limits are shared by %d entries\n\n", r.Outcome, r.MemoryTokens, r.Waiting, r.Entries)
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENDPOINT\tZONE\tCHANCE\tCOST\tLOAD\tREADING\tHELD\tFAILURES\tZONE COST\tREQUESTS\tMEMORY ROOM\tREPORT AGE\tSTATE")
	for i := range r.Endpoints {
		x := &r.Endpoints[i]
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d of %d\t%s\t%s\t%s\n", x.ID, x.Zone, x.Chance, x.Cost,
			x.Load, x.Reading, x.Held, x.Failures, x.ZoneCost, x.Requests, x.UsableSlots, orUnknown(int64(x.MemoryRoom), ""), orUnknown(x.ReportAgeMS, " ms"), x.State)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}

// orUnknown formats a number that is negative if it isn't known.
func orUnknown(n int64, unit string) string {
	if n < 0 {
		return "unknown"
	}
	return strconv.FormatInt(n, 10) + unit
}
