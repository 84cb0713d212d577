package chart

import (
	"bytes"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// PlotError reports a plot that could not be drawn.
type PlotError struct{ Err error }

func (e *PlotError) Error() string { return "plot: " + e.Err.Error() }

// Unwrap returns the error of the plot library.
func (e *PlotError) Unwrap() error { return e.Err }

// MaxLines is the number of distinguishable colours.
const MaxLines = 6

const (
	plotWidth, plotHeight = 22 * vg.Centimeter, 12 * vg.Centimeter
	plotMargin            = 0.4 * vg.Centimeter
)

// lineColors are distinguishable with most kinds of colour blindness.
var lineColors = [MaxLines]color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{230, 159, 0, 255},
	{86, 180, 233, 255},
}

// Point is a point of a line.
type Point struct{ X, Y float64 }

// Chart is a line chart with a legend; its Y axis begins at 0.
type Chart struct {
	plot    *plot.Plot
	limits  []plot.Plotter
	lines   int
	highest float64
}

// New returns a chart without lines.
func New(title, x, y string) *Chart {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min, p.X.Max = 0, 0
	p.Title.Padding = plotMargin
	return &Chart{plot: p, highest: 1}
}

// AddLine adds a line; colours repeat after MaxLines lines.
func (c *Chart) AddLine(name string, points []Point) error {
	xys := make(plotter.XYs, len(points))
	for i, p := range points {
		xys[i].X, xys[i].Y = p.X, p.Y
		c.highest = max(c.highest, p.Y*1.1)
	}
	line, dots, err := plotter.NewLinePoints(xys)
	if err != nil {
		return &PlotError{Err: err}
	}
	line.Color = lineColors[c.lines%MaxLines]
	dots.Color = line.Color
	line.Width = vg.Points(1.5)
	c.plot.Add(line, dots)
	c.plot.Legend.Add(name, line, dots)
	c.lines++
	return nil
}

// AddLimit adds a dashed horizontal line.
func (c *Chart) AddLimit(y float64) {
	limit := plotter.NewFunction(func(float64) float64 { return y })
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	c.limits = append(c.limits, limit)
	c.highest = max(c.highest, y*1.5)
}

// SVG draws the chart.
func (c *Chart) SVG() ([]byte, error) {
	// Space for the legend above the highest point.
	c.plot.Y.Max = c.highest * 1.3
	c.plot.Add(append([]plot.Plotter{plotter.NewGrid()}, c.limits...)...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	c.plot.Draw(draw.Crop(draw.New(canvas), plotMargin, -plotMargin, plotMargin, -plotMargin))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, &PlotError{Err: err}
	}
	return b.Bytes(), nil
}
