package settings

import "github.com/wasabinotch/wasabinotch/bundle"

// Node holds the settings common to all daemons.
type Node struct {
	// ID is the name of the process, which stays the same over restarts, e.g.
	// "batinah-entry-1".
	ID string `json:"id"`
	// VM is the name of the machine.
	VM string `json:"vm"`
	// Zone is the availability zone of the machine.
	Zone string `json:"zone"`
	// HTTPAddr is the advertised IP:port of the HTTP server.
	HTTPAddr string `json:"http_addr"`
	// RPCAddr is the advertised IP:port of the net/rpc server.
	RPCAddr string `json:"rpc_addr"`
	// HTTPListen and RPCListen are the IP:port to bind where they differ from the
	// advertised http_addr and rpc_addr, e.g. behind address translation.
	// Default: the advertised addresses.
	HTTPListen string `json:"http_listen"`
	RPCListen  string `json:"rpc_listen"`
	// SourceIP is the local IP address of outgoing connections. Default "": the
	// operating system chooses.
	SourceIP string `json:"source_ip"`
	// Entries are RPC addresses (IP:port) of some entries to contact at start.
	Entries []string `json:"entries"`
	// Members are the Ed25519 public keys trusted to sign bundles.
	Members []bundle.PublicKey `json:"members"`
	// Threshold is the number of member signatures that a bundle needs.
	Threshold int `json:"threshold"`
	// AuthKey is the shared key that authenticates messages between wasabinotch
	// processes: 32 bytes in base64. Required.
	AuthKey string `json:"auth_key"`
	// MemoryMB is the memory in megabytes (2^20 bytes) that the VM has for the process.
	// What the process holds for its peers is bounded by it. Default 1024.
	MemoryMB int `json:"memory_mb"`
	// FileDescriptors is the number of file descriptors that the process may use, which
	// bounds the connections of its peers. Default 0: those that the operating system
	// allows.
	FileDescriptors int `json:"file_descriptors"`
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
	// StoreCallsPerSecond limits the rate of calls to the store. Default 2, burst
	// 5. Journal writes for orders have a separate limit.
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
	// Group and Rank are the rank group of the endpoint and its rank number there,
	// from 0; Group "" for an endpoint outside rank groups.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
}
