package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an upstream has begun to work on.
type run struct {
	id, path, upstream string
	begun, ended       time.Time // ended is zero while the upstream is at work
	outcome            string    // "done", "left" if the connection closed, "deadline"
}

// runs collects the runs of all upstreams.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (rs *runs) begin(r *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.begun = time.Now()
	rs.all = append(rs.all, r)
}

func (rs *runs) end(r *run, outcome string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.ended, r.outcome = time.Now(), outcome
}

// of returns copies of the runs of a request.
func (rs *runs) of(id string) []run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []run
	for _, r := range rs.all {
		if r.id == id {
			out = append(out, *r)
		}
	}
	return out
}

// upstream is a stand-in for an application upstream.
type upstream struct {
	rec      *record
	runs     *runs
	id       string
	service  string
	zone     string
	address  string // of the application
	control  string // of the node beside it
	outbound string
	slots    int
	version  string // of its software; "v1" if empty
	born     time.Time
	// work returns how long a request takes; fails, if not nil, whether its answer is a failure.
	work  func(r *http.Request) time.Duration
	fails func() bool

	mu       sync.Mutex
	sequence int
	state    string
	beating  bool
	ctx      context.Context
	stop     context.CancelFunc
	server   *http.Server
	busy     chan struct{}
}

func (u *upstream) start() error {
	u.ctx, u.stop = context.WithCancel(context.Background())
	u.busy = make(chan struct{}, u.slots)
	u.born, u.state, u.beating = time.Now(), "ready", true
	ln, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 15 * time.Second}
	go func() { _ = u.server.Serve(ln) }()
	go u.beat()
	return nil
}

// crash ends the upstream at once.
func (u *upstream) crash() {
	u.stop()
	_ = u.server.Close()
}

// message returns the next heartbeat.
func (u *upstream) message(state string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	b, _ := json.Marshal(map[string]any{
		"address": u.address, "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.service, "version": cmp.Or(u.version, "v1"), "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": u.sequence, "warmupLeftS": 0},
	})
	return b
}

// send makes one call to the control address and reports whether it was acknowledged.
func (u *upstream) send(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(u.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.control+"/banyanlug/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// setBeating switches the heartbeats.
func (u *upstream) setBeating(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beating = on
}

const heartbeat = 870 * time.Millisecond

func (u *upstream) beat() {
	for u.ctx.Err() == nil {
		u.mu.Lock()
		on, state := u.beating, u.state
		u.mu.Unlock()
		if on {
			u.send(http.MethodPut, u.message(state))
		}
		time.Sleep(heartbeat)
	}
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", u.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if to := r.Header.Get("X-Target-Instance"); to != "" && to != u.id {
		h.Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.busy <- struct{}{}:
	default:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.busy }()
	this := &run{id: id, path: r.URL.Path, upstream: u.id}
	u.runs.begin(this)
	u.rec.add("upstream %s (%s) begins to run %s %s", u.id, u.service, id, r.URL.Path)
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	status, outcome := u.execute(r, deadline)
	u.runs.end(this, outcome)
	u.rec.add("upstream %s ends its run of %s: %s", u.id, id, outcome)
	if outcome == "left" {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	body := fmt.Sprintf("%s by %s\n", id, u.id)
	h.Set("X-Response-Signature", "s."+u.id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

func (u *upstream) execute(r *http.Request, deadline time.Time) (status int, outcome string) {
	select {
	case <-time.After(u.work(r)):
		if u.fails != nil && u.fails() {
			return http.StatusInternalServerError, "failed"
		}
		return http.StatusOK, "done"
	case <-time.After(time.Until(deadline)):
		return http.StatusGatewayTimeout, "deadline"
	case <-r.Context().Done():
		return 0, "left"
	case <-u.ctx.Done():
		return 0, "left"
	}
}

// under reports whether a request is for a path below a prefix.
func under(r *http.Request, prefix string) bool { return strings.HasPrefix(r.URL.Path, prefix) }
