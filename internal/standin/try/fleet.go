package try

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/process/node"
	"banyanlug.example/banyanlug/internal/standin/store"
	"banyanlug.example/banyanlug/internal/standin/target"
)

const (
	fleetKey      = "try-fleet-key-0123456789"
	operatorName  = "newcomer"
	operatorToken = "try-operator-token"
)

// domains are the failure domains that the instances are spread over.
var domains = []string{
	"ulaanbaatar/bayanzurkh", "ulaanbaatar/sukhbaatar", "ulaanbaatar/khan-uul", "ulaanbaatar/songino",
}

// fleet is everything that runs: a store, and for each instance a target and
// its node.
type fleet struct {
	clock  *timer.Service
	events io.Writer
	store  string
	nodes  []*node.Node
	// targets are the instances' targets, in the order of the nodes.
	targets []*target.Server
	wg      sync.WaitGroup
	end     []func()
}

func startFleet(ctx context.Context, clock *timer.Service, events io.Writer, pools []snapshot.Pool) (*fleet, error) {
	f := &fleet{clock: clock, events: events}
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	f.store = ln.Addr().String()
	sctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go store.NewServer(store.New(clock)).Run(sctx, ln, served)
	f.end = append(f.end, func() {
		stop()
		<-served
	})
	i := 0
	for _, p := range pools {
		for range p.Upstreams() {
			if err := f.startInstance(ctx, fmt.Sprintf("instance-%02d", i+1), domains[i%len(domains)], p); err != nil {
				return f, err
			}
			i++
		}
	}
	return f, nil
}

func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &StartError{What: "listener", Err: err}
	}
	return ln, nil
}

// startInstance starts a target and the node in its slot.
func (f *fleet) startInstance(ctx context.Context, name, domain string, p snapshot.Pool) error {
	ln, err := listen()
	if err != nil {
		return err
	}
	t := target.New(f.clock, target.Slots(p.Slots()))
	f.targets = append(f.targets, t)
	served := make(chan error, 1)
	go t.Serve(ln, served)
	f.end = append(f.end, func() {
		t.Close()
		<-served
	})
	n, err := f.newNode(
		"-instance", name, "-failure-domain", domain, "-pool", p.Name(), "-target", ln.Addr().String(),
	)
	if err != nil {
		return err
	}
	f.wg.Go(func() { _ = n.Run(ctx) })
	f.nodes = append(f.nodes, n)
	return nil
}

func (f *fleet) newNode(args ...string) (*node.Node, error) {
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	cfg := node.Register(fs)
	args = append(args,
		"-store", f.store, "-fleet-key", fleetKey,
		"-callers", "127.0.0.1:0", "-mesh", "127.0.0.1:0", "-peers", "127.0.0.1:0", "-admin", "127.0.0.1:0",
		"-operators", "127.0.0.1:0", "-operator-tokens", operatorName+":"+hash(operatorToken), "-drain-timeout", "5s",
	)
	if err := fs.Parse(args); err != nil {
		return nil, &StartError{What: "node settings", Err: err}
	}
	n, err := node.New(cfg, f.clock, f.events)
	if err != nil {
		return nil, &StartError{What: "node", Err: err}
	}
	return n, nil
}

func hash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

// wait ends what stays up while the nodes drain, once they have ended.
func (f *fleet) wait() {
	f.wg.Wait()
	for i := range f.end {
		f.end[len(f.end)-1-i]()
	}
}

// until waits for a condition of the fleet.
func (f *fleet) until(ctx context.Context, what string, ok func() bool) error {
	// Everything is on one machine: this long means that something is broken.
	ctx, cancel := f.clock.WithTimeout(ctx, time.Minute)
	defer cancel()
	for !ok() {
		if err := f.clock.Sleep(ctx, 10*time.Millisecond); err != nil {
			return &StartError{What: what, Err: context.Cause(ctx)}
		}
	}
	return nil
}

// ready reports whether all nodes are ready and know of each other's targets.
func (f *fleet) ready() bool {
	for _, n := range f.nodes {
		if !n.Ready() || n.Targets() != len(f.nodes) {
			return false
		}
	}
	return true
}

// inForce returns how many nodes hold a version.
func (f *fleet) inForce(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.Holder().Current().Version() == version {
			count++
		}
	}
	return count
}

// StartError tells of a part that could not be started.
type StartError struct {
	What string
	Err  error
}

func (e *StartError) Error() string { return fmt.Sprintf("%s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }
