package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cut-at-stop"] = cutAtStop }

// sent is a request that a client or an upstream has sent, and its answer.
type sent struct {
	request
	answer
	from string
}

// traffic sends requests and collects the answers.
type traffic struct {
	rec *record
	wg  sync.WaitGroup
	mu  sync.Mutex
	all []sent
}

func (t *traffic) send(q request, from, address string) answer {
	t.rec.add("%s sends %s %s %s to its node", from, q.id, q.method, q.path)
	a := q.do(address)
	t.rec.add("%s got for %s: %v", from, q.id, a)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, sent{q, a, from})
	return a
}

func (t *traffic) start(q request, from, address string) {
	t.wg.Go(func() { t.send(q, from, address) })
}

// cutAtStop stops a node by SIGTERM while its upstream works on requests that came from another
// machine, each within its deadline of 3 s, and checks that the node breaks off no request that
// it took from its own clients later than 3 s after the SIGTERM.
func cutAtStop(rec *record, trouble bool) (bool, error) {
	const (
		statusWork   = 2900 * time.Millisecond
		statusLimit  = 3 * time.Second
		statusEvery  = 300 * time.Millisecond
		bookingWork  = 600 * time.Millisecond
		bookingLimit = 2 * time.Second
		bookingEvery = 50 * time.Millisecond
		before       = 4 * time.Second // longer than contactS
		after        = 8 * time.Second // longer than graceS
		excused      = 3 * time.Second // of the requests cut, those sent until then may be
	)
	config := configuration(1, []string{"owner-portal", "dispatch"}, []route{
		{name: "r-status", prefix: "/status/", service: "owner-portal", idempotent: true, timeoutS: statusLimit.Seconds(), attempts: 2, priority: 2},
		{name: "r-booking", prefix: "/booking/", service: "dispatch", timeoutS: bookingLimit.Seconds(), attempts: 2, priority: 1},
	})
	d, err := deploy(rec, config, []place{
		{"a1", "pnw-a", "owner-portal"}, {"b1", "pnw-b", "dispatch"}, {"b2", "pnw-b", "dispatch"}, {"c1", "pnw-c", "dispatch"},
	})
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	for _, u := range d.upstreams {
		u.work = func(r *http.Request) time.Duration {
			if under(r, "/status/") {
				return statusWork
			}
			return bookingWork
		}
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	a1, c1 := d.machines[0], d.machines[3]
	t := &traffic{rec: rec}
	time.Sleep(2 * time.Second) // all upstreams have sent a heartbeat
	stopAt := time.Now().Add(before)
	end := stopAt.Add(after)
	t.wg.Go(func() {
		for n := 1; time.Now().Before(end); n++ {
			t.start(request{id: fmt.Sprintf("status-%03d", n), method: http.MethodGet, host: host, path: "/status/x", timeout: statusLimit}, "client of c1", c1.addr(c1.outbound))
			time.Sleep(statusEvery)
		}
	})
	// a1 is the only machine of its zone: its clients go on sending while it is not ready.
	t.wg.Go(func() {
		for n := 1; time.Now().Before(end); n++ {
			t.start(request{id: fmt.Sprintf("booking-%03d", n), method: http.MethodPost, host: host, path: "/booking/x", body: "callout", timeout: bookingLimit}, "client of a1", a1.addr(a1.outbound))
			time.Sleep(bookingEvery)
		}
	})
	time.Sleep(time.Until(stopAt))
	if trouble {
		rec.add("SIGTERM to the node a1")
		a1.signal(syscall.SIGTERM)
	}
	t.wg.Wait()
	if trouble {
		select {
		case <-a1.ended:
		default:
			return false, fmt.Errorf("the node a1 still runs %v after the SIGTERM", after)
		}
	}
	return t.lost(d.runs, stopAt, excused, trouble), nil
}

// lost reports whether a request that a1 took later than some time after the SIGTERM, and that
// it passed on to an upstream, ended without the upstream's answer while the upstream was at
// work on it.
func (t *traffic) lost(rs *runs, stopped time.Time, excused time.Duration, trouble bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.all {
		if s.from != "client of a1" || trouble && s.sentAt.Sub(stopped) <= excused || s.at.Sub(s.sentAt) >= s.timeout {
			continue
		}
		for _, r := range rs.of(s.id) {
			if s.signature == "" && s.at.After(r.begun) {
				n++
				t.rec.add("LOST: %s, sent %.2f s after the SIGTERM, ran at %s from %.2f s and was broken off at %.2f s: %v",
					s.id, s.sentAt.Sub(stopped).Seconds(), r.upstream, r.begun.Sub(stopped).Seconds(), s.at.Sub(stopped).Seconds(), s.answer)
			}
		}
	}
	t.rec.add("%d requests, %d of them broken off while an upstream was at work on them", len(t.all), n)
	return n > 0
}
