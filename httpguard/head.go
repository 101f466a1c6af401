package httpguard

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that the head of a response isn't that of an HTTP/1 response.
var ErrMalformedHead = errors.New("the head of the response is malformed; check the server that sent it")

// The valid statuses (RFC 9110, section 15). Package net/http accepts any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error that wraps ErrMalformedHead if package net/http has parsed a
// head that is not valid. Nothing that such a response says may be used, its status, load
// or framing included.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %.40q on a connection of HTTP/1", ErrMalformedHead, r.Proto)
	}
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %.40q is not between %d and %d", ErrMalformedHead, r.Status, minStatus, maxStatus)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.40q", ErrMalformedHead, name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("%w: value %.40q of field %s", ErrMalformedHead, v, name)
			}
		}
	}
	return nil
}
