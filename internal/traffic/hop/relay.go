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

// Relayed is what was passed on of an answer.
type Relayed struct {
	began bool
	kept  []byte
	whole bool
}

// Began reports whether the answer's head was passed on.
func (r Relayed) Began() bool { return r.began }

// Body returns the body, if it was to be kept and was short enough.
func (r Relayed) Body() ([]byte, bool) { return r.kept, r.whole }

// Relay passes an answer on.
//
// A short answer is read whole before its head is passed on, and of any other
// the first part: where the target crashes before that, the caller gets a typed
// answer rather than a cut connection, and a call that may run twice can be
// sent again. After that an error must end the caller's connection, so that the
// answer never looks whole.
func Relay(w http.ResponseWriter, a *Answer, keep bool) (Relayed, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	n, err := a.Read(*buf)
	for short := a.untilClosed || a.Length() >= 0 && a.Length() <= copyBytes; short && err == nil && n < len(*buf); {
		var m int
		m, err = a.Read((*buf)[n:])
		n += m
	}
	if err != nil && err != io.EOF {
		return Relayed{}, err
	}
	length := a.Length()
	if a.untilClosed && err == io.EOF {
		length = int64(n)
	}
	passHead(w, a, length)
	out := Relayed{began: true}
	dst := io.Writer(w)
	var k *keeper
	if keep {
		k = &keeper{w: w}
		dst = k
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
		if _, err := CopyFlush(dst, a, flush, *buf); err != nil {
			return out, err
		}
	}
	passTrailer(w, a)
	if k != nil && !k.over {
		out.kept, out.whole = k.bytes, true
	}
	return out, nil
}

func passHead(w http.ResponseWriter, a *Answer, length int64) {
	from, to := a.Header(), w.Header()
	Strip(from)
	for k, v := range from {
		to[k] = v
	}
	status := a.Status()
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		to["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(status)
}

func passTrailer(w http.ResponseWriter, a *Answer) {
	trailer := a.Trailer()
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

// keeper keeps a copy of a short body.
type keeper struct {
	w     io.Writer
	bytes []byte
	over  bool
}

func (k *keeper) Write(p []byte) (int, error) {
	if k.over = k.over || len(k.bytes)+len(p) > ReplayBytes; k.over {
		k.bytes = nil
	} else {
		k.bytes = append(k.bytes, p...)
	}
	return k.w.Write(p)
}

// refusalBytes is above any refusal that a node writes.
const refusalBytes = 4 << 10

// ReadRefusal reads what a node said in place of its target's answer.
func ReadRefusal(a *Answer) (*http1.Refusal, error) {
	b, err := io.ReadAll(io.LimitReader(a, refusalBytes))
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
		return nil, &BadAnswerError{To: a.link.to, Reason: "its refusal can't be read"}
	}
	outcome := http1.Outcome(a.Header().Get(http1.OutcomeHeader))
	if outcome != http1.NotRun {
		outcome = http1.Unknown
	}
	return &http1.Refusal{
		Status: a.Status(), Type: body.Error.Type, Message: body.Error.Message, Outcome: outcome,
		RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond,
	}, nil
}

// unreachableRetry is when a call may come back that no connection could be
// opened for: a replaced instance announces itself in about that time.
const unreachableRetry = time.Second

// RefusalOf returns how a failed attempt is told to the caller. It certifies
// that the call has not run where nothing of it was sent, and nowhere else.
func RefusalOf(f Failure) *http1.Refusal {
	r := &http1.Refusal{Message: f.Error(), Outcome: http1.Unknown}
	if !f.Sent() {
		r.Outcome = http1.NotRun
	}
	switch f := f.(type) {
	case *DialError, *SendError:
		r.Status, r.Type = http.StatusServiceUnavailable, KindUnreachable
		if !f.Sent() {
			r.RetryAfter = unreachableRetry
		}
	case *NoAnswerError:
		r.Status, r.Type = http.StatusBadGateway, "no-answer"
	case *BadAnswerError:
		r.Status, r.Type = http.StatusBadGateway, "bad-answer"
	case *CutOffError:
		r.Status, r.Type = http.StatusBadGateway, "cut-off"
	case *TimeoutError:
		r.Status, r.Type = http.StatusGatewayTimeout, "deadline"
	case *CancelledError:
		r.Status, r.Type = http.StatusServiceUnavailable, "cancelled"
	case *BodyError:
		r.Status, r.Type = bodyKind(f)
	default:
		r.Status, r.Type, r.Message = http.StatusInternalServerError, "internal", (&FailureKindError{Failure: f}).Error()
	}
	return r
}

func bodyKind(f *BodyError) (int, string) {
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
