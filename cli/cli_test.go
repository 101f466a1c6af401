package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
)

// run parses and executes one command line and returns its output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	p, err := NewParser(&out)
	if err != nil {
		return "", err
	}
	_, err = p.ParseArgs(args)
	return out.String(), err
}

// fakeEntry is an HTTP server in place of an entry. It records the bundle and the
// intent that it receives.
type fakeEntry struct {
	server  *httptest.Server
	status  api.Status
	result  api.AdminResult
	refusal *api.Refusal
	signed  *bundle.Signed
	intent  bundle.Intent
}

func newFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var response any = e.result
		switch r.URL.Path {
		case api.PathStatus:
			response = e.status
		case api.PathAdminBundle:
			_ = json.NewDecoder(r.Body).Decode(&e.signed)
		case api.PathAdminIntents:
			_ = json.NewDecoder(r.Body).Decode(&e.intent)
		}
		if e.refusal != nil && r.Method == http.MethodPost {
			e.refusal.WriteHTTP(w)
			return
		}
		_ = json.NewEncoder(w).Encode(response)
	}))
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEntry) addr() string { return strings.TrimPrefix(e.server.URL, "http://") }

const bundleTemplate = `{"version":1,"previous":"","organisations":[{"name":"o","key_digests":["` +
	`e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}],"services":[{"name":"desk","kind":"plain",` +
	`"cold_limit":1,"warm_limit":2,"queue_limit":4,"timeout_ms":1000,"shares":{"o":1}}],"zones":["z1"],"operators":[OPERATOR]}`

// Guards against a signature that the nodes would not accept, against a second
// signature by one member, and against overwriting a key file.
func TestSignAndRoll(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	member, file := filepath.Join(dir, "m.json"), filepath.Join(dir, "b.json")
	public, err := run("keys", "member", "--out", member, "anna")
	is.NoErr(err)
	_, err = run("keys", "member", "--out", member, "anna")
	is.True(trace.IsBadParameter(err)) // an existing key is not overwritten
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(bundleTemplate, "OPERATOR", public, 1)), 0o600))
	_, err = run("bundle", "sign", "--key", member, file)
	is.NoErr(err)
	_, err = run("bundle", "sign", "--key", member, file)
	is.NoErr(err)
	e := newFakeEntry(t)
	e.result = api.AdminResult{Accepted: true, Revision: 1}
	// Nothing listens on the first address.
	_, err = run("--entry", "127.0.0.1:1", "--entry", e.addr(), "bundle", "roll", file)
	is.NoErr(err)
	var key bundle.PublicKey
	is.NoErr(json.Unmarshal([]byte(public), &key))
	is.Equal(len(e.signed.Signatures), 1)
	_, err = e.signed.Verify([]bundle.PublicKey{key}, 1)
	is.NoErr(err)
}

// Guards against a command that is reported as confirmed although a zone with nodes
// has not confirmed it, and against a refusal treated as an unreachable entry.
func TestZoneOut(t *testing.T) {
	is := is.New(t)
	key := filepath.Join(t.TempDir(), "op.json")
	public, err := run("keys", "operator", "--out", key, "op")
	is.NoErr(err)
	e := newFakeEntry(t)
	e.status = api.Status{IntentsRev: 4, Nodes: []api.NodeStatus{{Zone: "z1"}, {Zone: "z2"}}}
	e.result = api.AdminResult{Accepted: true, Revision: 5, ConfirmedZones: []string{"z1", "z2"}}
	_, err = run("--entry", e.addr(), "zone", "out", "--key", key, "z2")
	is.NoErr(err)
	var operator bundle.PublicKey
	is.NoErr(json.Unmarshal([]byte(public), &operator))
	is.NoErr(e.intent.Verify([]bundle.PublicKey{operator}))
	is.Equal(e.intent.Revision, uint64(5))
	is.True(e.intent.Out)

	e.result.ConfirmedZones = []string{"z1"}
	_, err = run("--entry", e.addr(), "zone", "out", "--key", key, "z2")
	is.True(trace.IsLimitExceeded(err))

	e.refusal = api.NotRun(api.KindLastZone, "z2 is the last zone that is in", "bring another zone back in first")
	_, err = run("--entry", e.addr(), "zone", "out", "--key", key, "z2")
	var refusal *api.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Kind, api.KindLastZone)
}

// Guards against errors on invalid input that state no remedy.
func TestBadInput(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "b.json")
	is.NoErr(os.WriteFile(file, []byte(`{"version":0}`), 0o600))
	for _, args := range [][]string{
		{"bundle", "check", file},
		{"bundle", "check", file + ".none"},
		{"bundle", "roll", file},
		{"zone", "out", "--key", file, "z1"},
		{"status"},
	} {
		_, err := run(args...)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), ";")) // reason; remedy
	}
}
