package deploy

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/settings"
)

func testPlan() Plan {
	return Plan{
		Name:            "test",
		Zones:           []string{"zone-a", "zone-b", "zone-c"},
		Entries:         4,
		ModelAgents:     2,
		OrderAgents:     3,
		Organisations:   []string{"one", "two"},
		LargeShareCount: 1,
		Members:         []string{"one", "two"},
		Threshold:       2,
		Operators:       []string{"op"},
		ModelService:    "notes",
		PlainService:    "desk",
		NextAddr:        SequentialAddrs("127.0.0.1", 21000),
	}
}

// Guards against generated settings files that the daemons do not load, addresses
// that are assigned twice, and key files that other users can read.
func TestWrittenSettingsLoad(t *testing.T) {
	is := is.New(t)
	d, err := testPlan().Build()
	is.NoErr(err)
	dir := t.TempDir()
	is.NoErr(d.Write(dir))
	seen := make(map[string]bool)
	for _, e := range d.Entries {
		var read settings.Entry
		is.NoErr(settings.LoadFile(filepath.Join(dir, e.ID+".json"), &read))
		is.Equal(read, e)
		is.True(!seen[e.HTTPAddr] && !seen[e.RPCAddr])
		seen[e.HTTPAddr], seen[e.RPCAddr] = true, true
	}
	for _, a := range d.Agents {
		var read settings.Agent
		is.NoErr(settings.LoadFile(filepath.Join(dir, a.ID+".json"), &read))
		is.True(!seen[a.HTTPAddr] && !seen[a.EndpointAddr])
		seen[a.HTTPAddr], seen[a.EndpointAddr] = true, true
	}
	info, err := os.Stat(filepath.Join(dir, DirKeys, "member-one.json"))
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(secretMode))
}

// Guards against a sample that contains private keys, or an authentication key that
// is not marked as an example.
func TestSampleHoldsExampleKeysOnly(t *testing.T) {
	is := is.New(t)
	p := testPlan()
	p.ExampleKeys = true
	d, err := p.Build()
	is.NoErr(err)
	dir := t.TempDir()
	is.NoErr(d.WriteSample(dir))
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	is.NoErr(err)
	is.Equal(len(files), 4)
	for _, f := range files {
		data, err := os.ReadFile(f)
		is.NoErr(err)
		is.True(!strings.Contains(string(data), d.Members[0].PrivateKey))
	}
	key, err := base64.StdEncoding.DecodeString(d.Entries[0].AuthKey)
	is.NoErr(err)
	is.Equal(string(key), exampleAuthKey)
	signature := ed25519.Sign(d.Members[0].Private(), []byte("x"))
	public, err := base64.StdEncoding.DecodeString(d.Members[0].PublicKey)
	is.NoErr(err)
	is.True(ed25519.Verify(public, []byte("x"), signature))
}

// Guards against files in examples/ that the daemons no longer accept after a change
// of the settings or the bundle.
func TestExamplesLoad(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*/*.json")
	is.NoErr(err)
	is.Equal(len(files), 8)
	for _, f := range files {
		base := filepath.Base(f)
		switch {
		case base == "entry.json":
			is.NoErr(settings.LoadFile(f, &settings.Entry{}))
		case strings.HasPrefix(base, "agent-"):
			is.NoErr(settings.LoadFile(f, &settings.Agent{}))
		default:
			data, err := os.ReadFile(f)
			is.NoErr(err)
			d := json.NewDecoder(bytes.NewReader(data))
			d.DisallowUnknownFields()
			is.NoErr(d.Decode(&bundle.Bundle{}))
		}
	}
}
