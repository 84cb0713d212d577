package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
)

// framedResponses are responses whose bodies are framed in different ways. Those with a stated
// end are whole only with their last byte.
var framedResponses = []struct {
	name string
	head string
	body string
	// closed is set if the body ends with the connection.
	closed bool
}{
	{"with a length", "HTTP/1.1 200 OK\r\nX-Sig: s\r\nContent-Length: 12\r\nX-Last: z\r\n\r\n", "whole answer", false},
	{"with a length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Sig: s\r\n\r\n", "whole answer", false},
	{"with a length of zero", "HTTP/1.1 200 OK\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n", "", false},
	{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Sig: s\r\n\r\n", "c\r\nwhole answer\r\n0\r\n\r\n", false},
	{"in chunks, with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", "c\r\nwhole answer\r\n0\r\nX-Sum: 1\r\n\r\n", false},
	{"without a body", "HTTP/1.1 204 No Content\r\nX-Sig: s\r\n\r\n", "", false},
	{"after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "whole answer", false},
	{"with a folded header", "HTTP/1.1 200 OK\r\nX-Sig: s\r\n s\r\nContent-Length: 12\r\n\r\n", "whole answer", false},
	{"with bare line feeds", "HTTP/1.1 200 OK\nX-Sig: s\nContent-Length: 12\n\n", "whole answer", false},
	{"a refusal", "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n", "", false},
	{"that ends with the connection", "HTTP/1.1 200 OK\r\nX-Sig: s\r\nConnection: close\r\n\r\n", "whole answer", true},
	{"of HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Sig: s\r\n\r\n", "whole answer", true},
}

// Guards against a response that the peer cuts off at any byte, by closing or resetting the
// connection, and that is read as a whole one.
func TestAResponseThatIsCutOffIsNeverWhole(t *testing.T) {
	t.Parallel()
	for _, tc := range framedResponses {
		for _, reset := range []bool{false, true} {
			t.Run(tc.name+map[bool]string{true: ", reset", false: ", closed"}[reset], func(t *testing.T) {
				t.Parallel()
				text := tc.head + tc.body
				scripts := make([]func(net.Conn, *bufio.Reader), len(text))
				for cut := range scripts {
					scripts[cut] = func(c net.Conn, br *bufio.Reader) {
						readRequest(br)
						_, _ = io.WriteString(c, text[:cut])
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
					}
				}
				f := newFakePeer(t, scripts...)
				f.client.closeDelimited = true
				for cut := range text {
					body, err := f.call(context.Background(), "GET", None{}, longTimeout)
					if allowed := tc.closed && !reset && cut >= len(tc.head); (err == nil) != allowed {
						t.Errorf("cut off after %q: body %q, error %v", text[:cut], body, err)
					} else if allowed && !strings.HasPrefix(tc.body, body) {
						t.Errorf("cut off after %q: body %q", text[:cut], body)
					}
				}
			})
		}
	}
}
