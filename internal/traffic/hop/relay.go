package hop

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// RelayResult describes how much of a response was written to the caller.
type RelayResult struct {
	began    bool
	bodyCopy []byte
	complete bool
}

// Began reports whether the status and headers were written.
func (r RelayResult) Began() bool { return r.began }

// Body returns a copy of the body. It returns false if no copy was requested, or the
// body was longer than ReplayBytes or not read to its end.
func (r RelayResult) Body() ([]byte, bool) { return r.bodyCopy, r.complete }

// Relay writes a response to the caller; keep requests a copy of its body.
//
// Before it writes the headers, it reads a short body completely and the start of a
// longer one. If the target crashes before that, the caller gets a typed error rather
// than a broken connection, and an idempotent call can be retried. If Relay fails after
// it wrote the headers, the caller's connection must be closed, so that a partial
// response never looks complete.
func Relay(w http.ResponseWriter, resp *Response, keep bool) (RelayResult, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	n, err := resp.Read(*buf)
	for short := resp.closeDelimited || resp.Length() >= 0 && resp.Length() <= copyBufferBytes; short && err == nil && n < len(*buf); {
		var m int
		m, err = resp.Read((*buf)[n:])
		n += m
	}
	if err != nil && err != io.EOF {
		return RelayResult{}, err
	}
	length := resp.Length()
	if resp.closeDelimited && err == io.EOF {
		length = int64(n)
	}
	relayHead(w, resp, length)
	out := RelayResult{began: true}
	dst := io.Writer(w)
	var recorder *bodyRecorder
	if keep {
		recorder = &bodyRecorder{w: w}
		dst = recorder
	}
	if n > 0 {
		if _, werr := dst.Write((*buf)[:n]); werr != nil {
			return out, werr
		}
	}
	if err == nil {
		flush := flusher(w)
		if err := flush(); err != nil {
			return out, err
		}
		if _, err := CopyFlush(dst, resp, flush, *buf); err != nil {
			return out, err
		}
	}
	relayTrailer(w, resp)
	if recorder != nil && !recorder.overflowed {
		out.bodyCopy, out.complete = recorder.bytes, true
	}
	return out, nil
}

func relayHead(w http.ResponseWriter, resp *Response, length int64) {
	from, to := resp.Header(), w.Header()
	Strip(from)
	for k, v := range from {
		to[k] = v
	}
	status := resp.Status()
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		to["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(status)
}

func relayTrailer(w http.ResponseWriter, resp *Response) {
	trailer := resp.Trailer()
	if len(trailer) == 0 {
		return
	}
	Strip(trailer)
	for k, v := range trailer {
		w.Header()[http.TrailerPrefix+k] = v
	}
}

func flusher(w http.ResponseWriter) func() error {
	if f, ok := w.(interface{ FlushError() error }); ok {
		return f.FlushError
	}
	return func() error { return nil }
}

// bodyRecorder copies what is written through it, up to ReplayBytes.
type bodyRecorder struct {
	w          io.Writer
	bytes      []byte
	overflowed bool
}

func (b *bodyRecorder) Write(p []byte) (int, error) {
	if b.overflowed = b.overflowed || len(b.bytes)+len(p) > ReplayBytes; b.overflowed {
		b.bytes = nil
	} else {
		b.bytes = append(b.bytes, p...)
	}
	return b.w.Write(p)
}

// maxRefusalBytes is above the length of any refusal that a node writes.
const maxRefusalBytes = 4 << 10

// ReadRefusal parses a refusal of a node. Any outcome other than NotRun becomes Unknown.
func ReadRefusal(resp *Response) (*http1.Refusal, error) {
	b, err := io.ReadAll(io.LimitReader(resp, maxRefusalBytes))
	if err != nil {
		return nil, err
	}
	var body struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
		RetryAfterMS int64 `json:"retry_after_ms"`
	}
	if err := json.Unmarshal(b, &body); err != nil {
		return nil, &BadResponseError{To: resp.pc.to, Reason: "its refusal can't be read"}
	}
	outcome := http1.Outcome(resp.Header().Get(http1.OutcomeHeader))
	if outcome != http1.NotRun {
		outcome = http1.Unknown
	}
	return &http1.Refusal{
		Status: resp.Status(), Type: body.Error.Type, Message: body.Error.Message, Outcome: outcome,
		RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond,
	}, nil
}

// unreachableRetryAfter is the Retry-After for an unreachable target, about the time
// until a replacement instance announces itself.
const unreachableRetryAfter = time.Second

// RefusalOf returns the refusal that reports a failed attempt to the caller. Its outcome
// is NotRun only if nothing of the call was sent.
func RefusalOf(f Failure) *http1.Refusal {
	r := &http1.Refusal{Message: f.Error(), Outcome: http1.Unknown}
	if !f.Sent() {
		r.Outcome = http1.NotRun
	}
	switch f := f.(type) {
	case *DialError, *SendError:
		r.Status, r.Type = http.StatusServiceUnavailable, KindUnreachable
		if !f.Sent() {
			r.RetryAfter = unreachableRetryAfter
		}
	case *NoResponseError:
		r.Status, r.Type = http.StatusBadGateway, "no-answer"
	case *BadResponseError:
		r.Status, r.Type = http.StatusBadGateway, "bad-answer"
	case *CutOffError:
		r.Status, r.Type = http.StatusBadGateway, "cut-off"
	case *TimeoutError:
		r.Status, r.Type = http.StatusGatewayTimeout, "deadline"
	case *CancelledError:
		r.Status, r.Type = http.StatusServiceUnavailable, "cancelled"
	case *BodyError:
		r.Status, r.Type = bodyErrorRefusal(f)
	default:
		r.Status, r.Type, r.Message = http.StatusInternalServerError, "internal", (&UnknownFailureError{Failure: f}).Error()
	}
	return r
}

func bodyErrorRefusal(f *BodyError) (int, string) {
	var (
		slow  *http1.SlowSenderError
		large *http1.BodyTooLargeError
	)
	switch {
	case errors.As(f, &slow):
		return http.StatusRequestTimeout, "slow-sender"
	case errors.As(f, &large):
		return http.StatusRequestEntityTooLarge, "body-too-large"
	default:
		return http.StatusBadRequest, "body-cut-off"
	}
}
