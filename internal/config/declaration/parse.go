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

// maxDepth bounds the nesting of values. The parser is recursive, so deeper
// nesting could overflow the stack, which can't be recovered from.
const maxDepth = 8

// maxFields bounds the fields of one mapping, as the parser's time is quadratic in
// their number. Objects have far fewer fields.
const maxFields = 64

// maxIndent is the highest column in which a field may start.
const maxIndent = 64

// decoder reads one file into objects of set and collects its faults.
type decoder struct {
	file   string
	set    *Set
	faults []Fault
}

func (d *decoder) addFault(f Fault) { d.faults = append(d.faults, f) }

func (d *decoder) position(t *token.Token) Position {
	if t == nil || t.Position == nil {
		return Position{file: d.file, line: 1, column: 1}
	}
	return Position{file: d.file, line: max(t.Position.Line, 1), column: max(t.Position.Column, 1)}
}

func (d *decoder) addSyntaxFault(p Position, format string, args ...any) {
	d.set.incomplete = true
	d.addFault(&SyntaxError{located{p}, fmt.Sprintf(format, args...)})
}

func (d *decoder) addReferenceFault(p Position, what string) {
	d.set.incomplete = true
	d.addFault(&ReferenceError{located{p}, what})
}

// parse returns the file's top node, or nil if the file is empty or can't be
// parsed.
func (d *decoder) parse(b []byte) ast.Node {
	if p, ok := d.checkCharacters(b); !ok {
		d.addSyntaxFault(p, "is no text in UTF-8")
		return nil
	}
	// The YAML library can panic on malformed input, which is reported as a fault of
	// the file.
	defer func() {
		if r := recover(); r != nil {
			d.addSyntaxFault(Position{file: d.file, line: 1, column: 1}, "can't be read as YAML: %v", r)
		}
	}()
	tokens := lexer.Tokenize(string(b))
	if !d.checkTokens(tokens) {
		return nil
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addParserFault(err)
		return nil
	}
	var top ast.Node
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if top != nil {
			d.addSyntaxFault(d.position(doc.Body.GetToken()), "a file holds one document")
			return nil
		}
		top = doc.Body
	}
	return top
}

func (d *decoder) addParserFault(err error) {
	var withToken yaml.Error
	if errors.As(err, &withToken) {
		d.addSyntaxFault(d.position(withToken.GetToken()), "%s", withToken.GetMessage())
		return
	}
	d.addSyntaxFault(Position{file: d.file, line: 1, column: 1}, "%v", err)
}

// checkCharacters reports whether all characters are allowed in YAML, and returns
// the position of the first that is not.
func (d *decoder) checkCharacters(b []byte) (Position, bool) {
	p := Position{file: d.file, line: 1, column: 1}
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

// checkTokens reports whether the tokens belong to the subset of YAML whose
// expansion and nesting are bounded, and records a fault if not.
func (d *decoder) checkTokens(tokens token.Tokens) bool {
	var n nesting
	for _, t := range tokens {
		p := d.position(t)
		switch t.Type {
		case token.AnchorType, token.AliasType:
			d.addReferenceFault(p, "an anchor or alias")
			return false
		case token.TagType:
			d.addReferenceFault(p, "a tag")
			return false
		case token.MergeKeyType:
			d.addReferenceFault(p, "a merge key")
			return false
		case token.MappingKeyType, token.DirectiveType:
			d.addSyntaxFault(p, "%q has no use in declarations", t.Value)
			return false
		case token.InvalidType:
			d.addSyntaxFault(p, "%s", t.Error)
			return false
		}
		if !n.step(t, p) {
			d.addSyntaxFault(p, "values nest too deep or a mapping has more than %d fields", maxFields)
			return false
		}
	}
	return true
}

// nesting tracks how deep the tokens of a file nest.
type nesting struct {
	brackets int
	line     int
	// entries and pairs count the list entries and fields outside brackets that
	// start on the current line; each nests in the one before it.
	entries, pairs int
	// fields counts the fields of the open mappings by start column, from 1.
	fields [maxIndent + 1]int
}

// step adds a token and reports whether nesting and fields are within bounds.
func (n *nesting) step(t *token.Token, p Position) bool {
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

// field is the value of a field and the position of its name.
type field struct {
	position Position
	value    ast.Node
	used     bool
}

// mapping holds fields that are read by name; fields never read are unknown ones.
type mapping struct {
	d        *decoder
	kind     string
	position Position
	fields   map[string]*field
	order    []string
	known    []string
	faulty   map[string]bool
}

// mapping reads a node as fields; kind names it in errors.
func (d *decoder) mapping(n ast.Node, kind string) (*mapping, bool) {
	var pairs []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		d.addFault(&TypeError{located{d.nodePosition(n)}, kind, "a mapping of fields", typeName(n)})
		return nil, false
	}
	m := &mapping{d: d, kind: kind, position: d.nodePosition(n), fields: map[string]*field{}, faulty: map[string]bool{}}
	for i, pair := range pairs {
		p := d.nodePosition(pair.Key)
		if i == 0 {
			m.position = p
		}
		name := pair.Key.GetToken().Value
		if first, ok := m.fields[name]; ok {
			d.addFault(&RepeatedFieldError{located{p}, name, first.position})
			continue
		}
		m.fields[name] = &field{position: p, value: pair.Value}
		m.order = append(m.order, name)
	}
	return m, true
}

// take returns a field's value, or nil if it is absent, and marks the field as
// known.
func (m *mapping) take(name string) ast.Node {
	m.known = append(m.known, name)
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

// reportUnknown records a fault for each field that was never read.
func (m *mapping) reportUnknown() {
	for _, name := range m.order {
		if f := m.fields[name]; !f.used {
			m.d.addFault(&UnknownFieldError{located{f.position}, m.kind, name, m.known})
		}
	}
}

// addFault records a fault of a field. Set.check, which sees the zero value
// instead, then does not report the field again.
func (m *mapping) addFault(name string, f Fault) {
	m.faulty[name] = true
	m.d.addFault(f)
}

func (m *mapping) addTypeFault(name, want string, n ast.Node) {
	m.addFault(name, &TypeError{located{m.valuePosition(name, n)}, name, want, typeName(n)})
}

func (m *mapping) valuePosition(name string, n ast.Node) Position {
	if n == nil || n.GetToken() == nil {
		return m.fields[name].position
	}
	return m.d.nodePosition(n)
}

// nodePosition returns where a node starts. For a mapping this is its first key, as
// its own token is the colon after that key.
func (d *decoder) nodePosition(n ast.Node) Position {
	switch n := n.(type) {
	case nil:
		return Position{file: d.file, line: 1, column: 1}
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return d.nodePosition(n.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return d.nodePosition(n.Key)
	}
	return d.position(n.GetToken())
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
		return fmt.Sprintf("the text %q", truncate(n.Value))
	case *ast.LiteralNode:
		return "a block of text"
	case *ast.BoolNode:
		return fmt.Sprint(n.Value)
	default:
		return "the number " + truncate(n.GetToken().Value)
	}
}

// truncate shortens s to at most 60 bytes and an ellipsis, at a rune boundary.
func truncate(s string) string {
	const maxBytes = 60
	if len(s) <= maxBytes {
		return s
	}
	for i := maxBytes; ; i-- {
		if utf8.RuneStart(s[i]) {
			return s[:i] + "…"
		}
	}
}
