package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Pings find a peer that is frozen or cut off while a long poll is pending,
// within two seconds instead of the length of the poll, for about 35 bytes a
// second.
const (
	pingAfter   = time.Second
	pingTimeout = time.Second
)

// Bytes counts the control traffic of a node as it crosses its sockets.
type Bytes struct{ in, out atomic.Uint64 }

// In returns the bytes received.
func (b *Bytes) In() uint64 { return b.in.Load() }

// Out returns the bytes sent.
func (b *Bytes) Out() uint64 { return b.out.Load() }

type countedConn struct {
	net.Conn
	bytes *Bytes
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.in.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.out.Add(uint64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	bytes *Bytes
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

// newServer returns an HTTP/2 server for control calls; with a TLS
// configuration it serves over TLS.
func newServer(h http.Handler, conf *tls.Config) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(conf == nil)
	return &http.Server{
		Handler: h, TLSConfig: conf, Protocols: p,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 64},
		ReadHeaderTimeout: 5 * time.Second,
		MaxHeaderBytes:    8 << 10,
	}
}

// newClient returns an HTTP client whose connections to a peer carry all of
// the node's control calls to it.
func newClient(bytes *Bytes, conf *tls.Config, key []byte) *http.Client {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(conf == nil)
	d := &net.Dialer{Timeout: 2 * time.Second}
	t := &http.Transport{
		Protocols:       p,
		TLSClientConfig: conf,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countedConn{c, bytes}, nil
		},
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout:    30 * time.Second,
		DisableCompression: true,
	}
	return &http.Client{Transport: proven{t, proof(key)}}
}

// proven shows the fleet key's proof with each request.
type proven struct {
	next  *http.Transport
	proof string
}

// RoundTrip implements http.RoundTripper.
func (p proven) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(authHeader, p.proof)
	// The library's own name and version in each request help nobody.
	r.Header.Set("User-Agent", "")
	return p.next.RoundTrip(r)
}
