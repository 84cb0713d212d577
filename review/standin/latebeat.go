package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["late-heartbeat"] = lateHeartbeat }

const (
	contact = 3 * time.Second // contactS
	drain   = 2 * time.Second // drainS
)

// lateHeartbeat lets an upstream leave by a DELETE call that its node acknowledges. The node is
// killed and started again, and then a heartbeat arrives that the upstream had sent before it
// left. It checks that no request reaches the upstream later than drainS after the
// acknowledgement. Without trouble, the node isn't killed.
func lateHeartbeat(rec *record, trouble bool) (bool, error) {
	const (
		work      = 200 * time.Millisecond
		every     = 50 * time.Millisecond
		delay     = 3 * time.Second  // of the heartbeat
		servesFor = 11 * time.Second // after the acknowledgement
	)
	config := configuration(1, []string{"binding", "settling"}, []route{
		{name: "r-bind", prefix: "/bind/", service: "binding", timeoutS: 1.5, attempts: 2, priority: 1},
	})
	d, err := deploy(rec, config, []place{
		{"a1", "za", "binding"}, {"a2", "za", "settling"}, {"b1", "zb", "binding"}, {"b2", "zb", "binding"},
	})
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	for _, u := range d.upstreams {
		u.work = func(*http.Request) time.Duration { return work }
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	node, leaving, sender := d.machines[0], d.upstreams[0], d.machines[1]
	t := &traffic{rec: rec}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	t.wg.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			q := request{id: fmt.Sprintf("bind-%03d", n), method: http.MethodPost, host: host, path: "/bind/x", body: "cover", timeout: 1500 * time.Millisecond}
			t.start(q, "client of a2", sender.addr(sender.outbound))
		}
	})
	time.Sleep(2 * time.Second)

	leaving.setBeating(false)
	late := leaving.message("ready")
	rec.add("upstream %s sends the heartbeat %s, which is late", leaving.id, late)
	sent := time.Now()
	time.Sleep(100 * time.Millisecond)
	if !leaving.send(http.MethodDelete, nil) {
		return false, fmt.Errorf("the DELETE of %s was not acknowledged", leaving.id)
	}
	acknowledged := time.Now()
	rec.add("upstream %s sends DELETE, acknowledged by the node a1", leaving.id)
	inTouch := acknowledged
	if trouble {
		time.Sleep(300 * time.Millisecond)
		node.signal(syscall.SIGKILL)
		<-node.ended
		rec.add("the node a1 is killed")
		time.Sleep(300 * time.Millisecond)
		if err := node.start(); err != nil {
			return false, err
		}
		inTouch = time.Now().Add(contact)
		rec.add("the node a1 is started again")
	}
	time.Sleep(time.Until(sent.Add(delay)))
	rec.add("the late heartbeat arrives at the node a1, acknowledged: %v", leaving.send(http.MethodPut, late))
	time.Sleep(time.Until(acknowledged.Add(servesFor)))
	rec.add("upstream %s exits", leaving.id)
	leaving.crash()
	exited := time.Now()
	time.Sleep(time.Second)
	close(done)
	t.wg.Wait()

	from := acknowledged.Add(drain)
	if inTouch.After(from) {
		from = inTouch
	}
	n, cut := 0, 0
	for _, s := range t.all {
		for _, r := range d.runs.of(s.id) {
			if r.upstream != leaving.id || r.begun.Before(from) {
				continue
			}
			if n++; n <= 5 {
				rec.add("DRAIN: %s reached %s %.2f s after the acknowledgement, %.2f s after the node a1 was in touch again",
					s.id, r.upstream, r.begun.Sub(acknowledged).Seconds(), r.begun.Sub(inTouch).Seconds())
			}
			if s.signature == "" && !r.ended.Before(exited.Add(-work)) {
				cut++
				rec.add("lost with the upstream: %s: %v", s.id, s.answer)
			}
		}
	}
	rec.add("%d requests, %d of them reached the leaving upstream too late, %d ended with its exit", len(t.all), n, cut)
	return n > 0, nil
}
