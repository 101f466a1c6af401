package expertmap

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a group that goes back to an older map because a rank restarted right after a switch.
func TestRankThatRestartsAfterASwitchGetsTheNewMap(t *testing.T) {
	is := is.New(t)
	var c MapCache
	is.True(c.Accept(PackedMap{Number: 1, Digest: "a"}))
	is.True(c.Accept(PackedMap{Number: 2, Digest: "b"}))
	next, ok := c.NextToLoad(RankState{Held: []uint64{1}, Active: 1})
	is.True(ok && next.Number == 2)
	next, ok = c.NextToLoad(RankState{}) // the group may have switched to map 2 since
	is.True(ok && next.Number == 2)
	next, ok = c.NextToLoad(RankState{Held: []uint64{2}}) // unless another rank lacks it
	is.True(ok && next.Number == 1)
}

// Guards against a restarted rank that loads a map to which the group can't have switched before the one in use.
func TestRankThatRestartsBeforeASwitchGetsTheMapInUseFirst(t *testing.T) {
	is := is.New(t)
	var c MapCache
	is.True(c.Accept(PackedMap{Number: 1, Digest: "a"}))
	_, ok := c.NextToLoad(RankState{Held: []uint64{1}, Active: 1})
	is.True(!ok)
	is.True(c.Accept(PackedMap{Number: 2, Digest: "b"}))
	next, ok := c.NextToLoad(RankState{})
	is.True(ok && next.Number == 1)
}
