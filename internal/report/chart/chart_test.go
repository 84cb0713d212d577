package chart

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// Guards against charts without their legend or labels.
func TestSVGNamesTitleAxesAndLines(t *testing.T) {
	t.Parallel()
	c := New("a title", "hours", "burn")
	if err := c.AddLine("a line", []Point{{X: 0, Y: 1}, {X: 1, Y: 2}}); err != nil {
		t.Fatal(err)
	}
	c.AddLimit(1)
	svg, err := c.SVG()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "a title", "hours", "burn", "a line"} {
		if !strings.Contains(string(svg), want) {
			t.Errorf("chart lacks %q", want)
		}
	}
}

// Guards against an index beyond the colours.
func TestColorsRepeatAfterMaxLines(t *testing.T) {
	t.Parallel()
	c := New("", "", "")
	for range MaxLines + 1 {
		if err := c.AddLine("x", []Point{{X: 0, Y: 1}}); err != nil {
			t.Fatal(err)
		}
	}
}

func TestInvalidPointIsAPlotError(t *testing.T) {
	t.Parallel()
	err := New("", "", "").AddLine("x", []Point{{X: 0, Y: math.NaN()}})
	var plotErr *PlotError
	if !errors.As(err, &plotErr) {
		t.Errorf("got %v, want a PlotError", err)
	}
}
