package declaration

import (
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// readSections reads a file's top-level lists, one for each kind of object.
func (d *decoder) readSections(top ast.Node) {
	if top == nil {
		return
	}
	if _, ok := top.(*ast.NullNode); ok {
		return
	}
	m, ok := d.mapping(top, "a file")
	if !ok {
		d.set.incomplete = true
		return
	}
	d.readList(m, "organisations", "an organisation", organisation)
	d.readList(m, "services", "a service", service)
	d.readList(m, "pools", "a pool", pool)
	d.readList(m, "routes", "a route", route)
	d.readList(m, "limits", "a limit", limit)
	d.readList(m, "objectives", "an objective", objective)
	m.reportUnknown()
	d.set.incomplete = d.set.incomplete || len(m.faulty) > 0
}

// readList reads each item of a section as an object.
func (d *decoder) readList(m *mapping, section, kind string, object func(*mapping) snapshot.Object) {
	for _, n := range m.list(section) {
		item, ok := d.mapping(n, kind)
		if !ok {
			d.set.incomplete = true
			continue
		}
		o := object(item)
		item.reportUnknown()
		d.addObject(item, o)
	}
}

// addObject adds an object to the set. One without a name is left out, as it has no
// key; one that is too large is added and reported.
func (d *decoder) addObject(m *mapping, o snapshot.Object) {
	if o.Key().Name == "" {
		d.set.incomplete = true
		return
	}
	if b, err := snapshot.Encode(o); err == nil && len(b) > maxObjectBytes {
		d.addFault(&SizeError{located{m.position}, o.Key().String(), len(b), maxObjectBytes, "bytes"})
	}
	if f := d.set.add(o, m); f != nil {
		d.addFault(f)
	}
}

func organisation(m *mapping) snapshot.Object {
	name, class := m.text("name", true), snapshot.Trial
	// The class has no default: a paying organisation must not be treated as a
	// trial by mistake, nor the reverse.
	if m.choice("class", snapshot.Trial.String(), snapshot.Paying.String()) == snapshot.Paying.String() {
		class = snapshot.Paying
	}
	return snapshot.NewOrganisation(name, class, m.texts("keys")...).WithPriority(m.integer("priority", false))
}

func service(m *mapping) snapshot.Object {
	return snapshot.NewService(m.text("name", true))
}

func pool(m *mapping) snapshot.Object {
	return snapshot.NewPool(m.text("name", true), m.text("service", true),
		snapshot.Upstreams(m.integer("upstreams", true)),
		snapshot.Slots(m.integer("slots", true)),
		snapshot.Promised(m.integer("promised", true)),
		snapshot.Connections(m.integer("connections", true)))
}

func route(m *mapping) snapshot.Object {
	opts := []snapshot.RouteOption{
		snapshot.Host(m.text("host", false)),
		snapshot.Methods(m.texts("methods")...),
		snapshot.Retries(m.integer("retries", false)),
		snapshot.Priority(m.integer("priority", false)),
		snapshot.Split(m.split()...),
	}
	if d, ok := m.duration("target_latency", false); ok {
		opts = append(opts, snapshot.TargetLatency(d))
	}
	// There is no safe default: true could run a write twice, and false would fail
	// a read that could be retried.
	if m.boolean("idempotent") {
		opts = append(opts, snapshot.Idempotent())
	}
	if d, ok := m.duration("deadline", false); ok {
		opts = append(opts, snapshot.Deadline(d))
	}
	return snapshot.NewRoute(m.text("name", true), m.text("path", true), m.text("service", true), m.text("pool", true), opts...)
}

// split reads the shares of a route's traffic split.
func (m *mapping) split() []snapshot.Share {
	var out []snapshot.Share
	for _, n := range m.list("split") {
		item, ok := m.d.mapping(n, "a share")
		if !ok {
			m.faulty["split"] = true
			continue
		}
		out = append(out, snapshot.NewShare(item.text("service", true), item.text("pool", true), item.integer("weight", true)))
		item.reportUnknown()
	}
	return out
}

func limit(m *mapping) snapshot.Object {
	return snapshot.NewLimit(m.text("organisation", true), m.number("rate", false), m.integer("concurrency", false)).WithBurst(m.number("burst", false))
}

func objective(m *mapping) snapshot.Object {
	latency, _ := m.duration("latency", true)
	window, _ := m.duration("window", true)
	return snapshot.NewObjective(m.text("service", true), m.number("availability", true), latency, window)
}

func (m *mapping) addMissing(name string) {
	m.addFault(name, &MissingFieldError{located{m.position}, m.kind, name})
}

func (m *mapping) lookup(name string, required bool) ast.Node {
	n := m.take(name)
	if n == nil && required {
		m.addMissing(name)
	}
	return n
}

func (m *mapping) text(name string, required bool) string {
	n := m.lookup(name, required)
	switch n := n.(type) {
	case nil:
		return ""
	case *ast.StringNode:
		if n.Value == "" && required {
			m.addMissing(name)
		}
		return n.Value
	default:
		m.addTypeFault(name, "text (in quotes if it looks like a number)", n)
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
		m.addTypeFault(name, "a list of texts (in quotes if they look like numbers)", n)
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
		m.addTypeFault(name, "a list", n)
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
		m.addFault(name, &ChoiceError{located{m.valuePosition(name, m.fields[name].value)}, name, truncate(got), words})
	}
	return ""
}

func (m *mapping) integer(name string, required bool) int {
	switch n := m.lookup(name, required).(type) {
	case nil:
		return 0
	case *ast.IntegerNode:
		i, err := strconv.Atoi(n.GetToken().Value)
		if err != nil {
			m.addTypeFault(name, "a whole number in decimal digits", n)
		}
		return i
	default:
		m.addTypeFault(name, "a whole number", n)
		return 0
	}
}

func (m *mapping) number(name string, required bool) float64 {
	switch n := m.lookup(name, required).(type) {
	case nil:
		return 0
	case *ast.IntegerNode, *ast.FloatNode:
		f, err := strconv.ParseFloat(n.GetToken().Value, 64)
		if err != nil {
			m.addTypeFault(name, "a number in decimal digits", n)
		}
		return f
	default:
		m.addTypeFault(name, "a number", n)
		return 0
	}
}

func (m *mapping) boolean(name string) bool {
	switch n := m.lookup(name, true).(type) {
	case nil:
		return false
	case *ast.BoolNode:
		return n.Value
	default:
		m.addTypeFault(name, "true or false", n)
		return false
	}
}

func (m *mapping) duration(name string, required bool) (time.Duration, bool) {
	switch n := m.lookup(name, required).(type) {
	case nil:
		return 0, false
	case *ast.StringNode:
		d, err := time.ParseDuration(n.Value)
		if err != nil {
			m.addFault(name, &DurationError{located{m.d.nodePosition(n)}, name, truncate(n.Value)})
			return 0, false
		}
		return d, true
	case *ast.IntegerNode, *ast.FloatNode:
		m.addFault(name, &DurationError{located{m.d.nodePosition(n)}, name, truncate(n.GetToken().Value)})
		return 0, false
	default:
		m.addTypeFault(name, "a duration", n)
		return 0, false
	}
}
