package responder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Serve answers the first request of each connection with the bytes of text, one by one, and then
// waits until the client closes the connection, or closes it itself. It returns its address.
func Serve(tb testing.TB, text string, closes bool) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { respond(c, text, closes) })
		}
	})
	tb.Cleanup(func() { _ = ln.Close(); conns.Wait() })
	return ln.Addr().String()
}

func respond(c net.Conn, text string, closes bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	for i := range len(text) {
		if _, err := io.WriteString(c, text[i:i+1]); err != nil {
			return
		}
	}
	if !closes {
		_, _ = io.Copy(io.Discard, br)
	}
}
