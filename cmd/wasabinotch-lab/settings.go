package main

import (
	"fmt"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
)

type settingsCommand struct {
	Dir             string   `long:"dir" required:"yes" description:"directory to write"`
	Name            string   `long:"name" default:"lab" description:"prefix of the names of nodes and VMs"`
	Zones           int      `long:"zones" default:"3" description:"number of availability zones"`
	Entries         int      `long:"entries" default:"3" description:"number of entries"`
	ModelAgents     int      `long:"model-agents" default:"3" description:"number of agents at model engines"`
	OrderAgents     int      `long:"order-agents" default:"3" description:"number of agents at plain services"`
	Organisations   []string `long:"organisation" description:"name of an organisation; may be repeated; default org-1 and org-2"`
	LargeShareCount int      `long:"large" default:"1" description:"number of organisations, from the first one, with a large share"`
	Members         []string `long:"member" description:"name of a member; may be repeated; default member-1 to member-3"`
	Threshold       int      `long:"threshold" default:"2" description:"number of member signatures that a bundle needs"`
	Operators       []string `long:"operator" description:"name of an operator; may be repeated; default operator-1"`
	ModelService    string   `long:"model-service" default:"notes" description:"name of the model service"`
	PlainService    string   `long:"plain-service" default:"desk" description:"name of the plain service"`
	IP              string   `long:"ip" default:"127.0.0.1" description:"IP address of all nodes"`
	Port            int      `long:"port" default:"20000" description:"first port"`
	Group           string   `long:"group" description:"makes the model agents the ranks of a group of this name"`
	Layers          int      `long:"layers" default:"12" description:"layers of the group's model"`
	Experts         int      `long:"experts" default:"64" description:"experts per layer of the group's model"`
	SlotsPerRank    int      `long:"slots-per-rank" default:"5" description:"expert slots per rank and layer"`
	ExpertBytes     int64    `long:"expert-bytes" default:"46137344" description:"size of one expert's weights, in bytes"`
	Sample          bool     `long:"sample" description:"write only the bundle and one settings file per role, with example keys"`
}

func (c *settingsCommand) Execute([]string) error {
	d, err := c.plan().Build()
	if err != nil {
		return err
	}
	if c.Sample {
		return d.WriteSample(c.Dir)
	}
	return d.Write(c.Dir)
}

func (c *settingsCommand) plan() deploy.Plan {
	p := deploy.Plan{
		Name:            c.Name,
		Entries:         c.Entries,
		ModelAgents:     c.ModelAgents,
		OrderAgents:     c.OrderAgents,
		Organisations:   namesOrNumbered(c.Organisations, "org", 2),
		LargeShareCount: c.LargeShareCount,
		Members:         namesOrNumbered(c.Members, "member", 3),
		Threshold:       c.Threshold,
		Operators:       namesOrNumbered(c.Operators, "operator", 1),
		ModelService:    c.ModelService,
		PlainService:    c.PlainService,
		NextAddr:        deploy.SequentialAddrs(c.IP, c.Port),
		ExampleKeys:     c.Sample,
	}
	for i := range c.Zones {
		p.Zones = append(p.Zones, "zone-"+string(rune('a'+i)))
	}
	if c.Group != "" {
		p.Group = &bundle.Group{
			Name:         c.Group,
			Service:      c.ModelService,
			Ranks:        c.ModelAgents,
			Layers:       c.Layers,
			Experts:      c.Experts,
			SlotsPerRank: c.SlotsPerRank,
			ExpertBytes:  c.ExpertBytes,
		}
	}
	return p
}

// namesOrNumbered returns names, or n numbered ones if there are none.
func namesOrNumbered(names []string, prefix string, n int) []string {
	if len(names) > 0 {
		return names
	}
	for i := range n {
		names = append(names, fmt.Sprintf("%s-%d", prefix, i+1))
	}
	return names
}
