// Package peer carries net/rpc between wasabinotch processes over TCP. Both
// ends of a connection prove knowledge of the shared key with an HMAC
// challenge before the first call.
package peer
