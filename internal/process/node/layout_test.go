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
	modulePrefix = "banyanlug.example/banyanlug/"
	moduleRoot   = "../../.."
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
		err := filepath.WalkDir(filepath.Join(moduleRoot, top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
				strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go") {
				return err
			}
			f, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			rel, err := filepath.Rel(moduleRoot, path)
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

// isUnder reports whether pkg is one of some folders or lies below one.
func isUnder(pkg string, folders ...string) bool {
	return slices.ContainsFunc(folders, func(f string) bool { return pkg == f || strings.HasPrefix(pkg, f+"/") })
}

// Enforces the import rules of docs/ARCHITECTURE.md.
func TestImportsFollowTheArchitecture(t *testing.T) {
	rules := []struct {
		name      string
		from      []string
		forbidden []string
		except    []string
	}{
		{"policy does not depend on the network, clock or process", []string{"internal/policy"}, []string{
			"net", "os", "context", "io", modulePrefix + "internal/clock", modulePrefix + "internal/control", modulePrefix + "internal/traffic",
			modulePrefix + "internal/log", modulePrefix + "internal/process", modulePrefix + "internal/standin", modulePrefix + "internal/cli",
		}, []string{"net/netip"}},
		{"control does not depend on traffic", []string{"internal/control"}, []string{modulePrefix + "internal/traffic"}, nil},
		{"traffic does not depend on control", []string{"internal/traffic"}, []string{modulePrefix + "internal/control"}, nil},
		{"configuration does not depend on control, traffic, policy or the network", []string{"internal/config"}, []string{
			modulePrefix + "internal/control", modulePrefix + "internal/traffic", modulePrefix + "internal/policy", "net",
		}, nil},
		{
			"the product does not depend on its stand-ins",
			[]string{"internal/config", "internal/control", "internal/traffic", "internal/policy", "internal/process", "internal/cli", "cmd/banyanlug", "cmd/resident"},
			[]string{modulePrefix + "internal/standin", modulePrefix + "examples"},
			nil,
		},
		{"only the command depends on the users' platform", []string{"internal", "examples", "cmd/standin"}, []string{modulePrefix + "platform"}, nil},
		{"the platform adapter has no load policy", []string{"platform"}, []string{
			modulePrefix + "internal/policy/admission", modulePrefix + "internal/policy/balance", modulePrefix + "internal/policy/retry",
			modulePrefix + "internal/standin",
		}, nil},
		{"no package imports a command", []string{"internal", "cmd", "examples"}, []string{modulePrefix + "cmd"}, nil},
		{"no process starts another", []string{"internal/config", "internal/control", "internal/traffic", "internal/policy", "internal/process", "internal/cli", "cmd/banyanlug", "cmd/resident", "platform"}, []string{"os/exec"}, nil},
	}
	for _, s := range sources(t) {
		for _, r := range rules {
			if !isUnder(s.dir, r.from...) {
				continue
			}
			for _, i := range s.imports {
				if isUnder(i, r.forbidden...) && !isUnder(i, r.except...) {
					t.Errorf("%s imports %s: %s", s.path, i, r.name)
				}
			}
		}
	}
}

// A component that reads the system clock directly cannot be tested with a
// simulated clock, and its tests would depend on the speed of the machine.
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

func TestReverseProxyIsNotUsed(t *testing.T) {
	for _, s := range sources(t) {
		ast.Inspect(s.file, func(n ast.Node) bool {
			if sel, ok := n.(*ast.SelectorExpr); ok && strings.Contains(sel.Sel.Name, "ReverseProxy") {
				t.Errorf("%s uses %s", s.path, sel.Sel.Name)
			}
			return true
		})
	}
}

func TestEveryPackageHasADocFile(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range sources(t) {
		if !isUnder(s.dir, "internal", "platform") || seen[s.dir] {
			continue
		}
		seen[s.dir] = true
		if generated, _ := filepath.Glob(filepath.Join(moduleRoot, s.dir, "*.pb.go")); len(generated) > 0 {
			continue
		}
		if _, err := os.Stat(filepath.Join(moduleRoot, s.dir, "doc.go")); err != nil {
			t.Errorf("%s has no doc.go", s.dir)
		}
	}
}

func TestErrorsAreTypedOrWrapped(t *testing.T) {
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
