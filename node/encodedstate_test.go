package node

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against another entry that is sent an outdated state, and against a copy of the
// state for each response that isn't read.
func TestEncodedStateFollowsTheState(t *testing.T) {
	is := is.New(t)
	var e encodedState
	state := wire.OperatorState{Era: 1, Revision: 5, Config: []byte("a")}
	first, err := e.encode(state)
	is.NoErr(err)
	again, err := e.encode(wire.OperatorState{Era: 1, Revision: 5, Config: []byte("a")})
	is.NoErr(err)
	is.Equal(&first[0], &again[0])
	for _, change := range []func(){
		func() { state.Revision++ }, func() { state.Era++ }, func() { state.Config = []byte("b") },
		func() { state.ZonesOut = []string{"z1"} }, func() { state.ZonesOut = nil },
	} {
		change()
		b, err := e.encode(state)
		is.NoErr(err)
		var got wire.OperatorState
		is.NoErr(json.Unmarshal(b, &got))
		is.Equal(got, state)
	}
}
