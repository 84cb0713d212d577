package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// upstream is a stand-in for an application upstream beside a node.
type upstream struct {
	id, service, zone, addr, control string
	slots                            int
	queue                            chan struct{} // running and waiting requests
	running                          chan struct{}
	work                             time.Duration
	sequence                         atomic.Int64
	records                          chan any
}

// run is one line of an upstream's record.
type run struct {
	At       int64  `json:"at_ms"`
	Event    string `json:"event"`
	Instance string `json:"instance"`
	ID       string `json:"id"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Tenant   string `json:"tenant"`
	Key      bool   `json:"key_passed_on"`
	Caller   string `json:"caller"`
	Bytes    int64  `json:"bytes"`
}

func upstreamCommand(args []string) error {
	u := &upstream{records: make(chan any, 1024)}
	fs := flag.NewFlagSet("upstream", flag.ContinueOnError)
	fs.StringVar(&u.id, "id", "", "id of this start")
	fs.StringVar(&u.service, "service", "", "service")
	fs.StringVar(&u.zone, "zone", "", "zone")
	fs.StringVar(&u.addr, "addr", "", "address to serve on")
	fs.StringVar(&u.control, "control", "", "address for heartbeats")
	fs.IntVar(&u.slots, "slots", 12, "requests at once")
	fs.DurationVar(&u.work, "work", 20*time.Millisecond, "time of a request")
	if err := fs.Parse(args); err != nil {
		return err
	}
	u.running, u.queue = make(chan struct{}, u.slots), make(chan struct{}, 5*u.slots)
	ln, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	go u.write()
	go u.beat()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", u.id)
	})
	mux.HandleFunc("/", u.serve)
	return (&http.Server{Handler: mux, IdleTimeout: 10 * time.Second}).Serve(ln)
}

func (u *upstream) write() {
	enc := json.NewEncoder(os.Stdout)
	for r := range u.records {
		_ = enc.Encode(r)
	}
}

// beat reports to the node beside the upstream.
func (u *upstream) beat() {
	for {
		u.heartbeat("ready")
		time.Sleep(1500 * time.Millisecond)
	}
}

func (u *upstream) heartbeat(state string) {
	body, _ := json.Marshal(map[string]any{
		"address": u.addr, "born": startedAt.UnixMilli(),
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": u.sequence.Add(1), "warmupLeftS": 0},
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+u.control+"/banyanlug/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

var startedAt = time.Now()

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	refuse := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", u.id)
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if named := r.Header.Get("X-Target-Instance"); named != "" && named != u.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.queue <- struct{}{}:
		defer func() { <-u.queue }()
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.After(left)
	select {
	case u.running <- struct{}{}:
		defer func() { <-u.running }()
	case <-deadline:
		refuse(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	line := run{
		At: time.Now().UnixMilli(), Event: "run", Instance: u.id, ID: id, Method: r.Method, Path: r.URL.RequestURI(),
		Tenant: r.Header.Get("X-Tenant"), Key: r.Header.Get("X-Api-Key") != "", Caller: r.Header.Get("X-Caller-Service"),
	}
	u.records <- line
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(u.work):
	case <-deadline:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	line.At, line.Event, line.Bytes = time.Now().UnixMilli(), "answered", n
	u.records <- line
	w.Header().Set("X-Response-Signature", "s-"+id)
	_, _ = fmt.Fprintf(w, "answer to %s\n", id)
}
