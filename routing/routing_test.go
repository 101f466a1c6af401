package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func config(t *testing.T, routes []*Route, organisations ...*Organisation) *Config {
	t.Helper()
	c, err := New(1, routes, []*Service{{Name: "s"}, {Name: "u"}}, organisations, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a shorter prefix that hides a longer one, and against host names that
// match only with the same case or port.
func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	c := config(t, []*Route{{Name: "short", Host: "H.example", Prefix: "/a/"}, {Name: "long", Host: "h.example", Prefix: "/a/b/"}})
	is.Equal(c.Match("h.EXAMPLE:80", "/a/b/c").Name, "long")
	is.Equal(c.Match("h.example", "/a/bc").Name, "short")
	is.True(c.Match("h.example", "/a") == nil)
	is.True(c.Match("other.example", "/a/") == nil)
}

// Guards against a traffic split that ignores its weights, and against a retry that
// goes to another service than the first attempt.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Host: "h", Prefix: "/", Targets: []Target{{"s", 90}, {"u", 10}, {"s", 0}}}
	c := config(t, []*Route{r})
	n := 0
	for i := range 2000 {
		id := fmt.Sprint(i)
		if c.Target(r, id) == "u" {
			n++
		}
		is.Equal(c.Target(r, id), c.Target(r, id))
	}
	is.True(n > 120 && n < 280)
}

// Guards against routes that need no key where keys are required, and against keys
// required for anonymous routes.
func TestKeys(t *testing.T) {
	is := is.New(t)
	r, anonymous := &Route{}, &Route{AllowAnonymous: true}
	with := config(t, nil, &Organisation{Name: "o", Keys: []string{"k"}})
	is.True(with.NeedsKey(r))
	is.True(!with.NeedsKey(anonymous))
	is.Equal(with.Organisation("k").Name, "o")
	is.True(with.Organisation("x") == nil)
	is.True(!config(t, nil).NeedsKey(r))
	is.True(config(t, nil, &Organisation{Name: "keyless"}).NeedsKey(r))
}

// Guards against a configuration whose routes name an unknown service.
func TestUnknownServiceIsRejected(t *testing.T) {
	_, err := New(1, []*Route{{Name: "r", Targets: []Target{{"missing", 1}}}}, nil, nil, Limits{})
	is.New(t).True(err != nil)
}

// Guards against a target gap that suits one route of a service and is too long for
// another.
func TestShortestTargetGapApplies(t *testing.T) {
	c := config(t, []*Route{
		{Host: "h", Prefix: "/a/", TargetGap: 200 * time.Millisecond, Targets: []Target{{"s", 1}}},
		{Host: "h", Prefix: "/b/", TargetGap: 120 * time.Millisecond, Targets: []Target{{"s", 1}}},
		{Host: "h", Prefix: "/c/", Targets: []Target{{"s", 1}}},
	})
	is.New(t).Equal(c.TargetGaps()["s"], 120*time.Millisecond)
}

// Guards against urgent routes that lose their precedence where organisations have a
// priority of their own, and against organisations that lose theirs.
func TestRanksFollowOrganisationThenRoute(t *testing.T) {
	is := is.New(t)
	first, second := 0, 1
	s, u := []Target{{"s", 1}}, []Target{{"u", 1}}
	bulk, urgent, other := &Route{Priority: 2, Targets: s}, &Route{Priority: 0, Targets: s}, &Route{Priority: 1, Targets: u}
	large, small, plain := &Organisation{Name: "large", Priority: &first}, &Organisation{Name: "small", Priority: &second}, &Organisation{Name: "plain"}
	c := config(t, []*Route{bulk, urgent, other}, large, small, plain)
	is.Equal(c.Ranks("s"), 5) // (0, 0) of both large and plain, (0, 2), (1, 0), (1, 2), (2, 2)
	is.Equal(c.Ranks("unknown"), 0)
	is.Equal(c.Rank("s", urgent, large), 0)
	is.Equal(c.Rank("s", urgent, plain), 0)
	is.Equal(c.Rank("s", bulk, large), 1)
	is.Equal(c.Rank("s", urgent, small), 2)
	is.Equal(c.Rank("s", bulk, small), 3)
	is.Equal(c.Rank("s", bulk, nil), 4)
	is.Equal(config(t, []*Route{bulk, other}).Ranks("s"), 1)
	is.Equal(config(t, []*Route{bulk, urgent}, small).Ranks("s"), 2)
}

// Guards against callers that are counted as cheap, or that cost others their share, by a
// wrong statement of their request's length.
func TestClaimedCostIsBounded(t *testing.T) {
	is := is.New(t)
	e := &Engine{Slots: 10, StepTime: 5 * time.Millisecond, StepTimePerRequest: 500 * time.Microsecond, PromptTokensPerSecond: 50_000, MeanPromptTokens: 1000, MeanResponseTokens: 100}
	usual := e.SlotSeconds(0, 0)
	is.Equal(usual, e.SlotSeconds(1000, 100))
	is.True(usual > 1.01 && usual < 1.03) // 0.02 s of reading, 100 steps of 10 ms
	is.True(e.SlotSeconds(1000, 200) > 1.9*usual)
	is.Equal(e.SlotSeconds(1, 1), usual/claimRange)
	is.Equal(e.SlotSeconds(1<<24, 1<<24), usual*claimRange)
	is.Equal((&Engine{}).SlotSeconds(1000, 100), 0.0)
}
