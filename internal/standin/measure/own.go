package measure

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/process/node"
)

// metricsTimeout is far above what a page of metrics takes.
const metricsTimeout = 5 * time.Second

// Node runs a node as `banyanlug node` does, told apart only in that it tells
// the address of its metrics and ends with standard input.
func Node(ctx context.Context, args []string, in io.Reader, out io.Writer) error {
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	fs.SetOutput(os.Stderr)
	cfg := node.Register(fs)
	if err := fs.Parse(args); err != nil {
		return fmt.Errorf("node: %w", err)
	}
	g := newGroup(ctx)
	defer g.stop()
	clk := timer.New()
	g.start(clk.Run)
	n, err := node.New(cfg, clk, os.Stderr)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- n.Run(running) }()
	err = Attend(in, out, Told{Address: n.Admin().String()})
	cancel()
	if rerr := <-done; err == nil {
		err = rerr
	}
	return err
}

// own is a node in a process of its own, beside its target.
type own struct{ target, node *part }

// startOwn starts a target and its node, which joins the fleet.
func startOwn(ctx context.Context, f *fleet) (*own, error) {
	t, err := startPart(ctx, "target", "target", "-attached")
	if err != nil {
		return nil, err
	}
	any := "127.0.0.1:0"
	n, err := startPart(ctx, "node", "node", "-instance", "instance-own", "-failure-domain", f.members[0].domain,
		"-pool", f.members[0].pool, "-target", t.told.Address, "-store", f.stored.nodes, "-fleet-key", fleetKey,
		"-callers", any, "-mesh", any, "-peers", any, "-admin", any, "-drain-timeout", "1s")
	if err != nil {
		t.stop()
		return nil, err
	}
	return &own{target: t, node: n}, nil
}

func (o *own) stop() {
	o.node.stop()
	o.target.stop()
}

// metrics reads some of the node's metrics.
func (o *own) metrics(ctx context.Context, clk *timer.Service) (map[string]float64, error) {
	ctx, cancel := clk.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.node.told.Address+"/metrics", http.NoBody)
	if err != nil {
		return nil, &PartError{Part: o.node.name, Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &PartError{Part: o.node.name, Err: err}
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(text, 64); ok && err == nil {
			out[name] = v
		}
	}
	if err := lines.Err(); err != nil {
		return nil, &PartError{Part: o.node.name, Err: err}
	}
	return out, nil
}
