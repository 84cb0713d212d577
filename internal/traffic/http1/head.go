package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"banyanlug.example/banyanlug/internal/wire/message"
)

// readHead waits for a complete request head, checks its framing and parses it.
// It returns a Refusal for an invalid head, and the reader's error if no complete
// head arrived. limit is the longest head in bytes.
func readHead(br *bufio.Reader, limit int) (*http.Request, error) {
	head, err := peekHead(br, limit)
	if err != nil {
		return nil, err
	}
	if err := checkFraming(head); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(br)
	if err != nil {
		// The parser's error quotes parts of the head, which may be credentials.
		return nil, malformed("the head of the request can't be parsed")
	}
	return r, checkRequest(r)
}

// shortBufferError reports a head that may fit into a larger buffer.
type shortBufferError struct{}

func (*shortBufferError) Error() string { return "the head is longer than the buffer" }

// peekHead returns the bytes of the next head without consuming them. The size
// of the reader's buffer, and limit, limit that of the head.
func peekHead(br *bufio.Reader, limit int) ([]byte, error) {
	for seen := 0; ; {
		b, _ := br.Peek(br.Buffered())
		if end := bytes.Index(b[max(0, seen-3):], []byte("\r\n\r\n")); end >= 0 {
			return b[:max(0, seen-3)+end+4], nil
		}
		switch seen = len(b); {
		case seen == br.Size() && seen < limit:
			return nil, &shortBufferError{}
		case seen == br.Size():
			return nil, &Refusal{
				Status: http.StatusRequestHeaderFieldsTooLarge, Type: "head-too-large",
				Message: "the request line and headers are larger than this node accepts", Outcome: NotRun,
			}
		}
		if _, err := br.Peek(seen + 1); err != nil {
			if errors.Is(err, io.EOF) && seen > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// checkFraming refuses a head that two parsers could read differently (request
// smuggling): one that states the body's length twice, or has a line that only
// some parsers take for a header. net/http's parser prefers Transfer-Encoding to
// Content-Length and accepts a bare LF as a line's end. A next hop that decides
// otherwise would read part of the body as another call.
func checkFraming(head []byte) error {
	lengths, encodings := 0, 0
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	notHTTP11 := !bytes.HasSuffix(line, []byte("HTTP/1.1\r"))
	for {
		if !bytes.HasSuffix(line, []byte("\r")) {
			return malformed("a line of the head does not end with CR LF")
		}
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(rest) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isToken(name) || !isFieldValue(value) {
			return malformed("a line of the head is no header")
		}
		switch {
		case nameEquals(name, "content-length"):
			lengths++
		case nameEquals(name, "transfer-encoding"):
			encodings++
		}
	}
	if lengths+encodings > 1 || encodings > 0 && notHTTP11 {
		return malformed("the length of the body is stated in conflicting ways")
	}
	return nil
}

func nameEquals(b []byte, name string) bool {
	return len(b) == len(name) && strings.EqualFold(string(b), name)
}

// isToken reports whether b is a valid header name. A space, as in a folded line
// or before the colon, makes it invalid.
func isToken(b []byte) bool {
	for _, c := range b {
		if !message.IsTokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b has no control characters except tabs and a CR at
// its end.
func isFieldValue(b []byte) bool {
	for i, c := range b {
		if !message.IsFieldByte(c) && (c != '\r' || i != len(b)-1) {
			return false
		}
	}
	return true
}

func checkRequest(r *http.Request) error {
	switch {
	case r.ProtoMajor != 1:
		return &Refusal{
			Status: http.StatusHTTPVersionNotSupported, Type: "protocol-version",
			Message: "this node speaks HTTP/1.1", Outcome: NotRun,
		}
	case r.Method == http.MethodConnect:
		return &Refusal{
			Status: http.StatusNotImplemented, Type: "tunnel", Message: "this node opens no tunnels", Outcome: NotRun,
		}
	case r.Host == "" && r.ProtoAtLeast(1, 1):
		return malformed("the Host header is missing")
	case strings.ContainsFunc(r.Host, invalidInHost):
		return malformed("the Host header names no host")
	}
	if e := r.Header.Get("Expect"); e != "" && !strings.EqualFold(e, "100-continue") {
		return &Refusal{
			Status: http.StatusExpectationFailed, Type: "expectation",
			Message: "only 100-continue can be expected", Outcome: NotRun,
		}
	}
	return nil
}

// invalidInHost reports characters that could end the header line, or that some
// programs treat as the end of the host.
func invalidInHost(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune("/@?#\\,", c) }

func malformed(message string) *Refusal {
	return &Refusal{Status: http.StatusBadRequest, Type: "malformed", Message: message, Outcome: NotRun}
}
