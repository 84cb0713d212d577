package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"banyanlug.example/banyanlug/internal/cli/app"
	"banyanlug.example/banyanlug/internal/report/explain"
)

const (
	byPath   = "path"
	bySecond = "second"
	// defaultInterval is longer than most differences between the nodes' clocks.
	defaultInterval = 2 * time.Second
	// minInterval bounds the number of rows: 36,000 an hour for each path.
	minInterval = 100 * time.Millisecond
	// maxTargetsShown bounds the width of a row. The JSON output has all targets.
	maxTargetsShown = 3
)

func causesCommand(a *App) *ffcli.Command {
	fs := a.Flags("causes")
	asJSON := false
	a.jsonFlag(fs, &asJSON)
	s := newCausesSettings(fs)
	return &ffcli.Command{
		Name: "causes", ShortUsage: name + " causes [flags] [FILE...]", FlagSet: fs,
		ShortHelp: "count why calls got no answer, from the logs of several nodes",
		LongHelp: "Reads the logs of the nodes, or standard input, and counts by pool and route why\n" +
			"calls ended without their target's answer, and who decided so.\n\n" +
			"With -by path, each row is a path, a route to a pool; with -by second, a path in an\n" +
			"interval. Intervals are those of each node's own clock: clocks of nodes may differ by\n" +
			"seconds, so a refusal and the call that it ended may be in different rows. FAILED\n" +
			"counts calls by cause, REFUSED the refusals of targets' nodes by reason, at the fraction\n" +
			"of the slots that was in use on average. FAILED ATTEMPTS may be several for a call.\n" +
			"RETRIED are calls served after more than one attempt. AT DEADLINE are calls cut off at\n" +
			"their deadline, with the nodes of the targets that most of them were last sent to.\n" +
			"SERVER ERRORS are targets' responses from status 500: where a target calls others, these\n" +
			"may be nested failures. Nodes leave out log lines under load; counts are lower then.\n\n" + app.ExitHelp,
		Exec: func(_ context.Context, args []string) error {
			if err := s.check(); err != nil {
				return err
			}
			if s.by != "" {
				return a.causesByPath(s, args, asJSON)
			}
			log, err := a.readLogs(args)
			if err != nil {
				return err
			}
			causes, omitted := log.Causes()
			if asJSON {
				return a.writeJSON(causes)
			}
			return a.write(causesTable(causes, omitted))
		},
	}
}

// causesSettings are the flags of causes for the rows by path.
type causesSettings struct {
	by          string
	interval    time.Duration
	pool, route string
	plot        string
}

func newCausesSettings(fs *flag.FlagSet) *causesSettings {
	s := &causesSettings{}
	fs.StringVar(&s.by, "by", "", "count by `path` or by path and second")
	fs.DurationVar(&s.interval, "interval", defaultInterval, "length of an interval with -by second")
	// Not -pool, whose environment variable is the pool of the node on this host.
	fs.StringVar(&s.pool, "only-pool", "", "with -by, only this `POOL`")
	fs.StringVar(&s.route, "only-route", "", "with -by, only this `ROUTE`")
	fs.StringVar(&s.plot, "plot", "", "with -by second, also draw the failures by cause over time into this `FILE`, as SVG")
	return s
}

func (s *causesSettings) check() error {
	switch s.by {
	case bySecond:
		if s.interval < minInterval {
			return &app.SettingError{Setting: "interval", Reason: fmt.Sprintf("is %v, must be at least %v", s.interval, minInterval)}
		}
		return nil
	case byPath:
	case "":
		if s.pool != "" || s.route != "" {
			return &app.UsageError{Text: "-only-pool and -only-route need -by path or -by second"}
		}
	default:
		return &app.SettingError{Setting: "by", Reason: fmt.Sprintf("is %q, must be %s or %s", s.by, byPath, bySecond)}
	}
	if s.plot != "" {
		return &app.UsageError{Text: "-plot needs -by second"}
	}
	return nil
}

func (a *App) causesByPath(s *causesSettings, files []string, asJSON bool) error {
	opts := []explain.PathsOption{explain.OnlyPool(s.pool), explain.OnlyRoute(s.route)}
	if s.by == bySecond {
		opts = append(opts, explain.Interval(s.interval))
	}
	paths := explain.NewPaths(opts...)
	if err := a.readEach(files, paths.Read); err != nil {
		return err
	}
	rows := paths.Rows()
	if s.plot != "" {
		svg, err := explain.PlotFailures(rows, s.interval)
		if err != nil {
			return err
		}
		if err := os.WriteFile(s.plot, svg, reportFileMode); err != nil {
			return &WriteError{File: s.plot, Err: err}
		}
	}
	if asJSON {
		return a.writeJSON(rows)
	}
	return a.write(pathsTable(rows, s, paths.Omitted()))
}

// readEach passes each file, or standard input if files is empty, to read.
func (a *App) readEach(files []string, read func(string, io.Reader) error) error {
	if len(files) == 0 {
		return read("standard input", a.Stdin())
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return &explain.ReadError{Name: file, Err: err}
		}
		err = read(file, f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func pathsTable(rows []explain.PathRow, s *causesSettings, omitted int) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	layout := time.TimeOnly
	if s.interval%time.Second != 0 {
		layout = "15:04:05.000"
	}
	start := func(time.Time) string { return "" }
	if s.by == bySecond {
		start = func(t time.Time) string { return t.Format(layout) + "\t" }
		_, _ = fmt.Fprint(w, "START\t")
	}
	_, _ = fmt.Fprintln(w, "POOL\tROUTE\tFAILED\tREFUSED\tFAILED ATTEMPTS\tRETRIED\tAT DEADLINE\tSERVER ERRORS")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", start(r.Start), textOrDash(r.Pool), textOrDash(r.Route),
			countsText(r.Failed), refusalsText(r.Refused), r.FailedAttempts, r.Retried,
			deadlineText(r.DeadlineTargets), responsesText(r.ServerErrors))
	}
	_ = w.Flush()
	writeOmitted(&b, omitted)
	return b.String()
}

func countsText(counts []explain.Count) string {
	var texts []string
	for _, c := range counts {
		texts = append(texts, fmt.Sprintf("%d %s", c.Calls, c))
	}
	return textOrDash(strings.Join(texts, ", "))
}

func refusalsText(refusals []explain.Refusals) string {
	var texts []string
	for _, r := range refusals {
		texts = append(texts, fmt.Sprintf("%d %s at %.2f", r.Calls, r.Reason, r.InUse))
	}
	return textOrDash(strings.Join(texts, ", "))
}

func deadlineText(targets []explain.TargetCount) string {
	total := 0
	var texts []string
	for i, t := range targets {
		total += t.Calls
		if i < maxTargetsShown {
			texts = append(texts, fmt.Sprintf("%d %s", t.Calls, t.Instance))
		}
	}
	if total == 0 {
		return "-"
	}
	if len(targets) > maxTargetsShown {
		texts = append(texts, "...")
	}
	return fmt.Sprintf("%d: %s", total, strings.Join(texts, ", "))
}

func responsesText(statuses []explain.StatusCount) string {
	var texts []string
	for _, s := range statuses {
		texts = append(texts, fmt.Sprintf("%d of %d", s.Responses, s.Status))
	}
	return textOrDash(strings.Join(texts, ", "))
}

func textOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func causesTable(causes []explain.Cause, omitted int) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CALLS\tPOOL\tROUTE\tWHERE\tREASON\tSLOTS IN USE")
	for _, c := range causes {
		inUse := "-"
		if c.Where == explain.TargetNode {
			inUse = fmt.Sprintf("%.2f", c.InUse)
		}
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", c.Calls, c.Pool, c.Route, c.Where, c.Reason, inUse)
	}
	_ = w.Flush()
	writeOmitted(&b, omitted)
	return b.String()
}

func writeOmitted(b *strings.Builder, omitted int) {
	if omitted > 0 {
		fmt.Fprintf(b, "the nodes left out %d lines more\n", omitted)
	}
}
