package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	module = "banyanlug.example/banyanlug/"
	root   = "../../.."
)

// source is one Go file of the project that is not generated.
type source struct {
	path    string
	dir     string
	file    *ast.File
	imports []string
}

func sources(t *testing.T) []source {
	t.Helper()
	var out []source
	fset := token.NewFileSet()
	for _, top := range []string{"internal", "cmd", "examples", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
				strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go") {
				return err
			}
			f, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			rel, err := filepath.Rel(root, path)
			s := source{path: rel, dir: filepath.ToSlash(filepath.Dir(rel)), file: f}
			for _, i := range f.Imports {
				s.imports = append(s.imports, strings.Trim(i.Path.Value, `"`))
			}
			out = append(out, s)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// under reports whether a package is below one of some folders.
func under(pkg string, folders ...string) bool {
	return slices.ContainsFunc(folders, func(f string) bool { return pkg == f || strings.HasPrefix(pkg, f+"/") })
}

// The rules of docs/ARCHITECTURE.md for who may import what.
func TestImportsFollowTheArchitecture(t *testing.T) {
	rules := []struct {
		name      string
		from      []string
		forbidden []string
		except    []string
	}{
		{"policy knows no network, clock or process", []string{"internal/policy"}, []string{
			"net", "os", "context", "io", module + "internal/clock", module + "internal/control", module + "internal/traffic",
			module + "internal/log", module + "internal/process", module + "internal/standin", module + "internal/cli",
		}, []string{"net/netip"}},
		{"control does not know traffic", []string{"internal/control"}, []string{module + "internal/traffic"}, nil},
		{"traffic does not know control", []string{"internal/traffic"}, []string{module + "internal/control"}, nil},
		{"configuration knows neither", []string{"internal/config"}, []string{
			module + "internal/control", module + "internal/traffic", module + "internal/policy", "net",
		}, nil},
		{
			"the product does not know its stand-ins",
			[]string{"internal/config", "internal/control", "internal/traffic", "internal/policy", "internal/process", "internal/cli", "cmd/banyanlug"},
			[]string{module + "internal/standin", module + "examples"},
			nil,
		},
		{"only the command knows the users' platform", []string{"internal", "examples", "cmd/standin"}, []string{module + "platform"}, nil},
		{"the adapter translates and holds no policy of load", []string{"platform"}, []string{
			module + "internal/policy/admission", module + "internal/policy/balance", module + "internal/policy/retry",
			module + "internal/standin",
		}, nil},
		{"nothing imports a command", []string{"internal", "cmd", "examples"}, []string{module + "cmd"}, nil},
		{"no process starts another", []string{"internal/config", "internal/control", "internal/traffic", "internal/policy", "internal/process", "internal/cli", "cmd/banyanlug", "platform"}, []string{"os/exec"}, nil},
	}
	for _, s := range sources(t) {
		for _, r := range rules {
			if !under(s.dir, r.from...) {
				continue
			}
			for _, i := range s.imports {
				if under(i, r.forbidden...) && !under(i, r.except...) {
					t.Errorf("%s imports %s: %s", s.path, i, r.name)
				}
			}
		}
	}
}

// Parts that read the clock by themselves can't be tested by moving it, and
// make tests depend on the machine's speed.
func TestOnlyTheTimerServiceReadsTheClock(t *testing.T) {
	clock := []string{"Now", "After", "Sleep", "NewTimer", "NewTicker", "Tick", "AfterFunc", "Since", "Until"}
	for _, s := range sources(t) {
		if s.dir == "internal/clock/timer" {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if x, ok := sel.X.(*ast.Ident); ok && x.Name == "time" && x.Obj == nil && slices.Contains(clock, sel.Sel.Name) {
				t.Errorf("%s calls time.%s", s.path, sel.Sel.Name)
			}
			return true
		})
	}
}

func TestNoReadyMadeProxyIsUsed(t *testing.T) {
	for _, s := range sources(t) {
		ast.Inspect(s.file, func(n ast.Node) bool {
			if sel, ok := n.(*ast.SelectorExpr); ok && strings.Contains(sel.Sel.Name, "ReverseProxy") {
				t.Errorf("%s uses %s", s.path, sel.Sel.Name)
			}
			return true
		})
	}
}

func TestEveryPackageHasItsDocFile(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range sources(t) {
		if !under(s.dir, "internal", "platform") || seen[s.dir] {
			continue
		}
		seen[s.dir] = true
		if generated, _ := filepath.Glob(filepath.Join(root, s.dir, "*.pb.go")); len(generated) > 0 {
			continue
		}
		if _, err := os.Stat(filepath.Join(root, s.dir, "doc.go")); err != nil {
			t.Errorf("%s has no doc.go", s.dir)
		}
	}
}

func TestFailuresHaveTypes(t *testing.T) {
	for _, s := range sources(t) {
		ast.Inspect(s.file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			sel, ok := call.Fun.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			x, ok := sel.X.(*ast.Ident)
			if !ok || len(call.Args) == 0 {
				return true
			}
			text, isText := call.Args[0].(*ast.BasicLit)
			switch {
			case x.Name == "errors" && sel.Sel.Name == "New":
				t.Errorf("%s makes an error without a type", s.path)
			case x.Name == "fmt" && sel.Sel.Name == "Errorf" && isText && !strings.Contains(text.Value, "%w"):
				t.Errorf("%s makes an error without a type: %s", s.path, text.Value)
			}
			return true
		})
	}
}
