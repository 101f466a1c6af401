package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/limits"
)

// bodyTimeout bounds the time to read a request's body. It protects against slow senders.
const bodyTimeout = 10 * time.Second

// BodyTimeout is the time within which a request's body must arrive.
func BodyTimeout() time.Duration { return bodyTimeout }

// past is a deadline that makes reads return at once.
var past = time.Unix(1, 0)

// Handler must be the outermost handler of a server whose connections are bounded. It
// records which requests are read, bounds the time in which a request's body must arrive, and closes the connection
// after a response that was sent before its end. Otherwise the server would read on, to
// reuse the connection, for as long as the peer likes.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			if limits.RequestRead(r.Context()) {
				next.ServeHTTP(w, r)
			}
			return
		}
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // httptest.ResponseRecorder does not support deadlines
		body := &trackedBody{ReadCloser: r.Body, controller: controller, ctx: r.Context()}
		// Package http looks at the body of its own request after the response.
		r = r.WithContext(r.Context())
		r.Body = body
		response := &closingWriter{ResponseWriter: w, body: body}
		next.ServeHTTP(response, r)
		response.beforeHead()
	})
}

// trackedBody records whether a body was read to its end, and then ends the time limit.
type trackedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	ctx        context.Context // of the request
	complete   atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.complete.Swap(true) {
		_ = b.controller.SetReadDeadline(time.Time{})
		if !limits.RequestRead(b.ctx) {
			return n, net.ErrClosed
		}
	}
	return n, err
}

// closingWriter ends the connection if the response begins before the body is complete.
type closingWriter struct {
	http.ResponseWriter
	body  *trackedBody
	begun bool
}

// Unwrap is for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.beforeHead()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.beforeHead()
	return w.ResponseWriter.Write(p)
}

func (w *closingWriter) beforeHead() {
	if w.begun {
		return
	}
	w.begun = true
	if !w.body.complete.Load() {
		// Makes package http close the connection after the response, and wait before it so
		// that the sender can read it.
		_, _ = http.MaxBytesReader(w.ResponseWriter, io.NopCloser(strings.NewReader("over")), 0).Read(make([]byte, 1))
		w.Header().Set("Connection", "close") // if w isn't that of package http
		_ = w.body.controller.SetReadDeadline(past)
	}
}
