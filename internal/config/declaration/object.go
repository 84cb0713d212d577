package declaration

import (
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// sections reads a file's lists, one for each kind of object.
func (d *decoder) sections(top ast.Node) {
	if top == nil {
		return
	}
	if _, ok := top.(*ast.NullNode); ok {
		return
	}
	m, ok := d.mapping(top, "a file")
	if !ok {
		d.set.lost = true
		return
	}
	d.list(m, "organisations", "an organisation", organisation)
	d.list(m, "services", "a service", service)
	d.list(m, "pools", "a pool", pool)
	d.list(m, "routes", "a route", route)
	d.list(m, "limits", "a limit", limit)
	d.list(m, "objectives", "an objective", objective)
	m.end()
	d.set.lost = d.set.lost || len(m.faulty) > 0
}

// list reads each item of a section as an object.
func (d *decoder) list(m *mapping, section, what string, object func(*mapping) snapshot.Object) {
	for _, n := range m.list(section) {
		item, ok := d.mapping(n, what)
		if !ok {
			d.set.lost = true
			continue
		}
		o := object(item)
		item.end()
		d.keep(item, o)
	}
}

// keep adds an object to the set unless it can't be named or is too large.
func (d *decoder) keep(m *mapping, o snapshot.Object) {
	if o.Key().Name == "" {
		d.set.lost = true
		return
	}
	if b, err := snapshot.Encode(o); err == nil && len(b) > maxObjectBytes {
		d.fault(&SizeError{at{m.place}, o.Key().String(), len(b), maxObjectBytes, "bytes"})
	}
	if f := d.set.add(o, m); f != nil {
		d.fault(f)
	}
}

func organisation(m *mapping) snapshot.Object {
	name, class := m.text("name", true), snapshot.Trial
	// The class has no default: to take a paying customer for a trial, or the
	// other way round, is what the system exists to prevent.
	if m.choice("class", snapshot.Trial.String(), snapshot.Paying.String()) == snapshot.Paying.String() {
		class = snapshot.Paying
	}
	return snapshot.NewOrganisation(name, class, m.texts("keys")...)
}

func service(m *mapping) snapshot.Object {
	return snapshot.NewService(m.text("name", true))
}

func pool(m *mapping) snapshot.Object {
	return snapshot.NewPool(m.text("name", true), m.text("service", true),
		snapshot.Upstreams(m.whole("upstreams", true)),
		snapshot.Slots(m.whole("slots", true)),
		snapshot.Promised(m.whole("promised", true)),
		snapshot.Connections(m.whole("connections", true)))
}

func route(m *mapping) snapshot.Object {
	opts := []snapshot.RouteOption{
		snapshot.Host(m.text("host", false)),
		snapshot.Methods(m.texts("methods")...),
		snapshot.Retries(m.whole("retries", false)),
		snapshot.Priority(m.whole("priority", false)),
		snapshot.Split(m.split()...),
	}
	if d, ok := m.duration("target_latency", false); ok {
		opts = append(opts, snapshot.TargetLatency(d))
	}
	// Required, since either guess is wrong for someone: a binding run twice,
	// or a read that fails where it could have been sent again.
	if m.boolean("idempotent") {
		opts = append(opts, snapshot.Idempotent())
	}
	if d, ok := m.duration("deadline", false); ok {
		opts = append(opts, snapshot.Deadline(d))
	}
	return snapshot.NewRoute(m.text("name", true), m.text("path", true), m.text("service", true), m.text("pool", true), opts...)
}

// split reads the shares of a route's calls.
func (m *mapping) split() []snapshot.Share {
	var out []snapshot.Share
	for _, n := range m.list("split") {
		item, ok := m.d.mapping(n, "a share")
		if !ok {
			m.faulty["split"] = true
			continue
		}
		out = append(out, snapshot.NewShare(item.text("service", true), item.text("pool", true), item.whole("weight", true)))
		item.end()
	}
	return out
}

func limit(m *mapping) snapshot.Object {
	return snapshot.NewLimit(m.text("organisation", true), m.number("rate", false), m.whole("concurrency", false))
}

func objective(m *mapping) snapshot.Object {
	latency, _ := m.duration("latency", true)
	window, _ := m.duration("window", true)
	return snapshot.NewObjective(m.text("service", true), m.number("availability", true), latency, window)
}

func (m *mapping) missing(name string) {
	m.fault(name, &MissingFieldError{at{m.place}, m.what, name})
}

func (m *mapping) required(name string, required bool) ast.Node {
	n := m.take(name)
	if n == nil && required {
		m.missing(name)
	}
	return n
}

func (m *mapping) text(name string, required bool) string {
	n := m.required(name, required)
	switch n := n.(type) {
	case nil:
		return ""
	case *ast.StringNode:
		if n.Value == "" && required {
			m.missing(name)
		}
		return n.Value
	default:
		m.wrongType(name, "text (in quotes if it looks like a number)", n)
		return ""
	}
}

func (m *mapping) texts(name string) []string {
	var out []string
	for _, n := range m.list(name) {
		if s, ok := n.(*ast.StringNode); ok {
			out = append(out, s.Value)
			continue
		}
		m.wrongType(name, "a list of texts (in quotes if they look like numbers)", n)
	}
	return out
}

func (m *mapping) list(name string) []ast.Node {
	switch n := m.take(name).(type) {
	case nil:
		return nil
	case *ast.SequenceNode:
		return n.Values
	default:
		m.wrongType(name, "a list", n)
		return nil
	}
}

func (m *mapping) choice(name string, words ...string) string {
	got := m.text(name, true)
	for _, w := range words {
		if got == w {
			return w
		}
	}
	if !m.faulty[name] {
		m.fault(name, &ChoiceError{at{m.valuePlace(name, m.fields[name].value)}, name, clip(got), words})
	}
	return ""
}

func (m *mapping) whole(name string, required bool) int {
	switch n := m.required(name, required).(type) {
	case nil:
		return 0
	case *ast.IntegerNode:
		i, err := strconv.Atoi(n.GetToken().Value)
		if err != nil {
			m.wrongType(name, "a whole number in decimal digits", n)
		}
		return i
	default:
		m.wrongType(name, "a whole number", n)
		return 0
	}
}

func (m *mapping) number(name string, required bool) float64 {
	switch n := m.required(name, required).(type) {
	case nil:
		return 0
	case *ast.IntegerNode, *ast.FloatNode:
		f, err := strconv.ParseFloat(n.GetToken().Value, 64)
		if err != nil {
			m.wrongType(name, "a number in decimal digits", n)
		}
		return f
	default:
		m.wrongType(name, "a number", n)
		return 0
	}
}

func (m *mapping) boolean(name string) bool {
	switch n := m.required(name, true).(type) {
	case nil:
		return false
	case *ast.BoolNode:
		return n.Value
	default:
		m.wrongType(name, "true or false", n)
		return false
	}
}

func (m *mapping) duration(name string, required bool) (time.Duration, bool) {
	switch n := m.required(name, required).(type) {
	case nil:
		return 0, false
	case *ast.StringNode:
		d, err := time.ParseDuration(n.Value)
		if err != nil {
			m.fault(name, &DurationError{at{m.d.nodePlace(n)}, name, clip(n.Value)})
			return 0, false
		}
		return d, true
	case *ast.IntegerNode, *ast.FloatNode:
		m.fault(name, &DurationError{at{m.d.nodePlace(n)}, name, clip(n.GetToken().Value)})
		return 0, false
	default:
		m.wrongType(name, "a duration", n)
		return 0, false
	}
}
