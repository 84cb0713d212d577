package target

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// Handler takes calls for one target.
type Handler struct {
	pool       string
	local      netip.AddrPort
	client     *hop.Client
	credential *hop.Credential
	sealer     *hop.Sealer
	gate       Gate
	guard      Guard
	clk        *timer.Service
}

// Option sets one property of a handler.
type Option func(*Handler)

// WithGate sets what decides about the target's slots.
func WithGate(g Gate) Option { return func(h *Handler) { h.gate = g } }

// WithGuard sets what looks at calls that must not run twice.
func WithGuard(g Guard) Option { return func(h *Handler) { h.guard = g } }

// New returns a handler for the target of a pool at a local address, which it
// reaches with client.
func New(pool string, local netip.AddrPort, client *hop.Client, credential *hop.Credential, sealer *hop.Sealer, clk *timer.Service, opts ...Option) *Handler {
	h := &Handler{
		pool: pool, local: local, client: client, credential: credential, sealer: sealer, clk: clk,
		gate: open{}, guard: unguarded{},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// NewServer returns the server for connections of other nodes.
func NewServer(h *Handler, clk *timer.Service, opts ...http1.Option) *http1.Server {
	withProof := func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, proofKey{}, &proof{})
	}
	return http1.New(h, clk, append([]http1.Option{http1.WithConnContext(withProof)}, opts...)...)
}

// call is one call of another node on its way through the stages.
type call struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	meta  hop.Meta
	until time.Time
	body  hop.Body
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r}
	c.finish(c.run())
}

// run takes the call through the stages and reports whether the answer's head
// was passed on.
func (c *call) run() (began bool, err error) {
	if err := c.authenticate(); err != nil {
		return false, err
	}
	if err := c.read(); err != nil {
		return false, err
	}
	pass, err := c.admit()
	if err != nil {
		return false, err
	}
	if err := c.once(); err != nil {
		pass.Leave(Cancelled)
		return false, err
	}
	began, status, err := c.forward()
	pass.Leave(leaving(status, err))
	return began, err
}
