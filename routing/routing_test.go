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
