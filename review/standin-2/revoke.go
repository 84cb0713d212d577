package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	heldKey  = "key-of-the-tenant"
	otherKey = "key-that-no-configuration-held"
	// applyTime is longer than configApplyS, and revokeS of the settings.
	applyTime = 5500 * time.Millisecond
)

// revokeCase takes away all keys of the only tenant.
func revokeCase(c *caseRun) (bool, error) {
	f := c.f
	f.contract = `"base","drain","config","cost","retry","recover","health","pool","rollout","tenants","quota","platform"`
	f.bounds = demandsBounds
	for i := range 4 {
		f.add(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%d", i%2+1), "balance-svc")
	}
	config := func(keys ...string) *configuration {
		v := &configuration{}
		v.route("r-balance", "points.example", "/balance/", "idempotent", "balance-svc", 1.5, 1)
		v.service("balance-svc")
		v.tenant("coop-1", keys...)
		v.limits()
		return v
	}
	f.store.put("op/config", config(heldKey).encode(5, 0))
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch

	done := make(chan struct{})
	var clients []*client
	for _, m := range f.machines {
		cl := f.newClient(m)
		clients = append(clients, cl)
		for kind, key := range map[string]string{"held": heldKey, "other": otherKey} {
			cl.loop(done, 50*time.Millisecond, 8, func() request {
				return request{kind: kind, method: http.MethodGet, host: "points.example", path: "/balance/7f", key: key, timeout: 1500 * time.Millisecond}
			})
		}
	}
	time.Sleep(4 * time.Second)
	acked := time.Now()
	if c.trouble {
		f.store.put("op/config", config().encode(7, 5))
		acked = time.Now()
		c.rec.event("configuration acknowledged", "version", 7, "what", "the tenant loses all its keys")
	}
	time.Sleep(10 * time.Second)
	close(done)
	time.Sleep(500 * time.Millisecond)

	ran, passedOn := map[string]bool{}, 0
	for _, r := range f.allRuns() {
		ran[r.ID] = true
		if r.Key {
			passedOn++
		}
	}
	var heldBefore, heldServed, otherSent, otherRan, lateSent, lateRan int
	answers := map[string]map[int]int{"held": {}, "other": {}}
	for _, cl := range clients {
		for _, s := range cl.results() {
			late := c.trouble && s.at.After(acked.Add(applyTime))
			if late {
				answers[s.kind][s.status]++
			}
			switch {
			case s.kind == "other":
				otherSent++
				if ran[s.id] {
					otherRan++
				}
			case s.at.Before(acked):
				heldBefore++
				if s.served {
					heldServed++
				}
			case late:
				lateSent++
				if ran[s.id] {
					lateRan++
				}
			}
		}
	}
	c.rec.say("with the tenant's key, before the change: %d sent, %d served", heldBefore, heldServed)
	c.rec.say("with a key that no configuration ever held: %d sent, %d run (ROUTE)", otherSent, otherRan)
	c.rec.say("with the key that was taken away, sent later than %v after the acknowledgement: %d sent, %d run (CONFIG)", applyTime, lateSent, lateRan)
	c.rec.say("answers in that time: with the former key %v, with the other key %v", answers["held"], answers["other"])
	if heldServed < heldBefore*9/10 || heldBefore < 100 {
		return false, fmt.Errorf("the calm time was not served: %d of %d", heldServed, heldBefore)
	}
	return otherRan > 0 || lateRan > 0 || passedOn > 0, nil
}
