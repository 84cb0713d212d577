// Command standin runs the stand-ins for what surrounds banyanlug in tests, and
// the project's measurements.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"banyanlug.example/banyanlug/internal/standin/measure"
	"banyanlug.example/banyanlug/internal/standin/store"
	"banyanlug.example/banyanlug/internal/standin/target"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// command is one thing the binary does.
type command struct {
	name string
	help string
	run  func(ctx context.Context, args []string, out io.Writer) error
}

var commands = []command{
	{"try", "run the whole path in one process, for a newcomer", runTry},
	{"target", "run a stand-in target", runTarget},
	{"store", "run a stand-in of the platform's store", store.Command},
	{"node", "run a node that ends with standard input", runNode},
	{"proxy", "run one side of the call path with a fixed configuration", runProxy},
	{"measure isolation", "what a flood of trial calls does to the paying", measure.Isolation},
	{"measure faults", "what callers get while targets, nodes and the store fail", measure.Faults},
	{"measure converge", "how long a change takes and what it moves, against a baseline", measure.Converge},
	{"measure idle", "what a fleet costs while nothing changes", measure.Idle},
	{"measure overhead", "what the nodes on the way add to a call", measure.Overhead},
}

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c, args, ok := find(os.Args[1:])
	if !ok {
		usage(os.Stderr)
		return exitUsage
	}
	err := c.run(ctx, args, os.Stdout)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
}

// find returns the command that the arguments begin with.
func find(args []string) (command, []string, bool) {
	for _, c := range commands {
		for n := range 3 {
			if n <= len(args) && c.name == strings.Join(args[:n], " ") {
				return c, args[n:], true
			}
		}
	}
	return command{}, nil, false
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: standin COMMAND [flags]; -h after a command lists its flags")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-18s %s\n", c.name, c.help)
	}
}

func runTarget(ctx context.Context, args []string, out io.Writer) error {
	return target.Command(ctx, args, out, func(address string) error {
		return measure.Attend(os.Stdin, out, measure.Told{Address: address})
	})
}

func runNode(ctx context.Context, args []string, out io.Writer) error {
	return measure.Node(ctx, args, os.Stdin, out)
}

func runProxy(ctx context.Context, args []string, out io.Writer) error {
	return measure.Proxy(ctx, args, os.Stdin, out)
}
