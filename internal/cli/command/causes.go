package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"banyanlug.example/banyanlug/internal/cli/app"
	"banyanlug.example/banyanlug/internal/report/explain"
)

func causesCommand(a *App) *ffcli.Command {
	fs := a.Flags("causes")
	asJSON := false
	a.jsonFlag(fs, &asJSON)
	return &ffcli.Command{
		Name: "causes", ShortUsage: name + " causes [flags] [FILE...]", FlagSet: fs,
		ShortHelp: "count why calls got no answer, from the logs of several nodes",
		LongHelp: "Reads the logs of the nodes, or standard input, and counts by pool and route why\n" +
			"calls ended without their target's answer, and who decided so.\n\n" + app.ExitHelp,
		Exec: func(_ context.Context, args []string) error {
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
	if omitted > 0 {
		fmt.Fprintf(&b, "the nodes left out %d lines more\n", omitted)
	}
	return b.String()
}
