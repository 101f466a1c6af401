package proof

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/settings"
)

func (c *cluster) writeSettings(n *node, index int) {
	common := settings.Node{
		ID: n.id, VM: "vm-" + n.id, Zone: n.zone,
		HTTPAddr: n.addr(portHTTP), RPCAddr: n.addr(portRPC),
		HTTPListen: n.addr(portHTTPListen), RPCListen: n.addr(portRPCListen), SourceIP: n.ip.String(),
		Members:   []bundle.PublicKey{{Name: "member", Public: base64.StdEncoding.EncodeToString(c.memberKey.Public().(ed25519.PublicKey))}},
		Threshold: 1, AuthKey: c.authKey,
	}
	for _, e := range c.entries() {
		common.Entries = append(common.Entries, e.addr(portRPC))
	}
	var v any = settings.Entry{Node: common, StoreAddrs: []string{c.storeAddr()}, MapIntervalMS: mapInterval.Milliseconds()}
	if n.program == "wasabinotch-agent" {
		service := modelService
		if strings.HasPrefix(n.id, "desk-") {
			service = orderService
		}
		a := settings.Agent{Node: common, Service: service, EndpointAddr: n.addr(portEndpoint)}
		if _, err := fmt.Sscanf(n.id, rankIDFormat, &a.Rank); err == nil {
			a.Service, a.Group = rankService, rankGroup
		}
		v = a
	}
	data, err := json.Marshal(v)
	c.must(err)
	n.settingsPath = filepath.Join(c.dir, fmt.Sprintf("%02d-%s.json", index, n.id))
	c.must(os.WriteFile(n.settingsPath, data, 0o600))
}

func (c *cluster) newBundle() bundle.Bundle {
	c.organisations = []loadgen.Organisation{{Name: "batinah", APIKey: "key-batinah"}, {Name: "tidewrack", APIKey: "key-tidewrack"}}
	b := bundle.Bundle{
		Version: 1, Zones: c.options.zones, Groups: c.rankGroups(),
		Operators: []bundle.PublicKey{{Name: "operator", Public: base64.StdEncoding.EncodeToString(c.operatorKey.Public().(ed25519.PublicKey))}},
	}
	shares := map[string]float64{}
	for _, o := range c.organisations {
		sum := sha256.Sum256([]byte(o.APIKey))
		b.Organisations = append(b.Organisations, bundle.Organisation{Name: o.Name, KeyDigests: []string{hex.EncodeToString(sum[:])}})
		shares[o.Name] = 1
	}
	model := bundle.Service{Name: modelService, Kind: bundle.KindModel, ColdLimit: 2, WarmLimit: 16, QueueLimit: 64, TimeoutMS: 20000, Shares: shares}
	orders := bundle.Service{Name: orderService, Kind: bundle.KindPlain, NonIdempotentPaths: []string{"/orders"},
		ColdLimit: 4, WarmLimit: 8, QueueLimit: 256, TimeoutMS: 10000, Shares: shares}
	if c.options.changeModelService != nil {
		c.options.changeModelService(&model)
	}
	if c.options.changeOrderService != nil {
		c.options.changeOrderService(&orders)
	}
	b.Services = []bundle.Service{model, orders}
	if c.options.ranks > 0 {
		b.Services = append(b.Services, bundle.Service{Name: rankService, Kind: bundle.KindModel,
			ColdLimit: 1, WarmLimit: 1, QueueLimit: 1, TimeoutMS: 1000, Shares: shares})
	}
	return b
}
