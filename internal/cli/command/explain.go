package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"banyanlug.example/banyanlug/internal/cli/app"
	"banyanlug.example/banyanlug/internal/report/explain"
)

// NotLoggedError reports a call ID that occurs in no log line.
type NotLoggedError struct{ ID string }

func (e *NotLoggedError) Error() string {
	return fmt.Sprintf("no line names the call %s; plain successes are sampled, and a node that was killed may not have written its last lines", e.ID)
}

func explainCommand(a *App) *ffcli.Command {
	fs := a.Flags("explain")
	asJSON := false
	a.jsonFlag(fs, &asJSON)
	return &ffcli.Command{
		Name: "explain", ShortUsage: name + " explain [flags] ID [FILE...]", FlagSet: fs,
		ShortHelp: "tell the life of one call from the logs of several nodes",
		LongHelp: "Reads the logs of the nodes, or standard input, and prints the lines that name the\n" +
			"call in order of time, below each what its node believed then and for how long.\n\n" + app.ExitHelp,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &app.UsageError{Text: "explain needs the id of a call"}
			}
			log, err := a.readLogs(args[1:])
			if err != nil {
				return err
			}
			lines := log.Call(args[0])
			if len(lines) == 0 {
				return &NotLoggedError{ID: args[0]}
			}
			if asJSON {
				return a.writeJSON(lines)
			}
			return a.write(callText(lines))
		},
	}
}

// readLogs reads the files, or standard input if files is empty.
func (a *App) readLogs(files []string) (*explain.Log, error) {
	log := &explain.Log{}
	return log, a.readEach(files, log.Read)
}

func callText(lines []explain.Line) string {
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintln(&b, l)
		for _, state := range l.LoggedStates() {
			fmt.Fprintf(&b, "    believed for %v: %s\n", state.Age().Round(time.Millisecond), state.Text())
		}
	}
	return b.String()
}
