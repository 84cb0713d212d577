package target

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/peterbourgon/ff/v3"

	"banyanlug.example/banyanlug/internal/clock/timer"
)

// Command runs a stand-in target until ctx ends, or, if attached, until attend
// returns.
func Command(ctx context.Context, args []string, out io.Writer, attend func(address string) error) error {
	fs := flag.NewFlagSet("target", flag.ContinueOnError)
	fs.SetOutput(out)
	listen := fs.String("listen", "127.0.0.1:0", "address to serve on")
	slots := fs.Int("slots", 0, "calls at once before more are shed, 0 for no bound")
	cold := fs.Duration("cold", 0, "how long after the start calls take longer")
	factor := fs.Float64("cold-factor", 4, "how many times as long they then take")
	health := fs.String("health", "honest", "honest, lagging or lying")
	lag := fs.Duration("health-lag", 5*time.Second, "by how much lagging health lags")
	next := fs.String("next", "", "URL of the node that calls further down go to")
	attached := fs.Bool("attached", false, "tell the address as JSON and end with standard input")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN_TARGET")); err != nil {
		return fmt.Errorf("target: %w", err)
	}
	kind, ok := map[string]Health{"honest": Honest, "lagging": Lagging, "lying": Lying}[*health]
	if !ok {
		return fmt.Errorf("target: -health: %w", &HealthError{Text: *health})
	}
	ln, err := net.Listen("tcp", *listen)
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	clk := timer.New()
	ticks := make(chan error, 1)
	go clk.Run(ctx, ticks)
	s := New(clk, Slots(*slots), Cold(*cold, *factor), WithHealth(kind, *lag), Next(*next), OnCrash(exit))
	done := make(chan error, 1)
	go s.Serve(ln, done)
	if *attached {
		err = attend(ln.Addr().String())
	} else {
		fmt.Fprintf(out, "target serves on %s\n", ln.Addr())
		<-ctx.Done()
	}
	_ = s.Close()
	<-done
	return err
}

// HealthError tells of a kind of health that the stand-in does not play.
type HealthError struct{ Text string }

func (e *HealthError) Error() string {
	return fmt.Sprintf("%q is not honest, lagging or lying", e.Text)
}
