package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"

	"github.com/peterbourgon/ff/v3"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/standin/store"
)

// runStore serves a stand-in of the platform's key-value service until ctx
// ends; its /fault path plays outages.
func runStore(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("store", flag.ContinueOnError)
	addr := fs.String("addr", "127.0.0.1:7300", "`IP:PORT` to serve on")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_STORE")); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	clock := timer.New()
	// The clock outlives ctx, as the server's own end waits by it.
	ticking, stop := context.WithCancel(context.WithoutCancel(ctx))
	ticked, served := make(chan error, 1), make(chan error, 1)
	go clock.Run(ticking, ticked)
	fmt.Fprintf(out, "store serves on %s\n", ln.Addr())
	go store.NewServer(store.New(clock)).Run(ctx, ln, served)
	err = <-served
	stop()
	<-ticked
	if ctx.Err() != nil {
		return nil
	}
	return err
}
