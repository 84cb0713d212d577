package burn

import (
	"bytes"
	"cmp"
	"fmt"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// PlotError tells of a report that could not be drawn.
type PlotError struct{ Err error }

func (e *PlotError) Error() string { return "plot: " + e.Err.Error() }

// Unwrap returns the library's error.
func (e *PlotError) Unwrap() error { return e.Err }

const (
	plotWidth, plotHeight = 22 * vg.Centimeter, 12 * vg.Centimeter
	// maxPlotLines is what can be told apart; the services that burn most go
	// first.
	maxPlotLines = 6
)

// lineColors can be told apart by most people who see colours differently.
var lineColors = []color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{230, 159, 0, 255},
	{86, 180, 233, 255},
}

// SVG returns the burn by hour as a picture.
func (r Report) SVG() ([]byte, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Service-level burn by hour, from %d of %d nodes", r.Answered, r.Asked)
	p.X.Label.Text = "hours before the report"
	p.Y.Label.Text = "burn (1 spends the budget in its window)"
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min, p.X.Max = 0, 0
	highest := 1.5
	for i, row := range r.worst() {
		points := make(plotter.XYs, len(row.Hours))
		for j, h := range row.Hours {
			points[j].X, points[j].Y = -r.At.Sub(h.Begin).Hours(), h.Rate
			highest = math.Max(highest, h.Rate*1.1)
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, &PlotError{Err: err}
		}
		line.Color, dots.Color = lineColors[i], lineColors[i]
		line.Width = vg.Points(1.5)
		p.Add(line, dots)
		p.Legend.Add(row.Service+", "+row.Class, line, dots)
	}
	p.Y.Max = highest
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(plotter.NewGrid(), limit)
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, &PlotError{Err: err}
	}
	return b.Bytes(), nil
}

// worst returns the rows that burn most.
func (r Report) worst() []Row {
	rows := append([]Row(nil), r.Rows...)
	sortByBurn(rows)
	return rows[:min(len(rows), maxPlotLines)]
}

func sortByBurn(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(peak(b), peak(a)) })
}

func peak(r Row) float64 {
	var most float64
	for _, h := range r.Hours {
		most = max(most, h.Rate)
	}
	return most
}
