package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// readHead waits for a whole request head, checks its framing and parses it.
// It returns a Refusal where the peer can still be told what is wrong.
func readHead(br *bufio.Reader) (*http.Request, error) {
	head, err := peekHead(br)
	if err != nil {
		return nil, err
	}
	if err := checkFraming(head); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(br)
	if err != nil {
		// The parser's own words repeat parts of the head, which may be keys.
		return nil, malformed("the head of the request can't be parsed")
	}
	return r, checkRequest(r)
}

// peekHead returns the bytes of the next head without consuming them; the
// reader's buffer is the limit on its size.
func peekHead(br *bufio.Reader) ([]byte, error) {
	for seen := 0; ; {
		b, _ := br.Peek(br.Buffered())
		if end := bytes.Index(b[max(0, seen-3):], []byte("\r\n\r\n")); end >= 0 {
			return b[:max(0, seen-3)+end+4], nil
		}
		if seen = len(b); seen == br.Size() {
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

// checkFraming refuses a head whose body length two parsers could read in two
// ways. The parser that follows lets Transfer-Encoding win over
// Content-Length and takes a bare LF for a line's end, silently; a next hop
// that decides otherwise would read part of the body as a further call.
func checkFraming(head []byte) error {
	lengths, encodings := 0, 0
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	old := !bytes.HasSuffix(line, []byte("HTTP/1.1\r"))
	for {
		if !bytes.HasSuffix(line, []byte("\r")) {
			return malformed("a line of the head does not end with CR LF")
		}
		if len(rest) == 0 {
			break
		}
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return malformed("a header is folded over two lines")
		case hasName(line, "content-length"):
			lengths++
		case hasName(line, "transfer-encoding"):
			encodings++
		}
	}
	if lengths+encodings > 1 || encodings > 0 && old {
		return malformed("the length of the body is stated in conflicting ways")
	}
	return nil
}

func hasName(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(string(line[:len(name)]), name)
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
	case strings.ContainsFunc(r.Host, notInHost):
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

// notInHost keeps out what could end the header line, or what some programs
// read as the end of the host.
func notInHost(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune("/@?#\\,", c) }

func malformed(message string) *Refusal {
	return &Refusal{Status: http.StatusBadRequest, Type: "malformed", Message: message, Outcome: NotRun}
}
