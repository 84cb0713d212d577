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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	at     time.Time
	node   string
	code   event.Code
	text   string
	fields map[string]any
	states []LoggedState
}

// LoggedState is the last logged state of the configuration, the store, a member,
// the target or the node itself.
type LoggedState struct {
	text string
	age  time.Duration
}

// At returns when the line was logged.
func (l Line) At() time.Time { return l.at }

// Node returns the name of the node that logged the line.
func (l Line) Node() string { return l.node }

// Code returns the code of the logged event.
func (l Line) Code() event.Code { return l.code }

// LoggedStates returns the node's last logged states at the time of the line.
func (l Line) LoggedStates() []LoggedState { return l.states }

// Text returns the message and fields of the line that logged the state.
func (s LoggedState) Text() string { return s.text }

// Age returns how long before the call's line the state was logged.
func (s LoggedState) Age() time.Duration { return s.age }

// stateEvents maps each event that changes a node's state to the field that
// names its subject, or to "" if there is only one.
var stateEvents = map[event.Code]string{
	event.VersionApplied: "", event.StoreUnavailable: "", event.StoreAvailable: "",
	event.TargetChanged: "", event.MemberChanged: "instance", event.MemberKept: "instance", event.InstanceLost: "instance",
	event.NodeStopping: "", event.NodeDraining: "", event.LeaseLost: "",
}

// stateTopic maps events about the same state to one code; the latest of them
// applies.
func stateTopic(c event.Code) event.Code {
	switch c {
	case event.StoreAvailable:
		return event.StoreUnavailable
	case event.MemberKept, event.InstanceLost:
		return event.MemberChanged
	default:
		return c
	}
}

// ReadError reports a log that can't be opened or read.
type ReadError struct {
	Name string
	Err  error
}

func (e *ReadError) Error() string { return fmt.Sprintf("read %s: %v", e.Name, e.Err) }

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Err }

// Log holds the lines read from one or more logs.
type Log struct{ lines []Line }

// Read adds the lines of a log. It skips lines that are not JSON events, and
// any prefix that a log collector puts before the first brace of a line. It
// returns a ReadError if reading fails or a line is longer than 1 MiB.
func (l *Log) Read(name string, r io.Reader) error {
	return readLines(name, r, func(line Line) { l.lines = append(l.lines, line) })
}

// readLines passes the lines of a log to add one at a time, as Log.Read
// describes.
func readLines(name string, r io.Reader, add func(Line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if line, ok := parseLine(s.Bytes()); ok {
			add(line)
		}
	}
	if err := s.Err(); err != nil {
		return &ReadError{Name: name, Err: err}
	}
	return nil
}

func parseLine(b []byte) (Line, bool) {
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

// Call returns the lines about the call with an ID in order of time, each with
// the last logged states of its node.
func (l *Log) Call(id string) []Line {
	slices.SortStableFunc(l.lines, func(a, b Line) int { return a.at.Compare(b.at) })
	statesByNode := map[string]map[string]Line{}
	var out []Line
	for _, line := range l.lines {
		if field, ok := stateEvents[line.code]; ok {
			states := statesByNode[line.node]
			if states == nil {
				states = map[string]Line{}
				statesByNode[line.node] = states
			}
			key := fmt.Sprint(stateTopic(line.code))
			if field != "" {
				key += " " + fmt.Sprint(line.fields[field])
			}
			states[key] = line
		}
		if line.fields["id"] == id {
			line.states = relevantStates(line, statesByNode[line.node])
			out = append(out, line)
		}
	}
	return out
}

// relevantStates returns the states that concern a line; of the states of
// members, only those of the instance that it names.
func relevantStates(line Line, states map[string]Line) []LoggedState {
	var out []LoggedState
	for _, key := range sortedKeys(states) {
		state := states[key]
		if stateEvents[state.code] != "" && state.fields["instance"] != line.fields["instance"] {
			continue
		}
		out = append(out, LoggedState{text: state.text + state.details(), age: line.at.Sub(state.at)})
	}
	return out
}

// String returns the line as text for a terminal.
func (l Line) String() string {
	return fmt.Sprintf("%s  %s  %d  %s%s", l.at.UTC().Format("15:04:05.000"), l.node, l.code, l.text, l.details())
}

func (l Line) details() string {
	var b strings.Builder
	for _, name := range sortedKeys(l.fields) {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// MarshalJSON implements json.Marshaler.
func (l Line) MarshalJSON() ([]byte, error) {
	type stateJSON struct {
		Text  string `json:"text"`
		AgeMS int64  `json:"age_ms"`
	}
	out := struct {
		At     time.Time      `json:"time"`
		Node   string         `json:"node"`
		Code   event.Code     `json:"event"`
		Text   string         `json:"message"`
		Fields map[string]any `json:"fields"`
		States []stateJSON    `json:"beliefs"`
	}{l.at, l.node, l.code, l.text, l.fields, []stateJSON{}}
	for _, state := range l.states {
		out.States = append(out.States, stateJSON{state.text, state.age.Milliseconds()})
	}
	return json.Marshal(out)
}
