package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// route is a route of the configuration.
type route struct {
	name, prefix, service string
	idempotent            bool
	timeoutS              float64
	priority              int
	attempts              int
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key       string
	ratePerS, burst float64
}

const host = "mesh.example"

// configuration returns a version as the operator writes it.
func configuration(version int, services []string, routes []route, tenants ...tenant) []byte {
	type object map[string]any
	var resources []object
	add := func(kind, name string, spec object) {
		metadata := object{}
		if name != "" {
			metadata["name"] = name
		}
		resources = append(resources, object{"resourceType": kind, "metadata": metadata, "spec": spec})
	}
	for _, r := range routes {
		kind := "non_idempotent"
		if r.idempotent {
			kind = "idempotent"
		}
		add("routes", r.name, object{
			"host": host, "prefix": r.prefix, "kind": kind, "timeoutS": r.timeoutS, "targetLatencyS": r.timeoutS / 3,
			"priority": r.priority, "service": r.service, "maxAttempts": r.attempts,
		})
	}
	for _, s := range services {
		add("services", s, object{"healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": false})
	}
	for _, t := range tenants {
		add("tenants", t.name, object{"apiKeys": []string{t.key}, "ratePerS": t.ratePerS, "burst": t.burst, "priority": 1})
	}
	add("limits", "", object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15})
	b, _ := json.Marshal(object{"version": fmt.Sprintf("%08x", version), "resources": resources})
	return b
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec       *record
	runs      *runs
	dir       string
	store     *store
	machines  []*machine
	upstreams []*upstream
}

// current is the deployment of this run.
var current *deployment

// place names a machine: its zone and the service of its upstream.
type place struct{ name, zone, service string }

// deploy writes the settings of all machines and starts the store. The nodes and upstreams are
// started by startAll.
func deploy(rec *record, config []byte, places []place) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, runs: &runs{}, dir: dir}
	current = d
	ips := []string{"127.0.0.1"}
	zones := map[string]bool{}
	var names []string
	for i, p := range places {
		ips = append(ips, fmt.Sprintf("127.1.0.%d", i+1))
		if !zones[p.zone] {
			zones[p.zone] = true
			names = append(names, p.zone)
		}
	}
	base, err := freePorts(portSpan, ips)
	if err != nil {
		return nil, err
	}
	if d.store, err = newStore(fmt.Sprintf("127.0.0.1:%d", base)); err != nil {
		return nil, err
	}
	d.store.put("op/config", config)
	for i, p := range places {
		m := &machine{
			name: p.name, zone: p.zone, service: p.service, ip: ips[i+1],
			app: base, inbound: base + 1, outbound: base + 2, ready: base + 3, control: base + 4, internal: base + 5,
		}
		if err := m.writeSettings(dir, d.store.address, names); err != nil {
			return nil, err
		}
		d.machines = append(d.machines, m)
		d.upstreams = append(d.upstreams, &upstream{
			rec: rec, runs: d.runs, id: "i-" + p.name, service: p.service, zone: p.zone, slots: 12,
			address: m.addr(m.app), control: m.addr(m.control), outbound: m.addr(m.outbound),
		})
	}
	return d, nil
}

// startAll starts the upstreams and nodes, and waits until all nodes are ready.
func (d *deployment) startAll() error {
	for i, m := range d.machines {
		if err := d.upstreams[i].start(); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	return d.waitReady(15 * time.Second)
}

func (d *deployment) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(d.machines) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready after %v", limit)
}

// stopAll ends all processes that the deployment has started.
func (d *deployment) stopAll() {
	if d == nil {
		return
	}
	for _, m := range d.machines {
		m.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", d.dir)
	}
}
