package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	kind    string // name of a stream of requests
	method  string
	host    string
	path    string
	key     string // API key, or ""
	body    io.Reader
	timeout time.Duration
}

// sent is one client attempt and its answer.
type sent struct {
	kind, id, machine string
	at                time.Time
	status            int // 0 for none
	served            bool
	err               error
}

var nextID atomic.Uint64

// client sends requests to one node over kept connections.
type client struct {
	f    *fleet
	m    *machine
	http *http.Client

	mu   sync.Mutex
	sent []sent
	wg   sync.WaitGroup
}

func (f *fleet) newClient(m *machine) *client {
	dial := (&net.Dialer{Timeout: time.Second}).DialContext
	return &client{f: f, m: m, http: &http.Client{
		Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true},
	}}
}

// do sends a request, reads its whole answer and records both.
func (c *client) do(r request) sent {
	s := sent{kind: r.kind, id: fmt.Sprintf("%s-%s-%06d", r.kind, c.m.name, nextID.Add(1)), machine: c.m.name, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	var body string
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.f.addr(c.m, outboundPort)+r.path, r.body)
	if err == nil {
		req.Host = r.host
		req.Header.Set("X-Request-Id", s.id)
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
		if r.key != "" {
			req.Header.Set("X-Api-Key", r.key)
		}
		var resp *http.Response
		if resp, err = c.http.Do(req); err == nil {
			var b []byte
			b, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			s.status, body = resp.StatusCode, string(b)
			s.served = err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Response-Signature") != ""
		}
	}
	s.err = err
	text := ""
	if err != nil {
		text = err.Error()
	}
	if s.served {
		body = ""
	}
	c.f.rec.event("request", "kind", s.kind, "id", s.id, "machine", s.machine, "sent_ms", s.at.UnixMilli(), "method", r.method,
		"path", r.path, "status", s.status, "served", s.served, "error", text, "answer", strings.TrimSpace(body))
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	return s
}

// loop sends a request each period until done is closed, at most parallel at once.
func (c *client) loop(done <-chan struct{}, period time.Duration, parallel int, next func() request) {
	slots := make(chan struct{}, parallel)
	c.wg.Go(func() {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			select {
			case slots <- struct{}{}:
			default:
				continue // all are under way
			}
			c.wg.Go(func() {
				defer func() { <-slots }()
				c.do(next())
			})
		}
	})
}

func (c *client) results() []sent {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.sent...)
}
