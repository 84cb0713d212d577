package declaration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// document is a file of declarations. Commands send objects to a node as JSON,
// which is a subset of YAML.
type document struct {
	Organisations []organisationJSON `json:"organisations,omitempty"`
	Services      []serviceJSON      `json:"services,omitempty"`
	Pools         []poolJSON         `json:"pools,omitempty"`
	Routes        []routeJSON        `json:"routes,omitempty"`
	Limits        []limitJSON        `json:"limits,omitempty"`
	Objectives    []objectiveJSON    `json:"objectives,omitempty"`
}

type organisationJSON struct {
	Name  string   `json:"name"`
	Class string   `json:"class"`
	Keys  []string `json:"keys,omitempty"`
}

type serviceJSON struct {
	Name string `json:"name"`
}

type poolJSON struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Upstreams   int    `json:"upstreams"`
	Slots       int    `json:"slots"`
	Promised    int    `json:"promised"`
	Connections int    `json:"connections"`
}

type routeJSON struct {
	Name       string   `json:"name"`
	Host       string   `json:"host,omitempty"`
	Path       string   `json:"path"`
	Methods    []string `json:"methods,omitempty"`
	Service    string   `json:"service"`
	Pool       string   `json:"pool"`
	Idempotent bool     `json:"idempotent"`
	Deadline   string   `json:"deadline"`
	Retries    int      `json:"retries,omitempty"`
}

type limitJSON struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate,omitempty"`
	Concurrency  int     `json:"concurrency,omitempty"`
}

type objectiveJSON struct {
	Service      string  `json:"service"`
	Availability float64 `json:"availability"`
	Latency      string  `json:"latency"`
	Window       string  `json:"window"`
}

// Encode returns objects as one JSON document that Decode can read. It returns a
// snapshot.DecodeError for an object of an unknown type.
func Encode(objects []snapshot.Object) ([]byte, error) {
	var d document
	for _, o := range objects {
		if err := d.add(o); err != nil {
			return nil, err
		}
	}
	b, err := json.Marshal(d)
	if err != nil {
		return nil, &snapshot.DecodeError{What: "object", Err: err}
	}
	return b, nil
}

func (d *document) add(o snapshot.Object) error {
	switch o := o.(type) {
	case snapshot.Organisation:
		d.Organisations = append(d.Organisations, organisationJSON{o.Name(), o.Class().String(), o.KeyHashes()})
	case snapshot.Service:
		d.Services = append(d.Services, serviceJSON{o.Name()})
	case snapshot.Pool:
		d.Pools = append(d.Pools, poolJSON{o.Name(), o.Service(), o.Upstreams(), o.Slots(), o.Promised(), o.Connections()})
	case snapshot.Route:
		d.Routes = append(d.Routes, routeJSON{
			Name: o.Name(), Host: o.Host(), Path: o.Path(), Methods: o.Methods(), Service: o.Service(), Pool: o.Pool(),
			Idempotent: o.Idempotent(), Deadline: o.Deadline().String(), Retries: o.Retries(),
		})
	case snapshot.Limit:
		d.Limits = append(d.Limits, limitJSON{o.Organisation(), o.Rate(), o.Concurrency()})
	case snapshot.Objective:
		d.Objectives = append(d.Objectives, objectiveJSON{o.Service(), o.Availability(), o.Latency().String(), o.Window().String()})
	default:
		return &snapshot.DecodeError{What: "object"}
	}
	return nil
}

// Field is one field of an object as declared.
type Field struct{ Name, Value string }

// Fields returns an object's fields in the order of declaration, for showing
// differences between two states to an operator.
func Fields(o snapshot.Object) []Field {
	var d document
	if d.add(o) != nil {
		return nil
	}
	var declared any
	switch o.(type) {
	case snapshot.Organisation:
		declared = d.Organisations[0]
	case snapshot.Service:
		declared = d.Services[0]
	case snapshot.Pool:
		declared = d.Pools[0]
	case snapshot.Route:
		declared = d.Routes[0]
	case snapshot.Limit:
		declared = d.Limits[0]
	case snapshot.Objective:
		declared = d.Objectives[0]
	}
	return structFields(declared)
}

func structFields(declared any) []Field {
	v := reflect.ValueOf(declared)
	var out []Field
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		value := fmt.Sprint(v.Field(i).Interface())
		if v.Field(i).Kind() == reflect.Slice {
			value = strings.Trim(value, "[]")
		}
		out = append(out, Field{Name: name, Value: value})
	}
	return out
}
