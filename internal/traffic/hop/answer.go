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

// Answer is a call's answer; its body is read with Read, and Close must be
// called once it is no longer needed.
type Answer struct {
	client *Client
	link   *link
	ctx    context.Context
	stop   func() bool
	resp   *http.Response

	stream  *Stream
	sent    chan error // the end of the streamed request body
	err     error
	ended   bool
	kept    bool
	load    string
	version uint64
	// foreign marks a connection on which an answer to another call came.
	foreign bool
	// untilClosed marks an answer that ends with its connection.
	untilClosed bool
}

// Status returns the status code.
func (a *Answer) Status() int { return a.resp.StatusCode }

// Header returns the headers, which the caller may change.
func (a *Answer) Header() http.Header { return a.resp.Header }

// Length returns the declared length of the body, or -1.
func (a *Answer) Length() int64 { return a.resp.ContentLength }

// Trailer returns the trailers once the body is read to its end.
func (a *Answer) Trailer() http.Header { return a.resp.Trailer }

// Kept reports whether the connection is kept for another call, once the answer
// was read to its end.
func (a *Answer) Kept() bool { return a.kept }

// Load returns the calls that run and wait at the target over its slots, if
// the far node told.
func (a *Answer) Load() (float64, bool) {
	text, _, _ := strings.Cut(a.load, loadSeparator)
	load, err := strconv.ParseFloat(text, 64)
	return load, err == nil && load >= 0
}

// Service returns how long calls of this one's route usually run at the target, or 0
// if its node did not tell.
func (a *Answer) Service() time.Duration {
	_, text, _ := strings.Cut(a.load, loadSeparator)
	us, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// loadSeparator stands in a LoadHeader between the load and the service time.
const loadSeparator = " "

// FormatLoad returns a LoadHeader for a load and, unless it is 0, a service time.
func FormatLoad(load float64, service time.Duration) string {
	b := strconv.AppendFloat(nil, load, 'f', 2, 64)
	if service > 0 {
		b = append(b, loadSeparator...)
		b = strconv.AppendInt(b, service.Microseconds(), 10)
	}
	return string(b)
}

// Version returns the version of the configuration that the far node holds, or 0
// if it did not tell.
func (a *Answer) Version() uint64 { return a.version }

// Read implements io.Reader; io.EOF says that the body is whole.
func (a *Answer) Read(p []byte) (int, error) {
	if a.ended {
		return 0, io.EOF
	}
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		a.end()
		return n, io.EOF
	}
	a.err = a.client.classify(a.ctx, &CutOffError{To: a.link.to, Err: err}, a.link.to, true)
	return n, a.err
}

// Close gives the connection back, or ends it where the answer was not read
// to its end.
func (a *Answer) Close() {
	if !a.ended {
		a.abandon()
	}
}

// end gives the connection back if it stands at the next call.
func (a *Answer) end() {
	a.ended = true
	l := a.link
	clean := !a.resp.Close && !a.foreign && !a.untilClosed && l.br.Buffered() == 0
	if a.sent != nil {
		// A target may answer before it has read the whole request. What is
		// then left of the request would be read as the next one.
		select {
		case err := <-a.sent:
			clean = clean && err == nil
		default:
			clean = false
			a.endBody()
		}
	}
	if !a.stop() {
		clean = false
	}
	if clean {
		a.kept = a.client.put(l)
		return
	}
	_ = l.conn.Close()
}

// abandon closes the connection; what comes late on it reaches no one.
func (a *Answer) abandon() {
	a.ended = true
	a.stop()
	_ = a.link.conn.Close()
	a.endBody()
}

// startBody sends a streamed body on a goroutine of its own, since the far
// side may answer, or stop reading, before the body is sent.
func (a *Answer) startBody(s *Stream) {
	s.begun = true
	a.stream = s
	a.sent = make(chan error, 1)
	go sendBody(a.link, s, a.sent)
}

func sendBody(l *link, s *Stream, done chan<- error) {
	sendErr, bodyErr := writeStream(l.bw, s)
	if bodyErr != nil {
		// Reported first: the reader finds the connection closed and then asks
		// why. Closed, since the far side must not take what it has for the
		// whole body.
		done <- &BodyError{Err: bodyErr, Begun: true}
		_ = l.conn.Close()
		return
	}
	done <- sendErr
}

// endBody waits for the sender of a streamed body, so that nothing reads the
// caller's connection once the call has ended.
func (a *Answer) endBody() {
	if a.sent == nil {
		return
	}
	_ = a.link.conn.Close()
	if a.stream.interrupt != nil {
		a.stream.interrupt()
	}
	<-a.sent
	a.sent = nil
}

// bodyFailure returns how the request body failed, if it did.
func (a *Answer) bodyFailure() error {
	if a.sent == nil {
		return nil
	}
	select {
	case err := <-a.sent:
		a.sent = nil
		var body *BodyError
		if errors.As(err, &body) {
			return body
		}
	default:
	}
	return nil
}
