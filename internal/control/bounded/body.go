package bounded

import (
	"fmt"
	"io"
	"net/http"

	"banyanlug.example/banyanlug/internal/wire/message"
)

const (
	// maxResponseBytes is well above a view of a whole fleet with its configuration.
	maxResponseBytes = 16 << 20
	// maxRequestBytes is well above what a node tells of the members that it knows.
	maxRequestBytes = 4 << 20
)

// Handler refuses longer requests.
func Handler(h http.Handler) http.Handler { return http.MaxBytesHandler(h, maxRequestBytes) }

// Transport ends longer responses with a TooLongError, and those without a stated end with a
// message.NoEndError.
func Transport(next http.RoundTripper) http.RoundTripper { return transport{next} }

// TooLongError means that a response is longer than any that a node sends.
type TooLongError struct{ Bytes int64 }

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the response is longer than %d bytes", e.Bytes)
}

type transport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := message.CheckEnd(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, left: maxResponseBytes + 1}
	return resp, nil
}

// CloseIdleConnections closes those of the next transport, for http.Client.
func (t transport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

type body struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left == 0 {
		return n, &TooLongError{Bytes: maxResponseBytes}
	}
	return n, err
}
