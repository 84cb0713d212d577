package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/standin/responder"
)

// Guards against a response that isn't one of the protocol and is read as a whole one, as another
// one, or as one whose end the call waits for until its deadline.
func TestAnInvalidResponseIsAnErrorAtOnce(t *testing.T) {
	t.Parallel()
	for _, r := range responder.Invalid() {
		for _, closes := range []bool{false, true} {
			t.Run(r.Part()+map[bool]string{true: ", closed", false: ""}[closes], func(t *testing.T) {
				t.Parallel()
				f := newPeerThatSends(t, r.Text(), closes)
				began := f.clk.Now()
				body, err := f.call(context.Background(), "GET", None{}, longTimeout)
				var bad *BadResponseError
				if !errors.As(err, &bad) || bad.Reason == "" {
					t.Errorf("body %q, error %T %v", body, err, err)
				}
				if took := f.clk.Since(began); took > longTimeout/2 {
					t.Errorf("ended after %v", took)
				}
			})
		}
	}
}

// newPeerThatSends returns a peer that answers with the bytes of text, one by one.
func newPeerThatSends(t *testing.T, text string, closes bool) *fakePeer {
	t.Helper()
	addr := responder.Serve(t, text, closes) // ends after the client, which has to close its connections
	f := newFakePeer(t)
	f.addr = netip.MustParseAddrPort(addr)
	f.client.closeDelimited = true
	return f
}

// Guards against a check that rejects what the protocol allows.
func TestASoundResponseIsWhole(t *testing.T) {
	t.Parallel()
	for _, r := range responder.Sound() {
		t.Run(r.Part(), func(t *testing.T) {
			t.Parallel()
			f := newPeerThatSends(t, r.Text(), r.Closes())
			if body, err := f.call(context.Background(), "GET", None{}, longTimeout); err != nil || body != r.Body() {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// Guards against a connection that is used again though bytes that belong to no response followed
// the last one.
func TestAConnectionIsNotReusedAfterInvalidBytes(t *testing.T) {
	t.Parallel()
	f := newFakePeer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		_, _ = io.WriteString(c, okResponse("first")+"\x00")
		waitForClose(c, br)
	}, respondWith(okResponse("second")))
	for _, want := range []string{"first", "second"} {
		if body, err := f.call(context.Background(), "GET", None{}, time.Minute); err != nil || body != want {
			t.Errorf("body %q, error %v, want %q", body, err, want)
		}
	}
}
