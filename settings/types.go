package settings

import "github.com/wasabinotch/wasabinotch/bundle"

// Node holds the settings common to all daemons.
type Node struct {
	// ID is the stable name of the process, e.g. "batinah-entry-1".
	ID string `json:"id"`
	// VM is the name of the machine.
	VM string `json:"vm"`
	// Zone is the availability zone of the machine.
	Zone string `json:"zone"`
	// HTTPAddr is the IP:port on which HTTP is served.
	HTTPAddr string `json:"http_addr"`
	// RPCAddr is the IP:port on which net/rpc is served.
	RPCAddr string `json:"rpc_addr"`
	// HTTPListen and RPCListen are the IP:port to bind when they differ from
	// the announced http_addr and rpc_addr, e.g. behind address translation.
	// Default: the announced addresses.
	HTTPListen string `json:"http_listen"`
	RPCListen  string `json:"rpc_listen"`
	// SourceIP is the local IP number of outgoing connections. Default "": the
	// operating system chooses.
	SourceIP string `json:"source_ip"`
	// Entries are RPC addresses (IP:port) of some entries to contact at start.
	Entries []string `json:"entries"`
	// Members are the trusted Ed25519 keys that sign bundles.
	Members []bundle.PublicKey `json:"members"`
	// Threshold is the number of member signatures that a bundle needs.
	Threshold int `json:"threshold"`
	// AuthKey, base64, authenticates messages between our processes; required, 32 bytes.
	AuthKey string `json:"auth_key"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Node
	// StoreAddrs are HTTP addresses (IP:port) of the platform's key-value service.
	StoreAddrs []string `json:"store_addrs"`
	// MaxBodyBytes bounds a request body, in bytes. Default 1048576.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// ReadHeaderTimeoutMS bounds the time to read a request's header, in milliseconds. Default 5000.
	ReadHeaderTimeoutMS int64 `json:"read_header_timeout_ms"`
	// StoreCallsPerSecond is the call budget toward the store. Default 2, burst 5.
	// Journal writes for orders have a budget of their own.
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	// MapIntervalMS is the time between two expert-map plans of a rank group,
	// in milliseconds. Default 60000.
	MapIntervalMS int64 `json:"map_interval_ms"`
	// VMListAddr is the HTTP address (IP:port) of the platform's VM list; "" for none.
	VMListAddr string `json:"vm_list_addr"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Node
	// Service is the name of the service of the endpoint.
	Service string `json:"service"`
	// EndpointAddr is the HTTP address (IP:port) of the endpoint.
	EndpointAddr string `json:"endpoint_addr"`
	// Group and Rank name the place in a rank group; Group "" for none.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
}
