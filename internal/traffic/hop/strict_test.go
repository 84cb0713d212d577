package hop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/big"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/standin/responder"
	"banyanlug.example/banyanlug/internal/wire/message"
)

// parsed is a response that was read whole.
type parsed struct {
	status int
	fields map[string][]string // by name in lower case
	body   string
}

var (
	strictStatus = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9]) [\t \x21-\x7e\x80-\xff]*$`)
	strictField  = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\\x20-\\x7e\\x80-\\xff]*?)[ \t]*$")
	strictChunk  = regexp.MustCompile(`^([0-9A-Fa-f]+)(;[\t\x20-\x7e\x80-\xff]*)?$`)
)

// strictRead reads the first final response to a GET request from all bytes of a connection, which was
// reset after them or closed. It reports whether that is whole.
func strictRead(b string, wasReset bool) (p parsed, whole bool) {
	for {
		var http10 bool
		p, http10, b, whole = strictHead(b)
		if !whole || p.status == http.StatusSwitchingProtocols {
			return p, false
		}
		lengths, codings := p.fields["content-length"], p.fields["transfer-encoding"]
		if len(lengths)+len(codings) > 1 || len(codings) > 0 && (http10 || !strings.EqualFold(codings[0], "chunked")) {
			return p, false
		}
		switch {
		case p.status < http.StatusOK:
			continue
		case p.status == http.StatusNoContent, p.status == http.StatusNotModified:
			return p, true
		case len(codings) > 0:
			p.body, whole = strictChunks(b)
			return p, whole
		case len(lengths) > 0:
			n, err := strconv.Atoi(lengths[0])
			if err != nil || n > len(b) {
				return p, false
			}
			p.body = b[:n]
			return p, true
		default:
			p.body = b
			return p, !wasReset
		}
	}
}

// strictHead reads a head and returns the bytes after it.
func strictHead(b string) (p parsed, http10 bool, rest string, ok bool) {
	head, rest, ok := strings.Cut(b, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	m := strictStatus.FindStringSubmatch(latin1(lines[0]))
	if !ok || m == nil {
		return p, false, "", false
	}
	p.status, _ = strconv.Atoi(m[2])
	p.fields, ok = strictFields(lines[1:])
	for _, value := range p.fields["content-length"] {
		if n, isNumber := new(big.Int).SetString(value, 10); !isNumber || n.Sign() < 0 || !n.IsInt64() || strings.Trim(value, "0123456789") != "" {
			ok = false
		}
	}
	return p, m[1] == "0", rest, ok
}

// strictFields reads the lines of a head or of trailers.
func strictFields(lines []string) (map[string][]string, bool) {
	h := map[string][]string{}
	for _, line := range lines {
		m := strictField.FindStringSubmatch(latin1(line))
		if m == nil {
			return nil, false
		}
		name := strings.ToLower(m[1])
		h[name] = append(h[name], m[2])
	}
	return h, true
}

func strictChunks(b string) (body string, whole bool) {
	for {
		line, rest, ok := strings.Cut(b, "\r\n")
		m := strictChunk.FindStringSubmatch(latin1(line))
		if !ok || m == nil {
			return "", false
		}
		n, err := strconv.ParseInt(m[1], 16, 64)
		switch {
		case err != nil:
			return "", false
		case n == 0:
			trailers, _, ended := strings.Cut("\r\n"+rest, "\r\n\r\n")
			if trailers != "" {
				_, ok = strictFields(strings.Split(trailers[2:], "\r\n"))
			}
			return body, ended && ok
		case int64(len(rest)) < n+2 || rest[n:n+2] != "\r\n":
			return "", false
		}
		body, b = body+rest[:n], rest[n+2:]
	}
}

// latin1 returns the bytes of s as characters, which is what the expressions match.
func latin1(s string) string {
	r := make([]rune, len(s))
	for i := range len(s) {
		r[i] = rune(s[i])
	}
	return string(r)
}

// scriptedConn is a connection that carries given blocks to its reader and then ends.
type scriptedConn struct {
	net.Conn
	blocks [][]byte
	end    error
	sent   chan struct{} // closed with the first write
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	<-c.sent
	if len(c.blocks) == 0 {
		return 0, c.end
	}
	n := copy(p, c.blocks[0])
	if c.blocks[0] = c.blocks[0][n:]; len(c.blocks[0]) == 0 {
		c.blocks = c.blocks[1:]
	}
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	select {
	case <-c.sent:
	default:
		close(c.sent)
	}
	return len(p), nil
}

func (*scriptedConn) Close() error                     { return nil }
func (*scriptedConn) SetDeadline(time.Time) error      { return nil }
func (*scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// newScriptedConn returns a connection on which b arrives in blocks of at most size bytes.
func newScriptedConn(b []byte, size int, wasReset bool) *scriptedConn {
	c := &scriptedConn{end: io.EOF, sent: make(chan struct{})}
	if wasReset {
		c.end = syscall.ECONNRESET
	}
	for len(b) > 0 {
		n := min(size, len(b))
		c.blocks, b = append(c.blocks, bytes.Clone(b[:n])), b[n:]
	}
	return c
}

// readByClient returns the response that a Client reads from a connection.
func readByClient(c net.Conn) (p parsed, err error) {
	client := NewClient(timer.NewManual(time.Unix(0, 0)), AllowCloseDelimited())
	pc := client.newPeerConn(netip.AddrPort{}, c)
	pc.takeBuffers()
	resp := &Response{client: client, pc: pc, ctx: context.Background(), stop: func() bool { return true }}
	if err := resp.exchange(NewRequest(http.MethodGet, "/", "a", http.Header{}, None{})); err != nil {
		return p, err
	}
	p.status, p.fields = resp.Status(), lowerNames(resp.Header())
	body, err := io.ReadAll(resp)
	p.body = string(body)
	return p, err
}

// readByTransport returns the response that a checked http.Transport reads from a connection.
func readByTransport(c net.Conn) (p parsed, err error) {
	tr := message.Transport(&http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return c, nil },
	})
	req, err := http.NewRequest(http.MethodGet, "http://a/", nil)
	if err != nil {
		return p, err
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return p, err
	}
	defer resp.Body.Close()
	p.status, p.fields = resp.StatusCode, lowerNames(resp.Header)
	body, err := io.ReadAll(resp.Body)
	p.body = string(body)
	return p, err
}

// checkAgainstStrict reports a response that a reader of the product takes for a whole one, and that
// strictRead doesn't or reads otherwise.
func checkAgainstStrict(t *testing.T, b []byte, size int, wasReset bool) {
	t.Helper()
	want, whole := strictRead(string(b), wasReset)
	for name, read := range map[string]func(net.Conn) (parsed, error){"Client": readByClient, "http.Transport": readByTransport} {
		got, err := read(newScriptedConn(b, size, wasReset))
		if err != nil {
			continue
		}
		if got.status == http.StatusSwitchingProtocols && name == "http.Transport" {
			continue // no caller takes that for an answer
		}
		if !whole || got.status != want.status || got.body != want.body {
			t.Errorf("%s, %q in blocks of %d, reset %v: %d with the body %q; read strictly: %d with the body %q, whole %v",
				name, b, size, wasReset, got.status, got.body, want.status, want.body, whole)
			continue
		}
		for field, values := range got.fields {
			if strict := fromLatin1(strings.Join(want.fields[field], "\n")); strings.Join(values, "\n") != strict {
				t.Errorf("%s, %q: the field %s is %q; read strictly: %q", name, b, field, values, strict)
			}
		}
	}
}

func lowerNames(h http.Header) map[string][]string {
	fields := map[string][]string{}
	for name, values := range h {
		fields[strings.ToLower(name)] = values
	}
	return fields
}

// fromLatin1 is the inverse of latin1.
func fromLatin1(s string) string {
	var b []byte
	for _, r := range s {
		b = append(b, byte(r))
	}
	return string(b)
}

// mutate changes a few bytes of a response, or moves a part of another one into it.
func mutate(rng *rand.Rand, text string, others []string) string {
	b := []byte(text)
	for range 1 + rng.IntN(3) {
		at := rng.IntN(len(b) + 1)
		switch rng.IntN(4) {
		case 0:
			b = append(b[:at:at], append([]byte{byte(rng.IntN(256))}, b[at:]...)...)
		case 1:
			const odd = " \t\r\n\x00\x7f\xff:;0+-aF"
			b = append(b[:at:at], append([]byte{odd[rng.IntN(len(odd))]}, b[at:]...)...)
		case 2:
			b = append(b[:at:at], b[min(len(b), at+1+rng.IntN(3)):]...)
		default:
			other := others[rng.IntN(len(others))]
			from := rng.IntN(len(other))
			b = append(b[:at:at], append([]byte(other[from:from+rng.IntN(len(other)-from)]), b[at:]...)...)
		}
	}
	return string(b)
}

// responseTexts are responses of all kinds, sound and not.
func responseTexts() (texts []string) {
	for _, r := range append(responder.Invalid(), responder.Sound()...) {
		texts = append(texts, r.Text())
	}
	for _, r := range framedResponses {
		texts = append(texts, r.head+r.body)
	}
	return texts
}

// Guards against bytes of any kind, cut at any place, that count as a whole response though they
// contain none.
func FuzzResponse(f *testing.F) {
	texts := responseTexts()
	rng := rand.New(rand.NewPCG(73, 1))
	const mutations = 3000
	for range mutations {
		texts = append(texts, mutate(rng, texts[rng.IntN(len(texts))], texts))
	}
	for i, text := range texts {
		f.Add([]byte(text), uint16(len(text)), uint8(1+i%7*9), i%2 == 0)
		f.Add([]byte(text), uint16(rng.IntN(len(text)+1)), uint8(1+i%3), i%3 == 0)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut uint16, size uint8, wasReset bool) {
		checkAgainstStrict(t, b[:min(len(b), int(cut))], max(1, int(size)), wasReset)
	})
}

// Guards against a strict reader that finds no fault because it takes nothing for whole.
func TestTheStrictReaderAgreesOnWholeResponses(t *testing.T) {
	t.Parallel()
	for _, tc := range responder.Sound() {
		for cut := range len(tc.Text()) + 1 {
			for _, wasReset := range []bool{false, true} {
				checkAgainstStrict(t, []byte(tc.Text()[:cut]), 1+cut%5, wasReset)
			}
		}
		for name, read := range map[string]func(net.Conn) (parsed, error){"Client": readByClient, "http.Transport": readByTransport} {
			got, err := read(newScriptedConn([]byte(tc.Text()), 3, false))
			want, whole := strictRead(tc.Text(), false)
			if err != nil || !whole || got.status != want.status || got.body != want.body {
				t.Errorf("%s, %s: %+v, %v; read strictly: %+v, whole %v", name, tc.Part(), got, err, want, whole)
			}
		}
	}
	for _, tc := range responder.Invalid() {
		if p, whole := strictRead(tc.Text(), true); whole {
			t.Errorf("%s: read strictly: %+v", tc.Part(), p)
		}
	}
}

// Guards against a reader whose errors don't say what was wrong with a response.
func TestAnInvalidResponseNamesItsFault(t *testing.T) {
	t.Parallel()
	for _, tc := range responder.Invalid() {
		for _, size := range []int{1, len(tc.Text())} {
			_, err := readByTransport(newScriptedConn([]byte(tc.Text()), size, false))
			var invalid *message.InvalidError
			if !errors.As(err, &invalid) || invalid.Reason == "" {
				t.Errorf("%s, in blocks of %d: %v", tc.Part(), size, err)
			}
		}
	}
}
