package hop

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
)

// ReplayBytes is the longest body that is read whole before a target is
// picked. Such a call can be sent again, and its sender's pace does not hold a
// slot. It is above what a quote, a claim or a logged send has, and 500 calls
// at once hold 16 MB at most.
const ReplayBytes = 32 << 10

// Body is the body of a call: None, Whole or Stream.
type Body interface{ isBody() }

// None is the body of a call without one.
type None struct{}

// Whole is a body held in memory, which can be sent again.
type Whole struct{ bytes []byte }

// Stream is a body that is sent on as it comes, and only once.
type Stream struct {
	r         io.Reader
	length    int64
	interrupt func()
	begun     bool
}

func (None) isBody()    {}
func (Whole) isBody()   {}
func (*Stream) isBody() {}

// NewWhole returns a body of some bytes.
func NewWhole(b []byte) Whole { return Whole{bytes: b} }

// NewStream returns a body that is read from r; length is -1 if unknown, and
// interrupt ends a read that waits.
func NewStream(r io.Reader, length int64, interrupt func()) *Stream {
	return &Stream{r: r, length: length, interrupt: interrupt}
}

// Replayable reports whether a body can be sent, or sent again, in whole.
func Replayable(b Body) bool {
	s, ok := b.(*Stream)
	return !ok || !s.begun
}

// ReadBody returns a short body of a call whole and a long one as a stream;
// both must come before the call's deadline.
func ReadBody(w http.ResponseWriter, r *http.Request, until time.Time) (Body, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return None{}, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(until)
	interrupt := func() { _ = control.SetReadDeadline(longAgo) }
	switch {
	case r.ContentLength > ReplayBytes:
		return NewStream(r.Body, r.ContentLength, interrupt), nil
	case r.ContentLength > 0:
		b := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, b); err != nil {
			return nil, &BodyError{Err: err}
		}
		return NewWhole(b), readEnd(r.Body)
	}
	b := make([]byte, ReplayBytes)
	n, err := io.ReadFull(r.Body, b)
	switch {
	case err == nil:
		return NewStream(io.MultiReader(newReader(b), r.Body), -1, interrupt), nil
	case err == io.EOF || err == io.ErrUnexpectedEOF:
		return NewWhole(b[:n]), nil
	default:
		return nil, &BodyError{Err: err}
	}
}

// readEnd lets the server see that the body is at its end.
func readEnd(r io.Reader) error {
	var one [1]byte
	if _, err := r.Read(one[:]); err != nil && !errors.Is(err, io.EOF) {
		return &BodyError{Err: err}
	}
	return nil
}

// Request is a call as it is sent to one peer.
type Request struct {
	method string
	uri    string
	host   string
	header http.Header
	body   Body
	meta   *Meta
	extra  [][2]string
	onDrop func()
	echo   [2]string
}

// RequestOption sets one property of a request.
type RequestOption func(*Request)

// WithMeta tells the node at the far side about the call.
func WithMeta(m Meta) RequestOption { return func(r *Request) { r.meta = &m } }

// WithHeader adds a header besides those passed on.
func WithHeader(name, value string) RequestOption {
	return func(r *Request) { r.extra = append(r.extra, [2]string{name, value}) }
}

// WithEcho names a header that the answer must repeat. An answer that does not
// belongs to another call that went over the connection before, and is passed
// over.
func WithEcho(name, value string) RequestOption {
	return func(r *Request) { r.echo = [2]string{name, value} }
}

// OnDrop sets what is called if the connection that carries the request is kept
// for another call and then closed without one; f must not block.
func OnDrop(f func()) RequestOption { return func(r *Request) { r.onDrop = f } }

// NewRequest returns a request; its headers have been through Strip.
func NewRequest(method, uri, host string, h http.Header, body Body, opts ...RequestOption) *Request {
	r := &Request{method: method, uri: uri, host: host, header: h, body: body}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// writeHead writes the request line and headers.
func (r *Request) writeHead(w *bufio.Writer, proof string, ask bool) error {
	_, _ = w.WriteString(r.method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.uri)
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeHeader(w, "Host", r.host)
	if proof != "" {
		writeHeader(w, FleetHeader, proof)
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
	case Whole:
		writeNumber(w, "Content-Length", int64(len(b.bytes)))
	case *Stream:
		if b.length >= 0 {
			writeNumber(w, "Content-Length", b.length)
		} else {
			writeHeader(w, "Transfer-Encoding", "chunked")
		}
		if ask {
			writeHeader(w, "Expect", "100-continue")
		}
	default:
		return &KindError{Body: r.body}
	}
	_ = r.header.Write(w)
	_, _ = w.WriteString("\r\n")
	return nil
}

// writeHeader writes a header whose value is known to hold no line end.
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

// writeStream sends a streamed body; sendErr is of the connection, bodyErr of
// the body's own sender.
func writeStream(w *bufio.Writer, b *Stream) (sendErr, bodyErr error) {
	src := &sourceReader{r: b.r}
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

// sourceReader keeps a reader's failure apart from its writer's.
type sourceReader struct {
	r   io.Reader
	err error
}

func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}
