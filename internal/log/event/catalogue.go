package event

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Code is the number of an event; numbers are never reused.
type Code int

// Level is the severity of an event.
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
	// Action is the advice to the operator.
	Action string
}

// catalogue holds all events.
var catalogue = merge(
	processEvents, configurationEvents, distributionEvents, membershipEvents, callsEvents, operatorsEvents, storeEvents, idempotencyEvents, decisionEvents,
)

func merge(areas ...map[Code]Entry) map[Code]Entry {
	all := map[Code]Entry{}
	for _, area := range areas {
		maps.Copy(all, area)
	}
	return all
}

// Markdown returns the text of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEach line of the log is a JSON object whose `event` is one of these numbers.\nThis page is checked against the code by a test.\n\n| event | level | text | what to do |\n|---|---|---|---|\n")
	for _, c := range slices.Sorted(maps.Keys(catalogue)) {
		e := catalogue[c]
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", c, e.Level, e.Text, e.Action)
	}
	return b.String()
}
