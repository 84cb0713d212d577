package measure

import (
	"context"
	"fmt"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/control/publish"
	"banyanlug.example/banyanlug/internal/standin/store"
)

// stored is a store stand-in served over HTTP twice: to the nodes, whose bytes
// are counted, and to the operator, whose are not.
type stored struct {
	store    *store.Store
	clk      *timer.Service
	nodes    string
	wire     meter
	operator *platform.Client
	log      *publish.Log
	held     *snapshot.Snapshot
}

func startStore(g *group, clk *timer.Service) (*stored, error) {
	s := &stored{store: store.New(clk), clk: clk, held: snapshot.Empty()}
	var uncounted meter
	for _, l := range []struct {
		m  *meter
		to *string
	}{{&s.wire, &s.nodes}, {&uncounted, new(string)}} {
		ln, err := l.m.listen()
		if err != nil {
			return nil, err
		}
		*l.to = ln.Addr().String()
		g.start(func(ctx context.Context, done chan<- error) { store.NewServer(s.store).Run(ctx, ln, done) })
		if s.operator, err = platform.Dial(*l.to, platform.WithClock(clk)); err != nil {
			return nil, err
		}
	}
	s.log = publish.New(s.operator, clk)
	return s, nil
}

// next returns the delta of a change and the version it leads to.
func (s *stored) next(c snapshot.Change) (*snapshot.Delta, *snapshot.Snapshot, error) {
	v := s.held.Version() + 1
	return s.held.Next(c, snapshot.Stamp{PlanID: fmt.Sprintf("plan-%08d", v), Operator: "measure", At: s.clk.Now()})
}

// publish confirms a version as the operator's node does.
func (s *stored) publish(ctx context.Context, d *snapshot.Delta, next *snapshot.Snapshot) error {
	if err := s.log.Publish(ctx, d, next); err != nil {
		return err
	}
	s.held = next
	return nil
}

// base is the configuration that the changes start from: for each service a
// pool and two routes.
func base(services int) snapshot.Change {
	var objects []snapshot.Object
	for i := range services {
		name := serviceName(i)
		objects = append(objects, snapshot.NewService(name),
			snapshot.NewPool(name+"-main", name, snapshot.Slots(16), snapshot.Promised(4), snapshot.Connections(64), snapshot.Upstreams(15)),
			snapshot.NewRoute(name+"-read", "/"+name+"/read", name, name+"-main",
				snapshot.Methods("GET", "HEAD"), snapshot.Idempotent(), snapshot.Retries(2)),
			readWrite(name, 10*time.Second))
	}
	return snapshot.NewChange(objects, nil)
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

func readWrite(service string, deadline time.Duration) snapshot.Route {
	return snapshot.NewRoute(service+"-write", "/"+service, service, service+"-main",
		snapshot.Methods("POST", "PUT", "PATCH"), snapshot.Deadline(deadline))
}

// change gives one route another deadline, the kind of change that is made
// most often.
func change(i, services int) snapshot.Change {
	deadline := time.Duration(1000+i) * time.Millisecond
	return snapshot.NewChange([]snapshot.Object{readWrite(serviceName(i%services), deadline)}, nil)
}
