package http1

import (
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

// answer writes the answer to one call, framed so that its reader can tell
// whether it is whole.
type answer struct {
	c       *conn
	header  http.Header
	body    *body
	head    bool // the call is a HEAD
	proto11 bool
	keep    bool

	status   int
	sent     bool // the head is in the buffer
	bodyless bool
	length   int64 // declared, or -1
	written  int64
	chunks   io.WriteCloser
}

func newAnswer(c *conn, r *http.Request, b *body) *answer {
	a := &answer{
		c: c, header: make(http.Header, 8), body: b,
		head: r.Method == http.MethodHead, proto11: r.ProtoAtLeast(1, 1), keep: !r.Close && r.ProtoAtLeast(1, 1),
	}
	if b != nil {
		b.answer = a
	}
	return a
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if a.status != 0 {
		return
	}
	if status >= 100 && status < 200 {
		a.inform(status)
		return
	}
	a.status = status
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.sendHead()
	if a.bodyless {
		return len(p), nil
	}
	a.written += int64(len(p))
	if a.length >= 0 && a.written > a.length {
		return 0, &LengthError{Declared: a.length, Written: a.written}
	}
	var n int
	var err error
	if a.chunks != nil {
		n, err = a.chunks.Write(p)
	} else {
		n, err = a.c.bw.Write(p)
	}
	if err != nil {
		return n, &WriteError{Err: err}
	}
	return n, nil
}

// FlushError implements what http.ResponseController flushes with.
func (a *answer) FlushError() error {
	a.sendHead()
	return a.c.bw.Flush()
}

// Flush implements http.Flusher.
func (a *answer) Flush() { _ = a.FlushError() }

// SetReadDeadline bounds the time for the rest of the request body.
func (a *answer) SetReadDeadline(t time.Time) error {
	if a.body != nil {
		a.body.bound(t)
	}
	return nil
}

// proceed asks for the body of a caller that waits for 100 Continue.
func (a *answer) proceed() error {
	if a.status == 0 && a.proto11 {
		a.inform(http.StatusContinue)
	}
	return a.c.bw.Flush()
}

// inform sends an interim answer.
func (a *answer) inform(status int) {
	if !a.proto11 || status == http.StatusSwitchingProtocols {
		return
	}
	a.statusLine(status)
	if status != http.StatusContinue {
		_ = a.header.Write(a.c.bw)
	}
	_, _ = a.c.bw.WriteString("\r\n")
	_ = a.c.bw.Flush()
}

// framing is what the server itself decides about an answer.
var framing = map[string]bool{
	"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true,
}

func (a *answer) sendHead() {
	if a.sent {
		return
	}
	a.sent = true
	if a.status == 0 {
		a.status = http.StatusOK
	}
	a.length = a.declared()
	a.bodyless = a.head || a.status == http.StatusNoContent || a.status == http.StatusNotModified
	if a.c.s.draining.Load() || a.c.s.closing.Load() {
		a.keep = false
	}
	if a.body != nil && a.keep {
		a.keep = a.body.passed()
	}
	a.statusLine(a.status)
	_ = a.header.WriteSubset(a.c.bw, framing)
	a.frame()
	_, _ = a.c.bw.WriteString("\r\n")
}

func (a *answer) frame() {
	bw := a.c.bw
	switch {
	case a.length >= 0 && a.status != http.StatusNoContent:
		_, _ = bw.WriteString("Content-Length: ")
		_, _ = bw.Write(strconv.AppendInt(bw.AvailableBuffer(), a.length, 10))
		_, _ = bw.WriteString("\r\n")
	case a.bodyless:
	case a.proto11:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n")
		a.chunks = httputil.NewChunkedWriter(bw)
	}
	if !a.keep {
		_, _ = bw.WriteString("Connection: close\r\n")
	}
}

func (a *answer) declared() int64 {
	n, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

func (a *answer) statusLine(status int) {
	bw := a.c.bw
	_, _ = bw.WriteString("HTTP/1.1 ")
	_, _ = bw.Write(strconv.AppendInt(bw.AvailableBuffer(), int64(status), 10))
	_, _ = bw.WriteString(" ")
	_, _ = bw.WriteString(http.StatusText(status))
	_, _ = bw.WriteString("\r\n")
}

// finish ends the answer and sends what is buffered of it.
func (a *answer) finish() error {
	if !a.sent && a.header.Get("Content-Length") == "" && !a.head {
		a.header.Set("Content-Length", "0")
	}
	a.sendHead()
	if a.length >= 0 && !a.bodyless && a.written != a.length {
		return &LengthError{Declared: a.length, Written: a.written}
	}
	if a.chunks != nil {
		_ = a.chunks.Close()
		a.trailers()
		_, _ = a.c.bw.WriteString("\r\n")
	}
	if err := a.c.bw.Flush(); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

func (a *answer) trailers() {
	for k, values := range a.header {
		name, ok := strings.CutPrefix(k, http.TrailerPrefix)
		if !ok {
			continue
		}
		_ = http.Header{name: values}.Write(a.c.bw)
	}
}
