package declaration

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxDepth bounds how deep values nest. A declaration needs four levels; the
// parser calls itself for each level, so a file of brackets would end the
// process with a stack overflow, which can't be recovered from.
const maxDepth = 8

// maxFields bounds the fields of one mapping, six times what an object has.
// The parser's time grows with their square: a file of 130,000 short lines
// took it 25 s, which an operator would take for a hang.
const maxFields = 64

// maxIndent bounds the column where a field starts.
const maxIndent = 64

// decoder turns one file into objects and gathers its faults.
type decoder struct {
	file   string
	set    *Set
	faults []Fault
}

func (d *decoder) fault(f Fault) { d.faults = append(d.faults, f) }

func (d *decoder) place(t *token.Token) Place {
	if t == nil || t.Position == nil {
		return Place{file: d.file, line: 1, column: 1}
	}
	return Place{file: d.file, line: max(t.Position.Line, 1), column: max(t.Position.Column, 1)}
}

func (d *decoder) syntax(p Place, format string, args ...any) {
	d.set.lost = true
	d.fault(&SyntaxError{at{p}, fmt.Sprintf(format, args...)})
}

func (d *decoder) reference(p Place, what string) {
	d.set.lost = true
	d.fault(&ReferenceError{at{p}, what})
}

// parse returns the file's top node, or nil for a file that is empty or
// faulty.
func (d *decoder) parse(b []byte) ast.Node {
	if p, ok := d.firstNonText(b); !ok {
		d.syntax(p, "is no text in UTF-8")
		return nil
	}
	// The library has panicked on malformed input before; an operator's check
	// must name the file instead of ending with a stack trace.
	defer func() {
		if r := recover(); r != nil {
			d.syntax(Place{file: d.file, line: 1, column: 1}, "can't be read as YAML: %v", r)
		}
	}()
	tokens := lexer.Tokenize(string(b))
	if !d.plain(tokens) {
		return nil
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.parserFault(err)
		return nil
	}
	var top ast.Node
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if top != nil {
			d.syntax(d.place(doc.Body.GetToken()), "a file holds one document")
			return nil
		}
		top = doc.Body
	}
	return top
}

func (d *decoder) parserFault(err error) {
	var located yaml.Error
	if errors.As(err, &located) {
		d.syntax(d.place(located.GetToken()), "%s", located.GetMessage())
		return
	}
	d.syntax(Place{file: d.file, line: 1, column: 1}, "%v", err)
}

// firstNonText returns the place of the first byte that YAML text can't hold.
func (d *decoder) firstNonText(b []byte) (Place, bool) {
	p := Place{file: d.file, line: 1, column: 1}
	for len(b) > 0 {
		r, n := utf8.DecodeRune(b)
		control := r < ' ' && r != '\n' && r != '\r' && r != '\t'
		if control || r == 0x7f || r == utf8.RuneError && n == 1 {
			return p, false
		}
		p.column++
		if r == '\n' {
			p.line, p.column = p.line+1, 1
		}
		b = b[n:]
	}
	return p, true
}

// plain reports whether the tokens keep to the part of YAML that can neither
// expand nor nest without bound.
func (d *decoder) plain(tokens token.Tokens) bool {
	var n nesting
	for _, t := range tokens {
		p := d.place(t)
		switch t.Type {
		case token.AnchorType, token.AliasType:
			d.reference(p, "an anchor or alias")
			return false
		case token.TagType:
			d.reference(p, "a tag")
			return false
		case token.MergeKeyType:
			d.reference(p, "a merge key")
			return false
		case token.MappingKeyType, token.DirectiveType:
			d.syntax(p, "%q has no use in declarations", t.Value)
			return false
		case token.InvalidType:
			d.syntax(p, "%s", t.Error)
			return false
		}
		if !n.step(t, p) {
			d.syntax(p, "values nest too deep or a mapping has more than %d fields", maxFields)
			return false
		}
	}
	return true
}

// nesting follows the tokens of a file.
type nesting struct {
	brackets int
	line     int
	// entries and pairs count list entries and fields outside brackets that
	// start on one line, each of which nests in the one before.
	entries, pairs int
	// fields counts the fields of the mappings that are open, by column.
	fields [maxIndent + 1]int
}

// step takes in a token and reports whether all stays within bounds.
func (n *nesting) step(t *token.Token, p Place) bool {
	if p.line != n.line {
		n.line, n.entries, n.pairs = p.line, 0, 0
	}
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.brackets++
	case token.SequenceEndType, token.MappingEndType:
		n.brackets--
	case token.SequenceEntryType:
		n.entries++
		if p.column < maxIndent {
			clear(n.fields[p.column+1:])
		}
	case token.MappingValueType:
		if n.brackets > 0 {
			break
		}
		n.pairs++
		column := 1
		if t.Prev != nil && t.Prev.Position != nil {
			column = max(t.Prev.Position.Column, 1)
		}
		if column > maxIndent {
			return false
		}
		n.fields[column]++
		if n.fields[column] > maxFields {
			return false
		}
	}
	return n.brackets <= maxDepth && n.entries <= maxDepth && n.pairs <= 1
}

// field is one named value and where its name stands.
type field struct {
	place Place
	value ast.Node
	used  bool
}

// mapping is a set of fields read by name; what is never asked for is unknown.
type mapping struct {
	d      *decoder
	what   string
	place  Place
	fields map[string]*field
	order  []string
	asked  []string
	faulty map[string]bool
}

// mapping reads a node as fields; what names it in errors.
func (d *decoder) mapping(n ast.Node, what string) (*mapping, bool) {
	var pairs []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		d.fault(&TypeError{at{d.nodePlace(n)}, what, "a mapping of fields", typeName(n)})
		return nil, false
	}
	m := &mapping{d: d, what: what, place: d.nodePlace(n), fields: map[string]*field{}, faulty: map[string]bool{}}
	for i, pair := range pairs {
		p := d.nodePlace(pair.Key)
		if i == 0 {
			m.place = p
		}
		name := pair.Key.GetToken().Value
		if first, ok := m.fields[name]; ok {
			d.fault(&RepeatedFieldError{at{p}, name, first.place})
			continue
		}
		m.fields[name] = &field{place: p, value: pair.Value}
		m.order = append(m.order, name)
	}
	return m, true
}

// take returns a field's value, or nil where it is absent.
func (m *mapping) take(name string) ast.Node {
	m.asked = append(m.asked, name)
	f, ok := m.fields[name]
	if !ok {
		return nil
	}
	f.used = true
	if f.value == nil {
		return ast.Null(nil)
	}
	return f.value
}

// end reports the fields that were never asked for.
func (m *mapping) end() {
	for _, name := range m.order {
		if f := m.fields[name]; !f.used {
			m.d.fault(&UnknownFieldError{at{f.place}, m.what, name, m.asked})
		}
	}
}

// fault records a fault of a field, so that the check of all objects, which
// then sees a stand-in value, does not report the same field again.
func (m *mapping) fault(name string, f Fault) {
	m.faulty[name] = true
	m.d.fault(f)
}

func (m *mapping) wrongType(name, want string, n ast.Node) {
	m.fault(name, &TypeError{at{m.valuePlace(name, n)}, name, want, typeName(n)})
}

func (m *mapping) valuePlace(name string, n ast.Node) Place {
	if n == nil || n.GetToken() == nil {
		return m.fields[name].place
	}
	return m.d.nodePlace(n)
}

// nodePlace returns where a node starts; a mapping's own token is the colon
// of its first pair, which no operator looks for.
func (d *decoder) nodePlace(n ast.Node) Place {
	switch n := n.(type) {
	case nil:
		return Place{file: d.file, line: 1, column: 1}
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return d.nodePlace(n.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return d.nodePlace(n.Key)
	}
	return d.place(n.GetToken())
}

func typeName(n ast.Node) string {
	switch n := n.(type) {
	case nil, *ast.NullNode:
		return "empty"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", clip(n.Value))
	case *ast.LiteralNode:
		return "a block of text"
	case *ast.BoolNode:
		return fmt.Sprint(n.Value)
	default:
		return "the number " + clip(n.GetToken().Value)
	}
}

// clip keeps an error line readable whatever the value was.
func clip(s string) string {
	const most = 60
	if len(s) <= most {
		return s
	}
	for i := most; ; i-- {
		if utf8.RuneStart(s[i]) {
			return s[:i] + "…"
		}
	}
}
