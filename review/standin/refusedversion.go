package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["refused-version"] = refusedVersion }

// configApply is configApplyS.
const configApply = 2 * time.Second

// refusedVersion writes a second version of the configuration that moves a route to another
// service and adds a route whose priority is 20, or 2 without trouble. It checks that the old
// service runs no request that is sent later than configApplyS after the write.
func refusedVersion(rec *record, trouble bool) (bool, error) {
	const (
		every   = 50 * time.Millisecond
		watched = 20 * time.Second // after the write
		timeout = 1200 * time.Millisecond
	)
	services := []string{"poliza", "suscripcion"}
	moved := route{name: "r-bind", prefix: "/bind/", service: "suscripcion", timeoutS: timeout.Seconds(), attempts: 2, priority: 1}
	d, err := deploy(rec, configuration(1, services, []route{moved}), []place{
		{"a1", "za", "poliza"}, {"a2", "za", "suscripcion"}, {"b1", "zb", "poliza"}, {"b2", "zb", "suscripcion"},
	})
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	for _, u := range d.upstreams {
		u.work = func(*http.Request) time.Duration { return 40 * time.Millisecond }
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	t := &traffic{rec: rec}
	done := make(chan struct{})
	t.wg.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			m := d.machines[n%len(d.machines)]
			t.start(request{id: fmt.Sprintf("bind-%03d", n), method: http.MethodPost, host: host, path: "/bind/x", body: "cover", timeout: timeout}, "client of "+m.name, m.addr(m.outbound))
		}
	})
	time.Sleep(2 * time.Second)

	added := route{name: "r-report", prefix: "/report/", service: "suscripcion", idempotent: true, timeoutS: timeout.Seconds(), attempts: 2, priority: 2}
	if trouble {
		added.priority = 20
	}
	moved.service = "poliza"
	d.store.put("op/config", configuration(2, services, []route{moved, added}))
	written := time.Now()
	rec.add("version 2 is written and acknowledged: r-bind goes to poliza, r-report with priority %d is new", added.priority)
	time.Sleep(watched)
	close(done)
	t.wg.Wait()

	serviceOf := map[string]string{}
	for _, u := range d.upstreams {
		serviceOf[u.id] = u.service
	}
	n, old := 0, 0
	for _, s := range t.all {
		if s.sentAt.Before(written.Add(configApply)) {
			continue
		}
		n++
		for _, r := range d.runs.of(s.id) {
			if serviceOf[r.upstream] != "poliza" {
				if old++; old <= 5 {
					rec.add("CONFIG: %s, sent %.2f s after the write, was run by %s of the old service", s.id, s.sentAt.Sub(written).Seconds(), r.upstream)
				}
			}
		}
	}
	rec.add("%d requests were sent later than configApplyS after the write, %d of them run by the old service", n, old)
	return old > 0, nil
}
