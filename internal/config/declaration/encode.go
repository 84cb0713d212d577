package declaration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// document is a file of declarations; JSON is the subset of YAML in which
// objects travel between an operator's command and a node.
type document struct {
	Organisations []organisationText `json:"organisations,omitempty"`
	Services      []serviceText      `json:"services,omitempty"`
	Pools         []poolText         `json:"pools,omitempty"`
	Routes        []routeText        `json:"routes,omitempty"`
	Limits        []limitText        `json:"limits,omitempty"`
	Objectives    []objectiveText    `json:"objectives,omitempty"`
}

type organisationText struct {
	Name  string   `json:"name"`
	Class string   `json:"class"`
	Keys  []string `json:"keys,omitempty"`
}

type serviceText struct {
	Name string `json:"name"`
}

type poolText struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Upstreams   int    `json:"upstreams"`
	Slots       int    `json:"slots"`
	Promised    int    `json:"promised"`
	Connections int    `json:"connections"`
}

type routeText struct {
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

type limitText struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate,omitempty"`
	Concurrency  int     `json:"concurrency,omitempty"`
}

type objectiveText struct {
	Service      string  `json:"service"`
	Availability float64 `json:"availability"`
	Latency      string  `json:"latency"`
	Window       string  `json:"window"`
}

// Encode returns objects as one declaration, which Decode reads again.
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
		d.Organisations = append(d.Organisations, organisationText{o.Name(), o.Class().String(), o.KeyHashes()})
	case snapshot.Service:
		d.Services = append(d.Services, serviceText{o.Name()})
	case snapshot.Pool:
		d.Pools = append(d.Pools, poolText{o.Name(), o.Service(), o.Upstreams(), o.Slots(), o.Promised(), o.Connections()})
	case snapshot.Route:
		d.Routes = append(d.Routes, routeText{
			Name: o.Name(), Host: o.Host(), Path: o.Path(), Methods: o.Methods(), Service: o.Service(), Pool: o.Pool(),
			Idempotent: o.Idempotent(), Deadline: o.Deadline().String(), Retries: o.Retries(),
		})
	case snapshot.Limit:
		d.Limits = append(d.Limits, limitText{o.Organisation(), o.Rate(), o.Concurrency()})
	case snapshot.Objective:
		d.Objectives = append(d.Objectives, objectiveText{o.Service(), o.Availability(), o.Latency().String(), o.Window().String()})
	default:
		return &snapshot.DecodeError{What: "object"}
	}
	return nil
}

// Field is one field of an object as declared.
type Field struct{ Name, Value string }

// Fields returns an object's fields in the order in which they are declared,
// for people who compare two states of it.
func Fields(o snapshot.Object) []Field {
	var d document
	if d.add(o) != nil {
		return nil
	}
	var text any
	switch o.(type) {
	case snapshot.Organisation:
		text = d.Organisations[0]
	case snapshot.Service:
		text = d.Services[0]
	case snapshot.Pool:
		text = d.Pools[0]
	case snapshot.Route:
		text = d.Routes[0]
	case snapshot.Limit:
		text = d.Limits[0]
	case snapshot.Objective:
		text = d.Objectives[0]
	}
	return structFields(text)
}

func structFields(text any) []Field {
	v := reflect.ValueOf(text)
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
