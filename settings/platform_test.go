package settings

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/placement"
)

func validPlatformEntry() PlatformEntry {
	return PlatformEntry{PlatformNode: PlatformNode{
		ID: "e", Zone: "z1", IP: "127.0.0.1", CallersAddr: "127.0.0.1:1", ReadyAddr: "127.0.0.1:2", DirectoryAddr: "127.0.0.1:3", PeerPort: 7000, StoreAddr: "127.0.0.1:4",
		Bounds: Bounds{GracePeriodS: 4, RetryWindowS: 10, DirectoryTTLS: 5},
	}}
}

// Guards against placement settings that are ignored, or out of range without an error that
// names the field and a remedy.
func TestPlacementSettings(t *testing.T) {
	is := is.New(t)
	load := func(placement string) (PlatformEntry, error) {
		data, err := json.Marshal(validPlatformEntry())
		is.NoErr(err)
		var fields map[string]json.RawMessage
		is.NoErr(json.Unmarshal(data, &fields))
		fields["placement"] = json.RawMessage(placement)
		data, err = json.Marshal(fields)
		is.NoErr(err)
		var e PlatformEntry
		return e, Load(data, &e)
	}
	e, err := load(`{}`)
	is.NoErr(err)
	is.Equal(e.Placement.ReuseWeight(), placement.DefaultReuseWeight)
	is.Equal(e.Placement.PromptRetentionMS, 0.0)
	e, err = load(`{"prompt_reuse_weight":0,"prompt_retention_ms":2500}`)
	is.NoErr(err)
	is.Equal(e.Placement.ReuseWeight(), 0.0)
	is.Equal(e.Placement.PromptRetentionMS, 2500.0)
	for field, value := range map[string]string{
		"placement.prompt_reuse_weight": `{"prompt_reuse_weight":-1}`,
		"placement.prompt_retention_ms": `{"prompt_retention_ms":1e12}`,
	} {
		_, err := load(value)
		var invalid *Error
		is.True(errors.As(err, &invalid))
		is.Equal(invalid.Field, field)
		is.True(invalid.Remedy != "")
	}
}
