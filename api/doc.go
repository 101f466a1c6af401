// Package api defines the HTTP contract of an entry with callers and operators:
// paths, headers, request and response types, and the typed refusal.
package api
