package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The program's code and data count as memory of each node. A package that draws,
// parses declarations or serves operators must not be linked again by way of an
// import further down.
func TestProgramHasOnlyTheNodesPackages(t *testing.T) {
	t.Parallel()
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := strings.Fields(string(out))
	const node = "banyanlug.example/banyanlug/internal/process/resident"
	found := false
	for _, p := range packages {
		found = found || p == node
		for _, unwanted := range []string{
			"plot", "font", "latex", "pdf", "svg", "freetype", "image", "yaml",
			"internal/config/declaration", "internal/control/operator", "internal/cli/command", "internal/report/",
			"internal/standin",
		} {
			if strings.Contains(p, unwanted) {
				t.Errorf("the program contains %s", p)
			}
		}
	}
	if !found {
		t.Errorf("the list of packages lacks %s: %q", node, packages)
	}
}
