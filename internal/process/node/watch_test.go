package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/standin/responder"
)

// Guards against a check that reads the bytes of a faulty target for as long as they come, and
// against a connection that stays open after it.
func TestCheckOfATargetThatSendsWithoutEndEnds(t *testing.T) {
	t.Parallel()
	const unavailable = "HTTP/1.1 503 Service Unavailable\r\n"
	for name, tc := range map[string]struct {
		start, rest string
		want        membership.State
	}{
		"noise":       {"", "0123456789abcdef", membership.Ready},
		"status line": {"HTTP/1.1 503 ", "0123456789abcdef", membership.Ready},
		"head":        {unavailable, "X-Filler: 0123456789abcdef\r\n", membership.Ready},
		"interim":     {"", "HTTP/1.1 102 Processing\r\n\r\n", membership.Ready},
		"body":        {"HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef", membership.Ready},
		"draining":    {unavailable + "\r\n", "0123456789abcdef", membership.Draining},
		"chunks":      {unavailable + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", membership.Draining},
		"silence":     {"", "", membership.Ready},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			const buffered = 32 << 20 // more than the buffers of the system hold
			sent := make(chan int, 1)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					sent <- 0
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					t.Error(err)
				}
				n, err := io.WriteString(c, tc.start)
				for block := strings.Repeat(tc.rest, 64); err == nil && block != "" && n < 2*buffered; {
					var more int
					more, err = io.WriteString(c, block)
					n += more
				}
				_, _ = io.Copy(io.Discard, c) // until the check closes its connection
				sent <- n
			}()
			clk, stop := timer.Start()
			defer stop()
			n := &Node{clock: clk, log: event.Discard(), targetAddr: netip.MustParseAddrPort(ln.Addr().String())}
			client := newCheckClient()
			if got := n.checkTarget(t.Context(), client); got != tc.want {
				t.Errorf("the target counts as %v, want %v", got, tc.want)
			}
			client.CloseIdleConnections()
			if n := <-sent; n > buffered {
				t.Errorf("the target could send %d bytes", n)
			}
		})
	}
}

// Guards against a state of the target that is taken from a response which isn't one of the protocol.
func TestInvalidResponsesToReadinessChecksAreErrors(t *testing.T) {
	t.Parallel()
	responder.CheckRefused(t, newCheckClient())
}
