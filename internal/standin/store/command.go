package store

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"

	"github.com/peterbourgon/ff/v3"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

// Command runs a store as a process of its own until ctx ends.
func Command(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("store", flag.ContinueOnError)
	fs.SetOutput(out)
	addr := fs.String("addr", "127.0.0.1:7300", "`IP:PORT` to serve on")
	writes := fs.Float64("writes", 0, "writes a second before more are refused, 0 for no bound")
	reads := fs.Float64("reads", 0, "reads a second before more are refused, 0 for no bound")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_STORE")); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	clk := timer.New()
	cctx, stop := context.WithCancel(context.Background())
	ticks := make(chan error, 1)
	go clk.Run(cctx, ticks)
	defer func() {
		stop()
		<-ticks
	}()
	served := make(chan error, 1)
	go NewServer(New(clk, WithRates(*writes, *reads))).Run(ctx, ln, served)
	fmt.Fprintf(out, "store serves on %s\n", ln.Addr())
	if err := <-served; ctx.Err() == nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}
