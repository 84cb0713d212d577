package hop

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
)

// Request is a call as it is sent to one peer.
type Request struct {
	method        string
	uri           string
	host          string
	header        http.Header
	body          Body
	meta          *Meta
	extra         [][2]string
	onPooledClose func()
	echo          [2]string
}

// RequestOption configures a Request.
type RequestOption func(*Request)

// WithMeta sends the metadata of the call to the next node.
func WithMeta(m Meta) RequestOption { return func(r *Request) { r.meta = &m } }

// WithHeader adds a header to those of the call.
func WithHeader(name, value string) RequestOption {
	return func(r *Request) { r.extra = append(r.extra, [2]string{name, value}) }
}

// WithEcho names a header that the response must repeat with the same value. A response
// that does not is discarded as one to an earlier call on the connection.
func WithEcho(name, value string) RequestOption {
	return func(r *Request) { r.echo = [2]string{name, value} }
}

// OnPooledClose sets a callback that is called if the request's connection is pooled
// and then closed without carrying another call. f must not block.
func OnPooledClose(f func()) RequestOption { return func(r *Request) { r.onPooledClose = f } }

// NewRequest returns a request. h must have been stripped with Strip.
func NewRequest(method, uri, host string, h http.Header, body Body, opts ...RequestOption) *Request {
	r := &Request{method: method, uri: uri, host: host, header: h, body: body}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// writeHead writes the request line and headers.
func (r *Request) writeHead(w *bufio.Writer, token string, expectContinue bool) error {
	_, _ = w.WriteString(r.method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.uri)
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeHeader(w, "Host", r.host)
	if token != "" {
		writeHeader(w, FleetHeader, token)
	}
	if r.meta != nil {
		r.meta.write(w)
	}
	for _, e := range r.extra {
		writeHeader(w, e[0], e[1])
	}
	switch b := r.body.(type) {
	case None:
		if r.method == http.MethodPost || r.method == http.MethodPut || r.method == http.MethodPatch {
			writeHeader(w, "Content-Length", "0")
		}
	case Buffered:
		writeNumber(w, "Content-Length", int64(len(b.bytes)))
	case *Stream:
		if b.length >= 0 {
			writeNumber(w, "Content-Length", b.length)
		} else {
			writeHeader(w, "Transfer-Encoding", "chunked")
		}
		if expectContinue {
			writeHeader(w, "Expect", "100-continue")
		}
	default:
		return &UnknownBodyError{Body: r.body}
	}
	_ = r.header.Write(w)
	_, _ = w.WriteString("\r\n")
	return nil
}

// writeHeader writes a header. The value must not contain a line break.
func writeHeader(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

func writeNumber(w *bufio.Writer, name string, n int64) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), n, 10))
	_, _ = w.WriteString("\r\n")
}

// writeStream sends a streamed body. sendErr is an error of the connection, bodyErr an
// error of reading the body.
func writeStream(w *bufio.Writer, b *Stream) (sendErr, bodyErr error) {
	src := &errorRecorder{r: b.r}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	var dst io.Writer = w
	var chunks io.WriteCloser
	if b.length < 0 {
		chunks = httputil.NewChunkedWriter(w)
		dst = chunks
	}
	_, err := CopyFlush(dst, src, w.Flush, *buf)
	if src.err != nil {
		return nil, src.err
	}
	if err != nil {
		return err, nil
	}
	if chunks != nil {
		_ = chunks.Close()
		_, _ = w.WriteString("\r\n")
	}
	return w.Flush(), nil
}

// errorRecorder records the error of a reader, to tell it from an error of the writer
// that the data is copied to.
type errorRecorder struct {
	r   io.Reader
	err error
}

func (e *errorRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		e.err = err
	}
	return n, err
}
