package node

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"

	"github.com/wasabinotch/wasabinotch/wire"
)

// encodedState keeps the JSON form of the operator's state, so that all responses with one
// state share its memory, however many peers don't read theirs.
type encodedState struct {
	mu    sync.Mutex
	state wire.OperatorState
	body  []byte
}

// encode returns the JSON form of a state. It must not be changed.
func (e *encodedState) encode(state wire.OperatorState) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.state.Era == state.Era && e.state.Revision == state.Revision &&
		bytes.Equal(e.state.Config, state.Config) && slices.Equal(e.state.ZonesOut, state.ZonesOut)
	if e.body != nil && known {
		return e.body, nil
	}
	body, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	e.state, e.body = state, body
	return body, nil
}
