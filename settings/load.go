package settings

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/limits"
)

// ExitCode is the exit code of a daemon whose settings are invalid.
const ExitCode = 2

// authKeyBytes is the length of auth_key after decoding.
const authKeyBytes = 32

// Error reports an invalid settings field and its remedy.
type Error struct {
	Field  string
	Reason string
	Remedy string
}

func (e *Error) Error() string {
	return fmt.Sprintf("settings field %q: %s; %s", e.Field, e.Reason, e.Remedy)
}

// Validator checks settings and fills in defaults.
type Validator interface {
	Validate() error
}

// LoadFile decodes the JSON settings file at path into v and validates it. The
// error is an *Error.
func LoadFile(path string, v Validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{Field: "--settings", Reason: err.Error(), Remedy: "name a readable JSON file"}
	}
	return Load(data, v)
}

// Load decodes one JSON object into v and validates it. Unknown fields and
// trailing data are errors.
func Load(data []byte, v Validator) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &Error{Field: "(file)", Reason: "data after the settings object", Remedy: "keep one JSON object in the file"}
	}
	return v.Validate()
}

func decodeError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return &Error{Field: t.Field, Reason: "is a JSON " + t.Value, Remedy: "give a value of type " + t.Type.String()}
	}
	return &Error{Field: "(file)", Reason: err.Error(), Remedy: "give one JSON object with the documented fields only"}
}

// Validate checks the settings common to all daemons.
func (n *Node) Validate() error {
	for _, f := range []struct{ name, value string }{{"id", n.ID}, {"vm", n.VM}, {"zone", n.Zone}} {
		if f.value == "" {
			return &Error{Field: f.name, Reason: "is missing", Remedy: "set a non-empty name"}
		}
	}
	// Order identities separate the node ID from the other parts with dots.
	if strings.ContainsAny(n.ID, ". \t\n/") {
		return &Error{Field: "id", Reason: "contains a dot, a slash or white space", Remedy: "use letters, digits, '-' and '_'"}
	}
	if err := checkAddr("http_addr", n.HTTPAddr); err != nil {
		return err
	}
	if err := checkAddr("rpc_addr", n.RPCAddr); err != nil {
		return err
	}
	if err := n.validateListen(); err != nil {
		return err
	}
	for i, a := range n.Entries {
		if err := checkAddr(fmt.Sprintf("entries[%d]", i), a); err != nil {
			return err
		}
	}
	if err := checkMembers(n.Members, n.Threshold); err != nil {
		return err
	}
	if err := n.validateLimits(); err != nil {
		return err
	}
	_, err := n.DecodedAuthKey()
	return err
}

const (
	defaultMemoryMB = 1024
	// minMemoryMB is the memory planned for the control state of one node; below it
	// nothing is left for requests.
	minMemoryMB = 64
	// minFileDescriptors leaves the listeners some connections beside the process's own.
	minFileDescriptors = 64
)

// validateLimits checks the limits of the process and fills in the default.
func (n *Node) validateLimits() error {
	if n.MemoryMB == 0 {
		n.MemoryMB = defaultMemoryMB
	}
	if n.MemoryMB < minMemoryMB {
		return &Error{Field: "memory_mb", Reason: fmt.Sprintf("is %d", n.MemoryMB), Remedy: fmt.Sprintf("use the megabytes that the VM has for the process, %d at least", minMemoryMB)}
	}
	if n.FileDescriptors != 0 && n.FileDescriptors < minFileDescriptors {
		return &Error{Field: "file_descriptors", Reason: fmt.Sprintf("is %d", n.FileDescriptors), Remedy: fmt.Sprintf("use %d at least, or 0 for those that the operating system allows", minFileDescriptors)}
	}
	return nil
}

// HTTPBind returns the address to bind for HTTP: HTTPListen, or HTTPAddr by default.
func (n *Node) HTTPBind() string { return cmp.Or(n.HTTPListen, n.HTTPAddr) }

// RPCBind returns the address to bind for net/rpc: RPCListen, or RPCAddr by default.
func (n *Node) RPCBind() string { return cmp.Or(n.RPCListen, n.RPCAddr) }

// validateListen checks the bind addresses and the source address.
func (n *Node) validateListen() error {
	if err := checkAddr("http_listen", n.HTTPBind()); err != nil {
		return err
	}
	if err := checkAddr("rpc_listen", n.RPCBind()); err != nil {
		return err
	}
	if n.HTTPAddr == n.RPCAddr || n.HTTPBind() == n.RPCBind() {
		return &Error{Field: "rpc_addr", Reason: "equals http_addr", Remedy: "use another port"}
	}
	if n.SourceIP == "" {
		return nil
	}
	if _, err := netip.ParseAddr(n.SourceIP); err != nil {
		return &Error{Field: "source_ip", Reason: fmt.Sprintf("%q is not an IP address", n.SourceIP), Remedy: "use an IP address of this machine, or leave it empty"}
	}
	return nil
}

// DecodedAuthKey returns AuthKey decoded from base64.
func (n *Node) DecodedAuthKey() ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(n.AuthKey)
	if err != nil || len(key) != authKeyBytes {
		return nil, &Error{Field: "auth_key", Reason: "is not 32 bytes in base64", Remedy: "create one with 'wasabinotch keys auth'"}
	}
	return key, nil
}

// Validate checks an entry's settings and fills in defaults.
func (e *Entry) Validate() error {
	if err := e.Node.Validate(); err != nil {
		return err
	}
	if len(e.StoreAddrs) == 0 {
		return &Error{Field: "store_addrs", Reason: "is missing", Remedy: "list at least one IP:port of the key-value service"}
	}
	for i, a := range e.StoreAddrs {
		if err := checkAddr(fmt.Sprintf("store_addrs[%d]", i), a); err != nil {
			return err
		}
	}
	if e.VMListAddr != "" {
		if err := checkAddr("vm_list_addr", e.VMListAddr); err != nil {
			return err
		}
	}
	return e.fillDefaults()
}

func (e *Entry) fillDefaults() error {
	const (
		defaultMaxBodyBytes        = 1 << 20
		defaultReadHeaderTimeoutMS = 5000
		defaultStoreCallsPerSecond = 2
		// bodyCopies is the memory that a request may take beside others, in multiples of
		// its body: the body, its envelope for the agent, and the room that the budget
		// keeps from large requests.
		bodyCopies = 7
	)
	if e.MapIntervalMS < 0 {
		return &Error{Field: "map_interval_ms", Reason: "is negative", Remedy: "use a positive value, or 0 for the default"}
	}
	if e.MaxBodyBytes < 0 || e.ReadHeaderTimeoutMS < 0 || e.StoreCallsPerSecond < 0 {
		return &Error{Field: "max_body_bytes, read_header_timeout_ms, store_calls_per_second", Reason: "is negative", Remedy: "use a positive value, or 0 for the default"}
	}
	if e.MaxBodyBytes == 0 {
		e.MaxBodyBytes = defaultMaxBodyBytes
	}
	if largest := limits.SizesFor(e.MemoryMB, e.FileDescriptors).MemoryBytes / bodyCopies; e.MaxBodyBytes > largest {
		return &Error{Field: "max_body_bytes", Reason: fmt.Sprintf("is %d, for which memory_mb leaves no room", e.MaxBodyBytes), Remedy: fmt.Sprintf("use %d at most, or raise memory_mb", largest)}
	}
	if e.ReadHeaderTimeoutMS == 0 {
		e.ReadHeaderTimeoutMS = defaultReadHeaderTimeoutMS
	}
	if e.StoreCallsPerSecond == 0 {
		e.StoreCallsPerSecond = defaultStoreCallsPerSecond
	}
	return nil
}

// Validate checks an agent's settings.
func (a *Agent) Validate() error {
	if err := a.Node.Validate(); err != nil {
		return err
	}
	if len(a.Entries) == 0 {
		return &Error{Field: "entries", Reason: "is empty", Remedy: "list RPC addresses of some entries"}
	}
	if a.Service == "" {
		return &Error{Field: "service", Reason: "is missing", Remedy: "name the service of the endpoint"}
	}
	if a.Rank < 0 {
		return &Error{Field: "rank", Reason: "is negative", Remedy: "use the rank's number, from 0"}
	}
	return checkAddr("endpoint_addr", a.EndpointAddr)
}

// checkAddr accepts only an IP address and a port, since nodes are not resolved by
// host name.
func checkAddr(field, addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		return &Error{Field: field, Reason: fmt.Sprintf("%q is not IP:port", addr), Remedy: "use an IP address and a port, e.g. 192.0.2.1:7000"}
	}
	return nil
}

func checkMembers(members []bundle.PublicKey, threshold int) error {
	if threshold < 1 || threshold > len(members) {
		return &Error{Field: "threshold", Reason: fmt.Sprintf("is %d with %d members", threshold, len(members)), Remedy: "use a number from 1 to the number of members"}
	}
	seen := make(map[string]bool)
	for i, m := range members {
		field := fmt.Sprintf("members[%d]", i)
		key, err := base64.StdEncoding.DecodeString(m.Public)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return &Error{Field: field, Reason: "public key is not 32 bytes in base64", Remedy: "create one with 'wasabinotch keys member'"}
		}
		if m.Name == "" || seen[m.Name] || seen[m.Public] {
			return &Error{Field: field, Reason: "name is empty, or name or key is a duplicate", Remedy: "give each member one name and one key"}
		}
		seen[m.Name], seen[m.Public] = true, true
	}
	return nil
}

// Listen opens a TCP listener on addr. If that fails, e.g. because the address is
// in use, the error is an *Error that names field.
func Listen(field, addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Field: field, Reason: err.Error(), Remedy: "use an address of this machine and a free port"}
	}
	return ln, nil
}
