package proof

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/store"
)

var errNotYet = errors.New("not yet")

// storedValue reads a key from the simulated store over its HTTP API.
func (c *cluster) storedValue(key string) ([]byte, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+c.kv.Addr()+"/v1/kv/"+key, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var pairs []kvsim.Pair
	if err := json.NewDecoder(resp.Body).Decode(&pairs); err != nil || len(pairs) != 1 {
		return nil, errors.Join(err, errNotYet)
	}
	return pairs[0].Value, nil
}

// checkStoredOut checks that the store has the zone recorded as out of service.
func (c *cluster) checkStoredOut(zone string) error {
	raw, err := c.storedValue(store.KeyIntents)
	if err != nil {
		return err
	}
	intents, err := bundle.DecodeIntents(raw)
	if err != nil {
		return err
	}
	if !intents.ZonesOut(c.options.zones)[zone] {
		return errNotYet
	}
	return nil
}
