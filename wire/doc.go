// Package wire defines the messages between wasabinotch processes: the
// net/rpc arguments and replies, and the execute envelope and answer frames
// exchanged over HTTP between an entry and an agent.
package wire
