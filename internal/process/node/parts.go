package node

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/alexedwards/flow"

	"banyanlug.example/banyanlug/internal/control/operator"
)

// parts are the goroutines of a running node.
type parts struct {
	count  int
	failed chan error
	done   chan error
}

// start starts all parts; one that ends by itself is a failure of the node.
func (n *Node) start(ctx context.Context) *parts {
	p := &parts{failed: make(chan error, 1), done: make(chan error)}
	p.run(ctx, n.peerServe)
	p.run(ctx, n.peer.Run)
	p.run(ctx, n.quota.Run)
	p.run(ctx, func(ctx context.Context, done chan<- error) { n.callers.Serve(ctx, n.listeners.callers, done) })
	p.run(ctx, func(ctx context.Context, done chan<- error) { serveHTTP(ctx, n.listeners.admin, n.admin(), done) })
	if n.targets != nil {
		p.run(ctx, func(ctx context.Context, done chan<- error) { n.targets.Serve(ctx, n.listeners.mesh, done) })
	} else {
		// A node without a target takes no calls from others.
		n.listeners.mesh.Close()
	}
	if n.listeners.operators != nil {
		p.run(ctx, n.serveOperators)
	}
	return p
}

func (n *Node) peerServe(ctx context.Context, done chan<- error) {
	n.peer.Serve(ctx, n.listeners.peers, done)
}

func (p *parts) run(ctx context.Context, part func(context.Context, chan<- error)) {
	p.count++
	go func() {
		ended := make(chan error, 1)
		part(ctx, ended)
		err := <-ended
		if ctx.Err() == nil && err != nil {
			select {
			case p.failed <- err:
			default:
			}
		}
		p.done <- err
	}()
}

func (p *parts) wait() {
	for range p.count {
		<-p.done
	}
}

// serveHTTP serves h with the library's server until ctx ends.
func serveHTTP(ctx context.Context, ln net.Listener, h http.Handler, done chan<- error) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	select {
	case err := <-ended:
		done <- err
	case <-ctx.Done():
		srv.Close()
		<-ended
		done <- ctx.Err()
	}
}

func (n *Node) serveOperators(ctx context.Context, done chan<- error) {
	service := n.operatorService()
	if service == nil {
		serveHTTP(ctx, n.listeners.operators, http.HandlerFunc(refuseOperators), done)
		return
	}
	// The settings have been checked, so the tokens can be read.
	tokens, _ := n.cfg.tokens()
	mux := http.NewServeMux()
	mux.Handle("/", operator.NewHandler(service, tokens...))
	mux.Handle("GET /v1/report/burn", operator.Authenticated(http.HandlerFunc(n.tellBurn), service, tokens...))
	serveHTTP(ctx, n.listeners.operators, mux, done)
}

func refuseOperators(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	// A client that has gone asks again.
	_, _ = w.Write([]byte(`{"error":{"type":"store_unavailable","message":"this node was started without a store; ask one that has it"}}` + "\n"))
}

// admin returns metrics, health and profiles, which are for the machine's own
// operators and not for callers.
func (n *Node) admin() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/metrics", n.tellMetrics, "GET")
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { tell(w, http.StatusOK, "live") }, "GET")
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if n.life.ready() {
			tell(w, http.StatusOK, "ready")
			return
		}
		tell(w, http.StatusServiceUnavailable, n.life.state())
	}, "GET")
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile, "GET")
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace, "GET")
	mux.HandleFunc("/debug/pprof/...", pprof.Index, "GET")
	return mux
}

func tell(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
