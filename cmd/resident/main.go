// Command resident runs a resident node: a node on the users' platform, which
// keeps the configuration and the members in one store. It is the subcommand
// resident of banyanlug in a program without the operators' subcommands, whose
// plots and fonts would take most of a node's memory for program code.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"banyanlug.example/banyanlug/internal/cli/app"
	"banyanlug.example/banyanlug/platform"
)

func main() {
	// Until the settings are read, there is nothing that a reload would change; by default the
	// signal ends the process.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := newApp().Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// newApp returns the command-line application with its only subcommand.
func newApp() *app.App {
	return app.New(app.Description("Runs a node on the users' platform.\n\n"+app.ExitHelp), app.Subcommand(platform.Command))
}
