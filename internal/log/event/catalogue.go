package event

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Code numbers an event; a number is never used for another event later.
type Code int

// Level says how much an event matters to an operator.
type Level string

// The levels of events.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Entry describes one event in the catalogue.
type Entry struct {
	Level Level
	Text  string
	// Do is what the operator does about it.
	Do string
}

// The events, by area: 1000 process, 1100 configuration, 1200 distribution,
// 1300 membership, 1400 calls, 1500 operators, 1600 platform store, 1700 at
// most once and poison.
const (
	NodeStarted Code = 1001
	NodeReady   Code = 1002
	NodeDrains  Code = 1003
	NodeStopped Code = 1004
	NodeFailed  Code = 1005

	VersionApplied Code = 1101
	VersionRefused Code = 1102
	StoreIsOlder   Code = 1103

	StopCutOff      Code = 1401
	AnswerFault     Code = 1402
	StrangerRefused Code = 1403
)

var catalogue = map[Code]Entry{
	NodeStarted: {Info, "node started", "nothing"},
	NodeReady:   {Info, "node ready", "nothing"},
	NodeDrains:  {Info, "node drains: new work is refused as not run, work in flight finishes", "nothing"},
	NodeStopped: {Info, "node stopped", "nothing"},
	NodeFailed:  {Error, "node failed", "read the error; the process ends and its slot's supervisor starts it again"},

	VersionApplied: {Info, "configuration version applied", "nothing"},
	VersionRefused: {Error, "configuration version refused; the version held stays in force", "read the error; a format error asks for a newer program on this node"},
	StoreIsOlder:   {Error, "the platform store holds an older version than the fleet", "see docs/operators/versions.md; the fleet keeps its version"},

	StopCutOff:      {Warn, "stop ran out of time and cut off calls", "give the stop more time than the longest deadline of the routes"},
	AnswerFault:     {Error, "handler broke its answer; the connection was ended so that it does not look whole", "report it with the error: it is a fault of this program"},
	StrangerRefused: {Warn, "connection without the fleet's proof refused; one line a second at most", "look at the address: a node with another fleet key, or someone who is no node"},
}

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEach line of the log is a JSON object whose `event` is one of these numbers.\nThis page is checked against the code by a test.\n\n| event | level | text | what to do |\n|---|---|---|---|\n")
	for _, c := range slices.Sorted(maps.Keys(catalogue)) {
		e := catalogue[c]
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", c, e.Level, e.Text, e.Do)
	}
	return b.String()
}
