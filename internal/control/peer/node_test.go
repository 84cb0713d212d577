package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var fleetKey = []byte("0123456789abcdef")

// fleet runs real nodes on loopback against a store stand-in.
type fleet struct {
	t     *testing.T
	clock *timer.Service
	store *store.Store
	log   *publish.Log
	held  *snapshot.Snapshot
	nodes map[string]*running
}

type running struct {
	*Node
	cancel context.CancelFunc
	served chan error
	ran    chan error
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go clock.Run(ctx, done)
	f := &fleet{t: t, clock: clock, store: store.New(clock), held: snapshot.Empty(), nodes: map[string]*running{}}
	f.log = publish.New(f.store, clock)
	t.Cleanup(func() {
		for name := range f.nodes {
			f.stop(name)
		}
		cancel()
		<-done
	})
	return f
}

// start runs a node; guard, if any, stands between it and the store.
func (f *fleet) start(name, domain string, st platform.Store, seeds ...netip.AddrPort) *running {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	now := f.clock.Now()
	self := membership.NewSelf(now, newRand(uint64(now.UnixNano())), name, membership.Domain(domain), membership.Pool("p"), membership.Peer(addr),
		membership.Address(addr), membership.InState(membership.Ready))
	opts := []Option{WithSeeds(seeds...)}
	if st != nil {
		opts = append(opts, WithStore(st, publish.New(st, f.clock)))
	}
	n := New(f.clock, event.Discard(), membership.New(domain, uint64(now.UnixNano())), self, fleetKey, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Node: n, cancel: cancel, served: make(chan error, 1), ran: make(chan error, 1)}
	go n.Serve(ctx, ln, r.served)
	go n.Run(ctx, r.ran)
	f.nodes[name] = r
	return r
}

func (f *fleet) stop(name string) {
	r := f.nodes[name]
	delete(f.nodes, name)
	r.cancel()
	<-r.served
	<-r.ran
}

// publish puts a further version into the store.
func (f *fleet) publish() {
	f.t.Helper()
	v := f.held.Version() + 1
	change := snapshot.NewChange([]snapshot.Object{snapshot.NewService(fmt.Sprintf("s%d", v))}, nil)
	d, next, err := f.held.Next(change, snapshot.Stamp{PlanID: fmt.Sprintf("plan-%d", v), Operator: "op", At: f.clock.Now()})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.log.Publish(context.Background(), d, next); err != nil {
		f.t.Fatal(err)
	}
	f.held = next
}

// eventually waits for a condition; its limit only ends a test that hangs.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		_ = f.clock.Sleep(context.Background(), 5*time.Millisecond)
	}
	f.t.Fatalf("never: %s", what)
}

func (f *fleet) inForce() bool {
	for _, n := range f.nodes {
		if n.Holder().Current().Digest() != f.held.Digest() {
			return false
		}
	}
	return true
}

func (f *fleet) everyoneKnows(count int) bool {
	for _, n := range f.nodes {
		if len(n.View().Pool("p")) != count {
			return false
		}
	}
	return true
}

func TestConfirmedVersionsReachEveryNodeOfEveryDomain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for i := range 14 {
		f.start(fmt.Sprintf("n%d", i), []string{"east", "west"}[i%2], f.store)
	}
	f.eventually("all know all", func() bool { return f.everyoneKnows(14) })
	for range 5 {
		f.publish()
	}
	f.eventually("all hold version 5", f.inForce)
}
