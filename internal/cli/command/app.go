package command

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

const (
	name      = "banyanlug"
	envPrefix = "BANYANLUG"
)

// App is the command with its subcommands.
type App struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	clock  *timer.Service
	more   []Constructor
	// help takes what the flag package writes: help is shown, while its words
	// on a bad flag are not, as Run says it in one line.
	help bytes.Buffer
}

// Constructor makes one further subcommand, with flags of Flags and output to
// Stdout; its failures are mapped to exit codes by Run.
type Constructor func(*App) *ffcli.Command

// Option sets one property of an app.
type Option func(*App)

// Streams sets where the app reads and writes.
func Streams(stdin io.Reader, stdout, stderr io.Writer) Option {
	return func(a *App) { a.stdin, a.stdout, a.stderr = stdin, stdout, stderr }
}

// Subcommand adds a subcommand.
func Subcommand(c Constructor) Option { return func(a *App) { a.more = append(a.more, c) } }

// New returns the command.
func New(opts ...Option) *App {
	a := &App{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, clock: timer.New()}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Stdout returns where results go.
func (a *App) Stdout() io.Writer { return a.stdout }

// Stderr returns where failures go.
func (a *App) Stderr() io.Writer { return a.stderr }

// Flags returns a flag set for a subcommand, whose flags Run also takes from
// the environment.
func (a *App) Flags(command string) *flag.FlagSet {
	fs := flag.NewFlagSet(name+" "+command, flag.ContinueOnError)
	fs.SetOutput(&a.help)
	return fs
}

// Run runs the subcommand that args name and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	root := a.root()
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = a.help.WriteTo(a.stdout)
		return exitDone
	}
	if err != nil {
		return a.fail(usage(err))
	}
	if err := root.Run(ctx); err != nil {
		return a.fail(err)
	}
	return exitDone
}

func (a *App) root() *ffcli.Command {
	fs := a.Flags("")
	fs.Init(name, flag.ContinueOnError)
	root := &ffcli.Command{
		Name: name, ShortUsage: name + " SUBCOMMAND [flags]", FlagSet: fs,
		LongHelp: "Carries calls for one instance of a service mesh, and drives the mesh's\nconfiguration: state an intent, read the plan, confirm it.\n\n" + exitHelp,
	}
	constructors := []Constructor{
		checkCommand, planCommand, confirmCommand, abandonCommand, restoreCommand, statusCommand, historyCommand, reportCommand,
		keyCommand, explainCommand, causesCommand, versionCommand,
	}
	for _, c := range append(constructors, a.more...) {
		root.Subcommands = append(root.Subcommands, c(a))
	}
	a.prepare(root)
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return &UsageError{Text: fmt.Sprintf("no subcommand %q; see %s -h", args[0], name)}
		}
		_, _ = fmt.Fprintln(a.stderr, helpOf(root))
		return &UsageError{Text: "a subcommand is needed"}
	}
	return root
}

// prepare gives a command and those under it the environment and the help.
func (a *App) prepare(c *ffcli.Command) {
	c.Options = append(c.Options, ff.WithEnvVarPrefix(envPrefix))
	c.UsageFunc = helpOf
	for _, sub := range c.Subcommands {
		a.prepare(sub)
	}
}
