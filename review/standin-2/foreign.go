package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// foreignCase sends one heartbeat of another writer, without an address, to the node beside
// each upstream of one service.
func foreignCase(c *caseRun) (bool, error) {
	f := c.f
	f.contract = `"base","drain","config","cost","retry","recover","health","pool","rollout","tenants","quota","platform"`
	f.bounds = demandsBounds
	var transfers []*machine
	for i := range 4 {
		service := "balance-svc"
		if i%2 == 1 {
			service = "transfer-svc"
		}
		m := f.add(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%d", i/2+1), service)
		if i%2 == 1 {
			transfers = append(transfers, m)
		}
	}
	config := func(later bool) *configuration {
		v := &configuration{}
		v.route("r-balance", "points.example", "/balance/", "idempotent", "balance-svc", 1.5, 1)
		if later {
			v.route("r-transfer", "points.example", "/transfer/", "non_idempotent", "transfer-svc", 1, 1)
		}
		v.service("balance-svc")
		v.service("transfer-svc")
		v.tenant("coop-1", heldKey)
		v.limits()
		return v
	}
	f.store.put("op/config", config(false).encode(5, 0))
	if err := f.startAll(); err != nil {
		return false, err
	}
	f.store.put("op/config", config(true).encode(7, 5))
	c.rec.event("configuration acknowledged", "version", 7, "what", "the route /transfer/ is added")
	time.Sleep(6 * time.Second) // in force, and all machines are in touch

	done := make(chan struct{})
	var clients []*client
	for _, m := range f.machines {
		cl := f.newClient(m)
		clients = append(clients, cl)
		cl.loop(done, 50*time.Millisecond, 8, func() request {
			return request{kind: "first", method: http.MethodGet, host: "points.example", path: "/balance/7f", key: heldKey, timeout: 1500 * time.Millisecond}
		})
		cl.loop(done, 50*time.Millisecond, 8, func() request {
			return request{kind: "later", method: http.MethodPut, host: "points.example", path: "/transfer/3e", body: strings.NewReader("amount=5"), key: heldKey, timeout: time.Second}
		})
	}
	time.Sleep(5 * time.Second)
	forged := time.Now()
	if c.trouble {
		for i, m := range transfers {
			if err := foreignBeat(c, m, fmt.Sprintf("i-other-%d", i+1)); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(10 * time.Second)
	steady := time.Now()
	time.Sleep(12 * time.Second)
	close(done)
	time.Sleep(200 * time.Millisecond)
	t := newTally(clients, forged, steady)
	return t.laterLess(c, "the heartbeats of another writer")
}

// foreignBeat sends a heartbeat in which the address is missing.
func foreignBeat(c *caseRun, m *machine, id string) error {
	body, _ := json.Marshal(map[string]any{
		"born": time.Now().UnixMilli(), "info": map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": 6},
		"status": map[string]any{"state": "ready", "sequence": 1, "warmupLeftS": 0},
	})
	req, err := http.NewRequest(http.MethodPut, "http://"+c.f.addr(m, controlPort)+"/banyanlug/instances/"+id, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	c.rec.event("heartbeat of another writer", "machine", m.name, "id", id, "body", string(body), "status", resp.StatusCode)
	return nil
}
