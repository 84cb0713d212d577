package hop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is the response to a call. Read returns its body; the caller must call Close
// when done with it.
type Response struct {
	client *Client
	pc     *peerConn
	ctx    context.Context
	stop   func() bool
	resp   *http.Response

	stream   *Stream
	bodySent chan error // result of sending a streamed request body; nil if there is none
	err      error
	finished bool
	pooled   bool
	load     string
	version  uint64
	// sawStale is set once a response to an earlier call arrived on the connection.
	sawStale bool
	// closeDelimited is set if the end of the connection marks the end of the body.
	closeDelimited bool
}

// Status returns the status code.
func (res *Response) Status() int { return res.resp.StatusCode }

// Header returns the headers; the caller may modify them.
func (res *Response) Header() http.Header { return res.resp.Header }

// Length returns the declared length of the body, or -1.
func (res *Response) Length() int64 { return res.resp.ContentLength }

// Trailer returns the trailers; they are complete once Read has returned io.EOF.
func (res *Response) Trailer() http.Header { return res.resp.Trailer }

// Pooled reports whether the connection went back to the pool. It is valid once the
// response was read to its end.
func (res *Response) Pooled() bool { return res.pooled }

// Load returns the value of LoadHeader, without the service time, and false if the peer
// did not report it.
func (res *Response) Load() (float64, bool) {
	text, _, _ := strings.Cut(res.load, loadSeparator)
	load, err := strconv.ParseFloat(text, 64)
	return load, err == nil && load >= 0
}

// ServiceTime returns the usual run time of the route's calls at the target, or 0 if
// the peer did not report it.
func (res *Response) ServiceTime() time.Duration {
	_, text, _ := strings.Cut(res.load, loadSeparator)
	us, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// loadSeparator separates the load from the service time in a LoadHeader.
const loadSeparator = " "

// FormatLoad returns the value of a LoadHeader; a service time of 0 is omitted.
func FormatLoad(load float64, service time.Duration) string {
	b := strconv.AppendFloat(nil, load, 'f', 2, 64)
	if service > 0 {
		b = append(b, loadSeparator...)
		b = strconv.AppendInt(b, service.Microseconds(), 10)
	}
	return string(b)
}

// Version returns the version of the configuration that is active at the peer, or 0 if
// the peer did not report it.
func (res *Response) Version() uint64 { return res.version }

// Read implements io.Reader. It returns io.EOF only if the body is complete.
func (res *Response) Read(p []byte) (int, error) {
	if res.finished {
		return 0, io.EOF
	}
	if res.err != nil {
		return 0, res.err
	}
	n, err := res.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		res.finish()
		return n, io.EOF
	}
	if res.err = res.invalid(); res.err == nil {
		res.err = res.client.classify(res.ctx, &CutOffError{To: res.pc.to, Err: err}, res.pc.to, true)
	}
	return n, res.err
}

// Close closes the connection unless the response was read to its end.
func (res *Response) Close() {
	if !res.finished {
		res.abandon()
	}
}

// finish returns the connection to the pool if no unread bytes are left on it and the
// whole request was sent; otherwise it closes the connection.
func (res *Response) finish() {
	res.finished = true
	pc := res.pc
	clean := !res.resp.Close && !res.sawStale && !res.closeDelimited && pc.br.Buffered() == 0 && pc.checked.Invalid() == nil
	if res.bodySent != nil {
		// The peer may respond before it has read the whole request. It would then parse
		// the rest of the body as the next request.
		select {
		case err := <-res.bodySent:
			clean = clean && err == nil
		default:
			clean = false
			res.stopBody()
		}
	}
	if !res.stop() {
		clean = false
	}
	if clean {
		pc.releaseBuffers()
		res.pooled = res.client.release(pc)
		return
	}
	_ = pc.conn.Close()
}

// abandon closes the connection, so that a late response reaches no other call.
func (res *Response) abandon() {
	res.finished = true
	res.stop()
	_ = res.pc.conn.Close()
	res.stopBody()
}

// startBody sends a streamed body on its own goroutine, since the peer may respond or
// stop reading before the body is sent.
func (res *Response) startBody(s *Stream) {
	s.started = true
	res.stream = s
	res.bodySent = make(chan error, 1)
	go sendBody(res.pc, s, res.bodySent)
}

func sendBody(pc *peerConn, s *Stream, done chan<- error) {
	sendErr, bodyErr := writeStream(pc.bw, s)
	if bodyErr != nil {
		// The error is sent before the connection is closed, because readHead checks
		// for it after a failed read. The close keeps the peer from taking a partial
		// body for a complete one.
		done <- &BodyError{Err: bodyErr, Begun: true}
		_ = pc.conn.Close()
		return
	}
	done <- sendErr
}

// stopBody closes the connection and waits for the goroutine that sends the body: it
// must not read from the caller's connection after the call has ended.
func (res *Response) stopBody() {
	if res.bodySent == nil {
		return
	}
	_ = res.pc.conn.Close()
	if res.stream.interrupt != nil {
		res.stream.interrupt()
	}
	<-res.bodySent
	res.bodySent = nil
}

// bodyError returns the error of reading the request body, or nil. It does not block.
func (res *Response) bodyError() error {
	if res.bodySent == nil {
		return nil
	}
	select {
	case err := <-res.bodySent:
		res.bodySent = nil
		var body *BodyError
		if errors.As(err, &body) {
			return body
		}
	default:
	}
	return nil
}
