package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
)

// maxLine bounds one line of a log; a longer one is none of this program's.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	at      time.Time
	node    string
	code    event.Code
	text    string
	fields  map[string]any
	beliefs []Belief
}

// Belief is what a node last wrote of something that decides about calls.
type Belief struct {
	what string
	age  time.Duration
}

// At returns when the line was written.
func (l Line) At() time.Time { return l.at }

// Node returns the node that wrote it.
func (l Line) Node() string { return l.node }

// Code returns the number of the event.
func (l Line) Code() event.Code { return l.code }

// Beliefs returns what the node believed when it wrote the line.
func (l Line) Beliefs() []Belief { return l.beliefs }

// Text returns the belief.
func (b Belief) Text() string { return b.what }

// Age returns how long before the line it was written.
func (b Belief) Age() time.Duration { return b.age }

// believed are the events that change what a node believes, with the field that
// tells apart what they are about.
var believed = map[event.Code]string{
	event.VersionApplied: "", event.StoreUnavailable: "", event.StoreBack: "",
	event.TargetChanged: "", event.MemberChanged: "instance", event.MemberKept: "instance", event.InstanceLost: "instance",
	event.NodeLeaves: "", event.NodeDrains: "", event.LeaseLost: "",
}

// topic puts events about one thing together, of which the later one holds.
func topic(c event.Code) event.Code {
	switch c {
	case event.StoreBack:
		return event.StoreUnavailable
	case event.MemberKept, event.InstanceLost:
		return event.MemberChanged
	default:
		return c
	}
}

// ReadError tells of a log that can't be read.
type ReadError struct {
	Name string
	Err  error
}

func (e *ReadError) Error() string { return fmt.Sprintf("read %s: %v", e.Name, e.Err) }

// Unwrap returns the reader's own error.
func (e *ReadError) Unwrap() error { return e.Err }

// Log is what was read.
type Log struct{ lines []Line }

// Read takes in a log; what is no line of this program's is passed over, also
// what stands before a line's first brace, as a collector may put there.
func (l *Log) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if line, ok := parse(s.Bytes()); ok {
			l.lines = append(l.lines, line)
		}
	}
	if err := s.Err(); err != nil {
		return &ReadError{Name: name, Err: err}
	}
	return nil
}

func parse(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(b[i:], &fields) != nil {
		return Line{}, false
	}
	code, ok := fields["event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if !ok || err != nil {
		return Line{}, false
	}
	l := Line{at: at, node: fmt.Sprint(fields["node"]), code: event.Code(code), text: fmt.Sprint(fields["message"])}
	for _, name := range []string{"event", "time", "node", "message", "level"} {
		delete(fields, name)
	}
	l.fields = fields
	return l, true
}

// Call returns the lines about the call with an id, in order of time, each with
// what its node believed.
func (l *Log) Call(id string) []Line {
	slices.SortStableFunc(l.lines, func(a, b Line) int { return a.at.Compare(b.at) })
	beliefs := map[string]map[string]Line{}
	var out []Line
	for _, line := range l.lines {
		if by, ok := believed[line.code]; ok {
			held := beliefs[line.node]
			if held == nil {
				held = map[string]Line{}
				beliefs[line.node] = held
			}
			key := fmt.Sprint(topic(line.code))
			if by != "" {
				key += " " + fmt.Sprint(line.fields[by])
			}
			held[key] = line
		}
		if line.fields["id"] == id {
			line.beliefs = relevant(line, beliefs[line.node])
			out = append(out, line)
		}
	}
	return out
}

// relevant returns the beliefs that bear on a line: of the members only the one
// that it names.
func relevant(line Line, held map[string]Line) []Belief {
	var out []Belief
	for _, key := range sorted(held) {
		b := held[key]
		if believed[b.code] != "" && b.fields["instance"] != line.fields["instance"] {
			continue
		}
		out = append(out, Belief{what: b.text + b.details(), age: line.at.Sub(b.at)})
	}
	return out
}

// String returns the line for a reader.
func (l Line) String() string {
	return fmt.Sprintf("%s  %s  %d  %s%s", l.at.UTC().Format("15:04:05.000"), l.node, l.code, l.text, l.details())
}

func (l Line) details() string {
	var b strings.Builder
	for _, name := range sorted(l.fields) {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

func sorted[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// MarshalJSON implements json.Marshaler.
func (l Line) MarshalJSON() ([]byte, error) {
	type belief struct {
		Text  string `json:"text"`
		AgeMS int64  `json:"age_ms"`
	}
	out := struct {
		At      time.Time      `json:"time"`
		Node    string         `json:"node"`
		Code    event.Code     `json:"event"`
		Text    string         `json:"message"`
		Fields  map[string]any `json:"fields"`
		Beliefs []belief       `json:"beliefs"`
	}{l.at, l.node, l.code, l.text, l.fields, []belief{}}
	for _, b := range l.beliefs {
		out.Beliefs = append(out.Beliefs, belief{b.what, b.age.Milliseconds()})
	}
	return json.Marshal(out)
}
