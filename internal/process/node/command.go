package node

import (
	"context"
	"errors"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"

	"banyanlug.example/banyanlug/internal/cli/command"
	"banyanlug.example/banyanlug/internal/clock/timer"
)

// Command is the subcommand that runs a node until it is told to stop.
func Command(a *command.App) *ffcli.Command {
	fs := a.Flags("node")
	cfg := Register(fs)
	return &ffcli.Command{
		Name: "node", ShortUsage: "banyanlug node [flags]", FlagSet: fs,
		ShortHelp: "carry calls for this instance, until told to stop",
		LongHelp: "Runs the process in an instance's slot. SIGTERM or SIGINT drains it: new work is\n" +
			"refused as not run, calls in flight end, and the mesh is told. Events go to\nstandard error, one JSON object a line.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return &command.UsageError{Text: "node takes no arguments"}
			}
			return runProcess(ctx, a, cfg)
		},
	}
}

// runProcess runs a node on the machine's clock.
func runProcess(ctx context.Context, a *command.App, cfg *Settings) error {
	clock := timer.New()
	cctx, stop := context.WithCancel(context.Background())
	ticked := make(chan error, 1)
	go clock.Run(cctx, ticked)
	defer func() {
		stop()
		<-ticked
	}()
	n, err := New(cfg, clock, a.Stderr())
	var bad *SettingError
	if errors.As(err, &bad) {
		return &command.UsageError{Text: bad.Error()}
	}
	if err != nil {
		return err
	}
	// More processors make each call dearer, since an idle one has to be woken
	// for each hand-over.
	runtime.GOMAXPROCS(cfg.procs)
	return n.Run(ctx)
}
