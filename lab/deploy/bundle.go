package deploy

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wasabinotch/wasabinotch/bundle"
)

// setBundle sets version 1 of the bundle: the organisations with the digests of
// their API keys, the services, the operators and the rank group.
func (b *builder) setBundle() {
	v := bundle.Bundle{Version: 1, Zones: b.plan.Zones}
	shares := make(map[string]float64)
	for i, org := range b.deployment.Organisations {
		digest := sha256.Sum256([]byte(org.APIKey))
		v.Organisations = append(v.Organisations, bundle.Organisation{Name: org.Name, KeyDigests: []string{hex.EncodeToString(digest[:])}})
		shares[org.Name] = b.organisationShare(i)
	}
	if b.plan.ModelAgents > 0 {
		v.Services = append(v.Services, modelService(b.plan.ModelService, shares))
	}
	if b.plan.OrderAgents > 0 {
		v.Services = append(v.Services, plainService(b.plan.PlainService, shares))
	}
	for _, o := range b.deployment.Operators {
		v.Operators = append(v.Operators, o.Public())
	}
	if b.plan.Group != nil {
		v.Groups = []bundle.Group{*b.plan.Group}
	}
	b.deployment.Bundle = v
}

func modelService(name string, shares map[string]float64) bundle.Service {
	return bundle.Service{
		Name:       name,
		Kind:       bundle.KindModel,
		ColdLimit:  modelColdLimit,
		WarmLimit:  modelWarmLimit,
		QueueLimit: modelQueueLimit,
		TimeoutMS:  modelTimeoutMS,
		Shares:     shares,
	}
}

func plainService(name string, shares map[string]float64) bundle.Service {
	return bundle.Service{
		Name:               name,
		Kind:               bundle.KindPlain,
		NonIdempotentPaths: []string{"/orders"},
		ColdLimit:          plainColdLimit,
		WarmLimit:          plainWarmLimit,
		QueueLimit:         plainQueueLimit,
		TimeoutMS:          plainTimeoutMS,
		Shares:             shares,
	}
}
