// Command banyanlug forwards calls for one instance of a service mesh and
// manages the mesh's configuration.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"banyanlug.example/banyanlug/internal/cli/app"
	"banyanlug.example/banyanlug/internal/cli/command"
	"banyanlug.example/banyanlug/internal/process/node"
	"banyanlug.example/banyanlug/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := newApp().Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// newApp returns the command-line application with all subcommands.
func newApp() *command.App {
	return command.New(app.Subcommand(node.Command), app.Subcommand(platform.Command))
}
