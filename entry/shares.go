package entry

import (
	"maps"
	"net/http"
	"slices"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
)

// shares handles PathShares: it returns the agreed and served shares of all services.
func (e *Entry) shares(*http.Request) (any, *api.Refusal) {
	snap := e.deps.Control.Snapshot()
	response := &api.Shares{
		BundleDigest: snap.BundleDigest,
		Services:     []api.ShareUsage{},
		Nodes:        nodeStatuses(snap, e.deps.Clock.Now()),
	}
	if snap.Bundle == nil {
		return response, nil
	}
	response.BundleVersion = snap.Bundle.Version
	for i := range snap.Bundle.Services {
		response.Services = append(response.Services, shareUsages(snap, &snap.Bundle.Services[i])...)
	}
	return response, nil
}

// shareUsages compares the agreed and served share of each organisation in one service.
func shareUsages(snap *control.Snapshot, s *bundle.Service) []api.ShareUsage {
	served := make(map[string]float64)
	var queued int
	for _, ep := range snap.Endpoints[s.Name] {
		queued += ep.Load.Queued
		for organisation, cost := range ep.Load.Served {
			served[organisation] += cost
		}
	}
	organisations := maps.Clone(served)
	for organisation := range s.Shares {
		organisations[organisation] += 0
	}
	agreedTotal := sum(s.Shares)
	servedTotal := sum(served)
	var list []api.ShareUsage
	for _, organisation := range slices.Sorted(maps.Keys(organisations)) {
		list = append(list, api.ShareUsage{
			Service:      s.Name,
			Organisation: organisation,
			AgreedShare:  ratio(s.Shares[organisation], agreedTotal),
			ServedShare:  ratio(served[organisation], servedTotal),
			ServedCost:   served[organisation],
			Queued:       queued,
		})
	}
	return list
}

func sum(values map[string]float64) float64 {
	var total float64
	for _, v := range values {
		total += v
	}
	return total
}

func ratio(part, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return part / total
}
