package hop

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math"
	"net"
	"net/netip"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/traffic/http1"
)

const (
	// maxIdle is how many connections to one peer are kept warm; above the
	// slots of a target, so that a full target costs no new connections.
	maxIdle = 32
	// idleTimeout is a quarter of what the far node allows, so that a pooled
	// connection is closed by the side that would use it.
	idleTimeout = 30 * time.Second
	// reapPeriod is how often idle connections are looked at.
	reapPeriod = 5 * time.Second
	// dialTimeout covers one lost packet on the longest way; a peer that takes
	// longer is better tried later.
	dialTimeout = 1200 * time.Millisecond
	// dialShare is the part of a call's time left that one connection may take to
	// open: nothing has been sent, so what is left serves to ask another target.
	// Calls with 1 s to go that met a target cut off from their node spent all of
	// it there and ended as not run, 4 s long, until the target was left out.
	dialShare = 2
	// maxAnswerHead bounds an answer's status line and headers.
	maxAnswerHead = 64 << 10
	shardCount    = 16
)

// link is one connection to a peer.
type link struct {
	to      netip.AddrPort
	conn    net.Conn
	br      *bufio.Reader
	bw      *bufio.Writer
	counter *counter
	proved  bool
	since   time.Time
	onDrop  func()
}

// drop closes a connection that was kept.
func (l *link) drop() {
	_ = l.conn.Close()
	if l.onDrop != nil {
		l.onDrop()
	}
}

// counter counts what the kernel took of a call and bounds what is read of an
// answer's head.
type counter struct {
	conn  net.Conn
	wrote int64
	left  int64
}

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.wrote += int64(n)
	return n, err
}

// Read implements io.Reader.
func (c *counter) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, io.ErrShortBuffer
	}
	n, err := c.conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, err
}

func newLink(to netip.AddrPort, conn net.Conn) *link {
	c := &counter{conn: conn, left: math.MaxInt64}
	return &link{to: to, conn: conn, br: bufio.NewReader(c), bw: bufio.NewWriter(c), counter: c}
}

type peers struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*link
}

func (c *Client) shard(to netip.AddrPort) *peers {
	a := to.Addr().As16()
	return &c.shards[(uint(a[15])^uint(a[14])<<1^uint(to.Port()))%shardCount]
}

// take returns a warm connection, or opens one.
func (c *Client) take(ctx context.Context, to netip.AddrPort, until time.Time) (*link, error) {
	for {
		l := c.pop(to)
		if l == nil {
			return c.dial(ctx, to, until)
		}
		if c.clk.Since(l.since) < c.idle && http1.Quiet(l.conn) {
			return l, nil
		}
		l.drop()
	}
}

// pop returns the connection used last, which is the warmest.
func (c *Client) pop(to netip.AddrPort) *link {
	p := c.shard(to)
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	l := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	p.idle[to] = idle[:len(idle)-1]
	return l
}

// put keeps a connection whose last answer was read to its end, if there is
// room for it.
func (c *Client) put(l *link) bool {
	l.since = c.clk.Now()
	p := c.shard(l.to)
	p.mu.Lock()
	full := c.closed.Load() || len(p.idle[l.to]) >= maxIdle
	if !full {
		p.idle[l.to] = append(p.idle[l.to], l)
	}
	p.mu.Unlock()
	if full {
		_ = l.conn.Close()
	}
	return !full
}

// dialEnd returns when a connection is given up, and whether it is so for want of
// the call's time, which tells nothing of the peer.
func (c *Client) dialEnd(now, until time.Time) (end time.Time, short bool) {
	bound, share := now.Add(c.dialWithin), now.Add(until.Sub(now)/dialShare)
	if share.Before(bound) {
		return share, true
	}
	return bound, false
}

func (c *Client) dial(ctx context.Context, to netip.AddrPort, until time.Time) (*link, error) {
	until, short := c.dialEnd(c.clk.Now(), until)
	d := net.Dialer{Deadline: until}
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, dialError(to, err, short)
	}
	conn = http1.Quick(conn)
	if c.tls == nil {
		return newLink(to, conn), nil
	}
	t := tls.Client(conn, c.secured(to))
	_ = conn.SetDeadline(until)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, dialError(to, err, short)
	}
	return newLink(to, t), nil
}

func dialError(to netip.AddrPort, err error, short bool) error {
	var timeout net.Error
	return &DialError{To: to, Err: err, Short: short && errors.As(err, &timeout) && timeout.Timeout()}
}

// secured returns the TLS configuration for a node, which proves the address
// that it was dialled by unless one name is configured for all.
func (c *Client) secured(to netip.AddrPort) *tls.Config {
	if c.tls.ServerName != "" {
		return c.tls
	}
	cfg := c.tls.Clone()
	cfg.ServerName = to.Addr().String()
	return cfg
}

// Warm opens a connection for the next call to a peer.
func (c *Client) Warm(to netip.AddrPort, until time.Time) error {
	l, err := c.dial(context.Background(), to, until)
	if err != nil {
		return err
	}
	c.put(l)
	return nil
}

// reap closes connections that were idle too long or that their peer closed.
func (c *Client) reap(now time.Time) {
	for i := range c.shards {
		p := &c.shards[i]
		p.mu.Lock()
		var old []*link
		for to, idle := range p.idle {
			keep := idle[:0]
			for _, l := range idle {
				if now.Sub(l.since) < c.idle {
					keep = append(keep, l)
				} else {
					old = append(old, l)
				}
			}
			clear(idle[len(keep):])
			if p.idle[to] = keep; len(keep) == 0 {
				delete(p.idle, to)
			}
		}
		p.mu.Unlock()
		for _, l := range old {
			l.drop()
		}
	}
}
