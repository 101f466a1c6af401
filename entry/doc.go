// Package entry assembles an entry: the HTTP server for callers and
// operators, the request pipeline, and the node's part in control work.
package entry
