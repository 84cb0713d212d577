package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// invalidResponses are what the protocol has no response for. Each breaks one part.
var invalidResponses = []struct{ part, text string }{
	{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"},
	{"status 099", "HTTP/1.1 099 Trouble\r\nContent-Length: 0\r\n\r\n"},
	{"status 600", "HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nhi"},
	{"status +20", "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n"},
	{"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{"no blank after the status", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nhi"},
	{"control byte in the reason", "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nhi"},
	{"bare CR in the reason", "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nhi"},
	{"bare LF after the status line", "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nhi"},
	{"blank in a name", "HTTP/1.1 200 OK\r\nX Foo: v\r\nContent-Length: 2\r\n\r\nhi"},
	{"blank at a name's end", "HTTP/1.1 200 OK\r\nX-Foo : v\r\nContent-Length: 2\r\n\r\nhi"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX-\x01Foo: v\r\nContent-Length: 2\r\n\r\nhi"},
	{"empty name", "HTTP/1.1 200 OK\r\n: v\r\nContent-Length: 2\r\n\r\nhi"},
	{"line without a colon", "HTTP/1.1 200 OK\r\nX-Foo\r\nContent-Length: 2\r\n\r\nhi"},
	{"folded line", "HTTP/1.1 200 OK\r\nX-Foo: a\r\n b\r\nContent-Length: 2\r\n\r\nhi"},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Foo: a\x7fb\r\nContent-Length: 2\r\n\r\nhi"},
	{"bare LF after a field", "HTTP/1.1 200 OK\r\nX-Foo: a\nContent-Length: 2\r\n\r\nhi"},
	{"blank after Content-Length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi"},
	{"blank after Transfer-Encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	{"two equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi"},
	{"signed length", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nhi"},
	{"empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nhi"},
	{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	{"another transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi"},
	{"blank in a name of an interim head", "HTTP/1.1 103 Early Hints\r\nX Foo: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{"length stated twice in an interim head", "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{"interim status 000", "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{"blank after a chunk's size", chunkedHead + "2 \r\nhi\r\n0\r\n\r\n"},
	{"control byte in a chunk's extension", chunkedHead + "2;a=\x00\r\nhi\r\n0\r\n\r\n"},
	{"chunk without a size", chunkedHead + "\r\nhi\r\n0\r\n\r\n"},
	{"signed chunk size", chunkedHead + "+2\r\nhi\r\n0\r\n\r\n"},
	{"chunk longer than its size", chunkedHead + "1\r\nhi\r\n0\r\n\r\n"},
	{"blank in a name of a trailer", chunkedHead + "2\r\nhi\r\n0\r\nX Sum: 1\r\n\r\n"},
	{"control byte in a trailer's value", chunkedHead + "2\r\nhi\r\n0\r\nX-Sum: \x01\r\n\r\n"},
	{"folded trailer", chunkedHead + "2\r\nhi\r\n0\r\nX-Sum: 1\r\n 2\r\n\r\n"},
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// soundResponses are read as whole ones, with the body "hi" if they have one.
var soundResponses = []struct{ part, text string }{
	{"status 299", "HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nhi"},
	{"status 599", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nhi"},
	{"empty reason", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nhi"},
	{"reason with bytes above 127", "HTTP/1.1 200 d\xe9j\xe0\r\nContent-Length: 2\r\n\r\nhi"},
	{"all characters of a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: v\r\nContent-Length: 2\r\n\r\nhi"},
	{"value with tabs and bytes above 127", "HTTP/1.1 200 OK\r\nX-Foo:\ta\tb\xff\x80 \r\nContent-Length: 2\r\n\r\nhi"},
	{"empty value", "HTTP/1.1 200 OK\r\nX-Foo:\r\nContent-Length: 2\r\n\r\nhi"},
	{"blanks around the length", "HTTP/1.1 200 OK\r\ncontent-length: \t002\t \r\n\r\nhi"},
	{"chunks", "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:  Chunked \r\n\r\n1\r\nh\r\n001;a=\"b\" ;c\r\ni\r\n00\r\n\r\n"},
	{"trailers", chunkedHead + "2\r\nhi\r\n0\r\nX-Sum: 1\r\nX-End:\r\n\r\n"},
	{"interim heads", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
	{"no body", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
	{"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"},
}

// closedResponses end with their connection and are whole if it is closed.
var closedResponses = []struct{ part, text string }{
	{"no length", "HTTP/1.1 200 OK\r\n\r\nhi"},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhi"},
	{"no length, Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi"},
}

// sendByBytes returns a script that answers one request byte by byte, and then closes the connection
// or leaves that to the client.
func sendByBytes(text string, closes bool) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return
			}
		}
		if !closes {
			waitForClose(c, br)
		}
	}
}

// Guards against a response that isn't one of the protocol and is read as a whole one, as another
// one, or as one whose end the call waits for until its deadline.
func TestAnInvalidResponseIsAnErrorAtOnce(t *testing.T) {
	t.Parallel()
	for _, tc := range invalidResponses {
		for _, closes := range []bool{false, true} {
			t.Run(tc.part+map[bool]string{true: ", closed", false: ""}[closes], func(t *testing.T) {
				t.Parallel()
				f := newFakePeer(t, sendByBytes(tc.text, closes))
				f.client.closeDelimited = true
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

// Guards against a check that rejects what the protocol allows.
func TestASoundResponseIsWhole(t *testing.T) {
	t.Parallel()
	for _, tc := range append(soundResponses, closedResponses...) {
		t.Run(tc.part, func(t *testing.T) {
			t.Parallel()
			closes := !strings.Contains(strings.ToLower(tc.text), "\r\ncontent-length") && !strings.Contains(strings.ToLower(tc.text), "chunked")
			f := newFakePeer(t, sendByBytes(tc.text, closes))
			f.client.closeDelimited = true
			want := "hi"
			if strings.HasSuffix(tc.text, "\r\nContent-Length: 0\r\n\r\n") || strings.HasPrefix(tc.text, "HTTP/1.1 304") {
				want = ""
			}
			if body, err := f.call(context.Background(), "GET", None{}, longTimeout); err != nil || body != want {
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
