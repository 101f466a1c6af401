// Package pipeline processes an entry's requests in a chain of small filters:
// account, identify, classify, admit, choose, dispatch, relay. The order of
// the chain stands in pipeline.go; each filter has a file of its own.
package pipeline
