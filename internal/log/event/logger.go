package event

import (
	"fmt"
	"io"
	stdlog "log"
	"strings"
	"time"

	"github.com/phuslu/log"
)

// Field is a named value of an event.
type Field struct {
	name  string
	value any
}

// F returns a field. Names are in snake case and end with the unit, if any.
func F(name string, value any) Field { return Field{name, value} }

// Logger writes events as JSON objects, one per line.
type Logger struct {
	out     *log.Logger
	limiter *RateLimiter
}

// New returns a logger that writes to w and adds the node's name to each event, unless
// it is empty.
func New(w io.Writer, node string) *Logger {
	l := &log.Logger{Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: w}}
	if node != "" {
		l.Context = log.NewContext(nil).Str("node", node).Value()
	}
	return &Logger{out: l}
}

// WithRateLimiter returns a copy of the logger that omits events above the limiter's
// rates.
func (l *Logger) WithRateLimiter(limiter *RateLimiter) *Logger {
	return &Logger{out: l.out, limiter: limiter}
}

// Discard returns a logger that writes nothing, for tests.
func Discard() *Logger { return New(io.Discard, "") }

// StdLogger returns a standard library logger whose lines become events with a code, for
// libraries that log by themselves.
func StdLogger(l *Logger, c Code) *stdlog.Logger { return stdlog.New(lineWriter{l, c}, "", 0) }

type lineWriter struct {
	log  *Logger
	code Code
}

// Write implements io.Writer; the standard logger calls it once per line.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Emit(w.code, F("error", strings.TrimSpace(string(p))))
	return len(p), nil
}

// Emit writes an event unless the rate limiter omits it. Its code must be in the
// catalogue.
func (l *Logger) Emit(c Code, fields ...Field) {
	entry, ok := catalogue[c]
	if !ok {
		entry = Entry{Level: Error, Text: "event without a catalogue entry"}
	}
	omitted, ok := l.limiter.allow(c)
	if !ok {
		return
	}
	var e *log.Entry
	switch entry.Level {
	case Warn:
		e = l.out.Warn()
	case Error:
		e = l.out.Error()
	default:
		e = l.out.Info()
	}
	e = e.Int("event", int(c))
	if omitted > 0 {
		e = e.Uint64("omitted", omitted)
	}
	for _, f := range fields {
		switch v := f.value.(type) {
		case string:
			e = e.Str(f.name, v)
		case error:
			e = e.Str(f.name, v.Error())
		case time.Duration:
			e = e.Str(f.name, v.String())
		case fmt.Stringer:
			e = e.Str(f.name, v.String())
		default:
			e = e.Any(f.name, v)
		}
	}
	e.Msg(entry.Text)
}
