package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const uploadBytes = 48 << 10

// chunked hides the length of a body, so that it is sent in chunks.
type chunked struct{ io.Reader }

// uploadsCase crashes two of seven upstreams, one after the other, which run harmless requests with long bodies.
func uploadsCase(c *caseRun) (bool, error) {
	f := c.f
	f.contract = `"base","drain","config","cost","retry","recover","platform"`
	f.bounds = mallBounds
	var ledgers []*machine
	for i := range 9 {
		service := "ticklist"
		if i < 2 {
			service = "wallmap"
		}
		m := f.add(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%d", i%3+1), service)
		if service == "ticklist" {
			ledgers = append(ledgers, m)
		}
	}
	f.work["wallmap"], f.work["ticklist"] = 20*time.Millisecond, 200*time.Millisecond
	config := func(later bool) *configuration {
		v := &configuration{}
		v.route("r-view", "gym.example", "/wall/", "idempotent", "wallmap", 0.8, 1)
		if later {
			v.route("r-log", "gym.example", "/log/", "non_idempotent", "ticklist", 1.5, 2)
		}
		v.service("wallmap")
		v.service("ticklist")
		v.limits()
		return v
	}
	f.store.put("op/config", config(false).encode(5, 0))
	if err := f.startAll(); err != nil {
		return false, err
	}
	f.store.put("op/config", config(true).encode(7, 5))
	c.rec.event("configuration acknowledged", "version", 7, "what", "the route /log/ is added")
	time.Sleep(5 * time.Second) // in force, and all machines are in touch

	done := make(chan struct{})
	var clients []*client
	for _, m := range f.machines {
		cl := f.newClient(m)
		clients = append(clients, cl)
		cl.loop(done, 100*time.Millisecond, 4, func() request {
			return request{kind: "first", method: http.MethodGet, host: "gym.example", path: "/wall/2f", timeout: 800 * time.Millisecond}
		})
		cl.loop(done, 100*time.Millisecond, 8, func() request {
			// Each body is another one.
			body := make([]byte, uploadBytes)
			for i := range body {
				body[i] = byte('a' + rand.IntN(26))
			}
			return request{kind: "later", method: http.MethodPost, host: "gym.example", path: "/log/batch", body: chunked{bytes.NewReader(body)}, timeout: 1500 * time.Millisecond}
		})
	}
	time.Sleep(6 * time.Second)
	crashed := time.Now()
	for i := range 2 {
		if !c.trouble {
			time.Sleep(6 * time.Second)
			continue
		}
		m := ledgers[1+2*i]
		c.rec.event("upstream crashes", "machine", m.name)
		f.signal(m.upstream, syscall.SIGKILL)
		time.Sleep(3 * time.Second)
		if err := f.startUpstream(m); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
	}
	// The last upstream is back for 3 s; 6 s more, and the time is steady.
	time.Sleep(6 * time.Second)
	steady := time.Now()
	time.Sleep(15 * time.Second)
	close(done)
	time.Sleep(200 * time.Millisecond)
	return newTally(clients, crashed, steady).laterLess(c, "the crashes")
}
