package message

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// Transport makes t check the responses on the connections that it opens, and returns it. t must
// speak HTTP/1.1 and send no HEAD requests.
func Transport(t *http.Transport) *http.Transport {
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
	return t
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

// KnownEnd returns a NoEndError for a response that ends with its connection. Those of HTTP/2 and
// compressed ones state their end otherwise.
func KnownEnd(resp *http.Response) error {
	if resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		return &NoEndError{}
	}
	return nil
}
