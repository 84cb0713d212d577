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
	DrainCut    Code = 1006

	VersionApplied Code = 1101
	VersionRefused Code = 1102
	StoreIsOlder   Code = 1103

	PlanMade        Code = 1501
	PlanConfirmed   Code = 1502
	PlanRefused     Code = 1503
	PlanUnknown     Code = 1504
	OperatorRefused Code = 1505

	Placed         Code = 1201
	PeerLost       Code = 1202
	JoinFailed     Code = 1203
	AnnounceFailed Code = 1204

	Refuted       Code = 1301
	RecordRefused Code = 1302
	InstanceLost  Code = 1303
	Superseded    Code = 1304

	StoreUnavailable Code = 1601
)

var catalogue = map[Code]Entry{
	NodeStarted: {Info, "node started", "nothing"},
	NodeReady:   {Info, "node ready", "nothing"},
	NodeDrains:  {Info, "node drains: new work is refused as not run, work in flight finishes", "nothing"},
	NodeStopped: {Info, "node stopped", "nothing"},
	NodeFailed:  {Error, "node failed", "read the error; the process ends and its slot's supervisor starts it again"},

	DrainCut: {Error, "the drain timeout passed with calls in flight, which were cut off", "set -drain-timeout longer than the longest deadline of a route"},

	VersionApplied: {Info, "configuration version applied", "nothing"},
	VersionRefused: {Error, "configuration version refused; the version held stays in force", "read the error; a format error asks for a newer program on this node"},
	StoreIsOlder:   {Error, "the platform store holds an older version than the fleet", "see docs/operators/versions.md; the fleet keeps its version"},

	PlanMade:        {Info, "plan made", "nothing"},
	PlanConfirmed:   {Info, "plan confirmed and in force", "nothing"},
	PlanRefused:     {Warn, "confirm refused; the plan is not in force", "read the error; a conflict names who changed what, so plan again"},
	PlanUnknown:     {Error, "it is not known whether a plan is in force", "confirm the same plan again once the store answers, which settles it"},
	OperatorRefused: {Warn, "request without a valid operator token refused", "if it was an operator, compare the token with the hash in the node's settings"},

	Placed:         {Info, "node found its place in its failure domain's tree", "nothing"},
	PeerLost:       {Warn, "parent did not answer; another is tried", "nothing, unless many nodes name the same peer"},
	JoinFailed:     {Warn, "a listed node did not answer while this one looked for the mesh", "nothing, unless the node stays alone: then check the seeds"},
	AnnounceFailed: {Warn, "parent did not take an announcement; it is sent again", "nothing, unless it goes on"},

	Refuted:       {Warn, "peers held this instance for gone or silent; it announced itself again", "look for a network fault if it repeats"},
	RecordRefused: {Error, "a malformed announcement was left out", "look for a node of another program version"},
	InstanceLost:  {Warn, "an instance stopped pulling and did not answer probes; it gets no new work", "nothing; the instance's supervisor starts it again"},
	Superseded:    {Error, "a later process runs under this instance's name; this one drains and ends", "give each instance a name of its own"},

	StoreUnavailable: {Warn, "the platform store did not answer", "see docs/operators/store.md; calls go on with the version held"},
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
