package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, host, path, body string
	headers                      map[string]string
	timeout                      time.Duration
}

// answer is what a client has got.
type answer struct {
	sentAt, at time.Time
	status     int
	signature  string
	body       string
	err        error // the connection ended without a complete answer
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	sig := a.signature
	if sig == "" {
		sig = "none"
	}
	return fmt.Sprintf("%d, signature %s", a.status, sig)
}

// do sends a request on a new connection and waits for the answer until the client's timeout.
func (q request) do(address string) answer {
	a := answer{sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err, a.at = fmt.Errorf("no connection: %w", err), time.Now()
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.timeout + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.timeout.Milliseconds())
	for k, v := range q.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	} else if q.method != http.MethodGet {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n" + q.body)
	a.sentAt = time.Now()
	if _, err := io.WriteString(conn, b.String()); err != nil {
		a.err, a.at = err, time.Now()
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err, a.at = err, time.Now()
		return a
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.at, a.err, a.status, a.signature, a.body = time.Now(), err, resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(body)
	return a
}
