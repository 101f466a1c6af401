// Package pipeline processes callers' requests in an entry with a chain of
// filters: account, identify, classify, admit, choose, dispatch, relay. The
// chain is defined in pipeline.go; each filter is in the file of its name.
package pipeline
