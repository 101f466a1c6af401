// Package httpguard keeps the HTTP clients of this project from taking broken responses
// for sound ones. Package net/http is lenient towards servers: it accepts heads that are
// not valid, and a body without a length may end with a reset.
//
// NewTransport is for clients of package net/http. Conn and CheckHead are the parts that
// it consists of, for package upstream.
package httpguard
