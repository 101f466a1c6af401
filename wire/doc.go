// Package wire defines the messages between wasabinotch processes: the
// net/rpc arguments and replies, the execute envelope and response frames
// exchanged over HTTP between an entry and an agent, the load report datagrams,
// and the messages between a coordinator and the agents of its rank group.
package wire
