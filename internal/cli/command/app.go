package command

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"banyanlug.example/banyanlug/internal/cli/app"
	"banyanlug.example/banyanlug/internal/clock/timer"
)

const name = app.Name

// App is the banyanlug command line with its subcommands.
type App struct {
	*app.App
	clock *timer.Service
}

// New returns an App with the operators' subcommands and those that opts add.
func New(opts ...app.Option) *App {
	a := &App{clock: timer.New()}
	builtin := []app.Option{
		app.Description("Carries calls for one instance of a service mesh, and drives the mesh's\nconfiguration: state an intent, read the plan, confirm it.\n\n" + app.ExitHelp),
		app.ExitCode(exitCode),
	}
	for _, c := range []func(*App) *ffcli.Command{
		checkCommand, planCommand, confirmCommand, abandonCommand, restoreCommand, statusCommand, historyCommand, reportCommand,
		keyCommand, explainCommand, causesCommand, versionCommand,
	} {
		builtin = append(builtin, app.Subcommand(func(*app.App) *ffcli.Command { return c(a) }))
	}
	a.App = app.New(append(builtin, opts...)...)
	return a
}
