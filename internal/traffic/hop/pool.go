package hop

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/traffic/http1"
	"banyanlug.example/banyanlug/internal/wire/message"
)

const (
	// maxIdlePerPeer is above the slots of a target, so that even a target at full
	// load needs no new connections.
	maxIdlePerPeer = 32
	// defaultIdleTimeout is a quarter of the server's idle timeout, so that the client
	// closes a pooled connection before the server does.
	defaultIdleTimeout = 30 * time.Second
	// reapPeriod is the interval between checks for expired idle connections.
	reapPeriod = 5 * time.Second
	// watchPeriod is the same where unasked bytes are looked for.
	watchPeriod = 500 * time.Millisecond
	// defaultDialTimeout allows for one lost packet on the longest network path.
	defaultDialTimeout = 1200 * time.Millisecond
	// dialTimeDivisor limits opening a connection to the call's remaining time divided
	// by it; the rest allows a retry on another target.
	dialTimeDivisor = 2
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
	shardCount   = 16
)

// peerConn is one connection to a peer.
type peerConn struct {
	to            netip.AddrPort
	conn          net.Conn
	*buffers      // nil while the connection is idle
	checked       *message.Conn
	counted       *countingConn // of checked
	authenticated bool
	idleSince     time.Time
	idleTimeout   time.Duration
	onPooledClose func()
}

// expired reports whether a pooled connection has exceeded its idle timeout.
func (pc *peerConn) expired(now time.Time) bool { return now.Sub(pc.idleSince) >= pc.idleTimeout }

// discard closes a pooled connection.
func (pc *peerConn) discard() {
	_ = pc.conn.Close()
	if pc.onPooledClose != nil {
		pc.onPooledClose()
	}
}

// countingConn counts the bytes of a request that the kernel accepted, and limits the
// length of a response head.
type countingConn struct {
	conn      *message.Conn
	written   int64
	readLimit int64
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, io.ErrShortBuffer
	}
	n, err := c.conn.Read(p[:min(int64(len(p)), c.readLimit)])
	c.readLimit -= int64(n)
	return n, err
}

func (c *Client) newPeerConn(to netip.AddrPort, conn net.Conn) *peerConn {
	checked := message.NewConn(conn)
	counted := &countingConn{conn: checked, readLimit: math.MaxInt64}
	return &peerConn{to: to, conn: conn, checked: checked, counted: counted, idleTimeout: c.idleTimeout}
}

// buffers are the buffers of one call. They are pooled, so that a connection has them
// only while it carries a call: they would take most of the memory of the idle
// connections.
type buffers struct {
	br *bufio.Reader
	bw *bufio.Writer
}

var bufferPool = sync.Pool{New: func() any { return &buffers{br: bufio.NewReader(nil), bw: bufio.NewWriter(nil)} }}

func (pc *peerConn) takeBuffers() {
	pc.buffers = bufferPool.Get().(*buffers)
	pc.br.Reset(pc.counted)
	pc.bw.Reset(pc.counted)
}

// releaseBuffers returns the buffers to the pool. The call must have ended, and no
// unread bytes may be left.
func (pc *peerConn) releaseBuffers() {
	bufferPool.Put(pc.buffers)
	pc.buffers = nil
}

type poolShard struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*peerConn
}

func (c *Client) shard(to netip.AddrPort) *poolShard {
	a := to.Addr().As16()
	return &c.shards[(uint(a[15])^uint(a[14])<<1^uint(to.Port()))%shardCount]
}

// acquire returns a pooled connection that is still usable, or opens one, with the
// buffers for a call.
func (c *Client) acquire(ctx context.Context, to netip.AddrPort, deadline time.Time) (*peerConn, error) {
	for {
		pc := c.pop(to)
		if pc == nil {
			pc, err := c.dial(ctx, to, deadline)
			if err == nil {
				pc.takeBuffers()
			}
			return pc, err
		}
		if !pc.expired(c.clk.Now()) && http1.Reusable(pc.conn) {
			pc.takeBuffers()
			return pc, nil
		}
		pc.discard()
	}
}

// pop removes and returns the most recently used connection, or nil.
func (c *Client) pop(to netip.AddrPort) *peerConn {
	p := c.shard(to)
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	pc := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	p.idle[to] = idle[:len(idle)-1]
	return pc
}

// keepAliveDivisor is the part of the idle timeout that a peer states for which a
// connection is pooled: a request that crosses the peer's close is lost.
const keepAliveDivisor = 2

// statedIdleTimeout returns how long to pool a connection whose peer has stated its own
// idle timeout in a Keep-Alive header; it is at most d.
func statedIdleTimeout(h http.Header, d time.Duration) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(param), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
			return min(d, time.Duration(seconds)*time.Second/keepAliveDivisor)
		}
	}
	return d
}

// release returns a connection to the pool and reports whether it was kept; if the
// pool is full or closed, it closes the connection. The last response must have been
// read to its end.
func (c *Client) release(pc *peerConn) bool {
	pc.idleSince = c.clk.Now()
	p := c.shard(pc.to)
	p.mu.Lock()
	full := c.closed.Load() || len(p.idle[pc.to]) >= maxIdlePerPeer
	if !full {
		p.idle[pc.to] = append(p.idle[pc.to], pc)
	}
	p.mu.Unlock()
	if full {
		_ = pc.conn.Close()
	}
	return !full
}

// dialDeadline returns the deadline for opening a connection, and whether the call's
// remaining time determines it rather than the dial timeout.
func (c *Client) dialDeadline(now, deadline time.Time) (end time.Time, deadlineLimited bool) {
	bound, share := now.Add(c.dialTimeout), now.Add(deadline.Sub(now)/dialTimeDivisor)
	if share.Before(bound) {
		return share, true
	}
	return bound, false
}

func (c *Client) dial(ctx context.Context, to netip.AddrPort, deadline time.Time) (*peerConn, error) {
	deadline, deadlineLimited := c.dialDeadline(c.clk.Now(), deadline)
	d := net.Dialer{Deadline: deadline}
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, dialError(to, err, deadlineLimited)
	}
	conn = http1.WithRawSyscalls(conn)
	if c.tls == nil {
		return c.newPeerConn(to, conn), nil
	}
	t := tls.Client(conn, c.tlsConfigFor(to))
	_ = conn.SetDeadline(deadline)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, dialError(to, err, deadlineLimited)
	}
	return c.newPeerConn(to, t), nil
}

func dialError(to netip.AddrPort, err error, deadlineLimited bool) error {
	var timeout net.Error
	return &DialError{To: to, Err: err, DeadlineLimited: deadlineLimited && errors.As(err, &timeout) && timeout.Timeout()}
}

// tlsConfigFor returns the TLS configuration for a peer. The peer's certificate must be
// valid for the dialled address, or for the configured server name if there is one.
func (c *Client) tlsConfigFor(to netip.AddrPort) *tls.Config {
	if c.tls.ServerName != "" {
		return c.tls
	}
	cfg := c.tls.Clone()
	cfg.ServerName = to.Addr().String()
	return cfg
}

// Warm opens a connection to a peer and puts it into the pool.
func (c *Client) Warm(to netip.AddrPort, deadline time.Time) error {
	pc, err := c.dial(context.Background(), to, deadline)
	if err != nil {
		return err
	}
	c.release(pc)
	return nil
}

// reap closes the connections that have exceeded the idle timeout at now, or whose peer has
// closed them or sent bytes unasked, if that is watched.
func (c *Client) reap(now time.Time) {
	for i := range c.shards {
		p := &c.shards[i]
		unusable := c.unusable(p)
		p.mu.Lock()
		var expired []*peerConn
		for to, idle := range p.idle {
			keep := idle[:0]
			for _, pc := range idle {
				if pc.expired(now) || unusable[pc] {
					expired = append(expired, pc)
				} else {
					keep = append(keep, pc)
				}
			}
			clear(idle[len(keep):])
			if p.idle[to] = keep; len(keep) == 0 {
				delete(p.idle, to)
			}
		}
		p.mu.Unlock()
		for _, pc := range expired {
			pc.discard()
		}
	}
}

// unusable returns the pooled connections of a shard that can't carry another call.
func (c *Client) unusable(p *poolShard) map[*peerConn]bool {
	if !c.watchIdle {
		return nil
	}
	var pooled []*peerConn
	p.mu.Lock()
	for _, idle := range p.idle {
		pooled = append(pooled, idle...)
	}
	p.mu.Unlock()
	out := map[*peerConn]bool{}
	for _, pc := range pooled {
		// One that is taken meanwhile may seem unusable because of its response. If it is back
		// in the pool before it is removed, that costs a new connection.
		if !http1.Reusable(pc.conn) {
			out[pc] = true
		}
	}
	return out
}
