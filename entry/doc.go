// Package entry assembles an entry, the proxy process, from its components: the HTTP
// server for callers and operators, the request pipeline, the control loop, the order
// journal, the expert map coordinator and the net/rpc server for other nodes.
package entry
