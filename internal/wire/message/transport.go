package message

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport makes t check the responses on the connections that it opens. t must speak HTTP/1.1 and
// send no HEAD requests. The error of a response that is not one of the protocol is an InvalidError.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return handshake(ctx, c, t, addr)
	}
	return transport{t}
}

// transport returns the reason for which a response was refused. The errors of http.Transport hide
// it in some cases.
type transport struct{ next *http.Transport }

// CloseIdleConnections closes those of the next transport, for http.Client.
func (t transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*Conn) }}
	resp, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, reasonOf(err, conn)
	}
	if resp.Body != http.NoBody {
		resp.Body = body{resp.Body, conn}
	}
	return resp, nil
}

// reasonOf returns the InvalidError of a connection that has one, or else err.
func reasonOf(err error, c *Conn) error {
	if c != nil && c.Invalid() != nil {
		return c.Invalid()
	}
	return err
}

// body is the body of a response on a connection.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = reasonOf(err, b.conn)
	}
	return n, err
}

// handshake begins TLS on a connection of a transport to addr.
func handshake(ctx context.Context, c net.Conn, t *http.Transport, addr string) (net.Conn, error) {
	cfg := t.TLSClientConfig.Clone()
	if cfg == nil {
		cfg = &tls.Config{}
	}
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			host = addr
		}
		cfg.ServerName = host
	}
	if t.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.TLSHandshakeTimeout)
		defer cancel()
	}
	secure := tls.Client(c, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return NewConn(secure), nil
}

// NoEndError reports a response that ends with its connection, so that a part of it can't be told
// from the whole.
type NoEndError struct{}

func (*NoEndError) Error() string { return "the response has neither a length nor chunks" }

// CheckEnd returns a NoEndError for a response that ends with its connection. Those of HTTP/2 and
// compressed ones state their end otherwise.
func CheckEnd(resp *http.Response) error {
	if resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		return &NoEndError{}
	}
	return nil
}
