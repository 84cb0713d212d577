package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const pathLines = `
{"time":"2026-01-02T03:04:04.1Z","node":"n2","event":1811,"route":"read","reason":"too-late","running":12,"slots":12}
{"time":"2026-01-02T03:04:05.9Z","node":"n2","event":1811,"route":"read","reason":"too-late","running":6,"slots":12,"omitted":2}
{"time":"2026-01-02T03:04:05.9Z","node":"n2","event":1811,"route":"read","reason":"target-full","running":3,"slots":12}
{"time":"2026-01-02T03:04:05Z","node":"n1","event":1802,"route":"read","pool":"quotes","attempts":1}
{"time":"2026-01-02T03:04:05Z","node":"n1","event":1803,"route":"read","pool":"quotes","attempts":2,"status":200}
{"time":"2026-01-02T03:04:05Z","node":"n1","event":1803,"route":"read","pool":"quotes","attempts":1,"status":200}
{"time":"2026-01-02T03:04:05Z","node":"n1","event":1803,"route":"read","pool":"quotes","attempts":2,"status":504}
{"time":"2026-01-02T03:04:05Z","node":"n2","event":1813,"route":"read","status":504}
{"time":"2026-01-02T03:04:05Z","node":"n2","event":1813,"route":"read","status":200}
{"time":"2026-01-02T03:04:06Z","node":"n1","event":1801,"route":"read","pool":"quotes","attempts":1,"cause":"deadline","instance":"n3","target":"t3"}
{"time":"2026-01-02T03:04:06Z","node":"n1","event":1801,"route":"read","pool":"quotes","attempts":2,"cause":"deadline","instance":"n2","target":"t2"}
{"time":"2026-01-02T03:04:07Z","node":"n1","event":1801,"route":"read","pool":"quotes","attempts":1,"cause":"deadline","instance":"n2","target":"t2"}
{"time":"2026-01-02T03:04:07Z","node":"n1","event":1801,"route":"read","pool":"quotes","attempts":0,"cause":"deadline"}
{"time":"2026-01-02T03:04:08Z","node":"n1","event":1801,"route":"write","pool":"orders","attempts":0,"cause":"no-target","no_target":"all_ejected"}
`

var (
	at04 = time.Date(2026, 1, 2, 3, 4, 4, 0, time.UTC)

	refusals      = []Refusals{{Reason: "too-late", Calls: 2, InUse: 0.75}, {Reason: "target-full", Calls: 1, InUse: 0.25}}
	deadlines     = []Count{{Where: AfterAttempt, Reason: "deadline", Calls: 3}, {Where: NoAttempt, Reason: "deadline", Calls: 1}}
	lateTargets   = []TargetCount{{Instance: "n2", Target: "t2", Calls: 2}, {Instance: "n3", Target: "t3", Calls: 1}}
	nestedErrors  = []StatusCount{{Status: 504, Responses: 1}}
	noTargets     = []Count{{Where: NoAttempt, Reason: "no-target all-ejected", Calls: 1}}
	noCounts      = []Count{}
	noRefusals    = []Refusals{}
	noLateTargets = []TargetCount{}
	noErrors      = []StatusCount{}
)

func TestPathsCountsByPathAndInterval(t *testing.T) {
	t.Parallel()
	orders := PathRow{
		Start: at04.Add(4 * time.Second), Pool: "orders", Route: "write",
		Failed: noTargets, Refused: noRefusals, DeadlineTargets: noLateTargets, ServerErrors: noErrors,
	}
	ordersInTotal := orders
	ordersInTotal.Start = time.Time{}
	tests := []struct {
		name string
		opts []PathsOption
		want []PathRow
	}{
		{"intervals of 2s", []PathsOption{Interval(2 * time.Second)}, []PathRow{
			{
				Start: at04, Pool: "quotes", Route: "read", Failed: noCounts, Refused: refusals,
				FailedAttempts: 1, Retried: 1, DeadlineTargets: noLateTargets, ServerErrors: nestedErrors,
			},
			{
				Start: at04.Add(2 * time.Second), Pool: "quotes", Route: "read", Failed: deadlines, Refused: noRefusals,
				DeadlineTargets: lateTargets, ServerErrors: noErrors,
			},
			orders,
		}},
		{"all intervals together", nil, []PathRow{
			ordersInTotal,
			{
				Pool: "quotes", Route: "read", Failed: deadlines, Refused: refusals,
				FailedAttempts: 1, Retried: 1, DeadlineTargets: lateTargets, ServerErrors: nestedErrors,
			},
		}},
		{"one pool", []PathsOption{Interval(2 * time.Second), OnlyPool("orders")}, []PathRow{orders}},
		{"one route", []PathsOption{OnlyRoute("write")}, []PathRow{ordersInTotal}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := NewPaths(tt.opts...)
			if err := p.Read("log", strings.NewReader(pathLines)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, p.Rows()); diff != "" {
				t.Error(diff)
			}
			if p.Omitted() != 2 {
				t.Errorf("%d lines omitted, want 2", p.Omitted())
			}
		})
	}
}

// Guards against refusals counted for the pool that a route led to in another
// interval: lines of targets' nodes do not name the pool.
func TestRefusalsCountForTheRoutesPoolInTheirInterval(t *testing.T) {
	t.Parallel()
	const lines = `
{"time":"2026-01-02T03:04:04Z","node":"n2","event":1811,"route":"read","reason":"too-late"}
{"time":"2026-01-02T03:04:04Z","node":"n1","event":1802,"route":"read","pool":"old"}
{"time":"2026-01-02T03:04:06Z","node":"n1","event":1802,"route":"read","pool":"new"}
{"time":"2026-01-02T03:04:08Z","node":"n2","event":1811,"route":"read","reason":"too-late"}
`
	p := NewPaths(Interval(2 * time.Second))
	if err := p.Read("log", strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, row := range p.Rows() {
		got = append(got, row.Pool)
	}
	if diff := cmp.Diff([]string{"old", "new", "new"}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against lost counts when there are more causes than colours, and
// against causes in an order that changes from run to run.
func TestPlotSumsRareCauses(t *testing.T) {
	t.Parallel()
	row := PathRow{Start: at04}
	for i, reason := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		row.Failed = append(row.Failed, Count{Where: AfterAttempt, Reason: reason, Calls: 10 - i})
	}
	causes, counts := failuresByCause([]PathRow{row, row})
	if diff := cmp.Diff([]string{"a", "b", "c", "d", "e", "other"}, causes); diff != "" {
		t.Error(diff)
	}
	if n := counts["other"][at04.UnixNano()]; n != 18 {
		t.Errorf("%d other calls, want 18", n)
	}
	svg, err := PlotFailures([]PathRow{row}, 2*time.Second)
	if err != nil || !strings.Contains(string(svg), "other") {
		t.Errorf("plot lacks the line of other causes: %v", err)
	}
}

// Guards against a plot of a log without failures that is an error.
func TestPlotOfNoFailures(t *testing.T) {
	t.Parallel()
	if _, err := PlotFailures(nil, time.Second); err != nil {
		t.Error(err)
	}
}
