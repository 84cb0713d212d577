package main

import (
	"encoding/json"
	"fmt"
)

// configuration builds the operator's configuration in the platform's form.
type configuration struct{ resources []map[string]any }

func (c *configuration) add(kind, name string, spec map[string]any) {
	metadata := map[string]any{}
	if name != "" {
		metadata["name"] = name
	}
	c.resources = append(c.resources, map[string]any{"resourceType": kind, "metadata": metadata, "spec": spec})
}

func (c *configuration) service(name string) {
	c.add("services", name, map[string]any{"healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": false})
}

func (c *configuration) route(name, host, prefix, kind, service string, timeoutS float64, priority int) {
	c.add("routes", name, map[string]any{
		"host": host, "prefix": prefix, "kind": kind, "timeoutS": timeoutS, "targetLatencyS": timeoutS / 3, "priority": priority,
		"service": service, "maxAttempts": 2, "anonymous": false,
	})
}

func (c *configuration) tenant(name string, keys ...string) {
	if keys == nil {
		keys = []string{}
	}
	c.add("tenants", name, map[string]any{"apiKeys": keys, "ratePerS": 0, "burst": 0, "priority": 1})
}

func (c *configuration) limits() {
	c.add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15})
}

func (c *configuration) encode(version, base uint64) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "baseVersion": fmt.Sprintf("%08x", base), "resources": c.resources,
	})
	return b
}
