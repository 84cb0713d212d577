package http1

import (
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

// response writes the response to one call, framed so that the client can tell
// whether it is complete.
type response struct {
	c         *conn
	header    http.Header
	body      *body
	isHead    bool // the method is HEAD
	proto11   bool
	keepAlive bool

	status   int
	headSent bool // written to the buffer
	bodyless bool
	length   int64 // Content-Length, or -1 if absent
	written  int64
	chunks   io.WriteCloser
}

func newResponse(c *conn, r *http.Request, b *body) *response {
	w := &response{
		c: c, header: make(http.Header, 8), body: b,
		isHead: r.Method == http.MethodHead, proto11: r.ProtoAtLeast(1, 1), keepAlive: !r.Close && r.ProtoAtLeast(1, 1),
	}
	if b != nil {
		b.response = w
	}
	return w
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	if status >= 100 && status < 200 {
		w.writeInterim(status)
		return
	}
	w.status = status
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.writeHead()
	if w.bodyless {
		return len(p), nil
	}
	w.written += int64(len(p))
	if w.length >= 0 && w.written > w.length {
		return 0, &LengthError{Declared: w.length, Written: w.written}
	}
	var n int
	var err error
	if w.chunks != nil {
		n, err = w.chunks.Write(p)
	} else {
		n, err = w.c.bw.Write(p)
	}
	if err != nil {
		return n, &WriteError{Err: err}
	}
	return n, nil
}

// FlushError implements the flush interface of http.ResponseController.
func (w *response) FlushError() error {
	w.writeHead()
	return w.c.bw.Flush()
}

// Flush implements http.Flusher.
func (w *response) Flush() { _ = w.FlushError() }

// SetReadDeadline sets the deadline for the rest of the request body.
func (w *response) SetReadDeadline(t time.Time) error {
	if w.body != nil {
		w.body.setBodyDeadline(t)
	}
	return nil
}

// sendContinue requests the body from a client that waits for 100 Continue.
func (w *response) sendContinue() error {
	if w.status == 0 && w.proto11 {
		w.writeInterim(http.StatusContinue)
	}
	return w.c.bw.Flush()
}

// writeInterim sends an interim (1xx) response.
func (w *response) writeInterim(status int) {
	if !w.proto11 || status == http.StatusSwitchingProtocols {
		return
	}
	w.writeStatusLine(status)
	if status != http.StatusContinue {
		_ = w.header.Write(w.c.bw)
	}
	_, _ = w.c.bw.WriteString("\r\n")
	_ = w.c.bw.Flush()
}

// framingHeaders are set by the server itself and dropped from the handler's
// headers.
var framingHeaders = map[string]bool{
	"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true,
}

func (w *response) writeHead() {
	if w.headSent {
		return
	}
	w.headSent = true
	if w.status == 0 {
		w.status = http.StatusOK
	}
	w.length = w.declaredLength()
	w.bodyless = w.isHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
	if w.c.s.draining.Load() || w.c.s.keepAliveOff.Load() {
		w.keepAlive = false
	}
	if w.body != nil && w.keepAlive {
		w.keepAlive = w.body.discardUnread()
	}
	w.writeStatusLine(w.status)
	_ = w.header.WriteSubset(w.c.bw, framingHeaders)
	w.writeFraming()
	_, _ = w.c.bw.WriteString("\r\n")
}

func (w *response) writeFraming() {
	bw := w.c.bw
	switch {
	case w.length >= 0 && w.status != http.StatusNoContent:
		_, _ = bw.WriteString("Content-Length: ")
		_, _ = bw.Write(strconv.AppendInt(bw.AvailableBuffer(), w.length, 10))
		_, _ = bw.WriteString("\r\n")
	case w.bodyless:
	case w.proto11:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n")
		w.chunks = httputil.NewChunkedWriter(bw)
	}
	if !w.keepAlive {
		_, _ = bw.WriteString("Connection: close\r\n")
	}
}

func (w *response) declaredLength() int64 {
	n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

func (w *response) writeStatusLine(status int) {
	bw := w.c.bw
	_, _ = bw.WriteString("HTTP/1.1 ")
	_, _ = bw.Write(strconv.AppendInt(bw.AvailableBuffer(), int64(status), 10))
	_, _ = bw.WriteString(" ")
	_, _ = bw.WriteString(http.StatusText(status))
	_, _ = bw.WriteString("\r\n")
}

// finish completes the response and flushes it.
func (w *response) finish() error {
	if !w.headSent && w.header.Get("Content-Length") == "" && !w.isHead {
		w.header.Set("Content-Length", "0")
	}
	w.writeHead()
	if w.length >= 0 && !w.bodyless && w.written != w.length {
		return &LengthError{Declared: w.length, Written: w.written}
	}
	if w.chunks != nil {
		_ = w.chunks.Close()
		w.writeTrailers()
		_, _ = w.c.bw.WriteString("\r\n")
	}
	if err := w.c.bw.Flush(); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

func (w *response) writeTrailers() {
	for k, values := range w.header {
		name, ok := strings.CutPrefix(k, http.TrailerPrefix)
		if !ok {
			continue
		}
		_ = http.Header{name: values}.Write(w.c.bw)
	}
}
