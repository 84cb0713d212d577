package app

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
)

const (
	// Name is the name of the program in help and error messages.
	Name      = "banyanlug"
	envPrefix = "BANYANLUG"
)

// App is a command line with its subcommands.
type App struct {
	stdin        io.Reader
	stdout       io.Writer
	stderr       io.Writer
	description  string
	exitCode     func(error) int
	constructors []Constructor
	// flagOutput collects the output of the flag package. Run copies help to
	// stdout and drops the text on a bad flag, which it reports in one line.
	flagOutput bytes.Buffer
}

// Constructor makes a subcommand. It creates its flags with App.Flags and
// writes results to App.Stdout; Run maps its errors to exit codes.
type Constructor func(*App) *ffcli.Command

// Option configures an App.
type Option func(*App)

// Streams sets the standard input, output and error; the default is the
// process's own.
func Streams(stdin io.Reader, stdout, stderr io.Writer) Option {
	return func(a *App) { a.stdin, a.stdout, a.stderr = stdin, stdout, stderr }
}

// Subcommand adds a subcommand.
func Subcommand(c Constructor) Option {
	return func(a *App) { a.constructors = append(a.constructors, c) }
}

// Description sets the text about the program in its help.
func Description(text string) Option { return func(a *App) { a.description = text } }

// ExitCode sets a function that returns the exit code of a subcommand's error. A
// UsageError and a SettingError always have ExitUsage; the default for all others is
// ExitFailed.
func ExitCode(f func(error) int) Option { return func(a *App) { a.exitCode = f } }

// New returns an App.
func New(opts ...Option) *App {
	a := &App{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, exitCode: func(error) int { return ExitFailed }}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Stdin returns the standard input.
func (a *App) Stdin() io.Reader { return a.stdin }

// Stdout returns the writer for results.
func (a *App) Stdout() io.Writer { return a.stdout }

// Stderr returns the writer for error messages.
func (a *App) Stderr() io.Writer { return a.stderr }

// Flags returns a flag set for a subcommand. Run also reads its flags from
// environment variables.
func (a *App) Flags(command string) *flag.FlagSet {
	fs := flag.NewFlagSet(Name+" "+command, flag.ContinueOnError)
	fs.SetOutput(&a.flagOutput)
	return fs
}

// Run runs the subcommand named in args, reports an error on stderr and returns
// the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	root := a.root()
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = a.flagOutput.WriteTo(a.stdout)
		return ExitDone
	}
	if err != nil {
		return a.fail(usageError(err))
	}
	if err := root.Run(ctx); err != nil {
		return a.fail(err)
	}
	return ExitDone
}

func (a *App) root() *ffcli.Command {
	fs := a.Flags("")
	fs.Init(Name, flag.ContinueOnError)
	root := &ffcli.Command{
		Name: Name, ShortUsage: Name + " SUBCOMMAND [flags]", FlagSet: fs, LongHelp: a.description,
	}
	for _, c := range a.constructors {
		root.Subcommands = append(root.Subcommands, c(a))
	}
	a.prepare(root)
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return &UsageError{Text: fmt.Sprintf("no subcommand %q; see %s -h", args[0], Name)}
		}
		_, _ = fmt.Fprintln(a.stderr, helpText(root))
		return &UsageError{Text: "a subcommand is needed"}
	}
	return root
}

// prepare sets up environment variables and help for a command and its
// subcommands.
func (a *App) prepare(c *ffcli.Command) {
	c.Options = append(c.Options, ff.WithEnvVarPrefix(envPrefix))
	c.UsageFunc = helpText
	for _, sub := range c.Subcommands {
		a.prepare(sub)
	}
}
