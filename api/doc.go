// Package api defines the HTTP contract between callers and entries: paths,
// headers, request and answer types, and the typed refusal.
package api
