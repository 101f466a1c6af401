// Package httpguard keeps the HTTP clients of this project from taking broken responses
// for whole ones. Dial opens connections on which a reset never looks like an orderly end.
package httpguard
